//! Serves requests whose response is read completely before it is sent to the client, so that an
//! attempt that fails midway can be retried if the request allows it. A response too large to
//! buffer is forwarded as it arrives.

use super::attempt::{self, Attempt, AttemptHistory, DispatchFailure};
use super::dispatch::{Continuation, dispatch};
use super::local_response::LocalResponse;
use super::request::{ConnectionAction, RequestContext};
use super::retry::RetryState;
use super::writer::ClientWriter;
use crate::http::body::{Framing, Piece};
use crate::http::write::{LAST_CHUNK, ResponseFraming, chunk, response_head};
use crate::memory::MemoryAccount;
use crate::upstream::connection::ExchangeError;
use bytes::{Bytes, BytesMut};
use fieldhook_traffic::attempt::AttemptFailure;
use fieldhook_traffic::buffer_memory::Purpose;
use tokio::time::{Instant, timeout, timeout_at};

/// A complete response.
pub struct BufferedResponse {
    /// Attempt that received it.
    pub attempt: Attempt,
    /// Response body.
    pub body: Bytes,
    /// Accounts for the memory of the body.
    pub memory_account: MemoryAccount,
}

/// A response that is too large to buffer.
struct PartialResponse {
    attempt: Attempt,
    /// Part of the body received so far.
    received: BytesMut,
    memory_account: MemoryAccount,
}

/// A response that was read completely or in part.
enum ReadResponse {
    Complete(BufferedResponse),
    Partial(PartialResponse),
}

/// Serves a request with a buffered response.
pub async fn serve(context: &RequestContext, writer: &mut ClientWriter) -> ConnectionAction {
    let outcome = timeout_at(context.deadline, run_attempts(context)).await;
    match outcome {
        Ok(Ok(ReadResponse::Complete(response))) => forward(context, response, writer).await,
        Ok(Ok(ReadResponse::Partial(response))) => {
            forward_remainder(context, response, writer).await
        }
        Ok(Err(response)) => context.respond(response, writer).await,
        Err(_) => {
            context
                .respond(LocalResponse::new(504, "no answer in time"), writer)
                .await
        }
    }
}

async fn run_attempts(context: &RequestContext) -> Result<ReadResponse, LocalResponse> {
    let mut retry = RetryState::default();
    loop {
        match attempt_with_timeout(context, &mut retry).await {
            Ok(response) => return Ok(response),
            Err(failure) => retry.handle_failure(context, failure).await?,
        }
    }
}

/// Makes an attempt, and abandons it if the response is overdue and another attempt is allowed.
async fn attempt_with_timeout(
    context: &RequestContext,
    retry: &mut RetryState,
) -> Result<ReadResponse, DispatchFailure> {
    let limit = retry.attempt_timeout(context);
    let started = Instant::now();
    let attempt = attempt(context, &mut retry.history);
    let outcome = match limit {
        Some(limit) => timeout(limit, attempt).await,
        None => Ok(attempt.await),
    };
    let Ok(outcome) = outcome else {
        return Err(attempt::record_timeout(
            context,
            &retry.history,
            started.elapsed(),
        ));
    };
    if outcome.is_ok() {
        let times = &context.daemon.response_times;
        times.observe(&context.entry.route.name, started.elapsed());
    }
    outcome
}

async fn attempt(
    context: &RequestContext,
    history: &mut AttemptHistory,
) -> Result<ReadResponse, DispatchFailure> {
    let attempt = dispatch(context, history, Continuation::default()).await?;
    match read_response(context, attempt).await {
        Ok(response) => Ok(response),
        Err((attempt, error)) => {
            attempt.fail(context, error).await;
            Err(DispatchFailure::Attempt(AttemptFailure::MayHaveRun))
        }
    }
}

/// Reads a response completely, or until it exceeds the buffer limit.
async fn read_response(
    context: &RequestContext,
    mut attempt: Attempt,
) -> Result<ReadResponse, (Attempt, ExchangeError)> {
    let memory = &context.daemon.memory;
    let memory_account = memory.open(Purpose::InProgress);
    let mut body = BytesMut::new();
    loop {
        let next = attempt.connection.next_piece(&mut attempt.response.body);
        match next.await {
            Ok(Piece::Data(data)) => {
                body.extend_from_slice(&data);
                let is_large = body.len() > memory.limits.connection_bytes;
                if is_large || memory_account.grow(data.len()).is_err() {
                    let received = body;
                    let response = PartialResponse {
                        attempt,
                        received,
                        memory_account,
                    };
                    return Ok(ReadResponse::Partial(response));
                }
            }
            Ok(Piece::End) => {
                let body = body.freeze();
                let response = BufferedResponse {
                    attempt,
                    body,
                    memory_account,
                };
                return Ok(ReadResponse::Complete(response));
            }
            Ok(Piece::Incomplete) => {}
            Err(error) => return Err((attempt, error)),
        }
    }
}

/// Reads a response completely, for callers that cannot forward it in any other way.
///
/// # Errors
/// The response ended early or is too large.
pub async fn read_complete(
    context: &RequestContext,
    attempt: Attempt,
) -> Result<BufferedResponse, (Attempt, ExchangeError)> {
    match read_response(context, attempt).await? {
        ReadResponse::Complete(response) => Ok(response),
        ReadResponse::Partial(response) => Err((response.attempt, ExchangeError::InvalidResponse)),
    }
}

/// Encodes the head of a server response as sent to the client.
fn forwarded_head(context: &RequestContext, attempt: &Attempt, body: ResponseFraming) -> Vec<u8> {
    let head = &attempt.response.head;
    let mut headers = head.headers.clone();
    headers.remove_hop_by_hop_fields();
    headers.remove("content-length");
    let close = context.daemon.closes_connections();
    response_head(head.status, &head.reason, &headers, body, close)
}

/// Sends a complete server response to the client.
pub async fn forward(
    context: &RequestContext,
    response: BufferedResponse,
    writer: &mut ClientWriter,
) -> ConnectionAction {
    let length = ResponseFraming::Length(response.body.len());
    let mut bytes = forwarded_head(context, &response.attempt, length);
    bytes.extend_from_slice(&response.body);
    drop(response.body);
    record_answered(context, &response.attempt);
    response.attempt.finish(context);
    match writer
        .write_accounted(&bytes, &response.memory_account)
        .await
    {
        Ok(()) => ConnectionAction::KeepOpen,
        Err(_) => ConnectionAction::Abort,
    }
}

/// Logs that the rest of a response is not read because its deadline has passed.
fn log_cut(context: &RequestContext, attempt: &Attempt) {
    let metrics = &context.daemon.metrics;
    metrics.responses.with_label_values(&["0"]).inc();
    tracing::info!(
        event = "answer_cut",
        request = context.meta.id,
        program = context.meta.program,
        server = attempt.server.id,
        cause = "no whole answer in time",
        age_ms = context.age_ms()
    );
}

/// Forwards a server response as it arrives. No other attempt is possible from here on, because the
/// client has received the beginning of the response.
async fn forward_remainder(
    context: &RequestContext,
    response: PartialResponse,
    writer: &mut ClientWriter,
) -> ConnectionAction {
    let PartialResponse {
        mut attempt,
        received,
        memory_account,
    } = response;
    let framing = attempt.response.body.framing();
    let body = match framing {
        Framing::Length(length) => ResponseFraming::Length(length as usize),
        _ => ResponseFraming::Chunked,
    };
    record_answered(context, &attempt);
    let mut sent = writer.send(&forwarded_head(context, &attempt, body)).await;
    let mut data = received.freeze();
    // From here on, the connection accounts for what the client has not read.
    drop(memory_account);
    loop {
        if sent.is_ok() {
            sent = match body {
                ResponseFraming::Length(_) => writer.send(&data).await,
                ResponseFraming::Chunked => writer.send(&chunk(&data)).await,
            };
        }
        if sent.is_err() {
            return ConnectionAction::Abort;
        }
        let next = attempt.connection.next_piece(&mut attempt.response.body);
        let next = timeout_at(context.deadline, writer.while_draining(next));
        let Ok(next) = next.await else {
            log_cut(context, &attempt);
            let _ = writer.flush().await;
            return ConnectionAction::Abort;
        };
        data = match next {
            Ok(Ok(Piece::Data(next))) => next,
            Ok(Ok(_)) => break,
            Ok(Err(error)) => {
                attempt.fail(context, error).await;
                let _ = writer.flush().await;
                return ConnectionAction::Abort;
            }
            Err(_) => return ConnectionAction::Abort,
        };
    }
    attempt.finish(context);
    let end = match body {
        ResponseFraming::Length(_) => writer.flush().await,
        ResponseFraming::Chunked => writer.write(LAST_CHUNK).await,
    };
    match end {
        Ok(()) => ConnectionAction::KeepOpen,
        Err(_) => ConnectionAction::Abort,
    }
}

fn record_answered(context: &RequestContext, attempt: &Attempt) {
    let status = attempt.response.head.status;
    let metrics = &context.daemon.metrics;
    metrics
        .responses
        .with_label_values(&[&status.to_string()])
        .inc();
    metrics
        .first_byte_seconds
        .observe(context.started.elapsed().as_secs_f64());
    tracing::info!(
        event = "answered",
        request = context.meta.id,
        program = context.meta.program,
        route = context.entry.route.name,
        server = attempt.server.id,
        status,
        age_ms = context.age_ms()
    );
}
