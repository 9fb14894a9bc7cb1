//! HTTP access to daemons and to the platform's log.

use crate::arguments::Arguments;
use crate::error::ClientError;
use crate::output::OutputFormat;
use fieldhook_http::HttpClient;
use fieldhook_model::operator::{ConfigStatus, Status};
use fieldhook_model::platform::{LogPage, LogRecord};
use ntex::http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Time limit of a request.
const TIMEOUT: Duration = Duration::from_secs(10);

/// HTTP client with the addresses of the daemon and the log, and the output format of the results.
pub struct Connection {
    client: HttpClient,
    daemon: String,
    log: String,
    /// Output format.
    pub format: OutputFormat,
}

impl Connection {
    /// Creates a connection from the command-line arguments.
    pub async fn new(arguments: &Arguments) -> Self {
        Self {
            client: HttpClient::new().await,
            daemon: arguments.daemon.clone(),
            log: arguments.log.clone(),
            format: OutputFormat::parse(&arguments.output),
        }
    }

    /// Sends a GET request to the daemon given on the command line.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.get_from(&self.daemon, path).await
    }

    /// Sends a GET request to the daemon with the given address.
    pub async fn get_from<T: DeserializeOwned>(
        &self,
        daemon: &str,
        path: &str,
    ) -> Result<T, ClientError> {
        Ok(self
            .client
            .get_json(&format!("http://{daemon}{path}"), TIMEOUT)
            .await?)
    }

    /// Sends a DELETE request to the daemon given on the command line.
    pub async fn delete(&self, path: &str) -> Result<(), ClientError> {
        let url = format!("http://{}{path}", self.daemon);
        let response = self
            .client
            .fetch(Method::DELETE, &url, &[], Vec::new(), TIMEOUT)
            .await?;
        if response.status == 200 {
            return Ok(());
        }
        Err(ClientError::Refused(response.body))
    }

    /// Returns the status as known to the daemon given on the command line.
    pub async fn status(&self) -> Result<Status, ClientError> {
        self.get("/v1/status").await
    }

    /// Returns the configuration in use at the daemon given on the command line.
    pub async fn config(&self) -> Result<ConfigStatus, ClientError> {
        self.get("/v1/config").await
    }

    /// Appends a record to a stream of the log. After an error the record may still have been
    /// appended.
    pub async fn append<T: Serialize>(&self, stream: &str, record: &T) -> Result<(), ClientError> {
        let url = format!("http://{}/v1/streams/{stream}", self.log);
        let body = serde_json::to_vec(record).unwrap_or_default();
        let response = self
            .client
            .fetch(Method::POST, &url, &[], body, TIMEOUT)
            .await?;
        if response.status == 200 {
            return Ok(());
        }
        Err(ClientError::Unreachable(format!(
            "the log answered {}: {}",
            response.status, response.body
        )))
    }

    /// Reads a stream from its start to its end.
    pub async fn read_stream(&self, stream: &str) -> Result<Vec<LogRecord>, ClientError> {
        let mut records = Vec::new();
        loop {
            let from = records.len();
            let url = format!("http://{}/v1/streams/{stream}?from={from}", self.log);
            let page: LogPage = self.client.get_json(&url, TIMEOUT).await?;
            let at_end = page.records.is_empty() || (from + page.records.len()) as u64 >= page.end;
            records.extend(page.records);
            if at_end {
                return Ok(records);
            }
        }
    }
}
