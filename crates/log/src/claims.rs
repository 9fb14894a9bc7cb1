//! Learning who owns the partitions of a topic, and becoming an owner.

use crate::api::{Append, KeyedRecord, LogStore, Partition, StoreError};
use crate::eligibility::Eligibility;
use crate::follow::{Follower, Update};
use crate::log_health::LogHealth;
use crate::ownership::{Claim, Ownership};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);
/// Claims of other partitions move the end of the topic; this many are followed.
const MOST_ROUNDS: u32 = 8;
/// How long a read waits for news; a claim that meets newer ones reads them at once.
const FOLLOW_WAIT: Duration = Duration::from_millis(6_000);
/// Wait before an unowned partition is claimed, for each partition owned already.
const DELAY_PER_PARTITION: Duration = Duration::from_millis(250);
const DELAY_JITTER_MS: u64 = 250;

/// Why a partition was not taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// Another daemon took it first.
    Overtaken,
    /// The daemon is about to stop, or does not know the claims yet.
    NotNow,
    /// The partition is not for this daemon.
    NotEligible,
    /// The log service did not append the claim, or nobody can tell.
    NotAppended,
}

/// Called with each partition whose claim changed.
pub type OnChange = Rc<dyn Fn(u32)>;

/// The claims of one topic, and this daemon's way to make some.
pub struct Claims {
    store: Rc<dyn LogStore>,
    health: Rc<LogHealth>,
    topic: &'static str,
    partitions: u32,
    /// Where this daemon listens for others.
    pub address: SocketAddr,
    /// Life of this process.
    pub incarnation: u64,
    /// Told at each change.
    pub changed: Notify,
    /// Which partitions this daemon may own.
    pub eligibility: Eligibility,
    ownership: RefCell<Ownership>,
    on_change: RefCell<Option<OnChange>>,
    stopped: Cell<bool>,
}

impl Claims {
    /// Claims on a topic; none is known yet.
    pub fn new(
        store: Rc<dyn LogStore>,
        health: Rc<LogHealth>,
        topic: &'static str,
        partitions: u32,
        address: SocketAddr,
        incarnation: u64,
    ) -> Self {
        Self {
            store,
            health,
            topic,
            partitions,
            address,
            incarnation,
            changed: Notify::new(),
            eligibility: Eligibility::default(),
            ownership: RefCell::default(),
            on_change: RefCell::default(),
            stopped: Cell::new(false),
        }
    }

    /// Sets who hears of changes.
    pub fn set_on_change(&self, on_change: OnChange) {
        *self.on_change.borrow_mut() = Some(on_change);
    }

    /// Number of partitions.
    pub fn partitions(&self) -> u32 {
        self.partitions
    }

    /// The claim in force.
    pub fn claim(&self, partition: u32) -> Option<Claim> {
        self.ownership.borrow().claim(partition)
    }

    /// Takes in a claim that another daemon told: one that is cut off the log learns
    /// of new owners so. True if it is new.
    pub fn learn(&self, partition: u32, claim: Claim) -> bool {
        let is_new = self.ownership.borrow_mut().learn(partition, claim);
        if is_new {
            self.tell(vec![partition]);
        }
        is_new
    }

    /// Where the owners listen, each once.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.ownership.borrow().addresses()
    }

    /// Whether a claim is this process's own and not released. Processes that
    /// started at the same moment may have the same incarnation.
    pub fn is_mine(&self, claim: &Claim) -> bool {
        claim.incarnation == self.incarnation && claim.address == Some(self.address)
    }

    /// Whether this daemon may own a partition.
    pub fn is_eligible(&self, partition: u32) -> bool {
        self.eligibility
            .allows(partition, self.claim(partition).as_ref())
    }

    /// Whether the claims were read at all.
    pub fn is_loaded(&self) -> bool {
        self.ownership.borrow().is_loaded()
    }

    /// From now on nothing is claimed any more: the daemon is about to stop.
    pub fn stop_claiming(&self) {
        self.stopped.set(true);
    }

    /// Whether nothing is claimed any more.
    pub fn has_stopped_claiming(&self) -> bool {
        self.stopped.get()
    }

    /// Gives a partition up, so that others may take it at once. `settled_doubt_ms` says
    /// that all that was granted is durable: see [`PreviousOwner::Settled`]. What is another's by
    /// now is left alone.
    ///
    /// [`PreviousOwner::Settled`]: crate::ownership::PreviousOwner::Settled
    ///
    /// # Errors
    /// As the log service says.
    pub async fn release(
        &self,
        partition: u32,
        settled_doubt_ms: Option<u64>,
    ) -> Result<(), StoreError> {
        let incarnation = self.incarnation;
        let record = Ownership::release_record(partition, incarnation, settled_doubt_ms);
        let mut outcome = Ok(());
        for _ in 0..MOST_ROUNDS {
            let claim = self.claim(partition);
            if !claim.is_some_and(|claim| self.is_mine(&claim)) {
                return Ok(());
            }
            outcome = self.append(record.clone()).await;
            let Err(StoreError::Moved(end)) = outcome else {
                break;
            };
            // Another claim came first; it may be of this very partition.
            if self.catch_up(end).await.is_err() {
                break;
            }
        }
        outcome
    }

    /// Claims a partition for this daemon, unless its claim is no longer that of
    /// `suspected_epoch`.
    ///
    /// # Errors
    /// Another daemon was first, the partition is not for this one, or the log service did
    /// not do it.
    pub async fn take_over(
        &self,
        partition: u32,
        suspected_epoch: Option<u64>,
    ) -> Result<(), ClaimError> {
        for _ in 0..MOST_ROUNDS {
            if self.stopped.get() || !self.is_loaded() {
                return Err(ClaimError::NotNow);
            }
            if !self.is_eligible(partition) {
                return Err(ClaimError::NotEligible);
            }
            let current = self.claim(partition);
            let former_epoch = current.map(|claim| claim.epoch);
            let mine = current.is_some_and(|claim| self.is_mine(&claim));
            if mine || former_epoch != suspected_epoch {
                return Err(ClaimError::Overtaken);
            }
            let record = Ownership::claim_record(partition, self.address, self.incarnation);
            match self.append(record).await {
                Ok(()) => {
                    tracing::info!(event = "partition_claimed", topic = self.topic, partition,
                        former = ?current.and_then(|claim| claim.address), former_epoch);
                    return Ok(());
                }
                Err(StoreError::Moved(end)) => self.catch_up(end).await?,
                Err(_) => return Err(ClaimError::NotAppended),
            }
        }
        Err(ClaimError::NotAppended)
    }

    /// Appends a record that is no claim to the topic, as a claim is: behind all that was read,
    /// and while it is still wanted after that.
    ///
    /// # Errors
    /// It is not wanted any more, or the log service did not append it.
    pub async fn append_while(
        &self,
        record: KeyedRecord,
        is_wanted: &dyn Fn() -> bool,
    ) -> Result<(), ClaimError> {
        for _ in 0..MOST_ROUNDS {
            if self.stopped.get() || !self.is_loaded() {
                return Err(ClaimError::NotNow);
            }
            if !is_wanted() {
                return Err(ClaimError::Overtaken);
            }
            match self.append(record.clone()).await {
                Ok(()) => return Ok(()),
                Err(StoreError::Moved(end)) => self.catch_up(end).await?,
                Err(_) => return Err(ClaimError::NotAppended),
            }
        }
        Err(ClaimError::NotAppended)
    }

    /// Appends a claim or a release if the topic ends where this daemon read it to: two
    /// claims never both succeed unseen.
    async fn append(&self, record: KeyedRecord) -> Result<(), StoreError> {
        let append = Append {
            partition: self.place(),
            records: vec![record.clone()],
            producer: None,
            expected_end: Some(self.ownership.borrow().end()),
            timeout: CLAIM_TIMEOUT,
        };
        let appended = self.store.append(append).await?;
        let changed = self.ownership.borrow_mut().apply(appended.offset, &record);
        self.tell(changed.into_iter().collect());
        Ok(())
    }

    fn place(&self) -> Partition {
        Partition {
            topic: self.topic.to_owned(),
            number: 0,
        }
    }

    /// Reads the claims up to now: a fence has told that there are newer ones.
    ///
    /// # Errors
    /// The log service does not tell.
    pub async fn refresh(&self) -> Result<(), ClaimError> {
        self.catch_up(u64::MAX).await
    }

    /// Reads the claims up to an end that the log service told.
    async fn catch_up(&self, end: u64) -> Result<(), ClaimError> {
        let from = self.ownership.borrow().end();
        if from >= end {
            return Ok(());
        }
        let batch = self
            .store
            .read(self.place(), from, Duration::ZERO, CATCH_UP_TIMEOUT)
            .await
            .map_err(|_| ClaimError::NotAppended)?;
        let changed = {
            let mut ownership = self.ownership.borrow_mut();
            let changed = batch
                .records
                .iter()
                .filter_map(|(offset, record)| ownership.apply(*offset, record))
                .collect();
            ownership.mark_read_to(batch.next);
            changed
        };
        self.tell(changed);
        Ok(())
    }

    fn tell(&self, changed: Vec<u32>) {
        let on_change = self.on_change.borrow().clone();
        for partition in changed {
            if let Some(on_change) = &on_change {
                on_change(partition);
            }
        }
        self.changed.notify_waiters();
    }

    /// Follows the claims for good.
    pub async fn run_follow(self: Rc<Self>) {
        let mut follower = Follower::new(
            self.store.clone(),
            self.health.clone(),
            self.place(),
            FOLLOW_WAIT,
        );
        loop {
            let (records, listed) = match follower.next_update().await {
                Update::Listing(records) => (records, true),
                Update::Records(records) => (records, false),
            };
            let changed: Vec<u32> = {
                let mut ownership = self.ownership.borrow_mut();
                let changed = records
                    .iter()
                    .filter_map(|(offset, record)| ownership.apply(*offset, record))
                    .collect();
                if listed {
                    ownership.mark_read_to(follower.position());
                }
                changed
            };
            self.tell(changed);
        }
    }

    /// Claims partitions that nobody owns, soon after the start of the daemons: those
    /// that own fewer come first, and each waits longer by its `patience`.
    pub async fn run_claim_unowned(self: Rc<Self>, patience: Duration) {
        loop {
            let owned = self.ownership.borrow().count(|claim| self.is_mine(claim)) as u32;
            let jitter = Duration::from_millis(fastrand::u64(0..DELAY_JITTER_MS));
            sleep(DELAY_PER_PARTITION * (owned + 1) + patience * 4 + jitter).await;
            if self.stopped.get() {
                return;
            }
            let Some(partition) = self.unowned() else {
                continue;
            };
            let epoch = self.claim(partition).map(|claim| claim.epoch);
            if let Err(error) = self.take_over(partition, epoch).await {
                tracing::debug!(
                    event = "claim_failed",
                    topic = self.topic,
                    partition,
                    ?error
                );
            }
        }
    }

    /// A partition without an owner, or whose owner was an earlier life of this
    /// process.
    fn unowned(&self) -> Option<u32> {
        if !self.is_loaded() {
            return None;
        }
        let is_unowned = |partition: &u32| match self.claim(*partition) {
            None => true,
            Some(claim) => match claim.address {
                None => true,
                Some(address) => address == self.address && claim.incarnation != self.incarnation,
            },
        };
        let first = self.incarnation as u32;
        (0..self.partitions)
            .filter(is_unowned)
            .filter(|partition| self.is_eligible(*partition))
            .min_by_key(|partition| partition.wrapping_add(first) % self.partitions)
    }
}
