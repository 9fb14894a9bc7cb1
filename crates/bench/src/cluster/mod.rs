//! Clusters of real processes on loopback: daemons, and emulators of the services around them.

mod config;
mod process;
mod query;
mod running;

pub use config::{ClusterConfig, DaemonHandle, EngineConfig};
pub use process::{Process, ProcessError, Signal, free_port};
pub use running::Cluster;
