//! `fieldhookd`: the daemon. The decisions are made in the pure crates; this
//! one gives them sockets, clocks and tasks, all on one thread.
//!
//! A call's way through the modules:
//! `server` (routes) -> `gateway` (find the owner, relay) -> `sequencer`
//! (admit, record, dispatch) -> `shard` (append) -> engine or server.

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
