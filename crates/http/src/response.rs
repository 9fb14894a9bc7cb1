//! Builders for server responses.

use futures_util::stream::{self, Stream};
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use serde::Serialize;
use std::io;

fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Builds a JSON response.
pub fn json<T: Serialize>(status: u16, value: &T) -> HttpResponse {
    HttpResponse::build(status_code(status)).json(value)
}

/// Builds a plain text response.
pub fn text(status: u16, body: impl Into<String>) -> HttpResponse {
    HttpResponse::build(status_code(status))
        .content_type("text/plain")
        .body(body.into())
}

/// Builds a response that streams server-sent events.
pub fn event_stream<S>(events: S) -> HttpResponse
where
    S: Stream<Item = Result<Bytes, io::Error>> + 'static,
{
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .streaming(Box::pin(events))
}

/// Builds a response whose body is aborted, as if the connection was lost after the request had
/// been executed.
pub fn aborted() -> HttpResponse {
    let error = Err::<Bytes, _>(io::Error::from(io::ErrorKind::ConnectionAborted));
    HttpResponse::Ok().streaming(Box::pin(stream::iter([error])))
}
