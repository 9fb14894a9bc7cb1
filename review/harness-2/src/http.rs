//! Minimal HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A message head with its body framing.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// A connection with its read buffer.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0_u8; 16 << 10];
        let size = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..size]);
        Ok(size > 0)
    }

    /// Reads a head; `None` if the connection ended before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or("").to_owned();
                let fields = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { start, fields }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(text));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, size: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < size {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..size).collect()))
    }

    /// Reads a body piece by piece; returns whether it was complete. `on_piece` returns false to
    /// stop reading.
    pub fn body(&mut self, head: &Head, mut on_piece: impl FnMut(&[u8]) -> bool) -> io::Result<bool> {
        if head.get("transfer-encoding").is_some() {
            loop {
                let Some(line) = self.line()? else { return Ok(false) };
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let Ok(size) = size else { return Ok(false) };
                if size == 0 {
                    let end = self.line()?;
                    return Ok(end.is_some());
                }
                let Some(piece) = self.exactly(size)? else { return Ok(false) };
                if self.exactly(2)?.is_none() {
                    return Ok(false);
                }
                if !on_piece(&piece) {
                    return Ok(false);
                }
            }
        }
        let length = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        match self.exactly(length)? {
            Some(piece) => {
                on_piece(&piece);
                Ok(true)
            }
            None => Ok(false),
        }
    }

    pub fn whole_body(&mut self, head: &Head) -> io::Result<Option<Vec<u8>>> {
        let mut body = Vec::new();
        let complete = self.body(head, |piece| {
            body.extend_from_slice(piece);
            true
        })?;
        Ok(complete.then_some(body))
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

pub fn answer(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} Answer\r\n");
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn chunk(data: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    bytes
}
