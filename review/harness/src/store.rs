//! Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"): topics with
//! partitions, fenced and conditional appends, reads that wait, and the newest record of each key.

use crate::http::{Conn, answer};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
const APPEND_TIME: Duration = Duration::from_millis(4);
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct Producer {
    epoch: u64,
    /// Sequence number, offset and end of the last five appends.
    last: Vec<(u64, u64, u64)>,
}

#[derive(Default)]
struct Part {
    /// Records after their four bytes of length; the first has offset `first`.
    records: Vec<Vec<u8>>,
    first: u64,
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

impl Part {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, record: Vec<u8>) {
        let offset = self.end();
        let key_end = 1 + usize::from(record[0]);
        let (key, value) = (record[1..key_end].to_vec(), record[key_end..].to_vec());
        match value.is_empty() {
            true => self.newest.remove(&key),
            false => self.newest.insert(key, (offset, value)),
        };
        self.records.push(record);
    }
}

#[derive(Default)]
struct State {
    parts: Mutex<HashMap<(String, u64), Part>>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let state = store.state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = state.clone();
                thread::spawn(move || serve(Conn::new(stream), &state));
            }
        });
        Ok(store)
    }

    /// Writes a record as the operator or a server.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut parts = self.state.parts.lock().unwrap();
        parts.entry((topic.to_owned(), 0)).or_default().push(record);
        self.state.changed.notify_all();
    }
}

fn serve(mut conn: Conn, state: &State) {
    while let Ok(request) = conn.request() {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let (status, body) = match path {
            "/fieldhook/log-append" => append(state, &query, &request.body),
            "/fieldhook/log-read" => read(state, &query),
            "/fieldhook/log-newest" => newest(state, &query),
            "/fieldhook/log-trim" => trim(state, &String::from_utf8_lossy(&request.body)),
            _ => ("404 Not Found", b"{}".to_vec()),
        };
        if !conn.send(&answer(status, &[], &body)) {
            return;
        }
    }
}

fn number(query: &HashMap<&str, &str>, key: &str) -> Option<u64> {
    query.get(key)?.parse().ok()
}

fn part_key(query: &HashMap<&str, &str>) -> (String, u64) {
    let topic = query.get("topic").copied().unwrap_or("").to_owned();
    (topic, number(query, "part").unwrap_or(0))
}

fn append(state: &State, query: &HashMap<&str, &str>, body: &[u8]) -> (&'static str, Vec<u8>) {
    let mut records = Vec::new();
    let mut rest = body;
    while rest.len() >= 4 {
        let size = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        if rest.len() < 4 + size || size == 0 || size < 1 + usize::from(rest[4]) {
            return ("400 Bad Request", b"{}".to_vec());
        }
        records.push(rest[4..4 + size].to_vec());
        rest = &rest[4 + size..];
    }
    let largest = records.iter().map(Vec::len).max().unwrap_or(0);
    if largest > RECORD_BYTES || body.len() > CALL_BYTES {
        return (
            "413 Content Too Large",
            b"{\"why\":\"record_bytes\"}".to_vec(),
        );
    }
    thread::sleep(APPEND_TIME);
    let mut parts = state.parts.lock().unwrap();
    let part = parts.entry(part_key(query)).or_default();
    let end = part.end();
    if number(query, "timestamp").is_some_and(|wanted| wanted != end) {
        return (
            "412 Precondition Failed",
            format!("{{\"end\":{end}}}").into_bytes(),
        );
    }
    if let Some(name) = query.get("producer") {
        let epoch = number(query, "epoch").unwrap_or(0);
        let sequence = number(query, "sequence").unwrap_or(0);
        let producer = part.producers.entry((*name).to_owned()).or_default();
        if epoch < producer.epoch {
            return ("409 Conflict", b"{\"why\":\"fenced\"}".to_vec());
        }
        if epoch > producer.epoch {
            *producer = Producer {
                epoch,
                last: Vec::new(),
            };
        }
        if !records.is_empty() {
            if let Some((_, offset, end)) = producer.last.iter().find(|last| last.0 == sequence) {
                return (
                    "200 OK",
                    format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
                );
            }
            if let Some((last, ..)) = producer.last.last()
                && sequence != last + 1
            {
                let wanted = last + 1;
                return (
                    "409 Conflict",
                    format!("{{\"why\":\"seq\",\"wanted\":{wanted}}}").into_bytes(),
                );
            }
            producer
                .last
                .push((sequence, end, end + records.len() as u64));
            if producer.last.len() > 5 {
                producer.last.remove(0);
            }
        }
    }
    for record in records {
        part.push(record);
    }
    let new_end = part.end();
    state.changed.notify_all();
    (
        "200 OK",
        format!("{{\"offset\":{end},\"end\":{new_end}}}").into_bytes(),
    )
}

fn read(state: &State, query: &HashMap<&str, &str>) -> (&'static str, Vec<u8>) {
    let key = part_key(query);
    let from = number(query, "from-revision").unwrap_or(0);
    let until =
        Instant::now() + Duration::from_millis(number(query, "wait-ms").unwrap_or(0).min(30_000));
    let mut parts = state.parts.lock().unwrap();
    loop {
        let part = parts.entry(key.clone()).or_default();
        if from < part.first {
            return (
                "410 Gone",
                format!("{{\"first\":{}}}", part.first).into_bytes(),
            );
        }
        let left = until.saturating_duration_since(Instant::now());
        if from < part.end() || left.is_zero() {
            let mut body = part.end().to_be_bytes().to_vec();
            body.extend_from_slice(&part.first.to_be_bytes());
            for record in part.records.iter().skip((from - part.first) as usize) {
                if body.len() > 1_024 << 10 {
                    break;
                }
                body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                body.extend_from_slice(record);
            }
            return ("200 OK", body);
        }
        parts = state.changed.wait_timeout(parts, left).unwrap().0;
    }
}

fn newest(state: &State, query: &HashMap<&str, &str>) -> (&'static str, Vec<u8>) {
    let after = query.get("after").map(|text| percent_decode(text));
    let mut parts = state.parts.lock().unwrap();
    let part = parts.entry(part_key(query)).or_default();
    let mut items = Vec::new();
    let (mut size, mut more) = (0, false);
    for (key, (offset, value)) in &part.newest {
        if after.as_ref().is_some_and(|after| key <= after) {
            continue;
        }
        if items.len() == PAGE_ITEMS || (size > 0 && size + value.len() > PAGE_BYTES) {
            more = true;
            break;
        }
        size += value.len();
        let (key, value) = (escape(&String::from_utf8_lossy(key)), base64(value));
        items.push(format!(
            "{{\"private-key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
        ));
    }
    let body = format!(
        "{{\"items\":[{}],\"has-more\":{more},\"end\":{}}}",
        items.join(","),
        part.end()
    );
    ("200 OK", body.into_bytes())
}

fn trim(state: &State, body: &str) -> (&'static str, Vec<u8>) {
    let field = |name: &str| {
        let rest = &body[body.find(&format!("\"{name}\":"))? + name.len() + 3..];
        Some(
            rest.trim_start()
                .split([',', '}'])
                .next()?
                .trim()
                .trim_matches('"')
                .to_owned(),
        )
    };
    let (Some(topic), Some(number), Some(before)) =
        (field("topic"), field("part"), field("before"))
    else {
        return ("400 Bad Request", b"{}".to_vec());
    };
    let mut parts = state.parts.lock().unwrap();
    let part = parts
        .entry((topic, number.parse().unwrap_or(0)))
        .or_default();
    let before: u64 = before.parse().unwrap_or(0);
    let drop = before.min(part.end()).saturating_sub(part.first);
    part.records.drain(..drop as usize);
    part.first += drop;
    ("200 OK", b"{}".to_vec())
}

fn percent_decode(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text
            .get(at + 1..at + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match hex.filter(|_| bytes[at] == b'%') {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    out
}

fn escape(text: &str) -> String {
    let mut out = String::new();
    for sign in text.chars() {
        match sign {
            '"' => out += "\\\"",
            '\\' => out += "\\\\",
            sign if (sign as u32) < 0x20 => out += &format!("\\u{:04x}", sign as u32),
            sign => out.push(sign),
        }
    }
    out
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for three in bytes.chunks(3) {
        let value = three
            .iter()
            .fold(0u32, |value, byte| value << 8 | u32::from(*byte))
            << (8 * (3 - three.len()));
        for place in 0..4 {
            match place <= three.len() {
                true => out.push(char::from(SIGNS[(value >> (18 - 6 * place) & 63) as usize])),
                false => out.push('='),
            }
        }
    }
    out
}
