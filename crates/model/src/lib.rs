//! Data types that the other crates share: addresses, identifiers, labels,
//! selectors, the configuration document and its change log, the callers' API and
//! its errors, the operators' API and the platform's messages.
//!
//! Nothing in this crate does I/O, reads a clock or starts threads.

pub mod address;
pub mod api;
pub mod config;
pub mod config_log;
pub mod error;
pub mod ids;
pub mod labels;
pub mod machine_list;
pub mod operator;
pub mod platform;
