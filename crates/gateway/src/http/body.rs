//! Decoding of message bodies.

use super::headers::is_field_line;
use bytes::{Buf, Bytes, BytesMut};

/// Longest chunk-size line or trailer line accepted, in bytes.
const MAX_LINE_BYTES: usize = 4_096;

/// Maximum size of all trailer lines together, in bytes.
const MAX_TRAILER_BYTES: usize = 16 << 10;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// No body.
    Empty,
    /// `Content-Length` with this many bytes.
    Length(u64),
    /// `Transfer-Encoding: chunked`.
    Chunked,
    /// The body ends when the peer closes the connection, which it has announced.
    UntilClose,
}

impl Framing {
    /// Returns the value of the log field `framing`.
    pub fn name(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until_close",
        }
    }
}

/// Result of decoding the buffered bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
    /// More input is needed.
    Incomplete,
}

/// The input is not valid chunked encoding, or its lines are too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidFraming;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
    Done,
}

/// Incremental decoder for one message body.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    framing: Framing,
    remaining: u64,
    /// Whether a part of the body has arrived.
    has_begun: bool,
    chunk: ChunkState,
    /// Size of the trailer lines so far, in bytes.
    trailer_bytes: usize,
}

impl BodyDecoder {
    /// Creates a decoder positioned at the start of a body.
    pub fn new(framing: Framing) -> Self {
        let remaining = match framing {
            Framing::Length(length) => length,
            _ => 0,
        };
        Self {
            framing,
            remaining,
            has_begun: false,
            chunk: ChunkState::Size,
            trailer_bytes: 0,
        }
    }

    /// Returns how the end of the body is determined.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns whether the body is complete if the peer closes the connection now. An empty body is
    /// not: nothing would tell it from a response that stopped.
    pub fn is_complete_on_close(&self) -> bool {
        self.framing == Framing::UntilClose && self.has_begun
    }

    /// Decodes the next piece from `buffer`.
    ///
    /// # Errors
    /// The input is not valid chunked encoding, or its lines are too long.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Piece, InvalidFraming> {
        match self.framing {
            Framing::Empty => Ok(Piece::End),
            Framing::Length(_) => Ok(self.next_sized(buffer)),
            Framing::UntilClose if buffer.is_empty() => Ok(Piece::Incomplete),
            Framing::UntilClose => {
                self.has_begun = true;
                Ok(Piece::Data(buffer.split().freeze()))
            }
            Framing::Chunked => self.next_chunk(buffer),
        }
    }

    fn next_sized(&mut self, buffer: &mut BytesMut) -> Piece {
        if self.remaining == 0 {
            return Piece::End;
        }
        if buffer.is_empty() {
            return Piece::Incomplete;
        }
        let size = self.remaining.min(buffer.len() as u64);
        self.remaining -= size;
        Piece::Data(buffer.split_to(size as usize).freeze())
    }

    fn next_chunk(&mut self, buffer: &mut BytesMut) -> Result<Piece, InvalidFraming> {
        loop {
            match self.chunk {
                // The parser takes a line without digits for the last chunk.
                ChunkState::Size
                    if buffer.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) =>
                {
                    return Err(InvalidFraming);
                }
                ChunkState::Size => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((length, size))) => {
                        buffer.advance(length);
                        self.chunk = match size {
                            0 => ChunkState::Trailer,
                            _ => ChunkState::Data(size),
                        };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() <= MAX_LINE_BYTES => {
                        return Ok(Piece::Incomplete);
                    }
                    _ => return Err(InvalidFraming),
                },
                ChunkState::Data(remaining) => {
                    if buffer.is_empty() {
                        return Ok(Piece::Incomplete);
                    }
                    let size = remaining.min(buffer.len() as u64);
                    self.chunk = match remaining - size {
                        0 => ChunkState::DataEnd,
                        remaining => ChunkState::Data(remaining),
                    };
                    return Ok(Piece::Data(buffer.split_to(size as usize).freeze()));
                }
                ChunkState::DataEnd => {
                    if buffer.len() < 2 {
                        return Ok(Piece::Incomplete);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(InvalidFraming);
                    }
                    buffer.advance(2);
                    self.chunk = ChunkState::Size;
                }
                ChunkState::Trailer => match skip_trailer_line(buffer)? {
                    None => return Ok(Piece::Incomplete),
                    Some(0) => self.chunk = ChunkState::Done,
                    Some(length) => {
                        self.trailer_bytes += length;
                        if self.trailer_bytes > MAX_TRAILER_BYTES {
                            return Err(InvalidFraming);
                        }
                    }
                },
                ChunkState::Done => return Ok(Piece::End),
            }
        }
    }
}

/// Removes a trailer line from the buffer and returns its length without the line ending, or `None` if
/// the line is incomplete.
///
/// # Errors
/// The line is too long, or not a field.
fn skip_trailer_line(buffer: &mut BytesMut) -> Result<Option<usize>, InvalidFraming> {
    match buffer.windows(2).position(|pair| pair == b"\r\n") {
        Some(length) if length == 0 || is_field_line(&buffer[..length]) => {
            buffer.advance(length + 2);
            Ok(Some(length))
        }
        Some(_) => Err(InvalidFraming),
        None if buffer.len() > MAX_LINE_BYTES => Err(InvalidFraming),
        None => Ok(None),
    }
}
