//! `fieldhookd`, the daemon that schedules the calls of agent programs on engines and servers. A
//! program is a conversation of an agent; a call is one request that the agent makes in it.
//! Scheduling decisions are made in crates without I/O; this crate adds sockets, clocks and tasks,
//! all on one thread. It does not use the `fieldhook-gateway` crate, which is the core of another
//! program, `fieldhook-frontend`.
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
