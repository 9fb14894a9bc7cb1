//! Stand-in of engines that answer with events, and clients that run turns of programs.

use crate::cluster::{Entry, HOST, Record, keep_entry, new_id};
use crate::http::{Conn, End, answer, request};
use crate::store::Store;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A turn that an engine began to run.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub previous: Option<String>,
    pub last_event: Option<u64>,
    pub body: Vec<u8>,
}

/// How an engine answers a request: its events' data, from the first event on.
pub type Script = Arc<dyn Fn(&Run) -> Vec<Vec<u8>> + Send + Sync>;

#[derive(Clone)]
pub struct Engines {
    pub runs: Arc<Mutex<Vec<Run>>>,
    script: Script,
    pause: Duration,
    record: Record,
}

impl Engines {
    /// Starts engines; each event comes `pause` after the one before.
    pub fn start(
        store: &Store,
        service: &'static str,
        count: usize,
        pause: Duration,
        script: Script,
        record: &Record,
    ) -> io::Result<Self> {
        let engines = Self {
            runs: Arc::default(),
            script,
            pause,
            record: record.clone(),
        };
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let id = format!("i-{}", new_id());
            keep_entry(
                store,
                Entry {
                    id: id.clone(),
                    service,
                    address: listener.local_addr()?,
                    slots: 12,
                },
            );
            let engines = engines.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (id, engines) = (id.clone(), engines.clone());
                    thread::spawn(move || engines.serve(Conn::new(stream), &id));
                }
            });
        }
        Ok(engines)
    }

    fn serve(&self, mut conn: Conn, id: &str) {
        while let Ok(request) = conn.request() {
            if request.target() == "/health" {
                if !conn.send(&answer("200 OK", &[("X-Instance-Id", id)], b"")) {
                    return;
                }
                continue;
            }
            if request
                .header("x-expect-instance")
                .is_some_and(|expected| expected != id)
            {
                conn.send(&answer(
                    "421 Misdirected Request",
                    &[("X-Instance-Id", id)],
                    b"",
                ));
                continue;
            }
            let run = Run {
                id: request.header("x-request-id").unwrap_or("").to_owned(),
                previous: request.header("x-previous-turn").map(str::to_owned),
                last_event: request
                    .header("last-event-id")
                    .and_then(|text| text.parse().ok()),
                body: request.body,
            };
            self.record.line(&format!(
                "{id} runs turn {} (X-Previous-Turn {}, Last-Event-Id {}) with a body of {} bytes",
                run.id,
                run.previous.as_deref().unwrap_or("none"),
                run.last_event
                    .map_or("none".to_owned(), |event| event.to_string()),
                run.body.len()
            ));
            self.runs.lock().unwrap().push(run.clone());
            let events = (self.script)(&run);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {0}\r\nX-Response-Signature: s.{0}\r\n\
                Keep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n",
                run.id
            );
            if !conn.send(head.as_bytes()) {
                return;
            }
            let first = run.last_event.map_or(0, |last| last as usize + 1);
            for (number, data) in events.iter().enumerate().skip(first) {
                thread::sleep(self.pause);
                let mut event = format!("id: {number}\ndata: ").into_bytes();
                event.extend_from_slice(data);
                event.extend_from_slice(b"\n\n");
                let mut chunk = format!("{:x}\r\n", event.len()).into_bytes();
                chunk.extend_from_slice(&event);
                chunk.extend_from_slice(b"\r\n");
                if !conn.send(&chunk) {
                    return;
                }
            }
            if !conn.send(b"0\r\n\r\n") {
                return;
            }
        }
    }
}

/// One client attempt of a turn.
pub struct Attempt<'a> {
    pub path: &'a str,
    pub program: &'a str,
    pub previous: Option<&'a str>,
    pub budget: Option<u64>,
    pub usage: &'a str,
    pub deadline_ms: u64,
    pub input: &'a [u8],
    /// Last event that the client has, and the attempt that brought the first one.
    pub resumes: Option<(u64, &'a str)>,
}

/// What a client got.
pub struct Got {
    pub id: String,
    pub status: u16,
    /// Data of the events, with their ids.
    pub events: Vec<(u64, Vec<u8>)>,
    /// Why the answer ended early; `None` if it is whole.
    pub end: Option<End>,
}

impl Got {
    pub fn is_whole(&self) -> bool {
        self.status == 200 && self.end.is_none()
    }
}

impl Attempt<'_> {
    /// Sends the attempt on a new connection; `on_event` is told of each event as it arrives.
    pub fn send(&self, gateway: SocketAddr, record: &Record, mut on_event: impl FnMut(u64)) -> Got {
        let id = new_id();
        let deadline = self.deadline_ms.to_string();
        let budget = self.budget.map(|budget| budget.to_string());
        let last = self.resumes.map(|(event, _)| event.to_string());
        let session = format!("s{}", self.program);
        let mut headers = vec![
            ("Host", HOST),
            ("X-Request-Id", &*id),
            ("X-Model", "m"),
            ("X-Program-Id", self.program),
            ("X-Session-Id", &*session),
            ("X-Token-Usage", self.usage),
            ("X-Deadline-Ms", &*deadline),
        ];
        headers.extend(budget.as_deref().map(|budget| ("X-Token-Budget", budget)));
        headers.extend(self.previous.map(|previous| ("X-Previous-Turn", previous)));
        headers.extend(last.as_deref().map(|event| ("Last-Event-Id", event)));
        headers.extend(self.resumes.map(|(_, attempt)| ("Resumes", attempt)));
        record.line(&format!(
            "client sends turn {id} of program {} (X-Previous-Turn {}, Last-Event-Id {}) with {} bytes of input",
            self.program,
            self.previous.unwrap_or("none"),
            last.as_deref().unwrap_or("none"),
            self.input.len()
        ));
        let mut got = Got {
            id: id.clone(),
            status: 0,
            events: Vec::new(),
            end: None,
        };
        got.end = self
            .exchange(gateway, &headers, &mut got, &mut on_event)
            .err();
        record.line(&format!(
            "client gets {} for turn {id}, {} events, {}",
            got.status,
            got.events.len(),
            got.end
                .map_or("whole".to_owned(), |end| format!("not whole: {end:?}"))
        ));
        got
    }

    fn exchange(
        &self,
        gateway: SocketAddr,
        headers: &[(&str, &str)],
        got: &mut Got,
        on_event: &mut dyn FnMut(u64),
    ) -> Result<(), End> {
        let mut conn = Conn::connect(gateway).map_err(|_| End::Reset)?;
        if !conn.send(&request("POST", self.path, headers, self.input)) {
            return Err(End::Reset);
        }
        let until = Some(Instant::now() + Duration::from_millis(self.deadline_ms + 300));
        let mut head = conn.head(until)?;
        got.status = head.status();
        if head.header("transfer-encoding").is_none() {
            return conn.body(&mut head, true, until);
        }
        let mut text: Vec<u8> = Vec::new();
        loop {
            let Some(at) = find(&conn.buffer, b"\r\n") else {
                conn.fill(until)?;
                continue;
            };
            let size = std::str::from_utf8(&conn.buffer[..at])
                .ok()
                .and_then(|size| usize::from_str_radix(size.trim(), 16).ok());
            let Some(size) = size else {
                return Err(End::Reset);
            };
            while conn.buffer.len() < at + 2 + size + 2 {
                conn.fill(until)?;
            }
            text.extend_from_slice(&conn.buffer[at + 2..at + 2 + size]);
            conn.buffer.drain(..at + 2 + size + 2);
            if size == 0 {
                return Ok(());
            }
            while let Some(end) = find(&text, b"\n\n") {
                let event: Vec<u8> = text.drain(..end + 2).collect();
                let (mut id, mut data) = (0, Vec::new());
                for line in event.split(|byte| *byte == b'\n') {
                    if let Some(value) = line.strip_prefix(b"id: ") {
                        id = String::from_utf8_lossy(value).parse().unwrap_or(0);
                    } else if let Some(value) = line.strip_prefix(b"data: ") {
                        data = value.to_vec();
                    }
                }
                got.events.push((id, data));
                on_event(id);
            }
        }
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|part| part == wanted)
}
