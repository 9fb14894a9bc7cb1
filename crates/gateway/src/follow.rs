//! What the platform publishes, followed on compacted topics.
//!
//! - [`config`]: the configuration in force.
//! - [`known`]: the configuration as it was read, for other daemons.
//! - [`servers`]: the servers that exist.
//! - [`unreadable`]: records of other writers, said once and counted.
//! - [`long_poll`]: how long reads wait.

pub mod config;
pub mod known;
pub mod long_poll;
pub mod servers;
pub mod unreadable;
