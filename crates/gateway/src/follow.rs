//! What the platform publishes, followed on compacted topics.
//!
//! - [`topic`]: one compacted partition, listed once and then read on.
//! - [`config`]: the configuration in force.
//! - [`servers`]: the servers that exist.

pub mod config;
pub mod servers;
pub mod topic;
