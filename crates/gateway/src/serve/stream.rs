//! Streams of events, passed on event by event. A stream that may be resumed goes
//! on at another server after the last event that the client has.

use super::answer::OwnAnswer;
use super::attempt::{Attempt, DispatchFailure};
use super::buffered;
use super::dispatch::dispatch;
use super::request::{RETRY_LATER_MS, RequestContext, Served};
use super::retry::Retries;
use super::turn::Turn;
use super::watch;
use super::writer::ClientWriter;
use crate::http::body::Piece;
use crate::http::events::{Event, EventDecoder};
use crate::http::write::{LAST_CHUNK, ResponseFraming, chunk, response_head};
use crate::upstream::connection::ExchangeError;
use fieldhook_traffic::attempt::AttemptFailure;
use tokio::time::{Instant, timeout_at};

/// What the client has of the answer.
#[derive(Default)]
struct Delivery {
    head_sent: bool,
    last_event: Option<u64>,
    events: u64,
}

/// How passing a stream on ended.
enum StreamEnd {
    /// Whole.
    Complete,
    /// The server's part broke off.
    Broken(ExchangeError),
    /// The client is gone.
    ClientGone,
    /// The reservation did not become durable.
    NotDurable,
}

/// Serves a request with a streamed answer.
pub async fn serve(
    context: &RequestContext,
    mut turn: Option<&mut Turn>,
    writer: &mut ClientWriter,
) -> Served {
    let mut delivery = Delivery {
        last_event: context.meta.last_event,
        ..Delivery::default()
    };
    let run = run(context, &mut turn, &mut delivery, writer);
    let answer = match timeout_at(context.deadline, run).await {
        Ok(Ok(served)) => return settle(served, writer).await,
        Ok(Err(answer)) => answer,
        Err(_) => OwnAnswer::new(504, "no whole answer in time"),
    };
    if let Some(turn) = turn {
        turn.break_off();
    }
    conclude(context, &delivery, answer, writer).await
}

/// What the server made is delivered, also where the client takes it late.
async fn settle(served: Served, writer: &mut ClientWriter) -> Served {
    match writer.flush().await {
        Ok(()) => served,
        Err(_) => Served::Abandon,
    }
}

/// An answer of the gateway's own, or a broken stream where its head is out.
async fn conclude(
    context: &RequestContext,
    delivery: &Delivery,
    answer: OwnAnswer,
    writer: &mut ClientWriter,
) -> Served {
    if !delivery.head_sent {
        return context.answer(answer, writer).await;
    }
    context
        .daemon
        .metrics
        .answers
        .with_label_values(&["0"])
        .inc();
    tracing::info!(
        event = "stream_broken_off",
        request = context.meta.id,
        program = context.meta.program,
        events = delivery.events,
        cause = answer.remedy,
        age_ms = context.age_ms()
    );
    let _ = writer.flush().await;
    Served::Abandon
}

async fn run(
    context: &RequestContext,
    turn: &mut Option<&mut Turn>,
    delivery: &mut Delivery,
    writer: &mut ClientWriter,
) -> Result<Served, OwnAnswer> {
    let mut retries = Retries::default();
    loop {
        let begun = Instant::now();
        let failure = match dispatch(context, &mut retries.tried, delivery.last_event).await {
            Ok(attempt) if !is_stream(&attempt) => {
                return pass_other(context, delivery, attempt, writer).await;
            }
            Ok(mut attempt) => {
                let end = pass_events(context, &mut attempt, turn, delivery, writer).await;
                match end {
                    StreamEnd::Complete => {
                        let times = &context.daemon.answer_times;
                        times.observe(&context.entry.route.name, begun.elapsed());
                        attempt.finish(context);
                        return finish(context, turn, delivery, writer).await;
                    }
                    StreamEnd::ClientGone => return Ok(Served::Abandon),
                    StreamEnd::NotDurable => {
                        return Err(OwnAnswer::new(502, "its budget could not be reserved"));
                    }
                    StreamEnd::Broken(error) => {
                        attempt.fail(context, error);
                        DispatchFailure::Attempt(AttemptFailure::MayHaveRun)
                    }
                }
            }
            Err(failure) => failure,
        };
        retries.after(context, failure).await?;
    }
}

fn is_stream(attempt: &Attempt) -> bool {
    (200..300).contains(&attempt.answer.head.status)
}

/// Passes a server's answer on that is no stream.
async fn pass_other(
    context: &RequestContext,
    delivery: &Delivery,
    attempt: Attempt,
    writer: &mut ClientWriter,
) -> Result<Served, OwnAnswer> {
    match buffered::read_whole(context, attempt).await {
        Ok(_) if delivery.head_sent => Err(OwnAnswer::new(502, "the engine refused to resume")),
        Ok(answer) => Ok(buffered::pass_on(context, answer, writer).await),
        Err((attempt, error)) => {
            attempt.fail(context, error);
            Err(OwnAnswer::new(502, "the outcome is not known"))
        }
    }
}

async fn pass_events(
    context: &RequestContext,
    attempt: &mut Attempt,
    turn: &mut Option<&mut Turn>,
    delivery: &mut Delivery,
    writer: &mut ClientWriter,
) -> StreamEnd {
    let mut events = EventDecoder::default();
    loop {
        let next = attempt.connection.next_piece(&mut attempt.answer.body);
        let next = watch::watched(context, &attempt.server, next);
        let Ok(piece) = writer.while_draining(next).await else {
            return StreamEnd::ClientGone;
        };
        match piece {
            Ok(Piece::Data(data)) => events.feed(&data),
            Ok(Piece::End) if events.has_partial_event() => {
                return StreamEnd::Broken(ExchangeError::InvalidResponse);
            }
            Ok(Piece::End) => return StreamEnd::Complete,
            Ok(Piece::Incomplete) => {}
            Err(error) => return StreamEnd::Broken(error),
        }
        let mut batch = Vec::new();
        while let Some(event) = events.next_event() {
            match order(&event, delivery.last_event) {
                Order::Next => {}
                Order::Seen => continue,
                Order::Gap => return StreamEnd::Broken(ExchangeError::InvalidResponse),
            }
            delivery.last_event = event.id.or(delivery.last_event);
            batch.push(event);
        }
        if batch.is_empty() {
            continue;
        }
        if let Some(turn) = turn
            && !turn.wait_allowed(batch.len(), context.deadline).await
        {
            return StreamEnd::NotDurable;
        }
        if !deliver(context, attempt, turn, delivery, &batch, writer).await {
            return StreamEnd::ClientGone;
        }
    }
}

#[derive(PartialEq, Eq)]
enum Order {
    Next,
    Seen,
    Gap,
}

/// Ids rise by one; an event that the client has already is passed over.
fn order(event: &Event, last: Option<u64>) -> Order {
    match (event.id, last) {
        (Some(id), Some(last)) if id <= last => Order::Seen,
        (Some(id), Some(last)) if id > last + 1 => Order::Gap,
        _ => Order::Next,
    }
}

async fn deliver(
    context: &RequestContext,
    attempt: &Attempt,
    turn: &mut Option<&mut Turn>,
    delivery: &mut Delivery,
    batch: &[Event],
    writer: &mut ClientWriter,
) -> bool {
    let mut bytes = Vec::new();
    if !delivery.head_sent {
        bytes = stream_head(context, attempt);
        delivery.head_sent = true;
        context
            .daemon
            .metrics
            .first_byte_seconds
            .observe(context.started.elapsed().as_secs_f64());
        tracing::info!(
            event = "first_event",
            request = context.meta.id,
            program = context.meta.program,
            server = attempt.server.id,
            age_ms = context.age_ms()
        );
    }
    for event in batch {
        // Counted before it is written: what may have reached the client counts.
        if let Some(turn) = turn {
            turn.hand_out(event);
        }
        delivery.events += 1;
        bytes.extend_from_slice(&chunk(&event.raw));
    }
    writer.send(&bytes).await.is_ok()
}

fn stream_head(context: &RequestContext, attempt: &Attempt) -> Vec<u8> {
    let head = &attempt.answer.head;
    let mut headers = head.headers.clone();
    headers.remove_connection_fields();
    headers.remove("content-length");
    let close = context.daemon.sends_away();
    response_head(
        head.status,
        &head.reason,
        &headers,
        ResponseFraming::Chunked,
        close,
    )
}

/// Ends the stream, once its turn is recorded.
async fn finish(
    context: &RequestContext,
    turn: &mut Option<&mut Turn>,
    delivery: &Delivery,
    writer: &mut ClientWriter,
) -> Result<Served, OwnAnswer> {
    if !delivery.head_sent {
        return Err(OwnAnswer::new(502, "the engine sent no event"));
    }
    if let Some(turn) = turn
        && !turn.complete(context).await
    {
        return Err(OwnAnswer::not_run(
            "the turn could not be recorded",
            RETRY_LATER_MS,
        ));
    }
    context
        .daemon
        .metrics
        .answers
        .with_label_values(&["200"])
        .inc();
    tracing::info!(
        event = "answered",
        request = context.meta.id,
        program = context.meta.program,
        route = context.entry.route.name,
        status = 200,
        events = delivery.events,
        age_ms = context.age_ms()
    );
    match writer.send(LAST_CHUNK).await {
        Ok(()) => Ok(Served::KeepOpen),
        Err(_) => Ok(Served::Abandon),
    }
}
