//! HTTP client whose errors tell whether the request may have run.

use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientRequest, ClientResponse, Connector};
use ntex::http::Method;
use ntex::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ntex::time::Millis;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;
use std::time::Duration;

/// Maximum size of a response body that is read completely, in bytes, unless a
/// [lower one](HttpClient::with_max_response) is set.
const MAX_RESPONSE_BYTES: usize = 256 << 20;
const KEEP_ALIVE_SECONDS: u16 = 10;
/// More connections than a process can open, so in effect no limit. The library's own value for "no
/// limit", 0, must not be used: with it, a request that is made while another connection to the
/// same address is being opened waits forever (ntex 3.12, `client/pool.rs`: waiters are only woken
/// while `acquired < limit`).
const MAX_CONNECTIONS: usize = 1 << 20;

/// Why a request got no successful response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection was established, so the request was not sent.
    NotSent(String),
    /// The request may have run, but no valid response was received.
    Unknown(String),
    /// The server responded with an error status.
    Status {
        /// HTTP status.
        status: u16,
        /// Response body.
        body: String,
    },
}

impl fmt::Display for SendError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => {
                write!(
                    formatter,
                    "connection failed ({cause}); check that the server process is running"
                )
            }
            Self::Unknown(cause) => {
                write!(
                    formatter,
                    "no response ({cause}); the request may have been executed, try again"
                )
            }
            Self::Status { status, body } => write!(formatter, "status {status}: {body}"),
        }
    }
}

impl std::error::Error for SendError {}

/// Response whose body was read completely, as text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextResponse {
    /// HTTP status.
    pub status: u16,
    /// Response body; invalid UTF-8 is replaced.
    pub body: String,
}

/// HTTP client with pooled connections. Each thread needs its own.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
    max_response_bytes: usize,
}

impl HttpClient {
    /// Creates a client without a limit on the number of connections. If it cannot be built, the
    /// library's default client is used, which has other limits and timeouts.
    pub async fn new() -> Self {
        let connector = Connector::new()
            .limit(MAX_CONNECTIONS)
            .keep_alive(ntex::time::Seconds(KEEP_ALIVE_SECONDS));
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_timeout()
            .disable_redirects()
            .response_payload_limit(MAX_RESPONSE_BYTES)
            .build(SharedCfg::default())
            .await;
        let client = match client {
            Ok(client) => client,
            Err(_) => Client::new().await,
        };
        Self {
            client,
            max_response_bytes: MAX_RESPONSE_BYTES,
        }
    }

    /// Returns a client on the same connections that reads response bodies of at most this size, in
    /// bytes. A larger one is an error.
    pub fn with_max_response(&self, bytes: usize) -> Self {
        Self {
            client: self.client.clone(),
            max_response_bytes: bytes,
        }
    }

    fn request(&self, method: Method, url: &str, timeout: Duration) -> ClientRequest {
        let timeout_ms = timeout.as_millis().clamp(1, u128::from(u32::MAX)) as u32;
        self.client.request(method, url).timeout(Millis(timeout_ms))
    }

    /// Sends a request and returns as soon as the response head is received. The timeout does not
    /// cover the response body.
    ///
    /// # Errors
    /// No response head was received within the timeout, or none that tells where the body ends.
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
        let response = request.send_body(body).await;
        let response = response.map_err(|error| classify_error(&error))?;
        if !(200..600).contains(&response.status().as_u16()) {
            let cause = "the status is not one of 200 to 599";
            return Err(SendError::Unknown(cause.to_owned()));
        }
        if !is_framed(&response) {
            let cause = "the response has no length";
            return Err(SendError::Unknown(cause.to_owned()));
        }
        Ok(response)
    }

    /// Sends a request and reads the complete response, whatever its status.
    ///
    /// # Errors
    /// No complete response was received within the timeout.
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
        let exchange = async {
            let response = self.send(method, url, headers, body, timeout).await?;
            let status = response.status().as_u16();
            let bytes = response.body().limit(self.max_response_bytes).await;
            let bytes = bytes.map_err(|error| SendError::Unknown(error.to_string()))?;
            Ok((status, bytes.to_vec()))
        };
        match ntex::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(()) => Err(SendError::Unknown("timed out".to_owned())),
        }
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    /// No response, an error status, or a body that cannot be decoded.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        url: &str,
        timeout: Duration,
    ) -> Result<T, SendError> {
        decode_json(
            self.fetch(Method::GET, url, &[], Vec::new(), timeout)
                .await?,
        )
    }

    /// Sends a POST request with a JSON body and decodes the JSON response.
    ///
    /// # Errors
    /// No response, an error status, or a body that cannot be decoded.
    pub async fn post_json<B: Serialize, T: DeserializeOwned>(
        &self,
        url: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<T, SendError> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        let headers = [("content-type", "application/json")];
        decode_json(
            self.fetch(Method::POST, url, &headers, body, timeout)
                .await?,
        )
    }

    /// Sends a POST request in the binary encoding that the project's processes use among
    /// themselves, and decodes the response.
    ///
    /// # Errors
    /// No response, an error status, or a body that cannot be decoded.
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

/// Whether the head tells where the body ends. The library takes a body that ends with the connection
/// for an empty one, also with a transfer coding that it does not know.
fn is_framed(response: &ClientResponse) -> bool {
    let headers = response.headers();
    let has_no_body = matches!(response.status().as_u16(), 204 | 304);
    let coding = headers.get(TRANSFER_ENCODING);
    has_no_body
        || match coding {
            Some(coding) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
            None => headers.contains_key(CONTENT_LENGTH),
        }
}

fn decode_json<T: DeserializeOwned>(response: TextResponse) -> Result<T, SendError> {
    if !(200..300).contains(&response.status) {
        return Err(SendError::Status {
            status: response.status,
            body: response.body,
        });
    }
    serde_json::from_str(&response.body).map_err(|error| SendError::Unknown(error.to_string()))
}

fn classify_error(error: &ClientError) -> SendError {
    match error {
        ClientError::Connect(ConnectError::Resolver(_) | ConnectError::Timeout) => {
            SendError::NotSent(error.to_string())
        }
        // `Disconnected` also covers connections that were lost after they were established, so
        // it counts as not sent only if the connection was refused.
        ClientError::Connect(ConnectError::Disconnected(Some(cause)))
            if cause.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            SendError::NotSent(error.to_string())
        }
        _ => SendError::Unknown(error.to_string()),
    }
}
