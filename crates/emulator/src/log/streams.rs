//! Append-only streams over HTTP, with appends and long-polling reads.

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

/// Interval at which a waiting read checks for new records.
const POLL_INTERVAL: Millis = Millis(5);
/// Maximum record bytes in a page, so that a long stream is read in several pages. A page holds
/// at least one record.
const PAGE_BYTES: usize = 8 << 20;

/// The records of all streams, by stream name.
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

/// Start offset of a read and how long it waits for a record.
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
    if let Err(response) = faults.before_request().await {
        return response;
    }
    let offset = streams.append(&name, String::from_utf8_lossy(&body).into_owned());
    faults
        .finish_request(json(200, &AppendResponse { offset }))
        .await
}

/// Reads a stream, starting at an offset.
pub async fn read_records(
    streams: types::State<Streams>,
    faults: types::State<Faults>,
    name: types::Path<String>,
    query: types::Query<ReadQuery>,
) -> HttpResponse {
    if let Err(response) = faults.before_request().await {
        return response;
    }
    let started = Instant::now();
    let wait = Duration::from_millis(query.wait_ms);
    loop {
        let page = streams.page(&name, query.from);
        if !page.records.is_empty() || started.elapsed() >= wait {
            return json(200, &page);
        }
        sleep(POLL_INTERVAL).await;
    }
}
