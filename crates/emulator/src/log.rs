//! Stand-ins of the log service.
//!
//! - [`core`]: partitions with fences, repeats, conditions and compaction; no I/O.
//! - [`memory`]: the core in the process of a test, with faults.
//! - [`topics`]: the core over HTTP.
//! - [`streams`]: plain streams over HTTP, for the configuration.
//! - [`service`]: the process that serves both.

pub mod core;
pub mod memory;
pub mod service;
pub mod streams;
pub mod topics;

pub use service::run;
