//! The log service as the product needs it. An adapter speaks the protocol of the
//! service at hand; everything here is about partitions, offsets and epochs.
//!
//! - [`api`]: the calls and their outcomes.
//! - [`contact`]: when the service last answered, and lines about losing it.
//! - [`exchange`]: connections to the service.

pub mod api;
pub mod contact;
pub mod exchange;
