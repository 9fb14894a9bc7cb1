//! One attempt of a request to a tool or application server.
//!
//! A request that is not repeatable is sent at most once after its intent. If
//! its answer is lost, the server is asked by request key where it offers that;
//! otherwise the outcome stays unknown.

use crate::sequencer::attempt::{AttemptEnd, RunningCall};
use crate::sequencer::model_attempt::Start;
use fieldhook_http::SendError;
use fieldhook_model::api::{ServerCall, Usage};
use fieldhook_model::platform::{Execution, REQUEST_KEY_HEADER};
use fieldhook_program::Attempt;
use ntex::http::Method;
use ntex::time::{Millis, sleep};
use std::time::Duration;

const LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);
const LOOKUP_TRIES: u32 = 5;
const LOOKUP_PAUSE: Millis = Millis(200);

/// Runs the attempt.
pub async fn run(
    call: &RunningCall,
    server: &ServerCall,
    attempt: &Attempt,
    start: Start,
) -> AttemptEnd {
    call.live.start(attempt.lineage, "");
    if start == Start::TakeOver {
        return settle_lost(call, attempt).await;
    }
    // The last look before the request leaves: a frozen owner wakes here.
    if !call.may_act().await {
        return AttemptEnd::Deposed;
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
    match call
        .node
        .client
        .fetch(Method::POST, &url, &headers, body, limit)
        .await
    {
        Ok(reply) => answered(call, reply.status, reply.body),
        Err(SendError::NotSent(_)) => AttemptEnd::NotRun,
        Err(_) => settle_lost(call, attempt).await,
    }
}

/// Key by which the server tells requests apart, unique among programs.
fn server_key(call: &RunningCall) -> String {
    format!("{}.{}", call.program, call.request_key)
}

fn answered(call: &RunningCall, status: u16, content: String) -> AttemptEnd {
    call.live.push(&content);
    AttemptEnd::Answered {
        status,
        content,
        usage: Usage::default(),
    }
}

async fn settle_lost(call: &RunningCall, attempt: &Attempt) -> AttemptEnd {
    if call.repeatable {
        return if call.may_act().await {
            AttemptEnd::Lost
        } else {
            AttemptEnd::Deposed
        };
    }
    let url = format!(
        "http://{}/v1/executions/{}",
        attempt.target,
        server_key(call)
    );
    for _ in 0..LOOKUP_TRIES {
        let reply = call
            .node
            .client
            .fetch(Method::GET, &url, &[], Vec::new(), LOOKUP_TIMEOUT)
            .await;
        match reply {
            Ok(reply) if reply.status == 200 => {
                if let Ok(execution) = serde_json::from_str::<Execution>(&reply.body) {
                    return answered(call, 200, execution.answer);
                }
            }
            // Not offered: asking again changes nothing.
            Ok(reply) if reply.status != 404 => return AttemptEnd::Unknown,
            // Not seen yet: it may still be on its way or at work.
            _ => {}
        }
        sleep(LOOKUP_PAUSE).await;
    }
    AttemptEnd::Unknown
}
