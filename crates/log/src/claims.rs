//! Follows the claims on the partitions of a topic, and claims partitions for this daemon.

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

/// Timeout of a conditional append.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a read of newer claims.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);
/// Attempts of a conditional append. Claims of other partitions move the end of the topic, after
/// which the append is repeated.
const MAX_ATTEMPTS: u32 = 8;
/// How long a read waits for new claims. A conditional append that fails on newer claims reads them
/// at once.
const FOLLOW_WAIT: Duration = Duration::from_millis(6_000);
/// Delay before an unowned partition is claimed, for each partition already owned.
const DELAY_PER_PARTITION: Duration = Duration::from_millis(250);
/// Upper bound of the random part of that delay, in milliseconds.
const DELAY_JITTER_MS: u64 = 250;

/// Why a partition was not claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// The claim has changed, this daemon already holds it, or the record is no longer wanted.
    Overtaken,
    /// The daemon no longer claims partitions because it stops, or has not read the claims yet.
    NotNow,
    /// This daemon may not own the partition.
    NotEligible,
    /// The log service did not append the claim, or the outcome is unknown.
    NotAppended,
}

/// Called with each partition whose claim changed.
pub type OnChange = Rc<dyn Fn(u32)>;

/// The claims of one topic as this daemon knows them, and the appends of its own.
pub struct Claims {
    store: Rc<dyn LogStore>,
    health: Rc<LogHealth>,
    topic: &'static str,
    partitions: u32,
    /// Address at which this daemon listens for other daemons.
    pub address: SocketAddr,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Notified after each change of a claim.
    pub changed: Notify,
    /// Restricts the partitions that this daemon may own.
    pub eligibility: Eligibility,
    ownership: RefCell<Ownership>,
    on_change: RefCell<Option<OnChange>>,
    stopped: Cell<bool>,
}

impl Claims {
    /// Creates the claims of a topic, none of them known yet.
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

    /// Sets the callback for changed claims.
    pub fn set_on_change(&self, on_change: OnChange) {
        *self.on_change.borrow_mut() = Some(on_change);
    }

    pub fn partitions(&self) -> u32 {
        self.partitions
    }

    /// Returns the newest known claim of a partition.
    pub fn claim(&self, partition: u32) -> Option<Claim> {
        self.ownership.borrow().claim(partition)
    }

    /// Applies a claim that another daemon reported, so that a daemon without the log learns of new
    /// owners. Returns whether it is newer than the known one.
    pub fn learn(&self, partition: u32, claim: Claim) -> bool {
        let is_new = self.ownership.borrow_mut().learn(partition, claim);
        if is_new {
            self.notify_changed(vec![partition]);
        }
        is_new
    }

    /// Addresses of all owners, without duplicates.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.ownership.borrow().addresses()
    }

    /// Whether a claim is held by this process. The address is compared too, because processes that
    /// started at the same moment may have the same incarnation.
    pub fn is_mine(&self, claim: &Claim) -> bool {
        claim.incarnation == self.incarnation && claim.address == Some(self.address)
    }

    /// Whether this daemon may own a partition.
    pub fn is_eligible(&self, partition: u32) -> bool {
        self.eligibility
            .allows(partition, self.claim(partition).as_ref())
    }

    /// Whether the claims have been read from the log.
    pub fn is_loaded(&self) -> bool {
        self.ownership.borrow().is_loaded()
    }

    /// Stops claiming partitions, because the daemon is about to stop.
    pub fn stop_claiming(&self) {
        self.stopped.set(true);
    }

    /// Whether [`Self::stop_claiming`] was called.
    pub fn has_stopped_claiming(&self) -> bool {
        self.stopped.get()
    }

    /// Releases a partition, so that others may claim it at once. `handover_uncertainty_ms` is set
    /// if everything that was granted is durable: see [`PreviousOwner::HandedOver`]. Does nothing
    /// if another daemon holds the claim by now.
    ///
    /// [`PreviousOwner::HandedOver`]: crate::ownership::PreviousOwner::HandedOver
    ///
    /// # Errors
    /// The error of the append.
    pub async fn release(
        &self,
        partition: u32,
        handover_uncertainty_ms: Option<u64>,
    ) -> Result<(), StoreError> {
        let incarnation = self.incarnation;
        let record = Ownership::release_record(partition, incarnation, handover_uncertainty_ms);
        let mut outcome = Ok(());
        for _ in 0..MAX_ATTEMPTS {
            let claim = self.claim(partition);
            if !claim.is_some_and(|claim| self.is_mine(&claim)) {
                return Ok(());
            }
            outcome = self.append(record.clone()).await;
            let Err(StoreError::Moved(end)) = outcome else {
                break;
            };
            // Another claim was appended first, possibly of this partition.
            if self.catch_up(end).await.is_err() {
                break;
            }
        }
        outcome
    }

    /// Claims a partition for this daemon, unless the epoch of its claim is no longer
    /// `replaced_epoch`.
    ///
    /// # Errors
    /// The claim has changed, this daemon holds it or is not eligible, or the append failed.
    pub async fn take_over(
        &self,
        partition: u32,
        replaced_epoch: Option<u64>,
    ) -> Result<(), ClaimError> {
        for _ in 0..MAX_ATTEMPTS {
            if self.stopped.get() || !self.is_loaded() {
                return Err(ClaimError::NotNow);
            }
            if !self.is_eligible(partition) {
                return Err(ClaimError::NotEligible);
            }
            let current = self.claim(partition);
            let current_epoch = current.map(|claim| claim.epoch);
            let mine = current.is_some_and(|claim| self.is_mine(&claim));
            if mine || current_epoch != replaced_epoch {
                return Err(ClaimError::Overtaken);
            }
            let record = Ownership::claim_record(partition, self.address, self.incarnation);
            match self.append(record).await {
                Ok(()) => {
                    tracing::info!(event = "partition_claimed", topic = self.topic, partition,
                        former = ?current.and_then(|claim| claim.address),
                        former_epoch = current_epoch);
                    return Ok(());
                }
                Err(StoreError::Moved(end)) => self.catch_up(end).await?,
                Err(_) => return Err(ClaimError::NotAppended),
            }
        }
        Err(ClaimError::NotAppended)
    }

    /// Appends a record other than a claim, under the same condition as a claim: the topic ends
    /// where this daemon read it to, and `is_wanted` holds after that.
    ///
    /// # Errors
    /// The record is no longer wanted, or the append failed.
    pub async fn append_while(
        &self,
        record: KeyedRecord,
        is_wanted: &dyn Fn() -> bool,
    ) -> Result<(), ClaimError> {
        for _ in 0..MAX_ATTEMPTS {
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

    /// Appends a claim or a release on the condition that the topic ends where this daemon has read
    /// it to, so two concurrent claims can't both succeed.
    async fn append(&self, record: KeyedRecord) -> Result<(), StoreError> {
        let append = Append {
            partition: self.claims_partition(),
            records: vec![record.clone()],
            producer: None,
            expected_end: Some(self.ownership.borrow().end()),
            timeout: CLAIM_TIMEOUT,
        };
        let appended = self.store.append(append).await?;
        let changed = self.ownership.borrow_mut().apply(appended.offset, &record);
        self.notify_changed(changed.into_iter().collect());
        Ok(())
    }

    fn claims_partition(&self) -> Partition {
        Partition {
            topic: self.topic.to_owned(),
            number: 0,
        }
    }

    /// Reads the claims up to the present end, after a fenced append has shown that there are newer
    /// ones.
    ///
    /// # Errors
    /// The read failed.
    pub async fn refresh(&self) -> Result<(), ClaimError> {
        self.catch_up(u64::MAX).await
    }

    /// Reads the claims up to an end offset that the log service reported.
    async fn catch_up(&self, end: u64) -> Result<(), ClaimError> {
        let from = self.ownership.borrow().end();
        if from >= end {
            return Ok(());
        }
        let batch = self
            .store
            .read(
                self.claims_partition(),
                from,
                Duration::ZERO,
                CATCH_UP_TIMEOUT,
            )
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
        self.notify_changed(changed);
        Ok(())
    }

    fn notify_changed(&self, changed: Vec<u32>) {
        let on_change = self.on_change.borrow().clone();
        for partition in changed {
            if let Some(on_change) = &on_change {
                on_change(partition);
            }
        }
        self.changed.notify_waiters();
    }

    /// Follows the claims; never returns.
    pub async fn run_follow(self: Rc<Self>) {
        let mut follower = Follower::new(
            self.store.clone(),
            self.health.clone(),
            self.claims_partition(),
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
            self.notify_changed(changed);
        }
    }

    /// Claims unowned partitions until [`Self::stop_claiming`]. Daemons that own fewer partitions
    /// claim earlier. `extra_delay` is the delay of this machine ([`crate::claim_delay`]) and is
    /// added four times.
    pub async fn run_claim_unowned(self: Rc<Self>, extra_delay: Duration) {
        loop {
            let owned = self.ownership.borrow().count(|claim| self.is_mine(claim)) as u32;
            let jitter = Duration::from_millis(fastrand::u64(0..DELAY_JITTER_MS));
            sleep(DELAY_PER_PARTITION * (owned + 1) + extra_delay * 4 + jitter).await;
            if self.stopped.get() {
                return;
            }
            let Some(partition) = self.next_unowned() else {
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

    /// Returns a partition that has no owner, or whose owner was a previous incarnation of this
    /// process.
    fn next_unowned(&self) -> Option<u32> {
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
        // Daemons of different incarnations start at different partitions.
        let first = self.incarnation as u32;
        (0..self.partitions)
            .filter(is_unowned)
            .filter(|partition| self.is_eligible(*partition))
            .min_by_key(|partition| partition.wrapping_add(first) % self.partitions)
    }
}
