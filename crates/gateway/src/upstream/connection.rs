//! A connection to a server, which handles one request at a time.

use crate::dialect::{Dialect, ResponseMeta};
use crate::http::body::{BodyDecoder, Piece};
use crate::http::head::{ResponseHead, ResponseHeadDecoder};
use bytes::{Bytes, BytesMut};
use fieldhook_traffic::process_identity::ProcessIdentity;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Maximum size of a response head, in bytes.
const RESPONSE_HEAD_LIMIT: usize = 64 << 10;
/// `TCP_USER_TIMEOUT`: closes a connection whose data stays unacknowledged this long, because a
/// network partition produces no error.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of responses to other requests that are skipped before the connection is abandoned.
const MAX_MISMATCHED_RESPONSES: u32 = 3;
/// Maximum size of the body of a response to another request that is skipped, in bytes.
const MAX_SKIPPED_BYTES: usize = 1 << 20;
/// How long it is read: as long as that size takes on a link of 20 Mbit/s.
const SKIP_TIMEOUT: Duration = Duration::from_millis(400);
const READ_SIZE: usize = 16 << 10;

/// Why an exchange yielded no response. Once any byte was written, the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// The connection ended before a response arrived.
    ConnectionLost,
    /// The received bytes are not a valid response.
    InvalidResponse,
    /// The machine of the server can no longer be reached.
    ServerSilent,
}

impl ExchangeError {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ConnectionLost => "lost",
            Self::InvalidResponse => "garbled",
            Self::ServerSilent => "silent",
        }
    }
}

/// The head of a response and the meaning of its fields for the dialect.
#[derive(Debug)]
pub struct ServerResponse {
    /// Parsed head.
    pub head: ResponseHead,
    /// What the dialect reads from the header fields.
    pub meta: ResponseMeta,
    /// Decoder for the body.
    pub body: BodyDecoder,
}

/// An encoded request to a server.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingRequest<'a> {
    /// Method, which the framing of the response depends on.
    pub method: &'a str,
    /// Request id that the response must carry.
    pub id: &'a str,
    /// Encoded head and body.
    pub bytes: &'a [u8],
}

/// A connection to a server.
pub struct ServerConnection {
    stream: TcpStream,
    buffer: BytesMut,
    reusable: bool,
    /// A write has failed. It took the error of the socket with it, so that a reset now reads like
    /// the end of the stream.
    write_failed: bool,
    /// Id of the newest request that was sent. Its response may arrive once more, late, in the place
    /// of the next one.
    last_request: String,
    /// When the last response was complete.
    pub idle_since: Instant,
    /// How long the connection was idle before the current request.
    pub idle_before_use: Duration,
    /// How long the connection may be idle before it is no longer used.
    pub idle_limit: Duration,
    /// Whether the connection has served a request before.
    pub has_served: bool,
    /// When its first response arrived.
    pub first_answer: Option<Instant>,
    /// Which process it leads to, if that was asked.
    pub identity: Option<ProcessIdentity>,
    /// Local port, which identifies the connection in log lines.
    pub local_port: u16,
}

impl ServerConnection {
    /// Opens a connection.
    ///
    /// # Errors
    /// The connection is refused or not established within `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        configure_socket(&stream);
        let local_port = stream.local_addr()?.port();
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            reusable: true,
            write_failed: false,
            last_request: String::new(),
            idle_since: Instant::now(),
            idle_limit: Duration::ZERO,
            idle_before_use: Duration::ZERO,
            has_served: false,
            first_answer: None,
            identity: None,
            local_port,
        })
    }

    /// Returns whether the server has neither closed the idle connection nor sent anything on it.
    pub fn has_no_input(&self) -> bool {
        let mut byte = [MaybeUninit::<u8>::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        let would_block =
            matches!(&peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        would_block && self.buffer.is_empty()
    }

    /// Waits until the server closes the idle connection or sends anything on it.
    pub async fn wait_for_input(&self) {
        let _ = self.stream.peek(&mut [0]).await;
    }

    /// Returns whether the connection may serve another request.
    pub fn is_reusable(&self) -> bool {
        self.reusable && self.buffer.is_empty()
    }

    /// Returns whether a response to the next request could be told from a late copy of the last
    /// response if the next request has this id.
    pub fn can_carry(&self, request: &str) -> bool {
        self.last_request != request
    }

    /// Marks the connection as idle and frees its read buffer.
    pub fn mark_idle(&mut self) {
        self.buffer = BytesMut::new();
        self.idle_since = Instant::now();
    }

    /// Excludes the connection from further use.
    pub fn mark_unusable(&mut self) {
        self.reusable = false;
    }

    /// Sends a request and reads the head of the response. A late response to an earlier request is
    /// told by its id and skipped, so the last request must have had [another id](Self::can_carry).
    ///
    /// # Errors
    /// No response arrived. Unless no byte was written, the request may have run.
    pub async fn exchange(
        &mut self,
        outgoing: &OutgoingRequest<'_>,
        dialect: &dyn Dialect,
    ) -> Result<ServerResponse, ExchangeError> {
        outgoing.id.clone_into(&mut self.last_request);
        let mut written = 0;
        for _ in 0..MAX_MISMATCHED_RESPONSES {
            let head = self.next_head(outgoing, &mut written).await?;
            let meta = dialect.read_response(head.status, &head.headers);
            let body = BodyDecoder::new(head.framing);
            if !head.keep_alive || written < outgoing.bytes.len() {
                self.reusable = false;
            }
            let response = ServerResponse { head, meta, body };
            match response.meta.id.as_deref() {
                Some(id) if id == outgoing.id => {
                    self.has_served = true;
                    self.first_answer.get_or_insert_with(Instant::now);
                    return Ok(response);
                }
                Some(_) => {}
                // It may belong to any request.
                None => return Err(ExchangeError::InvalidResponse),
            }
            self.reusable = false;
            tracing::info!(
                event = "late_response_skipped",
                request = outgoing.id,
                late = response.meta.id,
                status = response.head.status,
                connection = self.local_port
            );
            let skipped = timeout(SKIP_TIMEOUT, self.skip_body(response.body)).await;
            skipped.map_err(|_| ExchangeError::InvalidResponse)??;
        }
        Err(ExchangeError::InvalidResponse)
    }

    /// Sends a `GET` request that bears no id and reads the whole response. A late response to an
    /// earlier request could not be told from it, so the connection must not have served any.
    ///
    /// # Errors
    /// No complete response arrived, or its body exceeds `limit` bytes.
    pub async fn query(
        &mut self,
        bytes: &[u8],
        limit: usize,
    ) -> Result<(ResponseHead, Bytes), ExchangeError> {
        let outgoing = OutgoingRequest {
            method: "GET",
            id: "",
            bytes,
        };
        let head = self.next_head(&outgoing, &mut 0).await?;
        self.reusable &= head.keep_alive;
        let body = self
            .read_body(&mut BodyDecoder::new(head.framing), limit)
            .await?;
        Ok((head, body))
    }

    async fn next_head(
        &mut self,
        outgoing: &OutgoingRequest<'_>,
        written: &mut usize,
    ) -> Result<ResponseHead, ExchangeError> {
        let (mut reader, mut writer) = self.stream.split();
        let mut decoder = ResponseHeadDecoder::new(RESPONSE_HEAD_LIMIT, outgoing.method);
        loop {
            match decoder.next(&mut self.buffer) {
                Ok(Some(head)) => return Ok(head),
                Ok(None) => {}
                Err(error) => {
                    let request = outgoing.id;
                    tracing::info!(event = "response_head_rejected", request, %error);
                    return Err(ExchangeError::InvalidResponse);
                }
            }
            self.buffer.reserve(READ_SIZE);
            let unsent = &outgoing.bytes[*written..];
            tokio::select! {
                sent = writer.write(unsent), if !unsent.is_empty() && !self.write_failed => match sent {
                    Ok(size) if size > 0 => *written += size,
                    // The server may respond without having read the rest of the request.
                    _ => {
                        self.reusable = false;
                        self.write_failed = true;
                    }
                },
                read = reader.read_buf(&mut self.buffer) => match read {
                    Ok(size) if size > 0 => {}
                    _ => return Err(ExchangeError::ConnectionLost),
                },
            }
        }
    }

    async fn skip_body(&mut self, mut body: BodyDecoder) -> Result<(), ExchangeError> {
        let mut skipped = 0;
        while skipped <= MAX_SKIPPED_BYTES {
            match self.next_piece(&mut body).await? {
                Piece::Data(data) => skipped += data.len(),
                Piece::End => return Ok(()),
                Piece::Incomplete => {}
            }
        }
        Err(ExchangeError::InvalidResponse)
    }

    /// Reads the next piece of a response body. Never returns [`Piece::Incomplete`].
    ///
    /// # Errors
    /// The body ended early or is malformed.
    pub async fn next_piece(&mut self, body: &mut BodyDecoder) -> Result<Piece, ExchangeError> {
        loop {
            match body.next(&mut self.buffer) {
                Ok(Piece::Incomplete) => {}
                Ok(piece) => return Ok(piece),
                Err(_) => return Err(ExchangeError::InvalidResponse),
            }
            self.buffer.reserve(READ_SIZE);
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) if body.is_complete_on_close() && !self.write_failed => {
                    return Ok(Piece::End);
                }
                Ok(size) if size > 0 => {}
                _ => return Err(ExchangeError::ConnectionLost),
            }
        }
    }

    /// Reads a complete body.
    ///
    /// # Errors
    /// The body ended early, is malformed or exceeds `limit` bytes.
    pub async fn read_body(
        &mut self,
        body: &mut BodyDecoder,
        limit: usize,
    ) -> Result<Bytes, ExchangeError> {
        let mut content = BytesMut::new();
        loop {
            match self.next_piece(body).await? {
                Piece::Data(data) if content.len() + data.len() > limit => {
                    return Err(ExchangeError::InvalidResponse);
                }
                Piece::Data(data) => content.extend_from_slice(&data),
                Piece::End => return Ok(content.freeze()),
                Piece::Incomplete => {}
            }
        }
    }
}

/// Sets the socket options used for every TCP connection of the daemon.
pub fn configure_socket(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
}
