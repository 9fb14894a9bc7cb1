//! Followers of the compacted topics that the platform publishes.
//!
//! - [`config`]: the active configuration and zone evacuations.
//! - [`config_cache`]: the newest configuration document, kept for other daemons.
//! - [`servers`]: the server directory.
//! - [`unreadable`]: logging and counting of records that cannot be parsed.
//! - [`long_poll`]: wait times of long-poll reads.

pub mod config;
pub mod config_cache;
pub mod long_poll;
pub mod servers;
pub mod unreadable;
