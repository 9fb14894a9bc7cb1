//! Decoding of server-sent events (`text/event-stream`).

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes: many times that of one with several tokens.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// Maximum size of comments, empty events and events that the client already has in a row, in bytes:
/// enough for comments that keep a connection open, and for a stream that is sent once more from
/// its start.
const MAX_IDLE_BYTES: usize = 256 << 10;
/// Length of the longest end of an event, in bytes: a line ending and a blank line.
const MAX_END_BYTES: usize = 3;

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

impl Event {
    /// Whether it belongs to the stream. Comments and empty events only keep the connection open.
    pub fn has_content(&self) -> bool {
        self.id.is_some() || self.data.is_some()
    }
}

/// Splits a body into complete events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buffer: BytesMut,
    /// Number of buffered bytes that hold no end of an event.
    scanned: usize,
    /// Bytes since the last event that counted as progress.
    idle_bytes: usize,
}

/// An event that does not end, or too many bytes that are no event of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndlessInput;

impl EventDecoder {
    /// Appends bytes of the body to the buffer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event in the buffer.
    ///
    /// # Errors
    /// The event is too long.
    pub fn next_event(&mut self) -> Result<Option<Event>, EndlessInput> {
        // The end may begin with the last bytes that were scanned.
        let from = self.scanned.saturating_sub(MAX_END_BYTES - 1);
        match event_end(&self.buffer, from) {
            Some(end) => {
                self.scanned = 0;
                let raw = self.buffer.split_to(end).freeze();
                Ok(Some(parse_event(raw)))
            }
            None if self.buffer.len() > MAX_EVENT_BYTES => Err(EndlessInput),
            None => {
                self.scanned = self.buffer.len();
                Ok(None)
            }
        }
    }

    /// Records whether an event brought the stream forward. One without id and data, or one that the
    /// client already has, did not.
    ///
    /// # Errors
    /// There have been too many bytes of such events in a row.
    pub fn record_progress(
        &mut self,
        event: &Event,
        is_progress: bool,
    ) -> Result<(), EndlessInput> {
        self.idle_bytes = match is_progress {
            true => 0,
            false => self.idle_bytes + event.raw.len(),
        };
        match self.idle_bytes <= MAX_IDLE_BYTES {
            true => Ok(()),
            false => Err(EndlessInput),
        }
    }

    /// Returns whether the buffer ends with an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Number of buffered bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }
}

/// Returns the position after the blank line that ends the first event, if that line ends after
/// `from`.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let feeds = bytes.iter().enumerate().skip(from);
    let mut feeds = feeds.filter(|(_, byte)| **byte == b'\n');
    let end = feeds.find(|(position, _)| {
        let before = &bytes[..*position];
        let before = before.strip_suffix(b"\r").unwrap_or(before);
        before.is_empty() || before.ends_with(b"\n")
    });
    end.map(|(position, _)| position + 1)
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
