//! Heads of requests and answers.

use super::body::Framing;
use super::headers::Headers;
use bytes::{Buf, BytesMut};
use std::fmt;

const MAX_FIELDS: usize = 128;

/// Why a message cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// Not HTTP/1.1, or ambiguous.
    Malformed(&'static str),
    /// The head is over the limit.
    TooLarge,
}

impl fmt::Display for HeadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(problem) => write!(
                formatter,
                "malformed message: {problem}; send HTTP/1.1 with one Host and one length"
            ),
            Self::TooLarge => write!(formatter, "head too large; send fewer or shorter fields"),
        }
    }
}

impl std::error::Error for HeadError {}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method as it came.
    pub method: String,
    /// Path with query as it came.
    pub target: String,
    /// Host that it names.
    pub host: String,
    /// Fields.
    pub headers: Headers,
    /// How its body is framed.
    pub framing: Framing,
    /// The connection may serve another request.
    pub keep_alive: bool,
    /// The client waits for a go-ahead before it sends the body.
    pub expects_continue: bool,
}

/// Head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Fields.
    pub headers: Headers,
    /// How its body is framed.
    pub framing: Framing,
    /// The connection may serve another request.
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
        return Err(HeadError::Malformed("two lengths"));
    }
    let is_numeric = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let length = std::str::from_utf8(value).ok().filter(|_| is_numeric);
    length
        .and_then(|text| text.parse().ok())
        .map(Some)
        .ok_or(HeadError::Malformed("length is not a number"))
}

/// Whether the body comes in chunks.
fn is_chunked(headers: &Headers) -> Result<bool, HeadError> {
    let mut values = headers.get_all("transfer-encoding");
    let Some(value) = values.next() else {
        return Ok(false);
    };
    let is_only_chunked = values.next().is_none() && value.eq_ignore_ascii_case(b"chunked");
    if is_only_chunked {
        Ok(true)
    } else {
        Err(HeadError::Malformed("transfer encoding other than chunked"))
    }
}

/// Takes a request's head off the buffer, once it is there whole.
///
/// # Errors
/// The head is malformed, ambiguous or over `limit` bytes.
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
        Err(_) => return Err(HeadError::Malformed("not a request")),
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
        return Err(HeadError::Malformed("target is not a path"));
    }
    let host = match headers.text("host") {
        Some(host) if !host.is_empty() && headers.get_all("host").count() == 1 => host.to_owned(),
        _ => return Err(HeadError::Malformed("not exactly one host")),
    };
    let framing = match (is_chunked(&headers)?, content_length(&headers)?) {
        (true, Some(_)) => return Err(HeadError::Malformed("chunks and a length")),
        (true, None) => Framing::Chunked,
        (false, Some(length)) => Framing::Length(length),
        (false, None) => Framing::Empty,
    };
    let is_http11 = request.version == Some(1);
    if !is_http11 && framing == Framing::Chunked {
        return Err(HeadError::Malformed("chunks in HTTP/1.0"));
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

/// Takes an answer's head off the buffer, once it is there whole. Interim answers
/// (1xx) are passed over.
///
/// # Errors
/// The bytes form no answer.
pub fn decode_response_head(
    buffer: &mut BytesMut,
    limit: usize,
    request_method: &str,
) -> Result<Option<ResponseHead>, HeadError> {
    loop {
        let Some((length, head)) = parse_response(buffer, limit, request_method)? else {
            return Ok(None);
        };
        buffer.advance(length);
        if head.status >= 200 {
            return Ok(Some(head));
        }
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
        Err(_) => return Err(HeadError::Malformed("not an answer")),
    };
    let status = response.code.unwrap_or_default();
    let headers = collect_headers(response.headers);
    let has_no_body = request_method == "HEAD" || status == 204 || status == 304 || status < 200;
    let framing = match (is_chunked(&headers)?, content_length(&headers)?) {
        _ if has_no_body => Framing::Empty,
        (true, Some(_)) => return Err(HeadError::Malformed("chunks and a length")),
        (true, None) => Framing::Chunked,
        (false, Some(length)) => Framing::Length(length),
        (false, None) => Framing::UntilClose,
    };
    let head = ResponseHead {
        status,
        reason: response.reason.unwrap_or_default().to_owned(),
        framing,
        keep_alive: response.version == Some(1)
            && framing != Framing::UntilClose
            && !headers.contains_token("connection", "close"),
        headers,
    };
    Ok(Some((length, head)))
}
