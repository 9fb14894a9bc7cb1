//! Stand-in of the platform's metadata store: the log calls that the gateways use.

use crate::http::{Conn, answer};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Limits of the pages' settings example.
pub const RECORD_BYTES: usize = 262_144;
pub const CALL_BYTES: usize = 2_097_152;
const APPEND_TIME: Duration = Duration::from_millis(4);
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: Option<u64>,
    /// Sequence, offset and end of the last five appends.
    last: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Part {
    first: u64,
    records: VecDeque<Vec<u8>>,
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

impl Part {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, record: Vec<u8>) {
        let offset = self.end();
        let length = usize::from(record[0]);
        let (key, value) = (record[1..=length].to_vec(), record[1 + length..].to_vec());
        match value.is_empty() {
            true => self.newest.remove(&key),
            false => self.newest.insert(key, (offset, value)),
        };
        self.records.push_back(record);
    }
}

#[derive(Default)]
struct State {
    parts: HashMap<(String, u32), Part>,
    /// Appends that were refused because they are over the store's limits.
    oversize: u64,
}

#[derive(Clone)]
pub struct Store {
    /// One address for each gateway.
    pub addresses: Vec<SocketAddr>,
    state: Arc<(Mutex<State>, Condvar)>,
    /// Gateways that are turned away with 429.
    throttled: Arc<Mutex<Vec<usize>>>,
}

impl Store {
    pub fn start(gateways: usize) -> Self {
        let listeners: Vec<TcpListener> =
            (0..gateways).map(|_| TcpListener::bind("127.0.0.1:0").expect("bind the store")).collect();
        let store = Self {
            addresses: listeners.iter().map(|listener| listener.local_addr().expect("address")).collect(),
            state: Arc::default(),
            throttled: Arc::default(),
        };
        for (gateway, listener) in listeners.into_iter().enumerate() {
            let inner = store.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = inner.clone();
                    std::thread::spawn(move || store.serve(Conn::new(stream), gateway));
                }
            });
        }
        store
    }

    /// Turns these gateways away, and serves all others.
    pub fn throttle(&self, gateways: &[usize]) {
        *self.throttled.lock().expect("lock") = gateways.to_vec();
        self.state.1.notify_all();
    }

    fn is_throttled(&self, gateway: usize) -> bool {
        self.throttled.lock().expect("lock").contains(&gateway)
    }

    /// Writes a record as the operator or a server.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("lock");
        state.parts.entry((topic.to_owned(), 0)).or_default().push(record);
        changed.notify_all();
    }

    pub fn oversize(&self) -> u64 {
        self.state.0.lock().expect("lock").oversize
    }

    fn serve(&self, mut conn: Conn, gateway: usize) {
        while let Ok(Some(head)) = conn.head() {
            let Ok(Some(body)) = conn.whole_body(&head) else { return };
            let target = head.target().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: HashMap<&str, &str> =
                query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            let (status, body) = match path {
                _ if self.is_throttled(gateway) => (429, b"{}".to_vec()),
                "/fieldhook/log-append" => self.append(&query, &body),
                "/fieldhook/log-read" => self.read(&query),
                "/fieldhook/log-newest" => self.newest(&query),
                "/fieldhook/log-trim" => self.trim(&body),
                _ => (404, b"{}".to_vec()),
            };
            if !conn.send(&answer(status, &[("Content-Type", "application/json")], &body)) {
                return;
            }
        }
    }

    fn append(&self, query: &HashMap<&str, &str>, mut body: &[u8]) -> (u16, Vec<u8>) {
        std::thread::sleep(APPEND_TIME);
        let too_large = body.len() > CALL_BYTES;
        let mut records = Vec::new();
        while body.len() >= 4 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            if body.len() < 4 + length || length == 0 {
                return (400, b"{\"why\":\"record\"}".to_vec());
            }
            records.push(body[4..4 + length].to_vec());
            body = &body[4 + length..];
        }
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("lock");
        // "records, each a length followed by at most `record_bytes`, with `call_bytes` in all; the
        // call succeeds entirely or not at all".
        if too_large || records.iter().any(|record| record.len() > RECORD_BYTES) {
            state.oversize += 1;
            return (400, b"{\"why\":\"size\"}".to_vec());
        }
        let part = state.parts.entry(part_of(query)).or_default();
        let sequence = number(query, "sequence").unwrap_or(0);
        if let Some(name) = query.get("producer") {
            let epoch = number(query, "epoch").unwrap_or(0);
            let producer = part.producers.entry((*name).to_owned()).or_default();
            if epoch < producer.epoch {
                return (409, b"{\"why\":\"fenced\"}".to_vec());
            }
            if epoch > producer.epoch {
                *producer = Producer { epoch, ..Producer::default() };
            }
            if !records.is_empty() {
                if let Some((_, offset, end)) =
                    producer.last.iter().find(|(known, _, _)| *known == sequence)
                {
                    return (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes());
                }
                if let Some(next) = producer.next
                    && next != sequence
                {
                    return (409, format!("{{\"why\":\"seq\",\"wanted\":{next}}}").into_bytes());
                }
            }
        }
        let offset = part.end();
        if number(query, "timestamp").is_some_and(|expected| expected != offset) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        let is_empty = records.is_empty();
        records.into_iter().for_each(|record| part.push(record));
        let end = part.end();
        if let Some(name) = query.get("producer")
            && !is_empty
            && let Some(producer) = part.producers.get_mut(*name)
        {
            producer.next = Some(sequence + 1);
            producer.last.push_back((sequence, offset, end));
            if producer.last.len() > 5 {
                producer.last.pop_front();
            }
        }
        changed.notify_all();
        (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
    }

    fn read(&self, query: &HashMap<&str, &str>) -> (u16, Vec<u8>) {
        let from = number(query, "from-revision").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number(query, "wait-ms").unwrap_or(0));
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("lock");
        loop {
            let part = state.parts.entry(part_of(query)).or_default();
            if from < part.first {
                return (410, format!("{{\"first\":{}}}", part.first).into_bytes());
            }
            let left = until.saturating_duration_since(Instant::now());
            if part.end() > from || left.is_zero() {
                let mut body = part.end().to_be_bytes().to_vec();
                body.extend_from_slice(&part.first.to_be_bytes());
                for record in part.records.iter().skip((from - part.first) as usize) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                    if body.len() > 1 << 20 {
                        break;
                    }
                }
                return (200, body);
            }
            state = changed.wait_timeout(state, left).expect("lock").0;
        }
    }

    fn newest(&self, query: &HashMap<&str, &str>) -> (u16, Vec<u8>) {
        let after = query.get("after").map(|text| percent_decode(text));
        let mut state = self.state.0.lock().expect("lock");
        let part = state.parts.entry(part_of(query)).or_default();
        let mut items = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, (offset, value)) in &part.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() >= PAGE_RECORDS || bytes > PAGE_BYTES {
                more = true;
                break;
            }
            bytes += value.len();
            let mut text = String::new();
            for byte in String::from_utf8_lossy(key).chars() {
                match byte {
                    '"' | '\\' => text.extend(['\\', byte]),
                    byte if (byte as u32) < 32 => text.push_str(&format!("\\u{:04x}", byte as u32)),
                    byte => text.push(byte),
                }
            }
            items.push(format!(
                "{{\"private-key\":\"{text}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            ));
        }
        let body = format!(
            "{{\"items\":[{}],\"has-more\":{more},\"end\":{}}}",
            items.join(","),
            part.end()
        );
        (200, body.into_bytes())
    }

    fn trim(&self, body: &[u8]) -> (u16, Vec<u8>) {
        let text = String::from_utf8_lossy(body);
        let field = |name: &str| {
            let rest = text.split_once(&format!("\"{name}\":"))?.1.trim_start();
            let value = rest.trim_start_matches('"');
            Some(value.split(['"', ',', '}']).next().unwrap_or("").to_owned())
        };
        let (Some(topic), Some(part), Some(before)) = (field("topic"), field("part"), field("before"))
        else {
            return (400, b"{}".to_vec());
        };
        let mut state = self.state.0.lock().expect("lock");
        let key = (topic, part.parse().unwrap_or(0));
        let part = state.parts.entry(key).or_default();
        let before: u64 = before.parse().unwrap_or(0);
        while part.first < before && part.records.pop_front().is_some() {
            part.first += 1;
        }
        (200, b"{}".to_vec())
    }
}

fn part_of(query: &HashMap<&str, &str>) -> (String, u32) {
    let topic = query.get("topic").copied().unwrap_or("").to_owned();
    (topic, number(query, "part").unwrap_or(0) as u32)
}

fn number(query: &HashMap<&str, &str>, name: &str) -> Option<u64> {
    query.get(name)?.parse().ok()
}

fn percent_decode(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = (bytes[index] == b'%').then(|| text.get(index + 1..index + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    decoded
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for group in bytes.chunks(3) {
        let word = group.iter().enumerate().fold(0_u32, |word, (index, byte)| {
            word | u32::from(*byte) << (16 - 8 * index)
        });
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(char::from(SIGNS[(word >> (18 - 6 * index) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
