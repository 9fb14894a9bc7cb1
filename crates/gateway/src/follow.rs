//! What the platform publishes, followed on compacted topics.
//!
//! - [`config`]: the configuration in force.
//! - [`servers`]: the servers that exist.

pub mod config;
pub mod servers;
