//! Reads and validates requests of callers.

use crate::node::{Node, Phase};
use fieldhook_http::json;
use fieldhook_model::error::{CallError, ErrorKind};
use fieldhook_model::ids::ProgramId;
use futures_util::StreamExt;
use ntex::web::{HttpResponse, types};
use serde::de::DeserializeOwned;

const MAX_KEY_LENGTH: usize = 128;
const NOT_READY_RETRY_MS: u64 = 500;

/// Builds an error response and counts the error.
pub fn error_response(node: &Node, error: &CallError) -> HttpResponse {
    node.metrics.errors.inc();
    json(error.status(), error)
}

/// Creates an error for an invalid request.
pub fn invalid_request(remedy: impl Into<String>) -> CallError {
    CallError::not_run(ErrorKind::InvalidRequest, remedy)
}

/// Checks that this daemon admits new work.
///
/// # Errors
/// It does not; the caller should use another daemon.
pub fn check_admission(node: &Node) -> Result<(), CallError> {
    if node.may_admit() {
        return Ok(());
    }
    let remedy = match node.phase() {
        Phase::Starting => "retry shortly or use another daemon; this one is starting",
        Phase::Draining => "use another daemon; this one is stopping",
        Phase::Serving => {
            "use another daemon; this one has lost contact with the log and its peers"
        }
    };
    Err(CallError::not_run(ErrorKind::NotReady, remedy).retry_after(NOT_READY_RETRY_MS))
}

/// Reads a JSON body of at most `limits.body_bytes`.
///
/// # Errors
/// The body is too large, incomplete or invalid.
pub async fn read_json<T: DeserializeOwned>(
    node: &Node,
    mut payload: types::Payload,
) -> Result<T, CallError> {
    let limit = node.settings.limits.body_bytes;
    let mut body = Vec::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| invalid_request("send the whole body"))?;
        if body.len() + chunk.len() > limit {
            return Err(CallError::not_run(
                ErrorKind::BodyTooLarge,
                format!("send at most {limit} bytes; fieldhook keeps the history"),
            ));
        }
        body.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&body)
        .map_err(|error| invalid_request(format!("correct the JSON body (docs/API.md): {error}")))
}

/// Parses a program identifier from a path.
///
/// # Errors
/// The identifier is malformed, or its shard does not exist.
pub fn parse_program(node: &Node, text: &str) -> Result<ProgramId, CallError> {
    let parsed = text.parse::<ProgramId>().ok();
    parsed
        .filter(|id| id.shard < node.settings.shards)
        .ok_or_else(|| {
            CallError::not_run(
                ErrorKind::ProgramUnknown,
                "use the identifier that POST /v1/programs returned",
            )
        })
}

/// Validates a request key.
///
/// # Errors
/// The key is empty, too long, or contains characters that would have to be escaped in a path.
pub fn check_key(key: &str) -> Result<(), CallError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if key.is_empty() || key.len() > MAX_KEY_LENGTH || !key.bytes().all(is_allowed) {
        return Err(invalid_request(format!(
            "use a request_key of 1 to {MAX_KEY_LENGTH} letters, digits, '-', '_' or '.'"
        )));
    }
    Ok(())
}
