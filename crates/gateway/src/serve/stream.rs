//! Forwards event streams, event by event. A resumable stream that breaks off continues at another
//! server after the last event that the client has received.

use super::attempt::{Attempt, DispatchFailure};
use super::buffered;
use super::dispatch::{Continuation, dispatch};
use super::local_response::LocalResponse;
use super::request::{ConnectionAction, RETRY_LATER_MS, RequestContext};
use super::retry::RetryState;
use super::silence;
use super::stream_origin;
use super::turn::Turn;
use super::writer::ClientWriter;
use crate::http::body::Piece;
use crate::http::events::{EndlessInput, Event, EventDecoder};
use crate::http::write::{LAST_CHUNK, ResponseFraming, chunk, response_head};
use crate::memory::MemoryExhausted;
use crate::upstream::connection::ExchangeError;
use fieldhook_ledger::streams::StreamOrigin;
use fieldhook_traffic::attempt::AttemptFailure;
use tokio::time::{Instant, timeout_at};

/// How much of the response the client has received.
#[derive(Default)]
struct Delivery {
    head_sent: bool,
    /// Last event that was sent to the client, after which another server continues.
    last_event: Option<u64>,
    /// Server of the first event, once one has arrived.
    origin: Option<StreamOrigin>,
    events: u64,
    /// Number of further events with data that the response may have, if it is limited.
    data_events_left: Option<u64>,
}

/// Events that were read from the server and not yet sent to the client.
#[derive(Default)]
struct Batch {
    events: Vec<Event>,
    /// Number of events that are no comments.
    count: usize,
    /// Id of the last event, which is the last one sent to the client if the batch holds none with an
    /// id.
    last_event: Option<u64>,
    /// Number of events with data that may follow the last event, if it is limited.
    data_events_left: Option<u64>,
}

/// Why the events of a server are not passed on any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InvalidEvents {
    /// An event is missing.
    Gap,
    /// An event does not end, or bytes that are no event do not.
    Endless,
    /// There are more tokens than the client asked for.
    Excess,
}

impl InvalidEvents {
    /// Value of the log field `cause`.
    fn name(self) -> &'static str {
        match self {
            Self::Gap => "gap",
            Self::Endless => "endless",
            Self::Excess => "excess",
        }
    }
}

impl Batch {
    /// Creates a batch of events that follow what was sent to the client.
    fn after(delivery: &Delivery) -> Self {
        Self {
            last_event: delivery.last_event,
            data_events_left: delivery.data_events_left,
            ..Self::default()
        }
    }

    /// Appends the next event.
    ///
    /// # Errors
    /// The response may not have another event with data.
    fn push(&mut self, event: Event) -> Result<(), InvalidEvents> {
        if event.data.is_some()
            && let Some(left) = &mut self.data_events_left
        {
            *left = left.checked_sub(1).ok_or(InvalidEvents::Excess)?;
        }
        self.last_event = event.id.or(self.last_event);
        self.count += usize::from(event.has_content());
        self.events.push(event);
        Ok(())
    }

    /// Removes the comments at the end: the stream may go on at another server, whose response they
    /// don't belong to.
    fn remove_trailing_comments(&mut self) {
        let length = self.events.iter().rposition(Event::has_content);
        self.events.truncate(length.map_or(0, |last| last + 1));
    }
}

/// How forwarding a stream ended.
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The stream from the server broke off.
    Broken(ExchangeError),
    /// The client closed the connection.
    ClientGone,
    /// The budget reservation did not become durable.
    NotDurable,
    /// There is no memory for the output, which later turns continue from.
    MemoryExhausted,
}

/// Serves a request with a streamed response.
pub async fn serve(
    context: &RequestContext,
    mut turn: Option<&mut Turn>,
    writer: &mut ClientWriter,
) -> ConnectionAction {
    let mut delivery = Delivery {
        last_event: context.meta.last_event,
        origin: context.resumed.as_ref().map(|known| known.origin.clone()),
        data_events_left: max_data_events(context),
        ..Delivery::default()
    };
    let attempts = run_attempts(context, &mut turn, &mut delivery, writer);
    let response = match timeout_at(context.deadline, attempts).await {
        Ok(Ok(action)) => return flush_pending(action, writer).await,
        Ok(Err(response)) => response,
        Err(_) => LocalResponse::new(504, "no whole answer in time"),
    };
    if let Some(turn) = turn {
        turn.abort();
    }
    respond_or_abort(context, &delivery, response, writer).await
}

/// Returns the number of events that hold the maximum tokens the client asked for, if it named a
/// maximum. A server that sends more is faulty, and may never stop.
fn max_data_events(context: &RequestContext) -> Option<u64> {
    let max_tokens = context.meta.max_tokens;
    (max_tokens > 0).then(|| max_tokens.div_ceil(context.tokens_per_event()))
}

/// Writes the remaining output to the client, however slowly it reads.
async fn flush_pending(action: ConnectionAction, writer: &mut ClientWriter) -> ConnectionAction {
    match writer.flush().await {
        Ok(()) => action,
        Err(_) => ConnectionAction::Abort,
    }
}

/// Sends a response generated by the gateway, or aborts the stream if its head has already been
/// sent.
async fn respond_or_abort(
    context: &RequestContext,
    delivery: &Delivery,
    response: LocalResponse,
    writer: &mut ClientWriter,
) -> ConnectionAction {
    if !delivery.head_sent {
        return context.respond(response, writer).await;
    }
    // Status 0 counts responses that were cut off after their head.
    context
        .daemon
        .metrics
        .responses
        .with_label_values(&["0"])
        .inc();
    tracing::info!(
        event = "stream_broken_off",
        request = context.meta.id,
        program = context.meta.program,
        events = delivery.events,
        cause = response.message,
        age_ms = context.age_ms()
    );
    let _ = writer.flush().await;
    ConnectionAction::Abort
}

async fn run_attempts(
    context: &RequestContext,
    turn: &mut Option<&mut Turn>,
    delivery: &mut Delivery,
    writer: &mut ClientWriter,
) -> Result<ConnectionAction, LocalResponse> {
    let mut retry = RetryState::default();
    loop {
        let started = Instant::now();
        let continuation = Continuation {
            last_event: delivery.last_event,
            origin: delivery.origin.as_ref(),
        };
        let failure = match dispatch(context, &mut retry.history, continuation).await {
            Ok(attempt) if !is_success(&attempt) => {
                return forward_other(context, delivery, attempt, writer).await;
            }
            Ok(mut attempt) => {
                if delivery.head_sent {
                    log_continuation(context, delivery, &attempt);
                }
                let end = forward_events(context, &mut attempt, turn, delivery, writer).await;
                match end {
                    StreamEnd::Complete => {
                        let times = &context.daemon.response_times;
                        times.observe(&context.entry.route.name, started.elapsed());
                        attempt.finish(context);
                        return finish_stream(context, turn, delivery, writer).await;
                    }
                    StreamEnd::ClientGone => return Ok(ConnectionAction::Abort),
                    StreamEnd::NotDurable => {
                        return Err(LocalResponse::new(502, "its budget could not be reserved"));
                    }
                    StreamEnd::MemoryExhausted => {
                        return Err(LocalResponse::new(502, "there is no memory for its output"));
                    }
                    StreamEnd::Broken(error) => {
                        attempt.fail(context, error).await;
                        DispatchFailure::Attempt(AttemptFailure::MayHaveRun)
                    }
                }
            }
            Err(failure) => failure,
        };
        retry.handle_failure(context, failure).await?;
    }
}

/// Logs that a stream that broke off continues at another server within the same response.
fn log_continuation(context: &RequestContext, delivery: &Delivery, attempt: &Attempt) {
    tracing::info!(
        event = "stream_continued",
        request = context.meta.id,
        program = context.meta.program,
        server = attempt.server.id,
        software = attempt.server.software_version.as_deref(),
        last_event = delivery.last_event,
        events = delivery.events,
        age_ms = context.age_ms()
    );
}

fn is_success(attempt: &Attempt) -> bool {
    (200..300).contains(&attempt.response.head.status)
}

/// Forwards a response with a status other than success, which is not a stream.
async fn forward_other(
    context: &RequestContext,
    delivery: &Delivery,
    attempt: Attempt,
    writer: &mut ClientWriter,
) -> Result<ConnectionAction, LocalResponse> {
    match buffered::read_complete(context, attempt).await {
        Ok(_) if delivery.head_sent => Err(LocalResponse::new(502, "the engine refused to resume")),
        Ok(response) => Ok(buffered::forward(context, response, writer).await),
        Err((attempt, error)) => {
            attempt.fail(context, error).await;
            Err(LocalResponse::new(502, "the outcome is not known"))
        }
    }
}

async fn forward_events(
    context: &RequestContext,
    attempt: &mut Attempt,
    turn: &mut Option<&mut Turn>,
    delivery: &mut Delivery,
    writer: &mut ClientWriter,
) -> StreamEnd {
    let mut events = EventDecoder::default();
    let mut batch = Batch::after(delivery);
    loop {
        let next = attempt.connection.next_piece(&mut attempt.response.body);
        let next = silence::abort_if_silent(context, &attempt.server, next);
        let Ok(piece) = writer.while_draining(next).await else {
            return StreamEnd::ClientGone;
        };
        match piece {
            Ok(Piece::Data(_)) if !stream_origin::is_current(context, &attempt.server) => {
                return StreamEnd::Broken(ExchangeError::InvalidResponse);
            }
            Ok(Piece::Data(data)) => events.feed(&data),
            Ok(Piece::End) if events.has_partial_event() => {
                return StreamEnd::Broken(ExchangeError::InvalidResponse);
            }
            Ok(Piece::End) => {
                if batch.events.is_empty() || !delivery.head_sent {
                    return StreamEnd::Complete;
                }
                let delivered = deliver(context, attempt, turn, delivery, &batch, writer).await;
                return delivered.err().unwrap_or(StreamEnd::Complete);
            }
            Ok(Piece::Incomplete) => {}
            Err(error) => return StreamEnd::Broken(error),
        }
        let decoded = decode_events(&mut events, &mut batch);
        if let Err(cause) = decoded {
            log_invalid(context, attempt, &batch, cause);
            if !delivery.head_sent {
                // The stream may begin again, or the client gets an error status.
                return StreamEnd::Broken(ExchangeError::InvalidResponse);
            }
            batch.remove_trailing_comments();
        }
        // Comments wait for the next event, because the stream may go on at another server until then.
        if batch.count > 0 {
            let sent = send_batch(context, attempt, turn, delivery, &batch, writer).await;
            if let Err(end) = sent {
                return end;
            }
            batch = Batch::after(delivery);
        }
        if decoded.is_err() {
            return StreamEnd::Broken(ExchangeError::InvalidResponse);
        }
    }
}

/// Moves the complete events to the batch, up to the first one that is not valid.
fn decode_events(events: &mut EventDecoder, batch: &mut Batch) -> Result<(), InvalidEvents> {
    let endless = |EndlessInput| InvalidEvents::Endless;
    while let Some(event) = events.next_event().map_err(endless)? {
        let order = event_order(&event, batch.last_event);
        let is_progress = event.has_content() && order == EventOrder::Next;
        events
            .record_progress(&event, is_progress)
            .map_err(endless)?;
        match order {
            EventOrder::Next => batch.push(event)?,
            EventOrder::Duplicate => {}
            EventOrder::Gap => return Err(InvalidEvents::Gap),
        }
    }
    Ok(())
}

/// Logs why no more events of a server are passed on.
fn log_invalid(context: &RequestContext, attempt: &Attempt, batch: &Batch, cause: InvalidEvents) {
    tracing::info!(
        event = "events_rejected",
        request = context.meta.id,
        program = context.meta.program,
        server = attempt.server.id,
        cause = cause.name(),
        last_event = batch.last_event,
        most = context.meta.max_tokens,
        age_ms = context.age_ms()
    );
}

/// Sends events to the client once the origin of the stream is recorded and the budget allows them.
///
/// # Errors
/// They were not sent; contains how the stream ends.
async fn send_batch(
    context: &RequestContext,
    attempt: &Attempt,
    turn: &mut Option<&mut Turn>,
    delivery: &mut Delivery,
    batch: &Batch,
    writer: &mut ClientWriter,
) -> Result<(), StreamEnd> {
    if delivery.origin.is_none() {
        let recording = stream_origin::record(context, attempt);
        let Ok(origin) = writer.while_draining(recording).await else {
            return Err(StreamEnd::ClientGone);
        };
        delivery.origin = Some(origin);
    }
    if let Some(turn) = turn
        && !turn.wait_allowed(batch.count, context.deadline).await
    {
        return Err(StreamEnd::NotDurable);
    }
    deliver(context, attempt, turn, delivery, batch, writer).await
}

#[derive(PartialEq, Eq)]
enum EventOrder {
    Next,
    Duplicate,
    Gap,
}

/// Compares the id of an event with the last one before it. Ids increase by one; events that the
/// client already has are skipped.
fn event_order(event: &Event, last_event: Option<u64>) -> EventOrder {
    match (event.id, last_event) {
        (Some(id), Some(last)) if id <= last => EventOrder::Duplicate,
        (Some(id), Some(last)) if id > last + 1 => EventOrder::Gap,
        _ => EventOrder::Next,
    }
}

/// Sends events to the client.
///
/// # Errors
/// They were not sent; contains how the stream ends.
async fn deliver(
    context: &RequestContext,
    attempt: &Attempt,
    turn: &mut Option<&mut Turn>,
    delivery: &mut Delivery,
    batch: &Batch,
    writer: &mut ClientWriter,
) -> Result<(), StreamEnd> {
    // Recorded before it is written, because the client may receive it even if the write fails.
    if let Some(turn) = turn {
        for event in &batch.events {
            let recorded = turn.record_delivered(event, &context.memory_account);
            recorded.map_err(|MemoryExhausted| StreamEnd::MemoryExhausted)?;
        }
    }
    let mut bytes = Vec::new();
    if !delivery.head_sent {
        bytes = stream_head(context, attempt);
        delivery.head_sent = true;
        record_first_event(context, attempt);
    }
    for event in &batch.events {
        bytes.extend_from_slice(&chunk(&event.raw));
    }
    delivery.events += batch.count as u64;
    delivery.last_event = batch.last_event;
    delivery.data_events_left = batch.data_events_left;
    let sent = writer.send(&bytes).await;
    sent.map_err(|_| StreamEnd::ClientGone)
}

/// Logs and counts that the first event of a response is sent.
fn record_first_event(context: &RequestContext, attempt: &Attempt) {
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
        software = attempt.server.software_version.as_deref(),
        age_ms = context.age_ms()
    );
    if let Some(known) = &context.resumed {
        stream_origin::log_resumption(context, known, &attempt.server);
    }
}

fn stream_head(context: &RequestContext, attempt: &Attempt) -> Vec<u8> {
    let head = &attempt.response.head;
    let mut headers = head.headers.clone();
    headers.remove_hop_by_hop_fields();
    headers.remove("content-length");
    let close = context.daemon.closes_connections();
    response_head(
        head.status,
        &head.reason,
        &headers,
        ResponseFraming::Chunked,
        close,
    )
}

/// Ends the stream once its turn is recorded.
async fn finish_stream(
    context: &RequestContext,
    turn: &mut Option<&mut Turn>,
    delivery: &Delivery,
    writer: &mut ClientWriter,
) -> Result<ConnectionAction, LocalResponse> {
    if !delivery.head_sent {
        return Err(LocalResponse::new(502, "the engine sent no event"));
    }
    if let Some(turn) = turn
        && !turn.complete(context).await
    {
        return Err(LocalResponse::not_run(
            "the turn could not be recorded",
            RETRY_LATER_MS,
        ));
    }
    context
        .daemon
        .metrics
        .responses
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
        Ok(()) => Ok(ConnectionAction::KeepOpen),
        Err(_) => Ok(ConnectionAction::Abort),
    }
}
