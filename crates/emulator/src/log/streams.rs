//! Append-only streams with offsets, append and read with wait, nothing more.

use crate::faults::Faults;
use fieldhook_http::json;
use fieldhook_model::platform::{AppendResponse, LogPage, LogRecord};
use ntex::time::{Millis, sleep};
use ntex::util::Bytes;
use ntex::web::{HttpResponse, types};
use serde::Deserialize;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

const POLL: Millis = Millis(5);
/// Most bytes in one page, so that a long stream is read in parts.
const PAGE_BYTES: usize = 8 << 20;

/// All streams.
#[derive(Clone, Default)]
pub struct Streams {
    records: Rc<RefCell<BTreeMap<String, Vec<String>>>>,
}

impl Streams {
    fn append(&self, name: &str, data: String) -> u64 {
        let mut streams = self.records.borrow_mut();
        let stream = streams.entry(name.to_owned()).or_default();
        stream.push(data);
        stream.len() as u64 - 1
    }

    fn page(&self, name: &str, from: u64) -> LogPage {
        let streams = self.records.borrow();
        let stream = streams
            .get(name)
            .map_or(&[][..], |stream| stream.as_slice());
        let mut bytes = 0;
        let mut records = Vec::new();
        for (offset, data) in stream.iter().enumerate().skip(from as usize) {
            bytes += data.len();
            if bytes > PAGE_BYTES && !records.is_empty() {
                break;
            }
            records.push(LogRecord {
                offset: offset as u64,
                data: data.clone(),
            });
        }
        LogPage {
            records,
            end: stream.len() as u64,
        }
    }
}

/// Where to read, and how long to wait for a record.
#[derive(Deserialize)]
pub struct ReadQuery {
    #[serde(default)]
    from: u64,
    #[serde(default)]
    wait_ms: u64,
}

/// Appends a record to a stream.
pub async fn append_record(
    streams: types::State<Streams>,
    faults: types::State<Faults>,
    name: types::Path<String>,
    body: Bytes,
) -> HttpResponse {
    if let Err(answer) = faults.before().await {
        return answer;
    }
    let offset = streams.append(&name, String::from_utf8_lossy(&body).into_owned());
    faults.after(json(200, &AppendResponse { offset })).await
}

/// Reads a stream from an offset on.
pub async fn read_records(
    streams: types::State<Streams>,
    faults: types::State<Faults>,
    name: types::Path<String>,
    query: types::Query<ReadQuery>,
) -> HttpResponse {
    if let Err(answer) = faults.before().await {
        return answer;
    }
    let begun = Instant::now();
    let wait = Duration::from_millis(query.wait_ms);
    loop {
        let page = streams.page(&name, query.from);
        if !page.records.is_empty() || begun.elapsed() >= wait {
            return json(200, &page);
        }
        sleep(POLL).await;
    }
}
