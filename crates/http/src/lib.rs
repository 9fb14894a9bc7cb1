//! HTTP helpers on top of `ntex`, shared by all processes of the project: a client whose errors
//! tell whether a failed request may have run, server-sent events, and responses.

mod client;
mod response;
mod sse;

pub use client::{HttpClient, SendError, TextResponse};
pub use response::{aborted, event_stream, json, text};
pub use sse::{EndlessStream, SseDecoder, SseEvent, encode_event};
