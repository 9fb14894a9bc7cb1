//! `fieldhook-bench`: starts clusters of real processes on loopback, generates load through
//! the caller API, injects faults, and checks the guarantees from outside.

pub mod append_strategies;
pub mod audit;
pub mod caller;
pub mod cluster;
pub mod experiment;
pub mod load;
pub mod memory;
pub mod overhead;
pub mod quickstart;
pub mod report;
pub mod scenario;
