//! An HTTP client whose errors say whether the request may have run.

use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientRequest, ClientResponse, Connector};
use ntex::http::Method;
use ntex::time::Millis;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;
use std::time::Duration;

/// Largest answer that is read whole, in bytes.
const BODY_LIMIT: usize = 256 << 20;
const CONNECT_KEEP_ALIVE_SECONDS: u16 = 10;
/// More connections than a process may open. The library's own "no limit", 0,
/// must not be used: a request that comes while another connection to the same
/// address is being opened then waits for ever (ntex 3.12, `client/pool.rs`:
/// waiters are only woken while `acquired < limit`).
const CONNECTION_LIMIT: usize = 1 << 20;

/// Why a request has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection came about: the request was not sent.
    NotSent(String),
    /// The request may have arrived and run.
    Unknown(String),
    /// The server answered with an error status.
    Status {
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        body: String,
    },
}

impl fmt::Display for SendError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => {
                write!(
                    formatter,
                    "no connection ({cause}); check that the process runs there"
                )
            }
            Self::Unknown(cause) => {
                write!(
                    formatter,
                    "no answer ({cause}); the request may have run, ask again"
                )
            }
            Self::Status { status, body } => write!(formatter, "status {status}: {body}"),
        }
    }
}

impl std::error::Error for SendError {}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: String,
}

/// A client with pooled connections; one for each thread.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
}

impl HttpClient {
    /// Builds a client that opens as many connections as it needs.
    pub async fn new() -> Self {
        let connector = Connector::new()
            .limit(CONNECTION_LIMIT)
            .keep_alive(ntex::time::Seconds(CONNECT_KEEP_ALIVE_SECONDS));
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_timeout()
            .disable_redirects()
            .response_payload_limit(BODY_LIMIT)
            .build(SharedCfg::default())
            .await;
        match client {
            Ok(client) => Self { client },
            Err(_) => Self {
                client: Client::new().await,
            },
        }
    }

    fn request(&self, method: Method, url: &str, timeout: Duration) -> ClientRequest {
        let timeout_ms = timeout.as_millis().clamp(1, u128::from(u32::MAX)) as u32;
        self.client.request(method, url).timeout(Millis(timeout_ms))
    }

    /// Sends a request and returns once the head of the answer is here; the
    /// timeout bounds that, not the body.
    ///
    /// # Errors
    /// No head of an answer within the timeout.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&'static str, &str)],
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<ClientResponse, SendError> {
        let mut request = self.request(method, url, timeout);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request
            .send_body(body)
            .await
            .map_err(|error| classify(&error))
    }

    /// Sends a request and reads the whole answer, whatever its status.
    ///
    /// # Errors
    /// No whole answer within the timeout.
    pub async fn fetch(
        &self,
        method: Method,
        url: &str,
        headers: &[(&'static str, &str)],
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<TextResponse, SendError> {
        let (status, bytes) = self
            .fetch_bytes(method, url, headers, body, timeout)
            .await?;
        Ok(TextResponse {
            status,
            body: String::from_utf8_lossy(&bytes).into_owned(),
        })
    }

    async fn fetch_bytes(
        &self,
        method: Method,
        url: &str,
        headers: &[(&'static str, &str)],
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<(u16, Vec<u8>), SendError> {
        let whole = async {
            let response = self.send(method, url, headers, body, timeout).await?;
            let status = response.status().as_u16();
            let bytes = response.body().await;
            let bytes = bytes.map_err(|error| SendError::Unknown(error.to_string()))?;
            Ok((status, bytes.to_vec()))
        };
        match ntex::time::timeout(timeout, whole).await {
            Ok(result) => result,
            Err(()) => Err(SendError::Unknown("timed out".to_owned())),
        }
    }

    /// Reads JSON.
    ///
    /// # Errors
    /// No answer, an error status, or not the expected JSON.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        url: &str,
        timeout: Duration,
    ) -> Result<T, SendError> {
        decode(
            self.fetch(Method::GET, url, &[], Vec::new(), timeout)
                .await?,
        )
    }

    /// Sends JSON and reads JSON.
    ///
    /// # Errors
    /// No answer, an error status, or not the expected JSON.
    pub async fn post_json<B: Serialize, T: DeserializeOwned>(
        &self,
        url: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<T, SendError> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        let headers = [("content-type", "application/json")];
        decode(
            self.fetch(Method::POST, url, &headers, body, timeout)
                .await?,
        )
    }

    /// Sends and reads messages between the project's own processes.
    ///
    /// # Errors
    /// No answer, an error status, or an answer that does not decode.
    pub async fn post_binary<B: nanoserde::SerBin, T: nanoserde::DeBin>(
        &self,
        url: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<T, SendError> {
        let body = body.serialize_bin();
        let (status, bytes) = self
            .fetch_bytes(Method::POST, url, &[], body, timeout)
            .await?;
        if status != 200 {
            let body = String::from_utf8_lossy(&bytes).into_owned();
            return Err(SendError::Status { status, body });
        }
        T::deserialize_bin(&bytes).map_err(|error| SendError::Unknown(error.to_string()))
    }
}

fn decode<T: DeserializeOwned>(reply: TextResponse) -> Result<T, SendError> {
    if !(200..300).contains(&reply.status) {
        return Err(SendError::Status {
            status: reply.status,
            body: reply.body,
        });
    }
    serde_json::from_str(&reply.body).map_err(|error| SendError::Unknown(error.to_string()))
}

fn classify(error: &ClientError) -> SendError {
    match error {
        // The connector reports a connection that was lost after it came about
        // in the same kind, so only the two kinds that cannot be that count.
        ClientError::Connect(ConnectError::Resolver(_) | ConnectError::Timeout) => {
            SendError::NotSent(error.to_string())
        }
        ClientError::Connect(ConnectError::Disconnected(Some(cause)))
            if cause.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            SendError::NotSent(error.to_string())
        }
        _ => SendError::Unknown(error.to_string()),
    }
}
