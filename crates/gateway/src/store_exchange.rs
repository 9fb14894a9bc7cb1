//! HTTP connections to the log service. A connection is dropped when a call on it times out,
//! because the service sends nothing more on it.

use crate::http::body::{BodyDecoder, Piece};
use crate::http::head::{ResponseHead, ResponseHeadDecoder};
use crate::upstream::connection::configure_socket;
use bytes::{Bytes, BytesMut};
use fieldhook_log::api::StoreError;
use fieldhook_log::log_health::LogHealth;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum size of a response body, in bytes: several times the megabyte of records that one call
/// returns.
const MAX_BODY_BYTES: usize = 8 << 20;
const READ_SIZE: usize = 16 << 10;
const MAX_IDLE: usize = 8;
/// Connections that were idle for longer than this are not reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);

/// A request to the log service.
pub struct StoreRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Encoded head and body.
    pub message: Vec<u8>,
    /// How long to wait for the response.
    pub timeout: Duration,
}

/// A response of the log service.
pub struct StoreResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    idle_since: Instant,
}

/// A pool of connections to the log service.
pub struct StoreConnections {
    address: SocketAddr,
    log_health: Rc<LogHealth>,
    idle: RefCell<Vec<Connection>>,
}

impl StoreConnections {
    /// Creates an empty pool for an address.
    pub fn new(address: SocketAddr, log_health: Rc<LogHealth>) -> Self {
        Self {
            address,
            log_health,
            idle: RefCell::default(),
        }
    }

    /// Sends a request and waits for the response.
    ///
    /// # Errors
    /// The call was not made, its outcome is unknown, or the response is too large.
    pub async fn exchange(&self, request: StoreRequest) -> Result<StoreResponse, StoreError> {
        let mut connection = match self.acquire().await {
            Ok(connection) => connection,
            Err(_) => {
                self.log_health.record_failure();
                return Err(StoreError::NotDone);
            }
        };
        let called = Instant::now();
        match timeout(request.timeout, connection.call(&request)).await {
            Ok(Ok((response, reusable))) => {
                self.record_health(&response, called);
                if reusable {
                    self.release(connection);
                }
                Ok(response)
            }
            Ok(Err(error)) => {
                self.log_health.record_failure();
                self.idle.borrow_mut().clear();
                Err(error)
            }
            Err(_) => {
                self.log_health.record_failure();
                // If one connection has gone silent, others may have too. The next call must not
                // run into another timeout because of them.
                self.idle.borrow_mut().clear();
                Err(StoreError::Unknown)
            }
        }
    }

    /// Records whether a response shows that the service serves this daemon. It does not if it is
    /// busy (503) or refuses the call because of the call rate (429).
    fn record_health(&self, response: &StoreResponse, called: Instant) {
        match response.status {
            429 => self.log_health.record_refusal(),
            503 => self.log_health.record_failure(),
            _ => self.log_health.record_answer_to(called.into_std()),
        }
    }

    async fn acquire(&self) -> std::io::Result<Connection> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            match idle {
                Some(connection) if connection.idle_since.elapsed() < MAX_IDLE_TIME => {
                    return Ok(connection);
                }
                Some(_) => {}
                None => break,
            }
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        configure_socket(&stream);
        Ok(Connection {
            stream,
            buffer: BytesMut::new(),
            idle_since: Instant::now(),
        })
    }

    fn release(&self, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        if connection.buffer.is_empty() && idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }
}

impl Connection {
    async fn call(&mut self, request: &StoreRequest) -> Result<(StoreResponse, bool), StoreError> {
        // The service acts only on a complete request, but only its response tells whether it
        // received all bytes, so the outcome of a failed write is unknown.
        self.stream
            .write_all(&request.message)
            .await
            .map_err(|_| StoreError::Unknown)?;
        let head = self.read_head(request.method).await?;
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = BytesMut::new();
        loop {
            match decoder.next(&mut self.buffer) {
                Ok(Piece::Data(data)) => body.extend_from_slice(&data),
                Ok(Piece::End) => break,
                Ok(Piece::Incomplete) => self.read_more().await?,
                Err(_) => return Err(StoreError::Unknown),
            }
            if body.len() > MAX_BODY_BYTES {
                return Err(StoreError::Unreadable);
            }
        }
        let response = StoreResponse {
            status: head.status,
            body: body.freeze(),
        };
        Ok((response, head.keep_alive))
    }

    async fn read_head(&mut self, method: &str) -> Result<ResponseHead, StoreError> {
        let mut decoder = ResponseHeadDecoder::new(MAX_HEAD_BYTES, method);
        loop {
            match decoder.next(&mut self.buffer) {
                Ok(Some(head)) => return Ok(head),
                Ok(None) => self.read_more().await?,
                Err(_) => return Err(StoreError::Unknown),
            }
        }
    }

    async fn read_more(&mut self) -> Result<(), StoreError> {
        self.buffer.reserve(READ_SIZE);
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(size) if size > 0 => Ok(()),
            _ => Err(StoreError::Unknown),
        }
    }
}
