//! Reads and appends streams of the platform's log.

use crate::node::Node;
use fieldhook_http::SendError;
use fieldhook_model::platform::{AppendResponse, LogPage};
use ntex::http::Method;
use std::time::Duration;

const APPEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a read may take in addition to the time it waits for records.
const READ_MARGIN: Duration = Duration::from_secs(3);

fn record_answer<T>(node: &Node, result: &Result<T, SendError>) {
    if result.is_ok() {
        node.log_health.record_answer();
    }
}

/// Appends a record and returns its offset.
///
/// # Errors
/// The append was not acknowledged. The record may still have been appended, unless the error is
/// [`SendError::NotSent`].
pub async fn append(node: &Node, stream: &str, data: String) -> Result<u64, SendError> {
    let url = format!("http://{}/v1/streams/{stream}", node.settings.platform.log);
    let response = node
        .client
        .fetch(Method::POST, &url, &[], data.into_bytes(), APPEND_TIMEOUT)
        .await?;
    let appended = serde_json::from_str::<AppendResponse>(&response.body)
        .map(|appended| appended.offset)
        .map_err(|_| SendError::Status {
            status: response.status,
            body: response.body,
        });
    record_answer(node, &appended);
    appended
}

/// Reads records from an offset on. If there are none, waits up to `wait_ms` for new ones.
///
/// # Errors
/// The log did not return a page.
pub async fn read(
    node: &Node,
    stream: &str,
    from: u64,
    wait_ms: u64,
) -> Result<LogPage, SendError> {
    let log = &node.settings.platform.log;
    let url = format!("http://{log}/v1/streams/{stream}?from={from}&wait_ms={wait_ms}");
    let timeout = Duration::from_millis(wait_ms) + READ_MARGIN;
    let page = node.client.get_json(&url, timeout).await;
    record_answer(node, &page);
    page
}
