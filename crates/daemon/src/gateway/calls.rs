//! `POST /v1/programs/{id}/calls`: runs a call. The response is JSON or a stream of server-sent
//! events.

use crate::gateway::input::{
    check_admission, check_key, error_response, invalid_request, parse_program, read_json,
};
use crate::gateway::relay::relay;
use crate::gateway::source::EVENT_BACKLOG;
use crate::node::Node;
use crate::sequencer::{CallMessage, Position};
use fieldhook_http::{encode_event, event_stream, json};
use fieldhook_model::api::{CallRequest, CallSpec, StreamEvent};
use fieldhook_model::error::{CallError, ErrorKind, Executed};
use futures_util::stream;
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse, types};
use serde::Serialize;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Request header with the position of a reader, as defined for server-sent events.
const LAST_EVENT_ID: &str = "last-event-id";

/// Data of a `delta` event.
#[derive(Serialize)]
struct DeltaData {
    text: String,
}

/// Data of a `reset` event.
#[derive(Serialize)]
struct EmptyData {}

/// Guard that counts a request as in flight until it is dropped.
struct InFlight(Rc<Node>);

impl InFlight {
    fn new(node: &Rc<Node>) -> Self {
        node.metrics.in_flight.inc();
        Self(node.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
    }
}

/// Handles `POST /v1/programs/{id}/calls`.
pub async fn post_call(
    node: types::State<Rc<Node>>,
    request: HttpRequest,
    id: types::Path<String>,
    payload: types::Payload,
) -> HttpResponse {
    node.metrics.requests.inc();
    let node: Rc<Node> = (*node).clone();
    let in_flight = InFlight::new(&node);
    let (call, is_streaming) = match parse_call(&node, &request, &id, payload).await {
        Ok(checked) => checked,
        Err(error) => return error_response(&node, &error),
    };
    let (out, mut events) = mpsc::channel(EVENT_BACKLOG);
    ntex::rt::spawn(relay(node.clone(), call, out));
    if is_streaming {
        return stream_response(node, in_flight, events).await;
    }
    loop {
        match events.recv().await {
            Some(StreamEvent::Done(answer)) => return json(200, &answer),
            Some(StreamEvent::Failed(error)) => return error_response(&node, &error),
            Some(_) => {}
            None => return error_response(&node, &relay_lost_error()),
        }
    }
}

/// Reads and validates a call. Returns it and whether the response is to be streamed.
async fn parse_call(
    node: &Rc<Node>,
    request: &HttpRequest,
    id: &str,
    payload: types::Payload,
) -> Result<(CallMessage, bool), CallError> {
    check_admission(node)?;
    let program = parse_program(node, id)?;
    let body: CallRequest = read_json(node, payload).await?;
    check_key(&body.request_key)?;
    validate_spec(&body)?;
    let position = match request.headers().get(LAST_EVENT_ID) {
        Some(value) => parse_event_id(value.to_str().unwrap_or_default())?,
        None => Position::default(),
    };
    let repeatable = body.is_repeatable();
    let message = CallMessage {
        program,
        call_number: body.call_number,
        request_key: body.request_key,
        spec: body.call,
        repeatable,
        position,
        delivered: None,
        has_earlier_copy: false,
    };
    Ok((message, body.stream))
}

fn validate_spec(body: &CallRequest) -> Result<(), CallError> {
    if body.call_number == 0 {
        return Err(invalid_request("call numbers start at 1"));
    }
    match &body.call {
        CallSpec::Model(model) if model.max_tokens == 0 || model.messages.is_empty() => Err(
            invalid_request("send at least one message and a max_tokens of at least 1"),
        ),
        CallSpec::Model(_) if !body.is_repeatable() => Err(invalid_request(
            "omit repeatable; model calls have no side effects and are always repeatable",
        )),
        _ => Ok(()),
    }
}

fn event_id(position: Position) -> String {
    format!("{}:{}", position.lineage, position.offset)
}

fn parse_event_id(text: &str) -> Result<Position, CallError> {
    let parsed = text.split_once(':').and_then(|(lineage, offset)| {
        Some(Position {
            lineage: lineage.parse().ok()?,
            offset: offset.parse().ok()?,
        })
    });
    parsed.ok_or_else(|| invalid_request("send the id of the last event received as Last-Event-ID"))
}

/// Responds with server-sent events. A call that fails before its first event gets an error
/// response instead.
async fn stream_response(
    node: Rc<Node>,
    in_flight: InFlight,
    mut events: mpsc::Receiver<StreamEvent>,
) -> HttpResponse {
    let first = loop {
        match events.recv().await {
            Some(StreamEvent::KeepAlive) => {}
            Some(StreamEvent::Failed(error)) => return error_response(&node, &error),
            Some(event) => break event,
            None => return error_response(&node, &relay_lost_error()),
        }
    };
    let state = (events, Some(first), in_flight);
    let encoded = stream::unfold(state, |(mut events, first, in_flight)| async move {
        let event = match first {
            Some(event) => event,
            None => events.recv().await?,
        };
        Some((Ok(Bytes::from(encode(event))), (events, None, in_flight)))
    });
    event_stream(encoded)
}

fn encode(event: StreamEvent) -> String {
    match event {
        StreamEvent::Delta {
            lineage,
            offset,
            text,
        } => {
            let offset = offset + text.len() as u64;
            encode_event(
                &event_id(Position { lineage, offset }),
                "delta",
                &DeltaData { text },
            )
        }
        StreamEvent::Reset => encode_event("0:0", "reset", &EmptyData {}),
        StreamEvent::Done(answer) => encode_event("", "done", &answer),
        StreamEvent::Failed(error) => encode_event("", "error", &error),
        // A comment line, which clients ignore.
        StreamEvent::KeepAlive | StreamEvent::NotOwner | StreamEvent::OwnerLost => {
            ": alive\n\n".to_owned()
        }
    }
}

/// Error for a relay that ended without a closing event.
fn relay_lost_error() -> CallError {
    CallError::not_run(ErrorKind::Unavailable, "retry with the same request key")
        .executed(Executed::Unknown)
}
