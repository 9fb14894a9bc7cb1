//! The partitions owned by this daemon.

use super::appender::{Appender, LEDGER_TOPIC, PRODUCER, Urgency, Waiter};
use super::claim::{self, ClaimError};
use super::ownership::{Claim, OWNERS_TOPIC, Ownership};
use crate::daemon::unix_ms;
use crate::follow::topic::{Follower, Update};
use crate::metrics::Metrics;
use crate::store::api::{Append, LogStore, Partition as StorePartition, Producer, StoreError};
use fieldhook_ledger::message::{CloseTurn, LedgerReply, LedgerRequest, OpenTurn};
use fieldhook_ledger::partition::{OpenOutcome, Partition};
use fieldhook_ledger::record::Record;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep};

const OWNERS_WAIT: Duration = Duration::from_millis(6_000);
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);
const LOAD_PAUSE: Duration = Duration::from_millis(30);
const EXPIRY_PERIOD: Duration = Duration::from_secs(5);
/// Wait before an unowned partition is claimed, for each partition owned already.
const CLAIM_DELAY_PER_PARTITION: Duration = Duration::from_millis(250);
const CLAIM_JITTER_MS: u64 = 250;

/// A partition that this daemon owns and has read.
struct Owned {
    epoch: u64,
    state: Rc<RefCell<Partition>>,
    appender: Rc<Appender>,
}

enum Hold {
    Loading(u64),
    Serving(Owned),
}

/// Partitions owned here and the table of all owners.
pub struct Owner {
    /// The log service.
    pub store: Rc<dyn LogStore>,
    /// Figures.
    pub metrics: Rc<Metrics>,
    /// Where this daemon listens for others.
    pub address: SocketAddr,
    /// Life of this process.
    pub incarnation: u64,
    /// Number of partitions.
    pub partitions: u32,
    /// Who owns what.
    pub ownership: RefCell<Ownership>,
    /// Told at each change of an owner or of a partition held here.
    pub changed: Notify,
    held: RefCell<HashMap<u32, Hold>>,
    released: Cell<bool>,
}

impl Owner {
    /// An owner of nothing.
    pub fn new(
        store: Rc<dyn LogStore>,
        metrics: Rc<Metrics>,
        address: SocketAddr,
        incarnation: u64,
        partitions: u32,
    ) -> Self {
        Self {
            store,
            metrics,
            address,
            incarnation,
            partitions,
            ownership: RefCell::default(),
            changed: Notify::new(),
            held: RefCell::default(),
            released: Cell::new(false),
        }
    }

    /// Whether a claim is this process's own.
    pub fn is_mine(&self, claim: &Claim) -> bool {
        claim.incarnation == self.incarnation
    }

    /// Whether no partition may be taken any more: the daemon is about to stop.
    pub fn is_released(&self) -> bool {
        self.released.get()
    }

    /// Whether a partition is held but not read yet.
    pub fn is_loading(&self, partition: u32) -> bool {
        matches!(self.held.borrow().get(&partition), Some(Hold::Loading(_)))
    }

    /// Answers a request; answers go to `sender`, [`LedgerReply::Durable`] last.
    pub fn handle(&self, request: LedgerRequest, sender: mpsc::UnboundedSender<LedgerReply>) {
        let partition = request.partition(self.partitions);
        let held = self.held.borrow();
        match held.get(&partition) {
            Some(Hold::Serving(owned)) => match request {
                LedgerRequest::Open(open) => owned.open(&open, sender),
                LedgerRequest::Close(close) => owned.close(&close, sender),
                LedgerRequest::Find(find) => owned.find(&find.turn, sender),
            },
            Some(Hold::Loading(_)) => {
                let _ = sender.send(LedgerReply::Unavailable);
            }
            None => {
                let _ = sender.send(LedgerReply::NotOwner);
            }
        }
    }

    /// Acts on the newest claim of a partition: takes it up or gives it up.
    pub fn act_on_claim(self: &Rc<Self>, partition: u32) {
        let Some(claim) = self.ownership.borrow().claim(partition) else {
            return;
        };
        let held_epoch = self.held.borrow().get(&partition).map(|hold| match hold {
            Hold::Loading(epoch) => *epoch,
            Hold::Serving(owned) => owned.epoch,
        });
        let mine = self.is_mine(&claim) && claim.address.is_some();
        if mine && held_epoch != Some(claim.epoch) && !self.released.get() {
            self.held
                .borrow_mut()
                .insert(partition, Hold::Loading(claim.epoch));
            ntex::rt::spawn(hold(self.clone(), partition, claim.epoch));
        } else if !mine && held_epoch.is_some() {
            tracing::info!(event = "partition_lost", partition, epoch = claim.epoch,
                owner = ?claim.address);
            self.drop_partition(partition, None);
        }
        self.changed.notify_waiters();
    }

    fn drop_partition(&self, partition: u32, epoch: Option<u64>) {
        let mut held = self.held.borrow_mut();
        let matches = match held.get(&partition) {
            Some(Hold::Loading(current)) => epoch.is_none_or(|epoch| epoch == *current),
            Some(Hold::Serving(owned)) => epoch.is_none_or(|epoch| epoch == owned.epoch),
            None => false,
        };
        if matches {
            if let Some(Hold::Serving(owned)) = held.remove(&partition) {
                owned.appender.stop();
            }
            self.metrics.partitions_owned.set(held.len() as i64);
        }
        drop(held);
        self.changed.notify_waiters();
    }

    /// Gives all partitions up, so that others may take them at once.
    pub async fn release(self: &Rc<Self>) {
        self.released.set(true);
        let partitions: Vec<u32> = self.held.borrow().keys().copied().collect();
        for partition in partitions {
            self.drop_partition(partition, None);
            if claim::append(self, partition, None).await.is_ok() {
                tracing::info!(event = "partition_released", partition);
            }
        }
    }

    /// Partitions held here.
    pub fn held_count(&self) -> usize {
        self.held.borrow().len()
    }
}

impl Owned {
    fn open(&self, open: &OpenTurn, sender: mpsc::UnboundedSender<LedgerReply>) {
        let outcome = self.state.borrow_mut().open(open, unix_ms());
        match outcome {
            OpenOutcome::Opened {
                chain,
                durable,
                records,
            } => {
                let _ = sender.send(LedgerReply::Opened { chain, durable });
                let waiter = (!durable).then_some(Waiter {
                    sender,
                    reply: LedgerReply::Durable,
                });
                let urgency = if durable { Urgency::Soon } else { Urgency::Now };
                if waiter.is_some() || !records.is_empty() {
                    self.appender.push(records, waiter, urgency);
                }
            }
            // A refusal has to be true: it goes out once the fence is seen to hold.
            OpenOutcome::BudgetSpent => self.answer_fenced(sender, LedgerReply::BudgetSpent),
            OpenOutcome::UnknownTurn => self.answer_fenced(sender, LedgerReply::UnknownTurn),
        }
    }

    fn close(&self, close: &CloseTurn, sender: mpsc::UnboundedSender<LedgerReply>) {
        let records = self.state.borrow_mut().close(close, unix_ms());
        let reply = LedgerReply::Closed;
        // Only the end of an answer whose content is kept waits for its record.
        let urgency = match close.content {
            Some(_) => Urgency::Now,
            None => Urgency::Soon,
        };
        self.appender
            .push(records, Some(Waiter { sender, reply }), urgency);
    }

    fn find(&self, turn: &str, sender: mpsc::UnboundedSender<LedgerReply>) {
        match self.state.borrow().contents(turn) {
            Some(chain) => {
                let _ = sender.send(LedgerReply::Chain(chain));
            }
            None => self.answer_fenced(sender, LedgerReply::UnknownTurn),
        }
    }

    fn answer_fenced(&self, sender: mpsc::UnboundedSender<LedgerReply>, reply: LedgerReply) {
        self.appender
            .push(Vec::new(), Some(Waiter { sender, reply }), Urgency::Now);
    }
}

/// Reads a claimed partition and serves it until it is lost.
async fn hold(owner: Rc<Owner>, partition: u32, epoch: u64) {
    let started = Instant::now();
    let state = loop {
        if !owner.is_loading(partition) {
            return;
        }
        match load(&owner, partition, epoch).await {
            Ok(state) => break state,
            Err(StoreError::Fenced) => {
                owner.drop_partition(partition, Some(epoch));
                return;
            }
            Err(_) => sleep(LOAD_PAUSE).await,
        }
    };
    let state = Rc::new(RefCell::new(state));
    let appender = Rc::new(Appender::new(
        partition,
        epoch,
        owner.store.clone(),
        owner.metrics.clone(),
    ));
    let current =
        matches!(owner.held.borrow().get(&partition), Some(Hold::Loading(now)) if *now == epoch);
    if !current {
        return;
    }
    tracing::info!(
        event = "partition_owned",
        partition,
        epoch,
        turns = state.borrow().turns(),
        programs = state.borrow().programs(),
        took_ms = started.elapsed().as_millis() as u64,
    );
    let owned = Owned {
        epoch,
        state: state.clone(),
        appender: appender.clone(),
    };
    owner
        .held
        .borrow_mut()
        .insert(partition, Hold::Serving(owned));
    owner
        .metrics
        .partitions_owned
        .set(owner.held.borrow().len() as i64);
    owner.changed.notify_waiters();
    let end = appender
        .run(|record| state.borrow_mut().appended(record))
        .await;
    tracing::info!(event = "partition_given_up", partition, epoch, cause = ?end);
    owner.drop_partition(partition, Some(epoch));
}

/// Fences earlier owners, then reads the newest record of each key. In this
/// order nothing that an earlier owner had acknowledged can be missed.
async fn load(owner: &Owner, partition: u32, epoch: u64) -> Result<Partition, StoreError> {
    let place = StorePartition {
        topic: LEDGER_TOPIC.to_owned(),
        number: partition,
    };
    let fence = Append {
        partition: place.clone(),
        records: Vec::new(),
        producer: Some(Producer {
            name: PRODUCER.to_owned(),
            epoch,
            sequence: 0,
        }),
        expected_end: None,
        timeout: LOAD_TIMEOUT,
    };
    owner.store.append(fence).await?;
    let mut state = Partition::default();
    let mut after = None;
    loop {
        let page = owner
            .store
            .newest(place.clone(), after, LOAD_TIMEOUT)
            .await?;
        for (_, record) in &page.records {
            match Record::read(&record.key, &record.value) {
                Ok(record) => state.load(record),
                Err(_) => tracing::error!(event = "record_unreadable", partition),
            }
        }
        after = page.more_after;
        if after.is_none() {
            state.loaded();
            return Ok(state);
        }
    }
}

/// Follows the claims for good.
pub async fn run_follow(owner: Rc<Owner>) {
    let partition = StorePartition {
        topic: OWNERS_TOPIC.to_owned(),
        number: 0,
    };
    let mut follower = Follower::new(owner.store.clone(), partition, OWNERS_WAIT);
    loop {
        let (records, listed) = match follower.next_update().await {
            Update::Listing(records) => (records, true),
            Update::Records(records) => (records, false),
        };
        let changed: Vec<u32> = {
            let mut ownership = owner.ownership.borrow_mut();
            let changed = records
                .iter()
                .filter_map(|(offset, record)| ownership.take(*offset, record))
                .collect();
            if listed {
                ownership.read_to(follower.position());
            }
            changed
        };
        for partition in changed {
            owner.act_on_claim(partition);
        }
        owner.changed.notify_waiters();
    }
}

/// Claims partitions that nobody owns, soon after the start of the daemons: those
/// that own fewer come first.
pub async fn run_unowned(owner: Rc<Owner>) {
    loop {
        let owned = owner.ownership.borrow().owned_by(owner.incarnation) as u32;
        let jitter = Duration::from_millis(fastrand::u64(0..CLAIM_JITTER_MS));
        sleep(CLAIM_DELAY_PER_PARTITION * (owned + 1) + jitter).await;
        if owner.is_released() {
            return;
        }
        let Some(partition) = unowned(&owner) else {
            continue;
        };
        if let Err(ClaimError::Store(error)) = claim::take_over(&owner, partition, None).await {
            tracing::debug!(event = "claim_failed", partition, %error);
        }
    }
}

/// A partition without an owner, or whose owner was an earlier life of this process.
fn unowned(owner: &Owner) -> Option<u32> {
    let ownership = owner.ownership.borrow();
    if !ownership.is_known() {
        return None;
    }
    let is_unowned = |partition: &u32| match ownership.claim(*partition) {
        None => true,
        Some(claim) => match claim.address {
            None => true,
            Some(address) => address == owner.address && claim.incarnation != owner.incarnation,
        },
    };
    (0..owner.partitions)
        .filter(is_unowned)
        .min_by_key(|partition| partition.wrapping_add(owner.incarnation as u32) % owner.partitions)
}

/// Deletes what need not be kept, now and then.
pub async fn run_expiry(owner: Rc<Owner>) {
    loop {
        sleep(EXPIRY_PERIOD).await;
        for hold in owner.held.borrow().values() {
            if let Hold::Serving(owned) = hold {
                let records = owned.state.borrow_mut().expire(unix_ms());
                if !records.is_empty() {
                    owned.appender.push(records, None, Urgency::Soon);
                }
            }
        }
    }
}
