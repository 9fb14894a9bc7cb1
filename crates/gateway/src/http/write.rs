//! Encoding of heads and chunks.

use super::headers::Headers;
use std::io::Write;

fn write_fields(bytes: &mut Vec<u8>, headers: &Headers) {
    for field in headers.fields() {
        bytes.extend_from_slice(field.name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(&field.value);
        bytes.extend_from_slice(b"\r\n");
    }
}

/// Encodes a request with its complete body.
pub fn request(method: &str, target: &str, headers: &Headers, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(512 + body.len());
    let _ = write!(bytes, "{method} {target} HTTP/1.1\r\n");
    write_fields(&mut bytes, headers);
    if !body.is_empty() || !matches!(method, "GET" | "HEAD" | "DELETE") {
        let _ = write!(bytes, "content-length: {}\r\n", body.len());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// How the body of a response is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFraming {
    /// `Content-Length` with this many bytes.
    Length(usize),
    /// Chunked transfer coding.
    Chunked,
}

/// Encodes the head of a response.
pub fn response_head(
    status: u16,
    reason: &str,
    headers: &Headers,
    body: ResponseFraming,
    close: bool,
) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(512);
    let _ = write!(bytes, "HTTP/1.1 {status} {reason}\r\n");
    write_fields(&mut bytes, headers);
    match body {
        ResponseFraming::Length(length) if status != 204 && status != 304 => {
            let _ = write!(bytes, "content-length: {length}\r\n");
        }
        ResponseFraming::Length(_) => {}
        ResponseFraming::Chunked => bytes.extend_from_slice(b"transfer-encoding: chunked\r\n"),
    }
    if close {
        bytes.extend_from_slice(b"connection: close\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Encodes one chunk.
pub fn chunk(data: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(data.len() + 16);
    let _ = write!(bytes, "{:x}\r\n", data.len());
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// The last chunk, which ends a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Returns the reason phrase for responses that the gateway generates.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        402 => "Payment Required",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
