//! Answers that are read whole before the client gets them, so that an attempt
//! that broke off can be made again where the request allows it.

use super::answer::OwnAnswer;
use super::client::ClientWriter;
use super::dispatch::{Attempt, DispatchFailure, Tried, dispatch};
use super::request::{RETRY_SOON_MS, RequestContext, Served};
use crate::http::write::{AnswerBody, response_head};
use bytes::Bytes;
use fieldhook_traffic::attempt::{AttemptFailure, Attempts, NextStep};
use std::time::Duration;
use tokio::time::{sleep, timeout_at};

/// Largest answer that is held in memory, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;
/// Time that another attempt needs at least, in milliseconds.
const LEAST_TIME_MS: u64 = 15;
const NO_SERVER_PAUSE: Duration = Duration::from_millis(20);
/// How long a request waits for a server to appear.
const NO_SERVER_PATIENCE_MS: u64 = 120;

/// A whole answer.
pub struct WholeAnswer {
    /// Attempt that brought it.
    pub attempt: Attempt,
    /// Its body.
    pub body: Bytes,
}

/// Serves a request with a buffered answer.
pub async fn serve(context: &RequestContext, writer: &mut ClientWriter) -> Served {
    let mut may_have_run = false;
    let outcome = timeout_at(context.deadline, attempts(context, &mut may_have_run)).await;
    match outcome {
        Ok(Ok(answer)) => pass_on(context, answer, writer).await,
        Ok(Err(answer)) => context.answer(answer, writer).await,
        Err(_) => {
            context
                .answer(OwnAnswer::new(504, "no answer in time"), writer)
                .await
        }
    }
}

async fn attempts(
    context: &RequestContext,
    may_have_run: &mut bool,
) -> Result<WholeAnswer, OwnAnswer> {
    let mut tried = Tried::default();
    let mut counted = Attempts::default();
    loop {
        let failure = match attempt(context, &mut tried).await {
            Ok(answer) => return Ok(answer),
            Err(DispatchFailure::Attempt(failure)) => failure,
            Err(DispatchFailure::NoServer) => {
                let nothing_sent = counted == Attempts::default();
                if nothing_sent && context.age_ms() < NO_SERVER_PATIENCE_MS {
                    sleep(NO_SERVER_PAUSE).await;
                    continue;
                }
                return Err(no_server(counted));
            }
        };
        *may_have_run |= failure == AttemptFailure::MayHaveRun;
        let route = &context.entry.route;
        let time_left = context.left_ms() > LEAST_TIME_MS;
        match counted.after(route.kind, route.max_attempts, failure, time_left) {
            NextStep::Retry => {}
            NextStep::Refuse => {
                return Err(OwnAnswer::not_run("no server took it", RETRY_SOON_MS));
            }
            NextStep::BadGateway => return Err(OwnAnswer::new(502, "the outcome is not known")),
        }
    }
}

/// The answer where every server was tried, or there is none.
pub fn no_server(counted: Attempts) -> OwnAnswer {
    if counted.may_have_run > 0 {
        OwnAnswer::new(502, "the outcome is not known")
    } else {
        OwnAnswer::not_run("no server takes work", RETRY_SOON_MS)
    }
}

async fn attempt(
    context: &RequestContext,
    tried: &mut Tried,
) -> Result<WholeAnswer, DispatchFailure> {
    let mut attempt = dispatch(context, tried, None).await?;
    let read = attempt
        .connection
        .read_body(&mut attempt.answer.body, ANSWER_LIMIT)
        .await;
    match read {
        Ok(body) => Ok(WholeAnswer { attempt, body }),
        Err(error) => {
            attempt.fail(context, error);
            Err(DispatchFailure::Attempt(AttemptFailure::MayHaveRun))
        }
    }
}

/// Writes a whole answer of a server.
pub async fn pass_on(
    context: &RequestContext,
    answer: WholeAnswer,
    writer: &mut ClientWriter,
) -> Served {
    let head = &answer.attempt.answer.head;
    let mut headers = head.headers.clone();
    headers.remove_connection_fields();
    headers.remove("content-length");
    let length = AnswerBody::Length(answer.body.len());
    let close = context.daemon.is_stopping();
    let mut bytes = response_head(head.status, &head.reason, &headers, length, close);
    bytes.extend_from_slice(&answer.body);
    let status = head.status;
    let server = answer.attempt.server.id.clone();
    answer.attempt.finish(context);
    let metrics = &context.daemon.metrics;
    metrics
        .answers
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
        server,
        status,
        age_ms = context.age_ms()
    );
    match writer.write(&bytes).await {
        Ok(()) => Served::KeepOpen,
        Err(_) => Served::Abandon,
    }
}
