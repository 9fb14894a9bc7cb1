//! HTTP/1.1 for connections to clients and to servers.
//!
//! The client and server of the HTTP library hide details that forwarding depends on (bytes after a
//! response, responses without a length, which request a response belongs to), so this module
//! parses heads with `httparse` and the gateway manages its own connections.
//!
//! - [`headers`]: header fields, with order and spelling preserved.
//! - [`head`]: parsing of request and response heads.
//! - [`body`]: decoding of message bodies.
//! - [`events`]: decoding of server-sent events.
//! - [`mod@write`]: encoding of heads and chunks.

pub mod body;
pub mod events;
pub mod head;
pub mod headers;
pub mod write;
