//! Connections to servers and the pools that keep them.
//!
//! Place in the request path: [`crate::serve`] takes a connection here for each
//! attempt. A connection goes back to its pool only when nothing about it is in
//! doubt, so that an answer never reaches another request.

pub mod connection;
pub mod pool;
pub mod probe;
