//! One connection to a server, serving one request at a time.

use crate::dialect::{AnswerMeta, Dialect};
use crate::http::body::{BodyDecoder, Piece};
use crate::http::head::{ResponseHead, decode_response_head};
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Largest head of an answer, in bytes.
const RESPONSE_HEAD_LIMIT: usize = 64 << 10;
/// Unacknowledged bytes end a connection after this time: a cut says nothing.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Answers of other requests that are passed over before a connection is given up.
const MAX_FOREIGN_RESPONSES: u32 = 3;
const READ_SIZE: usize = 16 << 10;

/// Why an exchange brought no answer. Once anything was written, the request may
/// have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// The connection ended before an answer.
    ConnectionLost,
    /// The bytes form no answer.
    InvalidResponse,
    /// The server's machine lets itself be reached no more.
    ServerSilent,
}

impl ExchangeError {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::ConnectionLost => "lost",
            Self::InvalidResponse => "garbled",
            Self::ServerSilent => "silent",
        }
    }
}

/// The head of an answer with what the adapter reads in it.
#[derive(Debug)]
pub struct ServerResponse {
    /// Head.
    pub head: ResponseHead,
    /// Meaning of its fields.
    pub meta: AnswerMeta,
    /// Reads its body.
    pub body: BodyDecoder,
}

/// A request as it goes to a server.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingRequest<'a> {
    /// Method, for the framing of the answer.
    pub method: &'a str,
    /// Identity that the answer has to carry.
    pub id: &'a str,
    /// Head and body.
    pub bytes: &'a [u8],
}

/// A connection to a server.
pub struct ServerConnection {
    stream: TcpStream,
    buffer: BytesMut,
    reusable: bool,
    /// When the last answer was whole.
    pub idle_since: Instant,
    /// How long it had been idle when it was taken for its present request.
    pub idle_before_use: Duration,
    /// How long the server keeps it while idle.
    pub idle_limit: Duration,
    /// It has served a request before.
    pub has_served: bool,
}

impl ServerConnection {
    /// Connects.
    ///
    /// # Errors
    /// Nothing listens there, or nothing answers within `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        configure_socket(&stream);
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            reusable: true,
            idle_since: Instant::now(),
            idle_limit: Duration::ZERO,
            idle_before_use: Duration::ZERO,
            has_served: false,
        })
    }

    /// Whether nothing has happened on it while it was idle: no close, no bytes.
    pub fn has_no_input(&self) -> bool {
        let mut byte = [MaybeUninit::<u8>::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        let would_block =
            matches!(&peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        would_block && self.buffer.is_empty()
    }

    /// Whether the next request may use it.
    pub fn is_reusable(&self) -> bool {
        self.reusable && self.buffer.is_empty()
    }

    /// It would_block for its next request, and takes no memory meanwhile.
    pub fn mark_idle(&mut self) {
        self.buffer = BytesMut::new();
        self.idle_since = Instant::now();
    }

    /// Never use it again.
    pub fn mark_unusable(&mut self) {
        self.reusable = false;
    }

    /// Sends a request and reads the head of its answer. Late answers of other
    /// requests are passed over.
    ///
    /// # Errors
    /// No answer came; the request may have run.
    pub async fn exchange(
        &mut self,
        outgoing: &OutgoingRequest<'_>,
        dialect: &dyn Dialect,
    ) -> Result<ServerResponse, ExchangeError> {
        let mut written = 0;
        for _ in 0..MAX_FOREIGN_RESPONSES {
            let head = self.next_head(outgoing, &mut written).await?;
            let meta = dialect.answer(head.status, &head.headers);
            let body = BodyDecoder::new(head.framing);
            if !head.keep_alive || written < outgoing.bytes.len() {
                self.reusable = false;
            }
            let response = ServerResponse { head, meta, body };
            if response
                .meta
                .id
                .as_deref()
                .is_none_or(|id| id == outgoing.id)
            {
                self.has_served = true;
                return Ok(response);
            }
            self.reusable = false;
            self.skip_body(response.body).await?;
        }
        Err(ExchangeError::InvalidResponse)
    }

    async fn next_head(
        &mut self,
        outgoing: &OutgoingRequest<'_>,
        written: &mut usize,
    ) -> Result<ResponseHead, ExchangeError> {
        let (mut reader, mut writer) = self.stream.split();
        loop {
            match decode_response_head(&mut self.buffer, RESPONSE_HEAD_LIMIT, outgoing.method) {
                Ok(Some(head)) => return Ok(head),
                Ok(None) => {}
                Err(_) => return Err(ExchangeError::InvalidResponse),
            }
            self.buffer.reserve(READ_SIZE);
            let unsent = &outgoing.bytes[*written..];
            tokio::select! {
                sent = writer.write(unsent), if !unsent.is_empty() => match sent {
                    Ok(size) if size > 0 => *written += size,
                    // The answer may be on its way although the rest is not taken.
                    _ => self.reusable = false,
                },
                read = reader.read_buf(&mut self.buffer) => match read {
                    Ok(size) if size > 0 => {}
                    _ => return Err(ExchangeError::ConnectionLost),
                },
            }
        }
    }

    async fn skip_body(&mut self, mut body: BodyDecoder) -> Result<(), ExchangeError> {
        loop {
            if self.next_piece(&mut body).await? == Piece::End {
                return Ok(());
            }
        }
    }

    /// The next piece of an answer's body; [`Piece::Incomplete`] is never returned.
    ///
    /// # Errors
    /// The body broke off.
    pub async fn next_piece(&mut self, body: &mut BodyDecoder) -> Result<Piece, ExchangeError> {
        loop {
            match body.next(&mut self.buffer) {
                Ok(Piece::Incomplete) => {}
                Ok(piece) => return Ok(piece),
                Err(_) => return Err(ExchangeError::InvalidResponse),
            }
            self.buffer.reserve(READ_SIZE);
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) if body.ends_with_connection() => return Ok(Piece::End),
                Ok(size) if size > 0 => {}
                _ => return Err(ExchangeError::ConnectionLost),
            }
        }
    }

    /// Reads a body whole.
    ///
    /// # Errors
    /// The body broke off or is over `limit`.
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

/// Sets what every connection of this daemon has.
pub fn configure_socket(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
}
