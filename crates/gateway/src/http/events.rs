//! Decoding of server-sent events (`text/event-stream`).

use bytes::{Bytes, BytesMut};

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Raw bytes of the event, including the blank line that ends it.
    pub raw: Bytes,
    /// The `id` field, if it is a number.
    pub id: Option<u64>,
    /// The `data` lines joined by line feeds; `None` without a `data` field.
    pub data: Option<Vec<u8>>,
}

/// Splits a body into complete events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buffer: BytesMut,
}

impl EventDecoder {
    /// Appends bytes of the body to the buffer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event in the buffer.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = event_end(&self.buffer)?;
        let raw = self.buffer.split_to(end).freeze();
        Some(parse_event(raw))
    }

    /// Returns whether the buffer ends with an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Number of bytes buffered for an incomplete event.
    pub fn partial_len(&self) -> usize {
        self.buffer.len()
    }
}

/// Returns the position after the blank line that ends the first event.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (position, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..position];
        if line.is_empty() || line == b"\r" {
            return Some(position + 1);
        }
        line_start = position + 1;
    }
    None
}

fn parse_event(raw: Bytes) -> Event {
    let mut id = None;
    let mut data: Option<Vec<u8>> = None;
    for line in raw.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field_value(line, b"id") {
            id = std::str::from_utf8(value)
                .ok()
                .and_then(|text| text.trim().parse().ok());
        } else if let Some(value) = field_value(line, b"data") {
            match &mut data {
                Some(data) => {
                    data.push(b'\n');
                    data.extend_from_slice(value);
                }
                None => data = Some(value.to_vec()),
            }
        }
    }
    Event { raw, id, data }
}

fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
