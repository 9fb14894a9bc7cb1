//! `fieldhook-bench`: starts clusters of real processes on loopback, drives
//! them as callers do, causes faults, and checks from outside what must hold.

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
