//! Answers that are read whole before the client gets them, so that an attempt
//! that broke off can be made again where the request allows it.

use super::answer::OwnAnswer;
use super::attempt::{self, Attempt, DispatchFailure, Tried};
use super::client::ClientWriter;
use super::dispatch::dispatch;
use super::request::{RequestContext, Served};
use super::retry::Retries;
use crate::http::write::{AnswerBody, response_head};
use bytes::Bytes;
use fieldhook_traffic::attempt::AttemptFailure;
use tokio::time::{Instant, timeout, timeout_at};

/// Largest answer that is held in memory, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// A whole answer.
pub struct WholeAnswer {
    /// Attempt that brought it.
    pub attempt: Attempt,
    /// Its body.
    pub body: Bytes,
}

/// Serves a request with a buffered answer.
pub async fn serve(context: &RequestContext, writer: &mut ClientWriter) -> Served {
    let outcome = timeout_at(context.deadline, attempts(context)).await;
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

async fn attempts(context: &RequestContext) -> Result<WholeAnswer, OwnAnswer> {
    let mut retries = Retries::default();
    loop {
        match attempt_in_time(context, &mut retries).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => retries.after(context, failure).await?,
        }
    }
}

/// Makes an attempt, and gives it up where its answer is overdue and another may follow.
async fn attempt_in_time(
    context: &RequestContext,
    retries: &mut Retries,
) -> Result<WholeAnswer, DispatchFailure> {
    let patience = retries.patience(context);
    let begun = Instant::now();
    let attempt = attempt(context, &mut retries.tried);
    let outcome = match patience {
        Some(patience) => timeout(patience, attempt).await,
        None => Ok(attempt.await),
    };
    let Ok(outcome) = outcome else {
        return Err(attempt::overdue(context, &retries.tried, begun.elapsed()));
    };
    if outcome.is_ok() {
        let times = &context.daemon.answer_times;
        times.observe(&context.entry.route.name, begun.elapsed());
    }
    outcome
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
    let close = context.daemon.sends_away();
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
