//! HTTP/1.1 as this gateway speaks it on both sides.
//!
//! The library's own server and client hide what the rules of forwarding turn
//! on (bytes behind an answer, answers without a length, which request an answer
//! belongs to), so heads are parsed by `httparse` on connections of our own.
//!
//! - [`headers`]: header fields in the order and spelling they came in.
//! - [`head`]: heads of requests and answers.
//! - [`body`]: framing of bodies.
//! - [`events`]: streams of events.
//! - [`write`]: writing heads and chunks.

pub mod body;
pub mod events;
pub mod head;
pub mod headers;
pub mod write;
