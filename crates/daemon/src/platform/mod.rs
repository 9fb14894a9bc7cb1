//! Clients of the platform's services: the log, the list of machines, and the load reports of
//! engines.
//!
//! The log has two interfaces: streams of text records ([`log_client`]) and partitioned topics of
//! keyed records ([`log_store`]).

pub mod config_sync;
pub mod fleet;
pub mod log_client;
pub mod log_store;
