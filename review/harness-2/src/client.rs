//! Clients: one request on a kept connection, and what came back.

use crate::cluster::HOST;
use crate::http::Conn;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 without a head.
    pub status: u16,
    /// Whether the answer ended whole.
    pub whole: bool,
    /// Ids and data of the events.
    pub events: Vec<(Option<u64>, String)>,
    pub took_ms: u64,
    /// Whether the connection had carried an answer before.
    pub kept: bool,
}

pub struct Client {
    pub address: SocketAddr,
    conn: Option<Conn>,
    used: bool,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, conn: None, used: false }
    }

    /// Sends a request and reads the answer. Reads at most `events` events, then leaves by closing
    /// the connection.
    pub fn send(&mut self, path: &str, fields: &[(&str, String)], body: &[u8], limit: Duration, events: usize) -> Answer {
        let started = Instant::now();
        let mut answer = Answer { kept: self.conn.is_some() && self.used, ..Answer::default() };
        if self.conn.is_none() {
            self.used = false;
            let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_secs(1)) else {
                answer.took_ms = started.elapsed().as_millis() as u64;
                return answer;
            };
            self.conn = Some(Conn::new(stream));
        }
        let Some(mut conn) = self.conn.take() else { return answer };
        let _ = conn.stream.set_read_timeout(Some(limit));
        let mut head = format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\n");
        for (name, value) in fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        conn.send(&bytes);
        let keep = self.read(&mut conn, &mut answer, events);
        answer.took_ms = started.elapsed().as_millis() as u64;
        if keep {
            self.used = true;
            self.conn = Some(conn);
        }
        answer
    }

    /// Returns whether the connection may carry another request.
    fn read(&self, conn: &mut Conn, answer: &mut Answer, limit: usize) -> bool {
        let Ok(Some(head)) = conn.head() else { return false };
        answer.status = head.status();
        let mut text = Vec::new();
        let mut events = Vec::new();
        let whole = conn.body(&head, |piece| {
            text.extend_from_slice(piece);
            while let Some(end) = crate::http::find(&text, b"\n\n") {
                let event: Vec<u8> = text.drain(..end + 2).collect();
                let event = String::from_utf8_lossy(&event).into_owned();
                let id = event.lines().find_map(|line| line.strip_prefix("id: "));
                let data = event.lines().find_map(|line| line.strip_prefix("data: "));
                if let Some(data) = data {
                    events.push((id.and_then(|id| id.parse().ok()), data.to_owned()));
                }
            }
            events.len() < limit
        });
        answer.events = events;
        answer.whole = matches!(whole, Ok(true));
        let closes = head.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        answer.whole && !closes
    }
}
