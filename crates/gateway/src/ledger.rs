//! Who owns which partition of the ledger, and how a gateway asks the owner.
//!
//! - [`load`]: reading a claimed partition.
//! - [`assigner`]: engines for the programs of partitions owned here.
//! - [`owner`]: the partitions owned here; `hold`: what is done with one of them, `owned`:
//!   serving it, `release`: giving it up.
//! - [`homes`]: home partitions, owned within their regions alone.
//! - `limits`: what tenants may send, counted where their partitions are owned; [`quota`]:
//!   asking for it.
//! - `cold`: what cold servers may get, counted by an owner while it is the only one for
//!   certain, and asking for it.
//! - [`peer`]: connections between daemons.
//! - [`reach`]: whether the log is down or this daemon cut off.
//! - [`client`]: opening and closing turns through owners that may change; `exchange`:
//!   one question to an owner; `replace`: finding or becoming the next one.

pub mod assigner;
pub mod client;
mod cold;
mod ending;
mod exchange;
mod hold;
pub mod homes;
mod limits;
pub mod load;
mod owned;
pub mod owner;
pub mod peer;
pub mod quota;
pub mod reach;
mod release;
mod replace;
