//! Clients of the platform's services: the log, the list of machines, and the load reports of
//! engines.

pub mod config_sync;
pub mod fleet;
pub mod log_client;
pub mod log_store;
