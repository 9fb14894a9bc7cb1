//! `fieldhookd`, the daemon. Scheduling decisions are made in crates without I/O; this crate adds
//! sockets, clocks and tasks, all on one thread.
//!
//! A call passes through these modules: [`server`] (routes), [`gateway`] (finds the owner and
//! relays its events), [`sequencer`] (admits, records and dispatches) and [`shard`] (appends to the
//! log). The sequencer then sends it to an engine or a server.

pub mod drain;
pub mod gateway;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod platform;
pub mod sequencer;
pub mod server;
pub mod settings;
pub mod shard;
pub mod transport;
