//! Reading followed topics from readers, and from the log if none of them replies.

use super::{Relay, packed};
use fieldhook_ledger::message::{FollowTopic, LedgerReply, LedgerRequest, ListTopic, TopicRecords};
use fieldhook_log::api::{KeyedRecord, NewestPage, Partition, ReadBatch, StoreError};
use fieldhook_log::reader_replies::ReaderReplies;
use fieldhook_traffic::assignment::prefix_hash;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// When no reader replies, a daemon waits up to this long until it may read the log itself. If the
/// wait would be longer, it asks the readers again instead.
const MAX_LOG_READ_WAIT: Duration = Duration::from_millis(400);
/// A reply is waited for until its hold time and this margin have passed.
const REPLY_MARGIN: Duration = Duration::from_millis(300);
/// Timeout for a page of a listing. A reader that has just started reads the topic itself first.
const PAGE_TIMEOUT: Duration = Duration::from_millis(900);

impl Relay {
    /// Requests a page of a listing from the readers, or lists the log if none of them replies.
    pub(super) async fn request_page(
        &self,
        partition: Partition,
        after: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<NewestPage, StoreError> {
        let request = LedgerRequest::List(ListTopic {
            topic: partition.topic.clone(),
            after_key: after.clone(),
        });
        match self.request(&partition.topic, &request, PAGE_TIMEOUT).await {
            Some(RelayedRead::Records(reply, records)) => Ok(NewestPage {
                records,
                more_after: reply.more_after,
                end: reply.end_offset,
                age_ms: reply.age_ms,
            }),
            Some(RelayedRead::Gone(first)) => Err(StoreError::Gone(first)),
            None if self
                .reader_selector
                .borrow()
                .may_list_log(&partition.topic, self.now_ms()) =>
            {
                self.fall_back_to_log(&partition.topic);
                self.log.newest(partition, after, limit).await
            }
            None => Err(StoreError::NotDone),
        }
    }

    /// Requests the records from an offset on from the readers. Returns `None` if none replies.
    pub(super) async fn request_records(
        &self,
        topic: &str,
        from: u64,
        wait: Duration,
    ) -> Result<Option<ReadBatch>, StoreError> {
        let wait = wait.min(self.hold);
        let request = LedgerRequest::Follow(FollowTopic {
            topic: topic.to_owned(),
            from_offset: from,
            wait_ms: wait.as_millis() as u64,
        });
        match self.request(topic, &request, wait + REPLY_MARGIN).await {
            Some(RelayedRead::Records(reply, records)) => Ok(Some(ReadBatch {
                end: reply.end_offset,
                records,
                next: reply.next_offset,
                age_ms: reply.age_ms,
            })),
            Some(RelayedRead::Gone(first)) => Err(StoreError::Gone(first)),
            None => Ok(None),
        }
    }

    /// Sends a request to the readers one after another until one returns records. Returns `None` if
    /// the records are not available from readers, but the log may have them.
    async fn request(
        &self,
        topic: &str,
        request: &LedgerRequest,
        limit: Duration,
    ) -> Option<RelayedRead> {
        let mut replies = ReaderReplies::default();
        for reader in self.candidates(topic) {
            let reply = self.peers.request(reader, request, limit).await;
            match decode_reply(reply, self.max_age_ms()) {
                Ok(read) => {
                    self.reader_selector
                        .borrow_mut()
                        .record_answer(reader, topic);
                    self.count("answered");
                    match read {
                        RelayedRead::Gone(first) => replies.record_gone(first),
                        RelayedRead::Records(..) => return Some(read),
                    }
                }
                Err(cause) => {
                    replies.record_failure();
                    if cause == NO_REPLY {
                        self.peers.discard(reader);
                    }
                    self.count(cause);
                    tracing::info!(event = "reader_passed_over", %reader, cause);
                    self.reader_selector
                        .borrow_mut()
                        .record_failure(reader, self.now_ms());
                }
            }
        }
        if let Some(first) = replies.history_start() {
            return Some(RelayedRead::Gone(first));
        }
        self.count("alone");
        self.reader_selector
            .borrow_mut()
            .record_unanswered(topic, self.now_ms());
        None
    }

    /// Waits until this daemon may read the log itself because no reader replies.
    ///
    /// # Errors
    /// The wait would exceed [`MAX_LOG_READ_WAIT`]. The caller asks the readers again instead.
    pub(super) async fn wait_for_log_read(&self, topic: &str) -> Result<(), StoreError> {
        let left_ms = self
            .reader_selector
            .borrow()
            .log_read_delay_ms(topic, self.now_ms());
        let left = left_ms.map(Duration::from_millis);
        let left = left.filter(|left| *left <= MAX_LOG_READ_WAIT);
        sleep(left.ok_or(StoreError::NotDone)?).await;
        Ok(())
    }

    /// Records that this daemon reads a topic from the log once because no reader replies.
    pub(super) fn fall_back_to_log(&self, topic: &str) {
        self.count("log");
        tracing::info!(event = "no_reader_answers", topic);
        self.reader_selector
            .borrow_mut()
            .record_log_fallback(topic, self.now_ms());
    }

    /// Returns the readers in the order in which this daemon asks them. The order differs between
    /// daemons, to spread the load.
    fn candidates(&self, topic: &str) -> Vec<SocketAddr> {
        let readers = self.readers.borrow();
        let rank = |reader: &SocketAddr| prefix_hash(&format!("{} {reader}", self.address));
        let in_order = |mut readers: Vec<SocketAddr>| {
            readers.retain(|reader| *reader != self.address);
            readers.sort_by_key(rank);
            readers
        };
        let near = in_order(readers.in_zone(&self.zone).map(|(_, at)| at).collect());
        let far = in_order(readers.outside_zone(&self.zone).collect());
        let selector = self.reader_selector.borrow();
        selector.candidates(topic, &near, &far, self.now_ms())
    }
}

/// Failure cause of a reader that did not reply.
const NO_REPLY: &str = "silent";

/// The contents of a reply of a reader.
enum RelayedRead {
    Records(TopicRecords, Vec<(u64, KeyedRecord)>),
    Gone(u64),
}

/// Decodes a reply. Returns the failure cause if it cannot be used.
fn decode_reply(reply: Option<LedgerReply>, max_age_ms: u64) -> Result<RelayedRead, &'static str> {
    match reply {
        Some(LedgerReply::Topic(reply)) if reply.age_ms > max_age_ms => Err("too_old"),
        Some(LedgerReply::Topic(reply)) => match packed::unpack(&reply.packed) {
            Some(records) => Ok(RelayedRead::Records(reply, records)),
            None => Err("unreadable"),
        },
        Some(LedgerReply::TopicGone(first)) => Ok(RelayedRead::Gone(first)),
        Some(_) => Err("not_reader"),
        None => Err(NO_REPLY),
    }
}
