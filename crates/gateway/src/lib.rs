//! The gateway: sockets, clocks and tasks around the pure crates.
//!
//! Place in the request path: client -> [`serve`] -> [`upstream`] -> server, with
//! [`ledger`] asked before and after each turn of a program.
//!
//! - [`dialect`]: what an adapter has to tell about requests and answers.
//! - [`settings`]: what a daemon is told at its start.
//! - [`http`]: messages on the wire.
//! - [`store_exchange`]: connections to the log service, for adapters.
//! - [`follow`]: configuration, evacuations and servers, followed on the log.
//! - [`zone_state`]: zones, and which are evacuated.
//! - [`cold`]: servers that bear only a few requests for now.
//! - [`memory`]: what is held for peers that are slow to read.
//! - [`relay`]: the log, read through a few daemons of each zone where its topics are long.
//! - [`ledger`]: owners of partitions and the gateways that ask them.
//! - [`upstream`]: connections to servers.
//! - [`serve`]: clients' connections and requests.
//! - [`daemon`]: the state that the tasks share, and their start.
//! - [`drain`]: the planned stop.
//! - [`probes`]: readiness and metrics over HTTP.
//! - [`metrics`], [`logging`]: what a daemon tells about itself.

pub mod cold;
pub mod daemon;
pub mod dialect;
pub mod drain;
pub mod follow;
pub mod http;
pub mod ledger;
pub mod logging;
pub mod memory;
pub mod metrics;
pub mod probes;
pub mod relay;
pub mod serve;
pub mod settings;
pub mod store_exchange;
pub mod upstream;
pub mod zone_state;
