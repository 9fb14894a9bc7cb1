//! Emulator of the log service.
//!
//! - [`core`]: partitions with fencing, deduplication, conditional appends and compaction; no I/O.
//! - [`memory`]: an in-process log for tests, with fault injection.
//! - [`topics`]: compacted topics over HTTP.
//! - [`streams`]: append-only streams over HTTP, used for the configuration.
//! - [`service`]: the HTTP service for topics and streams.

pub mod core;
pub mod memory;
pub mod service;
pub mod streams;
pub mod topics;

pub use service::run;
