//! A cluster of real processes on loopback: stand-ins and daemons.

mod process;
mod shape;

pub use process::{Process, ProcessError, Signal};
pub use shape::{Cluster, DaemonHandle, EngineShape, Shape};
