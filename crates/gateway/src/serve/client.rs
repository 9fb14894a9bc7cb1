//! The two halves of a client's connection.

use crate::http::body::{BodyDecoder, Piece};
use crate::http::head::{HeadError, RequestHead, take_request};
use bytes::{Bytes, BytesMut};
use fieldhook_traffic::config::Limits;
use std::future::pending;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, timeout, timeout_at};

const READ_SIZE: usize = 8 << 10;
/// Bytes of later requests that are read while one is served.
const MOST_AHEAD: usize = 64 << 10;

/// A request with its whole body.
#[derive(Debug)]
pub struct ClientRequest {
    /// Head.
    pub head: RequestHead,
    /// Body.
    pub body: Bytes,
    /// When its first byte was seen.
    pub started: Instant,
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
}

/// The reading half.
pub struct ClientReader {
    half: OwnedReadHalf,
    buffer: BytesMut,
}

impl ClientReader {
    /// Reads from a connection.
    pub fn new(half: OwnedReadHalf) -> Self {
        Self {
            half,
            buffer: BytesMut::new(),
        }
    }

    /// Whether bytes of a next request are there.
    pub fn has_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    async fn fill(&mut self) -> Result<(), ReadFailure> {
        self.buffer.reserve(READ_SIZE);
        match self.half.read_buf(&mut self.buffer).await {
            Ok(size) if size > 0 => Ok(()),
            _ => Err(ReadFailure::Ended),
        }
    }

    /// Waits for the first byte of a request.
    ///
    /// # Errors
    /// None came in time.
    pub async fn wait_first_byte(&mut self, idle: Duration) -> Result<(), ReadFailure> {
        if self.buffer.is_empty() {
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
        let head = loop {
            match take_request(&mut self.buffer, limits.header_bytes) {
                Ok(Some(head)) => break head,
                Ok(None) => self.fill().await?,
                Err(error) => return Err(ReadFailure::Head(error)),
            }
        };
        if let crate::http::body::Framing::Length(length) = head.framing
            && length > limits.body_bytes as u64
        {
            return Err(ReadFailure::BodyTooLarge);
        }
        if head.expects_continue {
            let _ = writer.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        }
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = BytesMut::new();
        loop {
            match decoder.next(&mut self.buffer) {
                Ok(Piece::Data(data)) => body.extend_from_slice(&data),
                Ok(Piece::End) => break,
                Ok(Piece::Wait) => self.fill().await?,
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
                Ok(Ok(())) => {}
                _ => return,
            }
        }
    }
}

/// The writing half.
pub struct ClientWriter {
    half: OwnedWriteHalf,
}

impl ClientWriter {
    /// Writes to a connection.
    pub fn new(half: OwnedWriteHalf) -> Self {
        Self { half }
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// The client is gone.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.half.write_all(bytes).await
    }

    /// Says that nothing more will come.
    pub async fn finish(&mut self) {
        let _ = self.half.shutdown().await;
    }
}
