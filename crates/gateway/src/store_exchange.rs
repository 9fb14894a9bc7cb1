//! Connections to the log service. A call that is left without an answer gives its
//! connection up: the service says nothing more on it.

use crate::http::body::{BodyDecoder, Piece};
use crate::http::head::{ResponseHead, decode_response_head};
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

const CONNECT_LIMIT: Duration = Duration::from_millis(300);
const HEAD_LIMIT: usize = 16 << 10;
const BODY_LIMIT: usize = 64 << 20;
const READ_SIZE: usize = 16 << 10;
const MOST_IDLE: usize = 8;
/// Idle connections older than this are not used again.
const IDLE_LIMIT: Duration = Duration::from_secs(2);

/// A call.
pub struct StoreRequest {
    /// Method.
    pub method: &'static str,
    /// Head and body.
    pub message: Vec<u8>,
    /// How long to wait for the answer.
    pub timeout: Duration,
}

/// An answer of the service.
pub struct StoreResponse {
    /// Status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    idle_since: Instant,
}

/// Connections that wait for calls.
pub struct StoreConnections {
    address: SocketAddr,
    log_health: Rc<LogHealth>,
    idle: RefCell<Vec<Connection>>,
}

impl StoreConnections {
    /// Connections to an address.
    pub fn new(address: SocketAddr, log_health: Rc<LogHealth>) -> Self {
        Self {
            address,
            log_health,
            idle: RefCell::default(),
        }
    }

    /// Makes a call.
    ///
    /// # Errors
    /// Nothing was done, or nobody can tell.
    pub async fn exchange(&self, exchange: StoreRequest) -> Result<StoreResponse, StoreError> {
        let mut connection = match self.connection().await {
            Ok(connection) => connection,
            Err(_) => {
                self.log_health.record_failure();
                return Err(StoreError::NotDone);
            }
        };
        match timeout(exchange.timeout, connection.call(&exchange)).await {
            Ok(Ok((answer, reusable))) => {
                self.note(&answer);
                if reusable {
                    self.keep(connection);
                }
                Ok(answer)
            }
            Ok(Err(error)) => {
                self.log_health.record_failure();
                self.idle.borrow_mut().clear();
                Err(error)
            }
            Err(_) => {
                self.log_health.record_failure();
                // Where one connection fell silent, others may have: the next call is not
                // to wait for that as well.
                self.idle.borrow_mut().clear();
                Err(StoreError::Unknown)
            }
        }
    }

    /// A service that is busy answers, but does not serve.
    fn note(&self, answer: &StoreResponse) {
        if answer.status == 503 {
            self.log_health.record_failure();
        } else {
            self.log_health.record_answer();
        }
    }

    async fn connection(&self) -> std::io::Result<Connection> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            match idle {
                Some(connection) if connection.idle_since.elapsed() < IDLE_LIMIT => {
                    return Ok(connection);
                }
                Some(_) => {}
                None => break,
            }
        }
        let stream = timeout(CONNECT_LIMIT, TcpStream::connect(self.address))
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        configure_socket(&stream);
        Ok(Connection {
            stream,
            buffer: BytesMut::new(),
            idle_since: Instant::now(),
        })
    }

    fn keep(&self, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        if connection.buffer.is_empty() && idle.len() < MOST_IDLE {
            idle.push(connection);
        }
    }
}

impl Connection {
    async fn call(&mut self, exchange: &StoreRequest) -> Result<(StoreResponse, bool), StoreError> {
        // Without all bytes the service does nothing, but whether it has them all is
        // known only from its answer.
        self.stream
            .write_all(&exchange.message)
            .await
            .map_err(|_| StoreError::Unknown)?;
        let head = self.head(exchange.method).await?;
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = BytesMut::new();
        loop {
            match decoder.next(&mut self.buffer) {
                Ok(Piece::Data(data)) => body.extend_from_slice(&data),
                Ok(Piece::End) => break,
                Ok(Piece::Incomplete) => self.fill().await?,
                Err(_) => return Err(StoreError::Unknown),
            }
            if body.len() > BODY_LIMIT {
                return Err(StoreError::Unreadable);
            }
        }
        let answer = StoreResponse {
            status: head.status,
            body: body.freeze(),
        };
        Ok((answer, head.keep_alive))
    }

    async fn head(&mut self, method: &str) -> Result<ResponseHead, StoreError> {
        loop {
            match decode_response_head(&mut self.buffer, HEAD_LIMIT, method) {
                Ok(Some(head)) => return Ok(head),
                Ok(None) => self.fill().await?,
                Err(_) => return Err(StoreError::Unknown),
            }
        }
    }

    async fn fill(&mut self) -> Result<(), StoreError> {
        self.buffer.reserve(READ_SIZE);
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(size) if size > 0 => Ok(()),
            _ => Err(StoreError::Unknown),
        }
    }
}
