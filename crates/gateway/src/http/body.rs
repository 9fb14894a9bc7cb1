//! Framing of bodies.

use bytes::{Buf, Bytes, BytesMut};

/// Longest line of a chunk's size or of a trailer, in bytes.
const MAX_LINE_BYTES: usize = 4_096;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// No body.
    Empty,
    /// A number of bytes.
    Length(u64),
    /// Chunks.
    Chunked,
    /// All bytes until the peer closes.
    UntilClose,
}

/// What the bytes at hand hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Part of the body.
    Data(Bytes),
    /// The body is whole.
    End,
    /// More bytes are needed.
    Incomplete,
}

/// Bytes that are no chunk.
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

/// Takes a body off a buffer piece by piece.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    framing: Framing,
    remaining: u64,
    chunk: ChunkState,
}

impl BodyDecoder {
    /// A decoder at the start of a body.
    pub fn new(framing: Framing) -> Self {
        let remaining = match framing {
            Framing::Length(length) => length,
            _ => 0,
        };
        Self {
            framing,
            remaining,
            chunk: ChunkState::Size,
        }
    }

    /// How the end of the body is found.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Whether the end is where the peer closes.
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// The next piece.
    ///
    /// # Errors
    /// The bytes are not framed as announced.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Piece, InvalidFraming> {
        match self.framing {
            Framing::Empty => Ok(Piece::End),
            Framing::Length(_) => Ok(self.next_sized(buffer)),
            Framing::UntilClose if buffer.is_empty() => Ok(Piece::Incomplete),
            Framing::UntilClose => Ok(Piece::Data(buffer.split().freeze())),
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
                    Some(_) => {}
                },
                ChunkState::Done => return Ok(Piece::End),
            }
        }
    }
}

/// Takes a line off the buffer and tells its length without its end.
fn skip_trailer_line(buffer: &mut BytesMut) -> Result<Option<usize>, InvalidFraming> {
    match buffer.windows(2).position(|pair| pair == b"\r\n") {
        Some(length) => {
            buffer.advance(length + 2);
            Ok(Some(length))
        }
        None if buffer.len() > MAX_LINE_BYTES => Err(InvalidFraming),
        None => Ok(None),
    }
}
