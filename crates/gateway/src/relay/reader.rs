//! The followed topics as a reader keeps them, and how it serves them to other daemons.

use super::{Relay, packed};
use fieldhook_ledger::message::{FollowTopic, LedgerReply, ListTopic, TopicRecords};
use fieldhook_log::api::{KeyedRecord, NewestPage, ReadBatch};
use fieldhook_log::follow::READ_MARGIN;
use fieldhook_log::mirror::{Mirror, ReadResult};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Maximum number of packed pages kept: enough for twenty times the servers of the largest
/// deployment.
const MAX_PAGES: usize = 400;
/// Maximum number of packed batches kept. The daemons that follow a topic are at most a few batches
/// apart.
const MAX_BATCHES: usize = 8;
/// How long a request for a listing is held while this daemon has not read the topic itself yet.
const MAX_LIST_HOLD: Duration = Duration::from_millis(600);

/// The topics that are read for other daemons.
#[derive(Default)]
pub struct ReaderTopics {
    topics: RefCell<HashMap<String, Rc<FollowedTopic>>>,
}

impl ReaderTopics {
    /// Returns a topic, creating it if it does not exist yet.
    pub fn topic(&self, name: &str) -> Rc<FollowedTopic> {
        if let Some(topic) = self.topics.borrow().get(name) {
            return topic.clone();
        }
        let mut topics = self.topics.borrow_mut();
        topics.entry(name.to_owned()).or_default().clone()
    }
}

/// A page of a listing, packed once for all daemons that request it.
struct Page {
    packed: Vec<u8>,
    end: u64,
    more_after: Option<Vec<u8>>,
}

/// The state of a topic that is read for other daemons.
#[derive(Default)]
pub struct FollowedTopic {
    pub(super) mirror: RefCell<Mirror>,
    pages: RefCell<HashMap<Option<Vec<u8>>, Rc<Page>>>,
    /// The last packed batches with their first and end offsets. A batch is packed once for all
    /// daemons that wait for the same records.
    packed_batches: RefCell<VecDeque<(u64, u64, Vec<u8>)>>,
    /// When the log last confirmed that the mirror is complete.
    confirmed: Cell<Option<Instant>>,
    changed: Notify,
}

impl FollowedTopic {
    /// Applies a page of a listing.
    pub fn apply_page(&self, after: Option<&[u8]>, page: &NewestPage) {
        self.mirror.borrow_mut().apply_page(after, page);
        if page.more_after.is_none() {
            self.confirmed.set(Some(Instant::now()));
            self.changed.notify_waiters();
        }
    }

    /// Applies the result of a read of the log that was started at `started` with the given wait. A
    /// result that arrives too late may have waited in the socket while this process was paused, so
    /// the mirror then counts as confirmed only at the start of the read.
    pub fn apply_batch(&self, from: u64, batch: &ReadBatch, started: Instant, wait: Duration) {
        self.mirror.borrow_mut().apply_batch(from, batch);
        let is_late = started.elapsed() > wait + READ_MARGIN;
        let confirmed = if is_late { started } else { Instant::now() };
        self.confirmed.set(Some(confirmed));
        self.changed.notify_waiters();
    }

    /// Applies records received from another reader.
    pub fn apply_relayed(&self, from: u64, batch: &ReadBatch) {
        self.mirror.borrow_mut().apply_batch(from, batch);
        let age = Duration::from_millis(batch.age_ms);
        if let Some(at) = Instant::now().checked_sub(age)
            && self.confirmed.get().is_none_or(|known| known < at)
        {
            self.confirmed.set(Some(at));
        }
        self.changed.notify_waiters();
    }

    /// Discards the mirrored records.
    pub fn forget(&self) {
        self.mirror.replace(Mirror::default());
        self.packed_batches.borrow_mut().clear();
    }

    fn age_ms(&self) -> u64 {
        let confirmed = self.confirmed.get();
        confirmed.map_or(u64::MAX, |at| at.elapsed().as_millis() as u64)
    }

    /// Returns when the mirror becomes too old to be served.
    fn expires_at(&self, max_age_ms: u64) -> Option<Instant> {
        Some(self.confirmed.get()? + Duration::from_millis(max_age_ms))
    }

    /// Returns a packed page of a listing. A packed page is reused while the mirror still holds all
    /// records from the end offset of the page on, so that a receiver can read on from there.
    fn page(&self, after: Option<Vec<u8>>) -> Option<Rc<Page>> {
        let mirror = self.mirror.borrow();
        let mut pages = self.pages.borrow_mut();
        if let Some(page) = pages.get(&after)
            && mirror.is_complete()
            && page.end >= mirror.first_recent()
        {
            return Some(page.clone());
        }
        let fresh = mirror.page(after.as_deref())?;
        let page = Rc::new(Page {
            packed: packed::pack(&fresh.records),
            end: fresh.end,
            more_after: fresh.more_after,
        });
        if pages.len() >= MAX_PAGES {
            pages.clear();
        }
        pages.insert(after, page.clone());
        Some(page)
    }

    fn reply(&self, records: &[(u64, KeyedRecord)], from: u64) -> LedgerReply {
        let next = records.last().map_or(from, |(offset, _)| offset + 1);
        LedgerReply::Topic(TopicRecords {
            packed: self.packed(records, from, next),
            end_offset: self.mirror.borrow().end(),
            next_offset: next,
            more_after: None,
            age_ms: self.age_ms(),
        })
    }

    fn packed(&self, records: &[(u64, KeyedRecord)], from: u64, next: u64) -> Vec<u8> {
        let mut batches = self.packed_batches.borrow_mut();
        let known = batches
            .iter()
            .find(|(first, end, _)| (*first, *end) == (from, next));
        if let Some((_, _, packed)) = known {
            return packed.clone();
        }
        let packed = packed::pack(records);
        if batches.len() >= MAX_BATCHES {
            batches.pop_front();
        }
        batches.push_back((from, next, packed.clone()));
        packed
    }
}

impl Relay {
    fn is_serving(&self) -> bool {
        self.is_reader() && !self.is_stopped.get()
    }

    /// Serves a request for the records from an offset on. Replies once there are records, the hold
    /// time is over or the mirror is too old.
    pub async fn serve_records(&self, request: &FollowTopic) -> LedgerReply {
        if !self.is_serving() {
            return LedgerReply::NotReader;
        }
        let topic = self.topics.topic(&request.topic);
        let hold = Duration::from_millis(request.wait_ms).min(self.hold);
        let max_age_ms = self.max_age_ms();
        let until = Instant::now() + hold;
        loop {
            let changed = topic.changed.notified();
            let read = topic.mirror.borrow().read(request.from_offset);
            let is_over = Instant::now() >= until;
            match read {
                ReadResult::Records(records) => return topic.reply(&records, request.from_offset),
                ReadResult::Truncated => {
                    return LedgerReply::TopicGone(topic.mirror.borrow().first_recent());
                }
                ReadResult::Empty if is_over || topic.age_ms() > max_age_ms => {
                    return topic.reply(&[], request.from_offset);
                }
                ReadResult::Ahead if is_over => return LedgerReply::NotReader,
                ReadResult::Empty | ReadResult::Ahead => {}
            }
            let expires_at = topic
                .expires_at(max_age_ms)
                .filter(|at| *at > Instant::now());
            let next = expires_at.map_or(until, |at| at.min(until));
            tokio::select! {
                () = changed => {}
                () = sleep_until(next) => {}
            }
        }
    }

    /// Serves a request for a page of a listing.
    pub async fn serve_page(&self, request: &ListTopic) -> LedgerReply {
        if !self.is_serving() {
            return LedgerReply::NotReader;
        }
        let topic = self.topics.topic(&request.topic);
        let until = Instant::now() + MAX_LIST_HOLD;
        loop {
            let changed = topic.changed.notified();
            if let Some(page) = topic.page(request.after_key.clone()) {
                return LedgerReply::Topic(TopicRecords {
                    packed: page.packed.clone(),
                    end_offset: page.end,
                    next_offset: page.end,
                    more_after: page.more_after.clone(),
                    age_ms: topic.age_ms(),
                });
            }
            if timeout_at(until, changed).await.is_err() {
                return LedgerReply::NotReader;
            }
        }
    }
}
