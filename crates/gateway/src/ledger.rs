//! Who owns which partition of the ledger, and how a gateway asks the owner.
//!
//! - [`ownership`]: the table of owners, followed on the log.
//! - [`claim`]: taking a partition over.
//! - [`owner`]: the partitions owned here.
//! - [`appender`]: group commit of one partition.
//! - [`peer`]: connections between daemons.
//! - [`client`]: opening and closing turns through owners that may change.

pub mod appender;
pub mod claim;
pub mod client;
pub mod owner;
pub mod ownership;
pub mod peer;
