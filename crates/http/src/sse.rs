//! Server-sent events (WHATWG HTML, section 9.2), limited to the fields `id`, `event` and a single
//! `data` line.

use serde::Serialize;

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

/// Incremental decoder for a stream of events.
#[derive(Debug, Default)]
pub struct SseDecoder {
    pending: Vec<u8>,
    current: SseEvent,
}

impl SseDecoder {
    /// Adds a chunk of the stream and returns the events that are now complete.
    pub fn push(&mut self, chunk: &[u8]) -> Vec<SseEvent> {
        self.pending.extend_from_slice(chunk);
        let mut events = Vec::new();
        while let Some(end) = self.pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.pending.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line[..end]);
            self.process_line(line.trim_end_matches('\r'), &mut events);
        }
        events
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
