//! Reads long followed topics through a few reader daemons of each zone.
//!
//! [`Relay`] is the log service as the rest of a daemon sees it. With many servers, all daemons
//! together would read more than the log can send. A daemon then requests records from the readers
//! of its zone instead of the log; a reader reads the log and serves the others ([`reader`]).
//! Appends always go to the log, and so do reads of the claims that an append depends on.
//! docs/design/fleet.md describes the alternatives and how late a change may arrive.
//!
//! - `asker`: reading from readers.
//! - [`packed`]: encoding of records sent between daemons.
//! - [`reader_slots`]: becoming a reader.
//! - [`reader`]: serving records to other daemons.

mod asker;
pub mod packed;
pub mod reader;
pub mod reader_slots;

use crate::dialect::Topics;
use crate::ledger::owner::OWNERS_TOPIC;
use crate::ledger::peer::Peers;
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;
use fieldhook_ledger::crashes::WatchLevel;
use fieldhook_log::api::{
    Append, Appended, KeyedRecord, LogStore, NewestPage, Partition, ReadBatch, StoreError, Trim,
};
use fieldhook_log::crash_watch::CrashWatches;
use fieldhook_log::reader_selector::ReaderSelector;
use fieldhook_log::readers::Readers;
use futures_util::future::LocalBoxFuture;
use reader::{FollowedTopic, ReaderTopics};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout, timeout_at};

/// Number of servers from which daemons read through readers. That many servers nearly fill one page
/// of a listing, so with fewer readers save nothing; a fleet with this many servers has hundreds of
/// daemons.
const RELAY_MIN_SERVERS: usize = 400;
/// End offset of the servers topic that indicates [`RELAY_MIN_SERVERS`] to a daemon that has not
/// listed the servers yet: each server is written a few times in its life.
const RELAY_MIN_RECORDS: u64 = 2_000;
/// Sorts after the keys of all servers: a listing from here returns just the end of the topic.
const AFTER_ALL_KEYS: &[u8] = b"~~~~";
/// How long the first listing waits for the claims, which tell whether there are readers.
const CLAIMS_WAIT: Duration = Duration::from_millis(30);
/// Maximum time for which a reader holds a request that it has no records for yet.
const MAX_HOLD: Duration = Duration::from_millis(800);
/// The time within which a change must take effect is divided by this to get the maximum time for
/// which a reader holds a request, and for which the reader's own long poll of the log waits. Each
/// reply confirms that the records are current; the remaining time is for detecting that replies
/// are missing.
const HOLD_DIVISOR: u64 = 5;
/// Records of a reader that are older than the sum of the hold time and this margin mean that the log
/// does not answer the reader. Covers the margin of a read and the latency of a reply.
const AGE_MARGIN_MS: u64 = 800;

/// How a daemon reads followed topics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// From the log. No daemon reads through another.
    Alone,
    /// From the log, and serves the other daemons of its zone.
    Reader,
    /// From readers.
    Asker,
}

/// The log service, read through readers if its topics are long.
pub struct Relay {
    log: Rc<dyn LogStore>,
    zone: String,
    address: SocketAddr,
    /// Topic of the servers. Its length decides whether readers are used.
    servers_topic: String,
    /// Topic of the configuration.
    config_topic: String,
    peers: Peers,
    readers: RefCell<Readers>,
    /// Partitions in which servers have ended under requests.
    crash_watches: RefCell<CrashWatches>,
    reader_selector: RefCell<ReaderSelector>,
    topics: ReaderTopics,
    /// Whether there are enough servers to read through readers.
    has_many_servers: Cell<bool>,
    /// How long a reader holds a request that it has no records for yet.
    hold: Duration,
    /// Whether this daemon no longer serves other daemons because the process is about to exit.
    is_stopped: Cell<bool>,
    claims_listed: Cell<bool>,
    claims_were_listed: Notify,
    /// Notified when the role of this daemon changes.
    role_changed: Notify,
    metrics: Rc<Metrics>,
    started: Instant,
}

impl Relay {
    /// Creates a relay in front of the log service.
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
            servers_topic: topics.servers.clone(),
            config_topic: topics.config.clone(),
            peers: Peers::default(),
            readers: RefCell::default(),
            crash_watches: RefCell::default(),
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

    /// Sets the number of known servers. Once there are `RELAY_MIN_SERVERS`, readers are
    /// used until the process exits.
    pub fn set_server_count(&self, count: usize) {
        if count >= RELAY_MIN_SERVERS && !self.has_many_servers.get() {
            tracing::info!(event = "servers_are_many", count);
            self.change_role(|| self.has_many_servers.set(true));
        }
    }

    /// Runs `change`, which may change the role of this daemon. If it does, pending reads in the
    /// previous role end.
    fn change_role(&self, change: impl FnOnce()) {
        let former = self.role();
        change();
        let role = self.role();
        if role != former {
            tracing::info!(event = "reads_changed", ?former, ?role);
            self.role_changed.notify_waiters();
        }
    }

    /// Returns whether daemons read through readers.
    pub fn uses_readers(&self) -> bool {
        self.has_many_servers.get() || !self.readers.borrow().is_empty()
    }

    /// Returns whether this daemon is a reader.
    pub fn is_reader(&self) -> bool {
        self.readers.borrow().is_reader(&self.zone, self.address)
    }

    /// Stops serving other daemons, so that they switch to the other reader of the zone before this
    /// process exits.
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

    /// Maximum age of usable records of a reader, in milliseconds.
    fn max_age_ms(&self) -> u64 {
        self.hold.as_millis() as u64 + AGE_MARGIN_MS
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn is_followed(&self, topic: &str) -> bool {
        topic == self.servers_topic || topic == self.config_topic || topic == OWNERS_TOPIC
    }

    /// Returns whether servers have ended under requests of a partition.
    pub fn is_crash_watched(&self, partition: u32) -> bool {
        let watches = self.crash_watches.borrow();
        watches.is_watched(partition, self.now_ms())
    }

    /// Returns whether attempts of a partition were abandoned whose servers may end.
    pub fn is_crash_suspected(&self, partition: u32) -> bool {
        let watches = self.crash_watches.borrow();
        watches.is_suspected(partition, self.now_ms())
    }

    /// Records what this daemon has to do before it sends requests of a partition.
    pub fn watch_crashes(&self, partition: u32, level: WatchLevel) {
        let mut watches = self.crash_watches.borrow_mut();
        let is_known = watches.is_watched(partition, self.now_ms());
        if level != WatchLevel::None && !is_known {
            tracing::info!(event = "crash_watch_told", partition, level = level.name());
        }
        match level {
            WatchLevel::None => {}
            WatchLevel::Suspected => watches.suspect(partition, self.now_ms()),
            WatchLevel::Watched => watches.watch(partition, self.now_ms()),
        }
    }

    /// Waits until the claims, which tell the watched partitions, were listed for the first time.
    /// Returns whether they were by the deadline.
    pub async fn wait_for_claims(&self, deadline: Instant) -> bool {
        while !self.claims_listed.get() {
            let listed = self.claims_were_listed.notified();
            if timeout_at(deadline, listed).await.is_err() {
                return false;
            }
        }
        true
    }

    /// Updates the known readers and crash watches from records of the claims topic.
    fn apply_claims_records<'a>(&self, records: impl Iterator<Item = (u64, &'a KeyedRecord)>) {
        for (offset, record) in records {
            let now_ms = self.now_ms();
            let watched = self
                .crash_watches
                .borrow_mut()
                .apply(offset, record, now_ms);
            if let Some(partition) = watched {
                tracing::info!(event = "crash_watch_known", partition, offset);
            }
            let mut is_new = false;
            self.change_role(|| is_new = self.readers.borrow_mut().apply(offset, record));
            if is_new {
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
        self.apply_claims_records((appended.offset..).zip(&records));
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

    /// Lists the claims, always from the log: a daemon that makes a claim must know the log's own
    /// state.
    async fn list_claims(
        &self,
        partition: Partition,
        after: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<NewestPage, StoreError> {
        let page = self.log.newest(partition, after.clone(), limit).await?;
        self.apply_claims_records(
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

    /// Determines whether this daemon reads the log itself. If the claims name readers, they are
    /// used; otherwise the length of the servers topic decides.
    async fn determine_role(&self, topic: &str, limit: Duration) -> Result<(), StoreError> {
        if !self.claims_listed.get() {
            let listed = self.claims_were_listed.notified();
            let _ = timeout(CLAIMS_WAIT, listed).await;
        }
        if self.uses_readers() || topic != self.servers_topic {
            return Ok(());
        }
        let partition = Partition {
            topic: self.servers_topic.clone(),
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
            self.apply_claims_records(
                batch
                    .records
                    .iter()
                    .map(|(offset, record)| (*offset, record)),
            );
        }
        Ok(batch)
    }

    /// Reads the log as a reader. If the log does not reply, requests the records from another
    /// reader, which may still reach it. Records obtained this way keep their age.
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
        let started = Instant::now();
        let wait = wait.min(self.hold);
        match self.log.read(partition.clone(), from, wait, limit).await {
            Ok(batch) => {
                topic.apply_batch(from, &batch, started, wait);
                Ok(batch)
            }
            Err(StoreError::Gone(first)) => {
                topic.forget();
                Err(StoreError::Gone(first))
            }
            // A reply without records stays an error, so that the caller pauses before it reads
            // again.
            Err(error) => {
                let batch = self.request_records(&partition.topic, from, Duration::ZERO);
                let batch = batch.await?.filter(|batch| !batch.records.is_empty());
                let batch = batch.ok_or(error)?;
                topic.apply_relayed(from, &batch);
                Ok(batch)
            }
        }
    }

    fn count(&self, outcome: &str) {
        self.metrics
            .relayed_reads
            .with_label_values(&[outcome])
            .inc();
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
