//! A single attempt of a request to a tool or application server.
//!
//! A request that is not retryable is recorded first and then sent at most once. If its response is
//! lost, the result is looked up at the server by request key, if the server supports that.
//! Otherwise the outcome is unknown.

use crate::sequencer::attempt::{AttemptEnd, RunningCall};
use crate::sequencer::model_attempt::AttemptStart;
use fieldhook_http::{HttpClient, SendError};
use fieldhook_model::api::{ServerCall, Usage};
use fieldhook_model::platform::{Execution, REQUEST_KEY_HEADER};
use fieldhook_program::Attempt;
use ntex::http::Method;
use ntex::time::{Millis, sleep};
use std::time::Duration;

const LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_LOOKUPS: u32 = 5;
const LOOKUP_INTERVAL: Millis = Millis(200);

/// Runs an attempt of a server call.
pub async fn run(
    call: &RunningCall,
    server: &ServerCall,
    attempt: &Attempt,
    start: AttemptStart,
) -> AttemptEnd {
    call.live.start(attempt.lineage, "");
    if start == AttemptStart::TakenOver {
        return resolve_lost_response(call, attempt).await;
    }
    // Checked right before sending, in case the process was paused and lost the shard.
    if !call.confirm_running().await {
        return AttemptEnd::OwnershipLost;
    }
    let key = server_key(call);
    let url = format!(
        "http://{}/call/{}",
        attempt.target,
        server.path.trim_start_matches('/')
    );
    let headers = [
        (REQUEST_KEY_HEADER, key.as_str()),
        ("content-type", "application/json"),
    ];
    let limit = call.node.settings.limits.server_timeout();
    let body = server.body.clone().into_bytes();
    let client = server_client(call);
    match client
        .fetch(Method::POST, &url, &headers, body, limit)
        .await
    {
        Ok(response) => complete(call, response.status, response.body),
        Err(SendError::NotSent(_)) => AttemptEnd::NotRun,
        Err(_) => resolve_lost_response(call, attempt).await,
    }
}

/// Client for servers, whose responses may be as large as a caller's request.
fn server_client(call: &RunningCall) -> HttpClient {
    let node = &call.node;
    node.client
        .with_max_response(node.settings.limits.body_bytes)
}

/// Idempotency key of the request, unique among all programs.
fn server_key(call: &RunningCall) -> String {
    format!("{}.{}", call.program, call.request_key)
}

fn complete(call: &RunningCall, status: u16, content: String) -> AttemptEnd {
    call.live.push(&content);
    AttemptEnd::Answered {
        status,
        content,
        usage: Usage::default(),
    }
}

/// Determines how an attempt ended if its response was lost or a previous owner of the shard sent
/// it.
async fn resolve_lost_response(call: &RunningCall, attempt: &Attempt) -> AttemptEnd {
    if call.repeatable {
        return if call.confirm_running().await {
            AttemptEnd::MayHaveRun
        } else {
            AttemptEnd::OwnershipLost
        };
    }
    let url = format!(
        "http://{}/v1/executions/{}",
        attempt.target,
        server_key(call)
    );
    let client = server_client(call);
    for _ in 0..MAX_LOOKUPS {
        let response = client
            .fetch(Method::GET, &url, &[], Vec::new(), LOOKUP_TIMEOUT)
            .await;
        match response {
            Ok(response) if response.status == 200 => {
                if let Ok(execution) = serde_json::from_str::<Execution>(&response.body) {
                    return complete(call, 200, execution.answer);
                }
            }
            // The server does not support the lookup.
            Ok(response) if response.status != 404 => return AttemptEnd::OutcomeUnknown,
            // Not known to the server, which may not have received it or may still be executing it.
            _ => {}
        }
        sleep(LOOKUP_INTERVAL).await;
    }
    AttemptEnd::OutcomeUnknown
}
