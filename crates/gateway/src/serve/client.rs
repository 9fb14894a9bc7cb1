//! The reading half of a client's connection.

use super::writer::ClientWriter;
use crate::http::body::{BodyDecoder, Framing, Piece};
use crate::http::head::{HeadError, RequestHead, decode_request_head};
use crate::memory::{Held, Memory, NoRoom};
use bytes::{Bytes, BytesMut};
use fieldhook_traffic::config::Limits;
use fieldhook_traffic::room::Purpose;
use std::future::pending;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::{Instant, timeout, timeout_at};

const READ_SIZE: usize = 8 << 10;
/// Bytes of later requests that are read while one is served.
const MOST_AHEAD: usize = 64 << 10;
/// A body lies in memory as it came, and as it goes to a server.
pub const BODY_COPIES: usize = 2;

/// A request with its whole body.
pub struct ClientRequest {
    /// Head.
    pub head: RequestHead,
    /// Body.
    pub body: Bytes,
    /// When its first byte was seen.
    pub started: Instant,
    /// The memory that it takes.
    pub held: Held,
}

/// Why no request came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFailure {
    /// The client closed, or was idle for too long: nothing to answer.
    Ended,
    /// It took too long to send.
    TooSlow,
    /// The head cannot be taken.
    Head(HeadError),
    /// The body is over the limit.
    BodyTooLarge,
    /// The body is not framed as announced.
    BrokenBody,
    /// This daemon holds too much for slow peers.
    NoRoom,
}

impl From<NoRoom> for ReadFailure {
    fn from(_: NoRoom) -> Self {
        Self::NoRoom
    }
}

/// The reading half.
pub struct ClientReader {
    half: OwnedReadHalf,
    buffer: BytesMut,
    memory: Rc<Memory>,
}

impl ClientReader {
    /// Reads from a connection.
    pub fn new(half: OwnedReadHalf, memory: Rc<Memory>) -> Self {
        Self {
            half,
            buffer: BytesMut::new(),
            memory,
        }
    }

    /// Whether bytes of a next request are there.
    pub fn has_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads some bytes; their number. Memory is taken once they are there: thousands of idle
    /// connections would hold a buffer each.
    async fn fill(&mut self) -> Result<usize, ReadFailure> {
        loop {
            let is_readable = self.half.readable().await;
            is_readable.map_err(|_| ReadFailure::Ended)?;
            self.buffer.reserve(READ_SIZE);
            match self.half.try_read_buf(&mut self.buffer) {
                Ok(size) if size > 0 => return Ok(size),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                _ => return Err(ReadFailure::Ended),
            }
        }
    }

    /// Waits for the first byte of a request.
    ///
    /// # Errors
    /// None came in time.
    pub async fn wait_first_byte(&mut self, idle: Duration) -> Result<(), ReadFailure> {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            timeout(idle, self.fill())
                .await
                .map_err(|_| ReadFailure::Ended)??;
        }
        Ok(())
    }

    /// Reads a request whole; `writer` gives the go-ahead where one is waited for.
    ///
    /// # Errors
    /// It cannot be taken.
    pub async fn read_request(
        &mut self,
        limits: &Limits,
        writer: &mut ClientWriter,
    ) -> Result<ClientRequest, ReadFailure> {
        let started = Instant::now();
        let deadline = started + Duration::from_millis(limits.header_timeout_ms);
        let request = self.read_whole(limits, writer, started);
        timeout_at(deadline, request)
            .await
            .map_err(|_| ReadFailure::TooSlow)?
    }

    async fn read_whole(
        &mut self,
        limits: &Limits,
        writer: &mut ClientWriter,
        started: Instant,
    ) -> Result<ClientRequest, ReadFailure> {
        let held = self.memory.open(Purpose::Incoming);
        let head = loop {
            match decode_request_head(&mut self.buffer, limits.header_bytes) {
                Ok(Some(head)) => break head,
                Ok(None) => held.grow(self.fill().await?)?,
                Err(error) => return Err(ReadFailure::Head(error)),
            }
        };
        if let Framing::Length(length) = head.framing {
            if length > limits.body_bytes as u64 {
                return Err(ReadFailure::BodyTooLarge);
            }
            held.grow(length as usize * BODY_COPIES)?;
        }
        if head.expects_continue {
            let _ = writer.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        }
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = BytesMut::new();
        loop {
            match decoder.next(&mut self.buffer) {
                Ok(Piece::Data(data)) => {
                    if head.framing == Framing::Chunked {
                        held.grow(data.len() * BODY_COPIES)?;
                    }
                    body.extend_from_slice(&data);
                }
                Ok(Piece::End) => break,
                Ok(Piece::Incomplete) => {
                    self.fill().await?;
                }
                Err(_) => return Err(ReadFailure::BrokenBody),
            }
            if body.len() > limits.body_bytes {
                return Err(ReadFailure::BodyTooLarge);
            }
        }
        Ok(ClientRequest {
            head,
            body: body.freeze(),
            started,
            held,
        })
    }

    /// Returns once the client has closed its connection; reads on meanwhile.
    pub async fn wait_closed(&mut self) {
        loop {
            if self.buffer.len() >= MOST_AHEAD {
                return pending().await;
            }
            if self.fill().await.is_err() {
                return;
            }
        }
    }

    /// Reads and drops what comes until the client closes: a close with unread
    /// bytes would take an answer on its way with it.
    pub async fn linger(&mut self, limit: Duration) {
        let until = Instant::now() + limit;
        loop {
            self.buffer.clear();
            match timeout_at(until, self.fill()).await {
                Ok(Ok(_)) => {}
                _ => return,
            }
        }
    }
}
