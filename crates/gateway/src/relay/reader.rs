//! What a reader keeps of followed topics, and how it answers those who ask.

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

/// Pages that are kept packed: those of twenty times the servers of the largest sheet.
const MAX_PAGES: usize = 400;
/// Batches that are kept packed: askers differ by a few batches.
const MAX_BATCHES: usize = 8;
/// How long a listing is held where this daemon has yet to read the topic itself.
const MAX_LIST_HOLD: Duration = Duration::from_millis(600);

/// Topics that are read for others.
#[derive(Default)]
pub struct ReaderTopics {
    topics: RefCell<HashMap<String, Rc<FollowedTopic>>>,
}

impl ReaderTopics {
    /// One of them.
    pub fn topic(&self, name: &str) -> Rc<FollowedTopic> {
        if let Some(topic) = self.topics.borrow().get(name) {
            return topic.clone();
        }
        let mut topics = self.topics.borrow_mut();
        topics.entry(name.to_owned()).or_default().clone()
    }
}

/// A page of a listing, packed once for all who ask for it.
struct Page {
    packed: Vec<u8>,
    end: u64,
    more_after: Option<Vec<u8>>,
}

/// A topic as it was read.
#[derive(Default)]
pub struct FollowedTopic {
    pub(super) mirror: RefCell<Mirror>,
    pages: RefCell<HashMap<Option<Vec<u8>>, Rc<Page>>>,
    /// What the last askers were told, by the offsets that it stands between: those who wait for
    /// the same news get the same bytes.
    packed_batches: RefCell<VecDeque<(u64, u64, Vec<u8>)>>,
    /// When the log confirmed last that this is all.
    confirmed: Cell<Option<Instant>>,
    changed: Notify,
}

impl FollowedTopic {
    /// Takes in a page of a listing.
    pub fn apply_page(&self, after: Option<&[u8]>, page: &NewestPage) {
        self.mirror.borrow_mut().apply_page(after, page);
        if page.more_after.is_none() {
            self.confirmed.set(Some(Instant::now()));
            self.changed.notify_waiters();
        }
    }

    /// Takes in an answer to a read that was asked then, to wait so long. One that lay there while
    /// this process was stopped is as old as the question.
    pub fn apply_batch(&self, from: u64, batch: &ReadBatch, asked: Instant, wait: Duration) {
        self.mirror.borrow_mut().apply_batch(from, batch);
        let is_late = asked.elapsed() > wait + READ_MARGIN;
        let confirmed = if is_late { asked } else { Instant::now() };
        self.confirmed.set(Some(confirmed));
        self.changed.notify_waiters();
    }

    /// Takes in what another reader told.
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

    /// Nothing of it is known any more.
    pub fn forget(&self) {
        self.mirror.replace(Mirror::default());
        self.packed_batches.borrow_mut().clear();
    }

    fn age_ms(&self) -> u64 {
        let confirmed = self.confirmed.get();
        confirmed.map_or(u64::MAX, |at| at.elapsed().as_millis() as u64)
    }

    /// When what is known becomes too old to be of use.
    fn expires_at(&self, max_age_ms: u64) -> Option<Instant> {
        Some(self.confirmed.get()? + Duration::from_millis(max_age_ms))
    }

    /// A page, packed. It is packed anew once the records that came since are not kept.
    fn page(&self, after: Option<Vec<u8>>) -> Option<Rc<Page>> {
        let mirror = self.mirror.borrow();
        let mut pages = self.pages.borrow_mut();
        if let Some(page) = pages.get(&after)
            && mirror.is_complete()
            && page.end >= mirror.first_offset()
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
            .find(|(first, behind, _)| (*first, *behind) == (from, next));
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

    /// Answers a question for the records behind an offset, once there are some or the asker
    /// has to hear that there are none.
    pub async fn answer_follow(&self, question: &FollowTopic) -> LedgerReply {
        if !self.is_serving() {
            return LedgerReply::NotReader;
        }
        let topic = self.topics.topic(&question.topic);
        let hold = Duration::from_millis(question.wait_ms).min(self.hold);
        let max_age_ms = self.max_age_ms();
        let until = Instant::now() + hold;
        loop {
            let changed = topic.changed.notified();
            let behind = topic.mirror.borrow().read(question.from_offset);
            let is_over = Instant::now() >= until;
            match behind {
                ReadResult::Records(records) => return topic.reply(&records, question.from_offset),
                ReadResult::Truncated => {
                    return LedgerReply::TopicGone(topic.mirror.borrow().first_offset());
                }
                ReadResult::Empty if is_over || topic.age_ms() > max_age_ms => {
                    return topic.reply(&[], question.from_offset);
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

    /// Answers a question for a page of a listing.
    pub async fn answer_list(&self, question: &ListTopic) -> LedgerReply {
        if !self.is_serving() {
            return LedgerReply::NotReader;
        }
        let topic = self.topics.topic(&question.topic);
        let until = Instant::now() + MAX_LIST_HOLD;
        loop {
            let changed = topic.changed.notified();
            if let Some(page) = topic.page(question.after_key.clone()) {
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
