//! Who owns which partition of the ledger, and how a gateway asks the owner.
//!
//! - [`load`]: reading a claimed partition.
//! - [`owner`]: the partitions owned here.
//! - [`peer`]: connections between daemons.
//! - [`reach`]: whether the log is down or this daemon cut off.
//! - [`client`]: opening and closing turns through owners that may change.

pub mod client;
pub mod load;
pub mod owner;
pub mod peer;
pub mod reach;
