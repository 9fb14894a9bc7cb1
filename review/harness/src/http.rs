//! Minimal HTTP/1.1 messages for the stand-ins.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived to its end.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// A connection with what was read from it and not yet used.
pub struct Conn {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

/// Why a read ended without data.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub enum End {
    Closed,
    Reset,
    Late,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn fill(&mut self, until: Option<Instant>) -> Result<(), End> {
        let limit = match until {
            None => None,
            Some(until) => {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(End::Late);
                }
                Some(left)
            }
        };
        let _ = self.stream.set_read_timeout(limit);
        let mut piece = [0; 16 << 10];
        match self.stream.read(&mut piece) {
            Ok(0) => Err(End::Closed),
            Ok(size) => {
                self.buffer.extend_from_slice(&piece[..size]);
                Ok(())
            }
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock | ErrorKind::TimedOut => Err(End::Late),
                ErrorKind::Interrupted => Ok(()),
                _ => Err(End::Reset),
            },
        }
    }

    /// Reads a head; the body follows with [`Conn::body`].
    pub fn head(&mut self, until: Option<Instant>) -> Result<Message, End> {
        loop {
            if let Some(at) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..at + 4).collect();
                let text = String::from_utf8_lossy(&head).into_owned();
                let mut lines = text.trim_end().split("\r\n");
                let start = lines.next().unwrap_or("").to_owned();
                let pairs = lines.filter_map(|line| line.split_once(':'));
                let headers = pairs
                    .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
                    .collect();
                return Ok(Message {
                    start,
                    headers,
                    body: Vec::new(),
                    complete: false,
                });
            }
            self.fill(until)?;
        }
    }

    fn take(&mut self, size: usize, until: Option<Instant>, into: &mut Vec<u8>) -> Result<(), End> {
        let mut left = size;
        while left > 0 {
            if self.buffer.is_empty() {
                self.fill(until)?;
            }
            let now = left.min(self.buffer.len());
            into.extend(self.buffer.drain(..now));
            left -= now;
        }
        Ok(())
    }

    fn line(&mut self, until: Option<Instant>) -> Result<String, End> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line).trim().to_owned());
            }
            self.fill(until)?;
        }
    }

    /// Reads the body of a message. An error leaves what was read in `message.body`.
    pub fn body(
        &mut self,
        message: &mut Message,
        is_answer: bool,
        until: Option<Instant>,
    ) -> Result<(), End> {
        let mut body = std::mem::take(&mut message.body);
        let chunked = message.header("transfer-encoding").is_some();
        let length = message
            .header("content-length")
            .and_then(|text| text.parse::<usize>().ok());
        let result = (|| {
            if chunked {
                loop {
                    let size = usize::from_str_radix(&self.line(until)?, 16).unwrap_or(0);
                    if size == 0 {
                        while !self.line(until)?.is_empty() {}
                        return Ok(());
                    }
                    self.take(size, until, &mut body)?;
                    self.line(until)?;
                }
            }
            match length {
                Some(length) => self.take(length, until, &mut body),
                None if is_answer => loop {
                    body.append(&mut self.buffer);
                    match self.fill(until) {
                        Ok(()) => {}
                        Err(End::Closed) => return Ok(()),
                        Err(end) => return Err(end),
                    }
                },
                None => Ok(()),
            }
        })();
        message.body = body;
        message.complete = result.is_ok();
        result
    }

    pub fn request(&mut self) -> Result<Message, End> {
        let mut message = self.head(None)?;
        self.body(&mut message, false, None)?;
        Ok(message)
    }
}

pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (key, value) in headers {
        text += &format!("{key}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (key, value) in headers {
        text += &format!("{key}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
