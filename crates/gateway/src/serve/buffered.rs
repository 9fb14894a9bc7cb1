//! Answers that are read whole before the client gets them, so that an attempt
//! that broke off can be made again where the request allows it. One that is too large to be
//! held is passed on as it comes.

use super::answer::OwnAnswer;
use super::attempt::{self, Attempt, DispatchFailure, Tried};
use super::dispatch::dispatch;
use super::request::{RequestContext, Served};
use super::retry::Retries;
use super::writer::ClientWriter;
use crate::http::body::{Framing, Piece};
use crate::http::write::{LAST_CHUNK, ResponseFraming, chunk, response_head};
use crate::memory::Held;
use crate::upstream::connection::ExchangeError;
use bytes::{Bytes, BytesMut};
use fieldhook_traffic::attempt::AttemptFailure;
use fieldhook_traffic::room::Purpose;
use tokio::time::{Instant, timeout, timeout_at};

/// A whole answer.
pub struct WholeAnswer {
    /// Attempt that brought it.
    pub attempt: Attempt,
    /// Its body.
    pub body: Bytes,
    /// The memory that it takes.
    pub held: Held,
}

/// An answer that is too large to be held.
struct BegunAnswer {
    attempt: Attempt,
    /// What came of its body.
    begun: BytesMut,
    held: Held,
}

/// An answer as far as it was read.
enum ReadAnswer {
    Whole(WholeAnswer),
    Begun(BegunAnswer),
}

/// Serves a request with a buffered answer.
pub async fn serve(context: &RequestContext, writer: &mut ClientWriter) -> Served {
    let outcome = timeout_at(context.deadline, attempts(context)).await;
    match outcome {
        Ok(Ok(ReadAnswer::Whole(answer))) => pass_on(context, answer, writer).await,
        Ok(Ok(ReadAnswer::Begun(answer))) => pass_rest(context, answer, writer).await,
        Ok(Err(answer)) => context.answer(answer, writer).await,
        Err(_) => {
            context
                .answer(OwnAnswer::new(504, "no answer in time"), writer)
                .await
        }
    }
}

async fn attempts(context: &RequestContext) -> Result<ReadAnswer, OwnAnswer> {
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
) -> Result<ReadAnswer, DispatchFailure> {
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
) -> Result<ReadAnswer, DispatchFailure> {
    let attempt = dispatch(context, tried, None).await?;
    match read(context, attempt).await {
        Ok(answer) => Ok(answer),
        Err((attempt, error)) => {
            attempt.fail(context, error);
            Err(DispatchFailure::Attempt(AttemptFailure::MayHaveRun))
        }
    }
}

/// Reads an answer whole, or as far as it may be held.
async fn read(
    context: &RequestContext,
    mut attempt: Attempt,
) -> Result<ReadAnswer, (Attempt, ExchangeError)> {
    let memory = &context.daemon.memory;
    let held = memory.open(Purpose::Incoming);
    let mut body = BytesMut::new();
    loop {
        let next = attempt.connection.next_piece(&mut attempt.answer.body);
        match next.await {
            Ok(Piece::Data(data)) => {
                body.extend_from_slice(&data);
                let is_large = body.len() > memory.bounds.connection_bytes;
                if is_large || held.grow(data.len()).is_err() {
                    let begun = body;
                    let answer = BegunAnswer {
                        attempt,
                        begun,
                        held,
                    };
                    return Ok(ReadAnswer::Begun(answer));
                }
            }
            Ok(Piece::End) => {
                let body = body.freeze();
                let answer = WholeAnswer {
                    attempt,
                    body,
                    held,
                };
                return Ok(ReadAnswer::Whole(answer));
            }
            Ok(Piece::Incomplete) => {}
            Err(error) => return Err((attempt, error)),
        }
    }
}

/// Reads an answer whole that may be passed on in no other way.
///
/// # Errors
/// It broke off, or is too large.
pub async fn read_whole(
    context: &RequestContext,
    attempt: Attempt,
) -> Result<WholeAnswer, (Attempt, ExchangeError)> {
    match read(context, attempt).await? {
        ReadAnswer::Whole(answer) => Ok(answer),
        ReadAnswer::Begun(answer) => Err((answer.attempt, ExchangeError::InvalidResponse)),
    }
}

/// Head of a server's answer as the client gets it.
fn head(context: &RequestContext, attempt: &Attempt, body: ResponseFraming) -> Vec<u8> {
    let head = &attempt.answer.head;
    let mut headers = head.headers.clone();
    headers.remove_connection_fields();
    headers.remove("content-length");
    let close = context.daemon.sends_away();
    response_head(head.status, &head.reason, &headers, body, close)
}

/// Writes a whole answer of a server.
pub async fn pass_on(
    context: &RequestContext,
    answer: WholeAnswer,
    writer: &mut ClientWriter,
) -> Served {
    let length = ResponseFraming::Length(answer.body.len());
    let mut bytes = head(context, &answer.attempt, length);
    bytes.extend_from_slice(&answer.body);
    drop(answer.body);
    note_answered(context, &answer.attempt);
    answer.attempt.finish(context);
    match writer.write_held(&bytes, &answer.held).await {
        Ok(()) => Served::KeepOpen,
        Err(_) => Served::Abandon,
    }
}

/// Writes an answer of a server as it comes. From here on no other attempt may follow: the
/// client has its beginning.
async fn pass_rest(
    context: &RequestContext,
    answer: BegunAnswer,
    writer: &mut ClientWriter,
) -> Served {
    let BegunAnswer {
        mut attempt,
        begun,
        held,
    } = answer;
    let framing = attempt.answer.body.framing();
    let body = match framing {
        Framing::Length(length) => ResponseFraming::Length(length as usize),
        _ => ResponseFraming::Chunked,
    };
    note_answered(context, &attempt);
    let mut sent = writer.send(&head(context, &attempt, body)).await;
    let mut data = begun.freeze();
    // What the client does not take at once is counted by its connection.
    drop(held);
    loop {
        if sent.is_ok() {
            sent = match body {
                ResponseFraming::Length(_) => writer.send(&data).await,
                ResponseFraming::Chunked => writer.send(&chunk(&data)).await,
            };
        }
        if sent.is_err() {
            return Served::Abandon;
        }
        let next = attempt.connection.next_piece(&mut attempt.answer.body);
        data = match writer.while_draining(next).await {
            Ok(Ok(Piece::Data(next))) => next,
            Ok(Ok(_)) => break,
            Ok(Err(error)) => {
                attempt.fail(context, error);
                let _ = writer.flush().await;
                return Served::Abandon;
            }
            Err(_) => return Served::Abandon,
        };
    }
    attempt.finish(context);
    let end = match body {
        ResponseFraming::Length(_) => writer.flush().await,
        ResponseFraming::Chunked => writer.write(LAST_CHUNK).await,
    };
    match end {
        Ok(()) => Served::KeepOpen,
        Err(_) => Served::Abandon,
    }
}

fn note_answered(context: &RequestContext, attempt: &Attempt) {
    let status = attempt.answer.head.status;
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
        server = attempt.server.id,
        status,
        age_ms = context.age_ms()
    );
}
