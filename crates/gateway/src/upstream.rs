//! Connections to servers and the pools that keep them.
//!
//! [`crate::serve`] acquires a connection from a pool for each attempt. A connection returns to its
//! pool only if its state is certain, so that a response is never delivered to the wrong request.

pub mod connection;
pub mod identity;
pub mod pool;
pub mod probe;
