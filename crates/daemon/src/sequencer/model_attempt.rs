//! A single attempt of a model call: starts a stream on an engine, resumes it after a broken
//! connection, or takes over a stream that a previous owner started.

use crate::sequencer::attempt::{AttemptEnd, RunningCall};
use fieldhook_http::{SendError, SseDecoder};
use fieldhook_model::api::{ModelCall, Usage};
use fieldhook_model::platform::{GenerateEvent, GenerateRequest};
use fieldhook_program::Attempt;
use futures_util::StreamExt;
use ntex::client::ClientResponse;
use ntex::http::Method;
use ntex::time::{Millis, sleep, timeout};
use std::time::Duration;

const RESUME_TIMEOUT: Duration = Duration::from_secs(1);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long to wait for gateways to report the text that they delivered under the previous owner.
const DELIVERED_TEXT_WAIT: Millis = Millis(1_000);
const DELIVERED_TEXT_POLL_INTERVAL: Millis = Millis(20);

/// How this daemon starts an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStart {
    /// The attempt has not been dispatched yet.
    New,
    /// A previous owner may have dispatched the attempt.
    TakenOver,
}

/// How reading a stream ended.
enum ReadEnd {
    Complete(Usage),
    Broken,
    /// The text is longer than an answer may be.
    TooLong,
}

/// Runs an attempt of a model call.
pub async fn run(
    call: &RunningCall,
    model: &ModelCall,
    attempt: &Attempt,
    start: AttemptStart,
) -> AttemptEnd {
    let response = match start {
        AttemptStart::New => generate(call, model, attempt).await,
        AttemptStart::TakenOver => take_over_stream(call, attempt).await,
    };
    let mut response = match response {
        Ok(response) => response,
        Err(end) => return end,
    };
    if start == AttemptStart::New || call.live.lineage() == 0 {
        call.live.start(attempt.lineage, &attempt.prefix);
    }
    loop {
        match read_events(call, &mut response).await {
            ReadEnd::Complete(usage) => {
                let content = call.live.text().clone();
                return AttemptEnd::Answered {
                    status: 200,
                    content,
                    usage,
                };
            }
            ReadEnd::TooLong => {
                tracing::warn!(
                    event = "answer_too_long",
                    program = %call.program,
                    call = call.number,
                    engine = attempt.target,
                    bytes = call.live.text().len()
                );
                cancel(call, attempt);
                return AttemptEnd::TooLong;
            }
            ReadEnd::Broken => match resume(call, attempt).await {
                Ok(resumed) => response = resumed,
                Err(end) => return end,
            },
        }
    }
}

fn stream_name(call: &RunningCall, attempt: &Attempt) -> String {
    format!("{}.{}.{}", call.program, call.number, attempt.number)
}

fn count_words(text: &str) -> u32 {
    text.split_whitespace().count() as u32
}

async fn generate(
    call: &RunningCall,
    model: &ModelCall,
    attempt: &Attempt,
) -> Result<ClientResponse, AttemptEnd> {
    // Subtracts the number of words in the prefix. A word has at least one token, so the output is
    // never cut off too early.
    let remaining = model
        .max_tokens
        .saturating_sub(count_words(&attempt.prefix));
    if remaining == 0 {
        call.live.start(attempt.lineage, &attempt.prefix);
        let content = attempt.prefix.clone();
        return Err(AttemptEnd::Answered {
            status: 200,
            content,
            usage: Usage::default(),
        });
    }
    let messages = call.host.state.borrow().prompt(call.program, call.number);
    let request = GenerateRequest {
        stream: stream_name(call, attempt),
        program: call.program.to_string(),
        model: model.model.clone(),
        messages: messages.unwrap_or_default(),
        max_tokens: remaining,
        priority: call.priority,
        continues: !attempt.prefix.is_empty(),
    };
    let body = serde_json::to_vec(&request).unwrap_or_default();
    // Checked right before sending, in case the process was paused and lost the shard.
    if !call.confirm_running().await {
        return Err(AttemptEnd::OwnershipLost);
    }
    let url = format!("http://{}/v1/generate", attempt.target);
    let headers = [("content-type", "application/json")];
    let limit = call.node.settings.limits.first_token();
    match call
        .node
        .client
        .send(Method::POST, &url, &headers, body, limit)
        .await
    {
        Ok(response) if response.status().is_success() => Ok(response),
        Ok(_) | Err(SendError::NotSent(_) | SendError::Status { .. }) => Err(AttemptEnd::NotRun),
        Err(SendError::Unknown(_)) => {
            cancel(call, attempt);
            Err(AttemptEnd::MayHaveRun)
        }
    }
}

/// Opens the stream that a previous owner started. If the engine no longer has it, waits for
/// gateways to report the text that they have delivered, so that the next attempt can continue it.
async fn take_over_stream(
    call: &RunningCall,
    attempt: &Attempt,
) -> Result<ClientResponse, AttemptEnd> {
    match open_stream(call, attempt, 0).await {
        Some(response) => Ok(response),
        None => {
            let mut waited = Millis(0);
            while call.live.delivered().is_none() && waited.0 < DELIVERED_TEXT_WAIT.0 {
                sleep(DELIVERED_TEXT_POLL_INTERVAL).await;
                waited = Millis(waited.0 + DELIVERED_TEXT_POLL_INTERVAL.0);
            }
            if call.confirm_running().await {
                Err(AttemptEnd::MayHaveRun)
            } else {
                Err(AttemptEnd::OwnershipLost)
            }
        }
    }
}

/// Opens the stream again after the connection was lost, at the end of the text received so far.
async fn resume(call: &RunningCall, attempt: &Attempt) -> Result<ClientResponse, AttemptEnd> {
    if !call.confirm_running().await {
        return Err(AttemptEnd::OwnershipLost);
    }
    let from = call.live.text().len() - attempt.prefix.len();
    match open_stream(call, attempt, from).await {
        Some(response) => Ok(response),
        None => {
            cancel(call, attempt);
            Err(AttemptEnd::MayHaveRun)
        }
    }
}

async fn open_stream(call: &RunningCall, attempt: &Attempt, from: usize) -> Option<ClientResponse> {
    let stream = stream_name(call, attempt);
    let url = format!("http://{}/v1/streams/{stream}?from={from}", attempt.target);
    let client = &call.node.client;
    let response = client
        .send(Method::GET, &url, &[], Vec::new(), RESUME_TIMEOUT)
        .await
        .ok()?;
    response.status().is_success().then_some(response)
}

async fn read_events(call: &RunningCall, response: &mut ClientResponse) -> ReadEnd {
    let limits = &call.node.settings.limits;
    let mut decoder = SseDecoder::default();
    let mut limit = limits.first_token();
    loop {
        let Ok(Some(Ok(chunk))) = timeout(limit, response.next()).await else {
            return ReadEnd::Broken;
        };
        let Ok(events) = decoder.push(&chunk) else {
            return ReadEnd::Broken;
        };
        for event in events {
            match serde_json::from_str(&event.data) {
                Ok(GenerateEvent::Text(text)) => {
                    // The answer becomes part of the history, as a request of that size could.
                    if call.live.text().len() + text.len() > limits.body_bytes {
                        return ReadEnd::TooLong;
                    }
                    call.live.push(&text);
                }
                Ok(GenerateEvent::Done(usage)) => return ReadEnd::Complete(usage),
                Err(_) => return ReadEnd::Broken,
            }
        }
        limit = limits.stall();
    }
}

/// Cancels an abandoned stream to free its capacity on the engine. If the request is lost, the
/// stream runs to its end, and its memory is released when the program ends.
fn cancel(call: &RunningCall, attempt: &Attempt) {
    let client = call.node.client.clone();
    let url = format!(
        "http://{}/v1/streams/{}",
        attempt.target,
        stream_name(call, attempt)
    );
    ntex::rt::spawn(async move {
        let _ = client
            .fetch(Method::DELETE, &url, &[], Vec::new(), CANCEL_TIMEOUT)
            .await;
    });
}
