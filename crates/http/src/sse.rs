//! Server-sent events (WHATWG HTML, section 9.2), limited to the fields `id`, `event` and a single
//! `data` line.

use serde::Serialize;
use std::fmt;

/// Maximum size of the bytes after the last event, in bytes: many times that of one event.
const MAX_IDLE_BYTES: usize = 1 << 20;

/// A server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// The `id` field, empty if absent.
    pub id: String,
    /// The `event` field, empty if absent.
    pub event: String,
    /// The `data` field.
    pub data: String,
}

/// The stream holds too many bytes without an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndlessStream;

impl fmt::Display for EndlessStream {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{MAX_IDLE_BYTES} bytes of a stream without an event; check the server that sent it"
        )
    }
}

impl std::error::Error for EndlessStream {}

/// Incremental decoder for a stream of events.
#[derive(Debug, Default)]
pub struct SseDecoder {
    pending: Vec<u8>,
    current: SseEvent,
    /// Bytes since the last event.
    idle_bytes: usize,
}

impl SseDecoder {
    /// Adds a chunk of the stream and returns the events that are now complete.
    ///
    /// # Errors
    /// There have been too many bytes since the last event.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Vec<SseEvent>, EndlessStream> {
        let mut events = Vec::new();
        for part in chunk.split_inclusive(|byte| *byte == b'\n') {
            self.pending.extend_from_slice(part);
            if let Some(line) = self.pending.strip_suffix(b"\n") {
                let line = String::from_utf8_lossy(line).into_owned();
                self.pending.clear();
                self.process_line(line.trim_end_matches('\r'), &mut events);
            }
        }
        self.idle_bytes = match events.is_empty() {
            true => self.idle_bytes + chunk.len(),
            false => 0,
        };
        match self.idle_bytes <= MAX_IDLE_BYTES {
            true => Ok(events),
            false => Err(EndlessStream),
        }
    }

    fn process_line(&mut self, line: &str, events: &mut Vec<SseEvent>) {
        if line.is_empty() {
            let event = std::mem::take(&mut self.current);
            if !event.data.is_empty() {
                events.push(event);
            }
            return;
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value).to_owned();
        match field {
            "id" => self.current.id = value,
            "event" => self.current.event = value,
            "data" => self.current.data = value,
            _ => {}
        }
    }
}

/// Encodes an event with JSON data. An empty `id` or `event` is left out.
pub fn encode_event<T: Serialize>(id: &str, event: &str, data: &T) -> String {
    let data = serde_json::to_string(data).unwrap_or_default();
    let mut text = String::with_capacity(data.len() + 32);
    if !id.is_empty() {
        text.push_str(&format!("id: {id}\n"));
    }
    if !event.is_empty() {
        text.push_str(&format!("event: {event}\n"));
    }
    text.push_str(&format!("data: {data}\n\n"));
    text
}
