//! A cluster of real processes on loopback: stand-ins and daemons.

mod ask;
mod process;
mod running;
mod shape;

pub use process::{Process, ProcessError, Signal, free_port};
pub use running::Cluster;
pub use shape::{DaemonHandle, EngineShape, Shape};
