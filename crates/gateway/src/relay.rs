//! The followed topics, read through a few daemons of each zone where they are long.
//!
//! [`Relay`] is the log service as the rest of a daemon sees it. Where servers are so many that
//! all daemons together would read more than the log sends, it asks the readers of its zone for
//! what it would read itself; where it is a reader, it reads the log and answers the others
//! ([`reader`]). Nothing that is appended goes another way, nor the claims that an append depends
//! on. docs/design/fleet.md tells what was weighed, and how late anything may be.
//!
//! - [`packed`]: records as they go from daemon to daemon.
//! - [`reader_slots`]: becoming a reader.
//! - [`reader`]: answering those who ask.

pub mod packed;
pub mod reader;
pub mod reader_slots;

use crate::dialect::Topics;
use crate::ledger::owner::OWNERS_TOPIC;
use crate::ledger::peer::Peers;
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;
use fieldhook_ledger::message::{FollowTopic, LedgerReply, LedgerRequest, ListTopic, TopicRecords};
use fieldhook_log::api::{
    Append, Appended, KeyedRecord, LogStore, NewestPage, Partition, ReadBatch, StoreError, Trim,
};
use fieldhook_log::reader_selector::ReaderSelector;
use fieldhook_log::readers::Readers;
use fieldhook_traffic::assignment::prefix_hash;
use futures_util::future::LocalBoxFuture;
use reader::{FollowedTopic, ReaderTopics};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

/// Servers from which on daemons read through readers. They nearly fill a page of a listing, so
/// that below it asking saves nothing, and a fleet that has so many has hundreds of daemons.
const RELAY_MIN_SERVERS: usize = 400;
/// Records that the topic of servers has had, which stand for so many servers where a daemon
/// that starts has none listed yet: each is written a few times in its life.
const RELAY_MIN_RECORDS: u64 = 2_000;
/// For so long a daemon that no reader answers waits for its time to ask the log, rather than ask
/// readers again.
const MAX_LOG_READ_WAIT: Duration = Duration::from_millis(400);
/// Behind this key no server stands: a listing from there tells the end of its topic alone.
const AFTER_ALL_KEYS: &[u8] = b"~~~~";
/// How long the first listing waits for the claims, which say whether there are readers.
const CLAIMS_WAIT: Duration = Duration::from_millis(30);
/// Longest time that a reader holds a question.
const MAX_HOLD: Duration = Duration::from_millis(800);
/// Part of the time in which a change has to be in force for which a reader holds a question, and
/// the log a read of it: one in this. What it tells is confirmed by each answer, and the rest is
/// for noticing that it is not.
const HOLD_DIVISOR: u64 = 5;
/// An answer that comes later than its hold and this is not waited for.
const REPLY_MARGIN: Duration = Duration::from_millis(300);
/// How long a page of a listing is waited for. A reader that has just started reads the topic
/// itself first.
const PAGE_TIMEOUT: Duration = Duration::from_millis(900);
/// What a reader knows is older than its hold and this where the log does not answer it: the slack
/// of a read and the way of an answer.
const AGE_MARGIN_MS: u64 = 800;

/// How a daemon reads followed topics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// From the log: nobody needs another to read for it.
    Alone,
    /// From the log, and answers the others of its zone.
    Reader,
    /// From readers.
    Asker,
}

/// The log service, read through readers where its topics are long.
pub struct Relay {
    log: Rc<dyn LogStore>,
    zone: String,
    address: SocketAddr,
    /// Topic of servers, whose length decides.
    servers: String,
    /// Topic of the configuration.
    config: String,
    peers: Peers,
    readers: RefCell<Readers>,
    reader_selector: RefCell<ReaderSelector>,
    topics: ReaderTopics,
    /// Whether servers are many.
    has_many_servers: Cell<bool>,
    /// How long a reader holds a question.
    hold: Duration,
    /// It answers nobody any more: the process is about to end.
    is_stopped: Cell<bool>,
    claims_listed: Cell<bool>,
    claims_were_listed: Notify,
    /// Told when this daemon reads in another way from now on.
    role_changed: Notify,
    metrics: Rc<Metrics>,
    started: Instant,
}

impl Relay {
    /// A relay in front of the log service.
    pub fn new(
        log: Rc<dyn LogStore>,
        settings: &GatewaySettings,
        topics: &Topics,
        metrics: Rc<Metrics>,
    ) -> Self {
        let bound_ms = settings.bounds.config_ms.min(settings.bounds.drain_ms);
        Self {
            log,
            zone: settings.zone.clone(),
            address: settings.peers,
            servers: topics.servers.clone(),
            config: topics.config.clone(),
            peers: Peers::default(),
            readers: RefCell::default(),
            reader_selector: RefCell::new(ReaderSelector::new(bound_ms, fastrand::u64(..))),
            topics: ReaderTopics::default(),
            has_many_servers: Cell::new(false),
            hold: Duration::from_millis(bound_ms / HOLD_DIVISOR).min(MAX_HOLD),
            is_stopped: Cell::new(false),
            claims_listed: Cell::new(false),
            claims_were_listed: Notify::new(),
            role_changed: Notify::new(),
            metrics,
            started: Instant::now(),
        }
    }

    /// So many servers are known.
    pub fn set_server_count(&self, count: usize) {
        if count >= RELAY_MIN_SERVERS && !self.has_many_servers.get() {
            tracing::info!(event = "servers_are_many", count);
            self.change_role(|| self.has_many_servers.set(true));
        }
    }

    /// Does what may change how this daemon reads: reads that wait in the former way end.
    fn change_role(&self, change: impl FnOnce()) {
        let former = self.role();
        change();
        let role = self.role();
        if role != former {
            tracing::info!(event = "reads_changed", ?former, ?role);
            self.role_changed.notify_waiters();
        }
    }

    /// Whether daemons read through readers.
    pub fn uses_readers(&self) -> bool {
        self.has_many_servers.get() || !self.readers.borrow().is_empty()
    }

    /// Whether this daemon reads for others.
    pub fn is_reader(&self) -> bool {
        self.readers.borrow().is_reader(&self.zone, self.address)
    }

    /// Answers nobody from now on: those who ask turn to the other reader of their zone, and not
    /// only once this process is gone.
    pub fn stop_serving(&self) {
        self.is_stopped.set(true);
    }

    fn role(&self) -> Role {
        match self.uses_readers() {
            false => Role::Alone,
            true if self.is_reader() => Role::Reader,
            true => Role::Asker,
        }
    }

    /// What a reader tells is of no use once it is older than this, in milliseconds.
    fn max_age_ms(&self) -> u64 {
        self.hold.as_millis() as u64 + AGE_MARGIN_MS
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn is_followed(&self, topic: &str) -> bool {
        topic == self.servers || topic == self.config || topic == OWNERS_TOPIC
    }

    /// Takes in who reads for others, from records of the topic of claims.
    fn apply_reader_claims<'a>(&self, records: impl Iterator<Item = (u64, &'a KeyedRecord)>) {
        for (offset, record) in records {
            let mut is_news = false;
            self.change_role(|| is_news = self.readers.borrow_mut().apply(offset, record));
            if is_news {
                let key = String::from_utf8_lossy(&record.key);
                let reader = String::from_utf8_lossy(&record.value);
                tracing::info!(event = "reader_known", place = %key.escape_debug(), %reader, offset);
            }
        }
    }

    async fn append_call(&self, append: Append) -> Result<Appended, StoreError> {
        let is_claim = append.partition.topic == OWNERS_TOPIC;
        let records = match is_claim {
            true => append.records.clone(),
            false => Vec::new(),
        };
        let appended = self.log.append(append).await?;
        self.apply_reader_claims((appended.offset..).zip(&records));
        Ok(appended)
    }

    async fn newest_call(
        &self,
        partition: Partition,
        after: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<NewestPage, StoreError> {
        if partition.topic == OWNERS_TOPIC {
            return self.list_claims(partition, after, limit).await;
        }
        if !self.is_followed(&partition.topic) {
            return self.log.newest(partition, after, limit).await;
        }
        if after.is_none() {
            self.determine_role(&partition.topic, limit).await?;
        }
        match self.role() {
            Role::Alone => self.log.newest(partition, after, limit).await,
            Role::Reader => self.list_as_reader(partition, after, limit).await,
            Role::Asker => self.request_page(partition, after, limit).await,
        }
    }

    /// Lists the claims. Whoever makes one has to know what the log itself holds.
    async fn list_claims(
        &self,
        partition: Partition,
        after: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<NewestPage, StoreError> {
        let page = self.log.newest(partition, after.clone(), limit).await?;
        self.apply_reader_claims(
            page.records
                .iter()
                .map(|(offset, record)| (*offset, record)),
        );
        self.topics
            .topic(OWNERS_TOPIC)
            .apply_page(after.as_deref(), &page);
        if page.more_after.is_none() {
            self.claims_listed.set(true);
            self.claims_were_listed.notify_waiters();
        }
        Ok(page)
    }

    /// Learns whether this daemon reads by itself: the claims name readers where any read for
    /// others, and where none do yet, the length of the topic of servers decides.
    async fn determine_role(&self, topic: &str, limit: Duration) -> Result<(), StoreError> {
        if !self.claims_listed.get() {
            let listed = self.claims_were_listed.notified();
            let _ = timeout(CLAIMS_WAIT, listed).await;
        }
        if self.uses_readers() || topic != self.servers {
            return Ok(());
        }
        let partition = Partition {
            topic: self.servers.clone(),
            number: 0,
        };
        let end = self
            .log
            .newest(partition, Some(AFTER_ALL_KEYS.to_vec()), limit);
        let end = end.await?.end;
        if end >= RELAY_MIN_RECORDS && !self.has_many_servers.get() {
            tracing::info!(event = "servers_are_many", end);
            self.change_role(|| self.has_many_servers.set(true));
        }
        Ok(())
    }

    async fn list_as_reader(
        &self,
        partition: Partition,
        after: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<NewestPage, StoreError> {
        let topic = self.topics.topic(&partition.topic);
        let page = self.log.newest(partition, after.clone(), limit).await?;
        topic.apply_page(after.as_deref(), &page);
        Ok(page)
    }

    async fn request_page(
        &self,
        partition: Partition,
        after: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<NewestPage, StoreError> {
        let question = LedgerRequest::List(ListTopic {
            topic: partition.topic.clone(),
            after_key: after.clone(),
        });
        match self
            .request(&partition.topic, &question, PAGE_TIMEOUT)
            .await
        {
            Some(RelayedRead::Records(told, records)) => Ok(NewestPage {
                records,
                more_after: told.more_after,
                end: told.end_offset,
                age_ms: told.age_ms,
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

    async fn read_call(
        &self,
        partition: Partition,
        from: u64,
        wait: Duration,
        limit: Duration,
    ) -> Result<ReadBatch, StoreError> {
        let is_claims = partition.topic == OWNERS_TOPIC;
        let catches_up = is_claims && wait.is_zero();
        let role = match self.is_followed(&partition.topic) && !catches_up {
            true => self.role(),
            false => Role::Alone,
        };
        let batch = match role {
            Role::Alone => {
                tokio::select! {
                    biased;
                    batch = self.log.read(partition, from, wait, limit) => batch?,
                    () = self.role_changed.notified() => return Err(StoreError::NotDone),
                }
            }
            Role::Reader => self.read_as_reader(partition, from, wait, limit).await?,
            Role::Asker => match self.request_records(&partition.topic, from, wait).await? {
                Some(batch) => batch,
                None if is_claims => self.log.read(partition, from, wait, limit).await?,
                None => {
                    self.wait_for_log_read(&partition.topic).await?;
                    self.fall_back_to_log(&partition.topic);
                    self.log.read(partition, from, wait, limit).await?
                }
            },
        };
        if is_claims {
            self.apply_reader_claims(
                batch
                    .records
                    .iter()
                    .map(|(offset, record)| (*offset, record)),
            );
        }
        Ok(batch)
    }

    /// Reads the log, for the others as well. While it does not answer, another reader may have
    /// heard from it: what that one tells is told on with its age, so that it ages on the way.
    async fn read_as_reader(
        &self,
        partition: Partition,
        from: u64,
        wait: Duration,
        limit: Duration,
    ) -> Result<ReadBatch, StoreError> {
        let topic = self.topics.topic(&partition.topic);
        if !topic.is_complete() {
            return Err(StoreError::Gone(from));
        }
        let asked = Instant::now();
        let wait = wait.min(self.hold);
        match self.log.read(partition.clone(), from, wait, limit).await {
            Ok(batch) => {
                topic.apply_batch(from, &batch, asked, wait);
                Ok(batch)
            }
            Err(StoreError::Gone(first)) => {
                topic.forget();
                Err(StoreError::Gone(first))
            }
            // Without news it is a failure still, which the next read follows after a pause.
            Err(error) => {
                let told = self.request_records(&partition.topic, from, Duration::ZERO);
                let told = told.await?.filter(|batch| !batch.records.is_empty());
                let batch = told.ok_or(error)?;
                topic.apply_relayed(from, &batch);
                Ok(batch)
            }
        }
    }

    /// What readers know behind an offset; `None` where none answers.
    async fn request_records(
        &self,
        topic: &str,
        from: u64,
        wait: Duration,
    ) -> Result<Option<ReadBatch>, StoreError> {
        let wait = wait.min(self.hold);
        let question = LedgerRequest::Follow(FollowTopic {
            topic: topic.to_owned(),
            from_offset: from,
            wait_ms: wait.as_millis() as u64,
        });
        match self.request(topic, &question, wait + REPLY_MARGIN).await {
            Some(RelayedRead::Records(told, records)) => Ok(Some(ReadBatch {
                end: told.end_offset,
                records,
                next: told.next_offset,
                age_ms: told.age_ms,
            })),
            Some(RelayedRead::Gone(first)) => Err(StoreError::Gone(first)),
            None => Ok(None),
        }
    }

    /// Asks readers one after another until one knows. One that has begun to read later than
    /// another keeps less of what was: that it is gone there, does not mean that it is gone.
    async fn request(
        &self,
        topic: &str,
        question: &LedgerRequest,
        limit: Duration,
    ) -> Option<RelayedRead> {
        let mut gone = None;
        for reader in self.candidates(topic) {
            let reply = self.peers.request(reader, question, limit).await;
            match decode_reply(reply, self.max_age_ms()) {
                Ok(told) => {
                    self.reader_selector
                        .borrow_mut()
                        .record_answer(reader, topic);
                    self.count("answered");
                    match told {
                        RelayedRead::Gone(_) => gone = Some(told),
                        RelayedRead::Records(..) => return Some(told),
                    }
                }
                Err(cause) => {
                    if cause == SILENT {
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
        if gone.is_some() {
            return gone;
        }
        self.count("alone");
        self.reader_selector
            .borrow_mut()
            .record_unanswered(topic, self.now_ms());
        None
    }

    /// Waits until the log may be asked for what no reader tells.
    ///
    /// # Errors
    /// That takes longer: readers are asked again meanwhile.
    async fn wait_for_log_read(&self, topic: &str) -> Result<(), StoreError> {
        let left_ms = self
            .reader_selector
            .borrow()
            .log_read_delay_ms(topic, self.now_ms());
        let left = left_ms.map(Duration::from_millis);
        let left = left.filter(|left| *left <= MAX_LOG_READ_WAIT);
        sleep(left.ok_or(StoreError::NotDone)?).await;
        Ok(())
    }

    /// No reader tells anything of a topic: this daemon reads the log itself for once.
    fn fall_back_to_log(&self, topic: &str) {
        self.count("log");
        tracing::info!(event = "no_reader_answers", topic);
        self.reader_selector
            .borrow_mut()
            .record_log_fallback(topic, self.now_ms());
    }

    /// Readers in the order in which this daemon asks them: each asks another one first.
    fn candidates(&self, topic: &str) -> Vec<SocketAddr> {
        let readers = self.readers.borrow();
        let rank = |reader: &SocketAddr| prefix_hash(&format!("{} {reader}", self.address));
        let in_order = |mut of: Vec<SocketAddr>| {
            of.retain(|reader| *reader != self.address);
            of.sort_by_key(rank);
            of
        };
        let near = in_order(readers.in_zone(&self.zone).map(|(_, at)| at).collect());
        let far = in_order(readers.outside_zone(&self.zone).collect());
        let selector = self.reader_selector.borrow();
        selector.candidates(topic, &near, &far, self.now_ms())
    }

    fn count(&self, outcome: &str) {
        self.metrics
            .relayed_reads
            .with_label_values(&[outcome])
            .inc();
    }
}

/// Why an answer is of no use that did not come.
const SILENT: &str = "silent";

/// What a reader told.
enum RelayedRead {
    Records(TopicRecords, Vec<(u64, KeyedRecord)>),
    Gone(u64),
}

/// What an answer tells, or why it is of no use.
fn decode_reply(reply: Option<LedgerReply>, max_age_ms: u64) -> Result<RelayedRead, &'static str> {
    match reply {
        Some(LedgerReply::Topic(told)) if told.age_ms > max_age_ms => Err("too_old"),
        Some(LedgerReply::Topic(told)) => match packed::unpack(&told.packed) {
            Some(records) => Ok(RelayedRead::Records(told, records)),
            None => Err("unreadable"),
        },
        Some(LedgerReply::TopicGone(first)) => Ok(RelayedRead::Gone(first)),
        Some(_) => Err("not_reader"),
        None => Err(SILENT),
    }
}

impl LogStore for Relay {
    fn append(&self, append: Append) -> LocalBoxFuture<'_, Result<Appended, StoreError>> {
        Box::pin(self.append_call(append))
    }

    fn read(
        &self,
        partition: Partition,
        from: u64,
        wait: Duration,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<ReadBatch, StoreError>> {
        Box::pin(self.read_call(partition, from, wait, timeout))
    }

    fn newest(
        &self,
        partition: Partition,
        after: Option<Vec<u8>>,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<NewestPage, StoreError>> {
        Box::pin(self.newest_call(partition, after, timeout))
    }

    fn trim(&self, trim: Trim) -> LocalBoxFuture<'_, Result<(), StoreError>> {
        self.log.trim(trim)
    }
}

impl FollowedTopic {
    fn is_complete(&self) -> bool {
        self.mirror.borrow().is_complete()
    }
}
