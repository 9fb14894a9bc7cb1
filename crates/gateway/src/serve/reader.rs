//! Reading half of a client connection.

use super::writer::ClientWriter;
use crate::http::body::{BodyDecoder, Framing, Piece};
use crate::http::head::{HeadError, RequestHead, decode_request_head};
use crate::memory::{Memory, MemoryAccount, MemoryExhausted};
use bytes::{Bytes, BytesMut};
use fieldhook_traffic::buffer_memory::Purpose;
use fieldhook_traffic::config::ClientLimits;
use std::future::pending;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::{Instant, timeout, timeout_at};

const READ_SIZE: usize = 8 << 10;
/// Maximum number of bytes read ahead while a request is being served.
const MAX_READ_AHEAD: usize = 64 << 10;
/// Number of copies of a body in memory: the received one, and the one in the encoded request to
/// the server.
pub const BODY_COPIES: usize = 2;

/// A request with its complete body.
pub struct ClientRequest {
    /// Request head.
    pub head: RequestHead,
    /// Complete body.
    pub body: Bytes,
    /// When the first byte was received.
    pub started: Instant,
    /// Accounts for the memory of the request.
    pub memory_account: MemoryAccount,
}

/// Why no request was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFailure {
    /// The client closed the connection or was idle for too long; no response is sent.
    Ended,
    /// The request did not arrive in time.
    TooSlow,
    /// The head is invalid or too large.
    Head(HeadError),
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The body is not valid chunked encoding.
    BrokenBody,
    /// The limit of buffer memory is reached.
    NoRoom,
}

impl From<MemoryExhausted> for ReadFailure {
    fn from(_: MemoryExhausted) -> Self {
        Self::NoRoom
    }
}

/// Reading half of a client connection.
pub struct ClientReader {
    half: OwnedReadHalf,
    buffer: BytesMut,
    memory: Rc<Memory>,
}

impl ClientReader {
    /// Creates a reader for a connection.
    pub fn new(half: OwnedReadHalf, memory: Rc<Memory>) -> Self {
        Self {
            half,
            buffer: BytesMut::new(),
            memory,
        }
    }

    /// Returns whether bytes of a further request are buffered.
    pub fn has_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads available bytes and returns their number. The buffer is allocated only once the socket
    /// is readable; otherwise thousands of idle connections would each hold a buffer.
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
    /// No byte arrived within `idle`.
    pub async fn wait_first_byte(&mut self, idle: Duration) -> Result<(), ReadFailure> {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            timeout(idle, self.fill())
                .await
                .map_err(|_| ReadFailure::Ended)??;
        }
        Ok(())
    }

    /// Reads a complete request. Sends `100 Continue` through `writer` if the client expects it.
    ///
    /// # Errors
    /// The request is invalid, too large or too slow, or there is no memory for it.
    pub async fn read_request(
        &mut self,
        limits: &ClientLimits,
        writer: &mut ClientWriter,
    ) -> Result<ClientRequest, ReadFailure> {
        let started = Instant::now();
        let deadline = started + Duration::from_millis(limits.header_timeout_ms);
        let request = self.read_message(limits, writer, started);
        timeout_at(deadline, request)
            .await
            .map_err(|_| ReadFailure::TooSlow)?
    }

    async fn read_message(
        &mut self,
        limits: &ClientLimits,
        writer: &mut ClientWriter,
        started: Instant,
    ) -> Result<ClientRequest, ReadFailure> {
        let memory_account = self.memory.open(Purpose::InProgress);
        let head = loop {
            match decode_request_head(&mut self.buffer, limits.header_bytes) {
                Ok(Some(head)) => break head,
                Ok(None) => memory_account.grow(self.fill().await?)?,
                Err(error) => return Err(ReadFailure::Head(error)),
            }
        };
        if let Framing::Length(length) = head.framing {
            if length > limits.body_bytes as u64 {
                return Err(ReadFailure::BodyTooLarge);
            }
            memory_account.grow(length as usize * BODY_COPIES)?;
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
                        memory_account.grow(data.len() * BODY_COPIES)?;
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
            memory_account,
        })
    }

    /// Returns once the client has closed the connection. Keeps reading ahead up to a limit.
    pub async fn wait_closed(&mut self) {
        loop {
            if self.buffer.len() >= MAX_READ_AHEAD {
                return pending().await;
            }
            if self.fill().await.is_err() {
                return;
            }
        }
    }

    /// Reads and discards input until the client closes the connection: closing a socket with
    /// unread input resets the connection and could discard a response in transit.
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
