//! Parsing of request and response heads.

use super::body::Framing;
use super::headers::Headers;
use bytes::{Buf, BytesMut};
use std::fmt;

/// Maximum number of header fields in a head.
const MAX_FIELDS: usize = 128;

/// Why a message head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The head is not valid HTTP/1.1, or is ambiguous.
    Malformed(&'static str),
    /// The head exceeds the size limit.
    TooLarge,
}

impl fmt::Display for HeadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(problem) => write!(
                formatter,
                "malformed message: {problem}; send HTTP/1.1 with one Host and one body length"
            ),
            Self::TooLarge => write!(
                formatter,
                "message head too large; send fewer or shorter header fields"
            ),
        }
    }
}

impl std::error::Error for HeadError {}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method as received.
    pub method: String,
    /// Request target (path and query) as received.
    pub target: String,
    /// Value of the `Host` field.
    pub host: String,
    /// Header fields.
    pub headers: Headers,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the connection may serve another request.
    pub keep_alive: bool,
    /// Whether the client sent `Expect: 100-continue`.
    pub expects_continue: bool,
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Header fields.
    pub headers: Headers,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the connection may serve another request.
    pub keep_alive: bool,
}

fn collect_headers(parsed: &[httparse::Header<'_>]) -> Headers {
    let mut headers = Headers::default();
    for field in parsed {
        headers.append(field.name, field.value.to_vec());
    }
    headers
}

fn content_length(headers: &Headers) -> Result<Option<u64>, HeadError> {
    let mut values = headers.get_all("content-length");
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(HeadError::Malformed("more than one Content-Length"));
    }
    let is_numeric = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let length = std::str::from_utf8(value).ok().filter(|_| is_numeric);
    length
        .and_then(|text| text.parse().ok())
        .map(Some)
        .ok_or(HeadError::Malformed("Content-Length is not a number"))
}

/// Whether the body uses chunked transfer coding.
fn is_chunked(headers: &Headers) -> Result<bool, HeadError> {
    let mut values = headers.get_all("transfer-encoding");
    let Some(value) = values.next() else {
        return Ok(false);
    };
    let is_only_chunked = values.next().is_none() && value.eq_ignore_ascii_case(b"chunked");
    if is_only_chunked {
        Ok(true)
    } else {
        Err(HeadError::Malformed("Transfer-Encoding other than chunked"))
    }
}

/// Parses and removes a request head from `buffer`. Returns `None` while it is incomplete.
///
/// # Errors
/// The head is malformed, ambiguous or larger than `limit` bytes.
pub fn decode_request_head(
    buffer: &mut BytesMut,
    limit: usize,
) -> Result<Option<RequestHead>, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > limit => return Err(HeadError::TooLarge),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
        Err(_) => return Err(HeadError::Malformed("invalid request head")),
    };
    if length > limit {
        return Err(HeadError::TooLarge);
    }
    let head = request_head(&request)?;
    buffer.advance(length);
    Ok(Some(head))
}

fn request_head(request: &httparse::Request<'_, '_>) -> Result<RequestHead, HeadError> {
    let headers = collect_headers(request.headers);
    let target = request.path.unwrap_or_default();
    if !target.starts_with('/') {
        return Err(HeadError::Malformed("request target is not a path"));
    }
    let host = match headers.text("host") {
        Some(host) if !host.is_empty() && headers.get_all("host").count() == 1 => host.to_owned(),
        _ => return Err(HeadError::Malformed("Host is missing or repeated")),
    };
    let framing = match (is_chunked(&headers)?, content_length(&headers)?) {
        (true, Some(_)) => {
            return Err(HeadError::Malformed(
                "both Transfer-Encoding and Content-Length",
            ));
        }
        (true, None) => Framing::Chunked,
        (false, Some(length)) => Framing::Length(length),
        (false, None) => Framing::Empty,
    };
    let is_http11 = request.version == Some(1);
    if !is_http11 && framing == Framing::Chunked {
        return Err(HeadError::Malformed("Transfer-Encoding in HTTP/1.0"));
    }
    Ok(RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: target.to_owned(),
        host,
        framing,
        keep_alive: is_http11 && !headers.contains_token("connection", "close"),
        expects_continue: headers.contains_token("expect", "100-continue"),
        headers,
    })
}

/// Whether a line ends with a line feed alone. The parser accepts that, but a damaged byte could then
/// end the head, and the rest of it would become the body.
fn has_bare_line_feed(head: &[u8]) -> bool {
    let mut before = 0;
    head.iter()
        .any(|byte| std::mem::replace(&mut before, *byte) != b'\r' && *byte == b'\n')
}

/// Checks that a response is one that may follow any request.
fn check_status(status: u16, headers: &Headers) -> Result<(), HeadError> {
    let has_body = headers.has("content-length") || headers.has("transfer-encoding");
    match status {
        101 => Err(HeadError::Malformed(
            "a switch of protocols that was not asked for",
        )),
        100..=199 if has_body => Err(HeadError::Malformed("an interim response with a body")),
        100..=599 => Ok(()),
        _ => Err(HeadError::Malformed("the status is not one of 100 to 599")),
    }
}

/// Incremental decoder for the head of one response. Interim responses (1xx) before it are skipped,
/// and count towards its size: a server may send them without end.
#[derive(Clone, Copy, Debug)]
pub struct ResponseHeadDecoder<'a> {
    /// Number of bytes that may still be read.
    limit: usize,
    request_method: &'a str,
}

impl<'a> ResponseHeadDecoder<'a> {
    /// Creates a decoder for the response to a request with this method.
    pub fn new(limit: usize, request_method: &'a str) -> Self {
        Self {
            limit,
            request_method,
        }
    }

    /// Parses and removes the head from `buffer`. Returns `None` while it is incomplete.
    ///
    /// # Errors
    /// The head is malformed, or larger than the limit.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<ResponseHead>, HeadError> {
        while let Some((length, head)) = parse_response(buffer, self.limit, self.request_method)? {
            buffer.advance(length);
            if head.status >= 200 {
                return Ok(Some(head));
            }
            let left = self.limit.checked_sub(length);
            self.limit = left.ok_or(HeadError::TooLarge)?;
        }
        Ok(None)
    }
}

fn parse_response(
    buffer: &BytesMut,
    limit: usize,
    request_method: &str,
) -> Result<Option<(usize, ResponseHead)>, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > limit => return Err(HeadError::TooLarge),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(HeadError::Malformed("invalid response head")),
    };
    if has_bare_line_feed(&buffer[..length]) {
        return Err(HeadError::Malformed(
            "a line feed without a carriage return",
        ));
    }
    let status = response.code.unwrap_or_default();
    let headers = collect_headers(response.headers);
    check_status(status, &headers)?;
    let closes = response.version != Some(1) || headers.contains_token("connection", "close");
    let has_no_body = request_method == "HEAD" || status == 204 || status == 304 || status < 200;
    let framing = match (is_chunked(&headers)?, content_length(&headers)?) {
        _ if has_no_body => Framing::Empty,
        (true, Some(_)) => {
            return Err(HeadError::Malformed(
                "both Transfer-Encoding and Content-Length",
            ));
        }
        (true, None) => Framing::Chunked,
        (false, Some(length)) => Framing::Length(length),
        (false, None) if closes => Framing::UntilClose,
        // A server that stopped within the head may have ended it early.
        (false, None) => {
            return Err(HeadError::Malformed(
                "neither a body length nor an announced close",
            ));
        }
    };
    let head = ResponseHead {
        status,
        reason: response.reason.unwrap_or_default().to_owned(),
        framing,
        keep_alive: !closes,
        headers,
    };
    Ok(Some((length, head)))
}
