//! Framing of bodies.

use bytes::{Buf, Bytes, BytesMut};

/// Longest line of a chunk's size or of a trailer, in bytes.
const LONGEST_LINE: usize = 4_096;

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
    Wait,
}

/// Bytes that are no chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenFraming;

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
    left: u64,
    chunk: ChunkState,
}

impl BodyDecoder {
    /// A decoder at the start of a body.
    pub fn new(framing: Framing) -> Self {
        let left = match framing {
            Framing::Length(length) => length,
            _ => 0,
        };
        Self {
            framing,
            left,
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
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Piece, BrokenFraming> {
        match self.framing {
            Framing::Empty => Ok(Piece::End),
            Framing::Length(_) => Ok(self.next_of_length(buffer)),
            Framing::UntilClose if buffer.is_empty() => Ok(Piece::Wait),
            Framing::UntilClose => Ok(Piece::Data(buffer.split().freeze())),
            Framing::Chunked => self.next_chunk(buffer),
        }
    }

    fn next_of_length(&mut self, buffer: &mut BytesMut) -> Piece {
        if self.left == 0 {
            return Piece::End;
        }
        if buffer.is_empty() {
            return Piece::Wait;
        }
        let size = self.left.min(buffer.len() as u64);
        self.left -= size;
        Piece::Data(buffer.split_to(size as usize).freeze())
    }

    fn next_chunk(&mut self, buffer: &mut BytesMut) -> Result<Piece, BrokenFraming> {
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
                    Ok(httparse::Status::Partial) if buffer.len() <= LONGEST_LINE => {
                        return Ok(Piece::Wait);
                    }
                    _ => return Err(BrokenFraming),
                },
                ChunkState::Data(left) => {
                    if buffer.is_empty() {
                        return Ok(Piece::Wait);
                    }
                    let size = left.min(buffer.len() as u64);
                    self.chunk = match left - size {
                        0 => ChunkState::DataEnd,
                        rest => ChunkState::Data(rest),
                    };
                    return Ok(Piece::Data(buffer.split_to(size as usize).freeze()));
                }
                ChunkState::DataEnd => {
                    if buffer.len() < 2 {
                        return Ok(Piece::Wait);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(BrokenFraming);
                    }
                    buffer.advance(2);
                    self.chunk = ChunkState::Size;
                }
                ChunkState::Trailer => match trailer_line(buffer)? {
                    None => return Ok(Piece::Wait),
                    Some(0) => self.chunk = ChunkState::Done,
                    Some(_) => {}
                },
                ChunkState::Done => return Ok(Piece::End),
            }
        }
    }
}

/// Takes a line off the buffer and tells its length without its end.
fn trailer_line(buffer: &mut BytesMut) -> Result<Option<usize>, BrokenFraming> {
    match buffer.windows(2).position(|pair| pair == b"\r\n") {
        Some(length) => {
            buffer.advance(length + 2);
            Ok(Some(length))
        }
        None if buffer.len() > LONGEST_LINE => Err(BrokenFraming),
        None => Ok(None),
    }
}
