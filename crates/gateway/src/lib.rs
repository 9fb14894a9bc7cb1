//! The gateway: sockets, clocks and tasks around the pure crates.
//!
//! Request path: client -> [`serve`] -> [`upstream`] -> server. The [`ledger`] is called before
//! and after each turn of a program. A turn is one request of a program; all turns of a program share
//! its deadline and its token budget.
//!
//! - [`dialect`]: the trait by which an adapter reads and writes header fields and documents.
//! - [`settings`]: the startup settings of a daemon.
//! - [`http`]: HTTP/1.1 messages.
//! - [`store_exchange`]: connections to the log service, for adapters.
//! - [`follow`]: configuration, evacuations and servers, followed on the log.
//! - [`zone_state`]: the zones of the deployment and which of them are evacuated.
//! - [`cold`]: cold servers, which for a time take only a limited rate of requests.
//! - [`memory`]: the memory limit for data buffered for slow peers.
//! - [`relay`]: reads of long topics of the log through a few daemons of each zone.
//! - [`ledger`]: owners of partitions and the gateways that call them.
//! - [`upstream`]: connections to servers.
//! - [`serve`]: client connections and requests.
//! - [`daemon`]: the state shared by the tasks, and their start.
//! - [`drain`]: the planned stop.
//! - [`probes`]: readiness and metrics over HTTP.
//! - [`metrics`], [`logging`]: metrics and log output of a daemon.

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
