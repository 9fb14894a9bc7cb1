//! What the daemon reads from and writes to the platform: its log, its list of
//! machines, and the engines' reports.

pub mod config_sync;
pub mod fleet;
pub mod log_client;
pub mod log_store;
