//! HTTP helpers that every process of the project shares, over `ntex`: a
//! client that says whether a failed request may have run, server-sent
//! events, and JSON answers.

mod client;
mod response;
mod sse;

pub use client::{HttpClient, SendError, TextResponse};
pub use response::{aborted, event_stream, json, text};
pub use sse::{SseDecoder, SseEvent, encode_event};
