//! Answers of a server.

use futures_util::stream::{self, Stream};
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use serde::Serialize;
use std::io;

fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// A JSON answer.
pub fn json<T: Serialize>(status: u16, value: &T) -> HttpResponse {
    HttpResponse::build(status_code(status)).json(value)
}

/// A plain text answer.
pub fn text(status: u16, body: impl Into<String>) -> HttpResponse {
    HttpResponse::build(status_code(status))
        .content_type("text/plain")
        .body(body.into())
}

/// An answer of server-sent events.
pub fn event_stream<S>(events: S) -> HttpResponse
where
    S: Stream<Item = Result<Bytes, io::Error>> + 'static,
{
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .streaming(Box::pin(events))
}

/// An answer that breaks off, as when the connection is lost after the effect.
pub fn aborted() -> HttpResponse {
    let broken = Err::<Bytes, _>(io::Error::from(io::ErrorKind::ConnectionAborted));
    HttpResponse::Ok().streaming(Box::pin(stream::iter([broken])))
}
