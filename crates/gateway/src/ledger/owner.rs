//! The partitions owned by this daemon.

use super::assigner::Assigner;
use super::load::Load;
use super::owned::Owned;
use crate::daemon::unix_ms;
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;
use fieldhook_ledger::message::{ClaimPartition, KnownOwner, LedgerReply, LedgerRequest};
use fieldhook_ledger::partition::Partition;
use fieldhook_log::api::{LogStore, Partition as LogPartition, StoreError};
use fieldhook_log::appender::{AppendEnd, Appender, fence};
use fieldhook_log::claims::Claims;
use fieldhook_log::contact::Contact;
use fieldhook_log::ownership::Former;
use fieldhook_log::patience::{Capacity, before_claim};
use futures_util::future::join_all;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, mpsc};
use tokio::time::{Instant, sleep, timeout};

/// Topic of programs and turns.
pub const LEDGER_TOPIC: &str = "keyed.fieldhook-ledger";
/// Topic of the claims of its partitions.
pub const OWNERS_TOPIC: &str = "keyed.fieldhook-owners";
const LOAD_PAUSE: Duration = Duration::from_millis(30);
/// An answer of the log counts as fresh for this long: less than a daemon takes to hold
/// the log for lost, so that nobody vouches for it by an answer from before the outage.
const FRESH: Duration = Duration::from_millis(800);
/// How long a planned stop waits for its last appends.
const SETTLE_LIMIT: Duration = Duration::from_millis(1_500);
const EXPIRY_PERIOD: Duration = Duration::from_secs(5);

enum Hold {
    /// Claimed with this epoch, and not read yet.
    Loading(u64),
    Serving(Owned),
    /// About to be given up: asked now, others would have to ask again.
    Releasing(Owned),
}

impl Hold {
    fn epoch(&self) -> u64 {
        match self {
            Self::Loading(epoch) => *epoch,
            Self::Serving(owned) | Self::Releasing(owned) => owned.epoch,
        }
    }
}

/// Partitions owned here.
pub struct Owner {
    /// Who owns what.
    pub claims: Rc<Claims>,
    store: Rc<dyn LogStore>,
    contact: Rc<Contact>,
    metrics: Rc<Metrics>,
    held: RefCell<HashMap<u32, Hold>>,
    capacity: Capacity,
    assigner: Rc<Assigner>,
    /// Held while a partition is read.
    reading: Mutex<()>,
}

impl Owner {
    /// An owner of nothing.
    pub fn new(
        store: Rc<dyn LogStore>,
        contact: Rc<Contact>,
        metrics: Rc<Metrics>,
        settings: &GatewaySettings,
        assigner: Rc<Assigner>,
        incarnation: u64,
    ) -> Rc<Self> {
        let claims = Claims::new(
            store.clone(),
            contact.clone(),
            OWNERS_TOPIC,
            settings.partitions,
            settings.peers,
            incarnation,
        );
        let owner = Rc::new(Self {
            claims: Rc::new(claims),
            store,
            contact,
            metrics,
            held: RefCell::default(),
            capacity: settings.capacity,
            assigner,
            reading: Mutex::default(),
        });
        let weak = Rc::downgrade(&owner);
        owner.claims.set_on_change(Rc::new(move |partition| {
            if let Some(owner) = weak.upgrade() {
                owner.act_on_claim(partition);
            }
        }));
        owner
    }

    /// Time to let others go first before a claim.
    pub fn patience(&self) -> Duration {
        let held = self.held.borrow();
        let reading = held
            .values()
            .filter(|hold| matches!(hold, Hold::Loading(_)));
        before_claim(self.capacity, reading.count() as u32)
    }

    /// Whether a partition is held but not read yet.
    pub fn is_loading(&self, partition: u32) -> bool {
        matches!(self.held.borrow().get(&partition), Some(Hold::Loading(_)))
    }

    /// Answers a request; answers go to `sender`, [`LedgerReply::Durable`] last.
    pub fn handle(
        self: &Rc<Self>,
        request: LedgerRequest,
        sender: mpsc::UnboundedSender<LedgerReply>,
    ) {
        let partition = request.partition(self.claims.partitions());
        match request {
            LedgerRequest::HasLog => {
                let has_log = self.contact.within(FRESH) && !self.contact.failing();
                let _ = sender.send(LedgerReply::HasLog(has_log));
            }
            LedgerRequest::Claim(claim) => {
                ntex::rt::spawn(claim_for_another(self.clone(), claim, sender));
            }
            LedgerRequest::WhoOwns(_) => {
                let _ = sender.send(LedgerReply::NotOwner(self.known_owner(partition)));
            }
            request => self.handle_held(partition, request, sender),
        }
    }

    /// Answers a request that only the partition's owner can answer.
    fn handle_held(
        &self,
        partition: u32,
        request: LedgerRequest,
        sender: mpsc::UnboundedSender<LedgerReply>,
    ) {
        match self.held.borrow().get(&partition) {
            Some(Hold::Serving(owned)) => owned.handle(request, sender),
            Some(Hold::Loading(_) | Hold::Releasing(_)) => {
                let _ = sender.send(LedgerReply::Unavailable);
            }
            None => {
                let _ = sender.send(LedgerReply::NotOwner(self.known_owner(partition)));
            }
        }
    }

    /// Who owns a partition, for a daemon that may not know.
    fn known_owner(&self, partition: u32) -> Option<KnownOwner> {
        let claim = self.claims.claim(partition)?;
        Some(KnownOwner {
            address: claim.address?.to_string(),
            incarnation: claim.incarnation,
            epoch: claim.epoch,
        })
    }

    /// Acts on the newest claim of a partition: takes it up or gives it up.
    fn act_on_claim(self: &Rc<Self>, partition: u32) {
        let Some(claim) = self.claims.claim(partition) else {
            return;
        };
        let held_epoch = self.held.borrow().get(&partition).map(Hold::epoch);
        let mine = self.claims.is_mine(&claim);
        if mine && held_epoch != Some(claim.epoch) && !self.claims.is_released() {
            self.held
                .borrow_mut()
                .insert(partition, Hold::Loading(claim.epoch));
            ntex::rt::spawn(hold(self.clone(), partition, claim.epoch));
        } else if !mine && held_epoch.is_some() {
            tracing::info!(event = "partition_lost", partition, epoch = claim.epoch,
                owner = ?claim.address);
            self.drop_partition(partition, None);
        }
        self.claims.changed.notify_waiters();
    }

    fn drop_partition(&self, partition: u32, epoch: Option<u64>) {
        let mut held = self.held.borrow_mut();
        let current = held.get(&partition).map(Hold::epoch);
        if current.is_some() && (epoch.is_none() || epoch == current) {
            if let Some(Hold::Serving(owned) | Hold::Releasing(owned)) = held.remove(&partition) {
                owned.appender.stop();
            }
            self.note_held(held.len());
        }
        drop(held);
        self.claims.changed.notify_waiters();
    }

    /// Asks the log whether it takes appends to a partition, by one that is behind every
    /// epoch and changes nothing.
    ///
    /// # Errors
    /// [`StoreError::Fenced`] where it does, and anything else where it does not.
    pub async fn probe(&self, partition: u32, timeout: Duration) -> Result<(), StoreError> {
        fence(self.store.as_ref(), place(partition), 0, timeout).await
    }

    /// Gives all partitions up, so that others may take them at once.
    pub async fn release(self: &Rc<Self>) {
        self.claims.stop_claiming();
        let partitions: Vec<u32> = self.held.borrow().keys().copied().collect();
        join_all(partitions.into_iter().map(|number| self.give_up(number))).await;
    }

    /// Gives a partition up once all that it granted is durable. Until then it is served
    /// here: while the log is away, nobody else could take it.
    async fn give_up(&self, partition: u32) {
        self.settle(partition).await;
        self.stop_serving(partition);
        // What was granted meanwhile.
        let settled = timeout(SETTLE_LIMIT, self.settle(partition)).await;
        let settled_doubt_ms = settled.ok().flatten();
        let released = self.claims.release(partition, settled_doubt_ms).await;
        if released.is_ok() {
            tracing::info!(event = "partition_released", partition, settled_doubt_ms);
        }
        self.drop_partition(partition, None);
    }

    /// Appends what a partition's next owner could not know otherwise. Tells, once that
    /// and all before is durable, how long that owner has to doubt what owners before this
    /// one left unsaid; `None` if another owner is in force.
    fn settle(&self, partition: u32) -> impl Future<Output = Option<u64>> + use<> {
        let settled = match self.held.borrow().get(&partition) {
            Some(Hold::Serving(owned) | Hold::Releasing(owned)) => Some(owned.settle()),
            _ => None,
        };
        async move { settled?.await.ok()? }
    }

    /// From now on a partition only waits for its last appends.
    fn stop_serving(&self, partition: u32) {
        let mut held = self.held.borrow_mut();
        if let Some(Hold::Serving(owned)) = held.remove(&partition) {
            held.insert(partition, Hold::Releasing(owned));
        }
    }

    fn note_held(&self, held: usize) {
        self.metrics.partitions_owned.set(held as i64);
        self.assigner.set_share(held, self.claims.partitions());
    }

    /// Partitions held here.
    pub fn held_count(&self) -> usize {
        self.held.borrow().len()
    }
}

fn place(partition: u32) -> LogPartition {
    LogPartition {
        topic: LEDGER_TOPIC.to_owned(),
        number: partition,
    }
}

/// Claims a partition for a daemon that is cut off the log, and tells it the owner.
async fn claim_for_another(
    owner: Rc<Owner>,
    claim: ClaimPartition,
    sender: mpsc::UnboundedSender<LedgerReply>,
) {
    let partition = claim.partition;
    let claimed = owner.claims.take_over(partition, Some(claim.epoch)).await;
    tracing::info!(
        event = "claimed_for_another",
        partition,
        epoch = claim.epoch,
        ?claimed
    );
    let _ = sender.send(LedgerReply::NotOwner(owner.known_owner(partition)));
}

/// Reads a claimed partition; `None` once it is another's.
async fn read(owner: &Owner, partition: u32, epoch: u64) -> Option<Partition> {
    let claim = owner.claims.claim(partition);
    let state = match claim.map_or(Former::Lost, |claim| claim.former) {
        Former::None => Partition::default(),
        Former::Settled { doubt_ms } => Partition::handed_over(unix_ms(), doubt_ms),
        Former::Lost => Partition::taken_over(unix_ms()),
    };
    let mut load = Load::new(place(partition), epoch, state);
    // Partitions that are read at once would share this machine's link.
    let _turn = owner.reading.lock().await;
    loop {
        if !owner.is_loading(partition) {
            return None;
        }
        match load.step(owner.store.as_ref()).await {
            Ok(Some(state)) => return Some(state),
            Ok(None) => {}
            Err(StoreError::Fenced) => {
                owner.drop_partition(partition, Some(epoch));
                return None;
            }
            Err(error) => {
                tracing::info!(event = "load_delayed", partition, epoch, %error);
                sleep(LOAD_PAUSE).await;
            }
        }
    }
}

/// Reads a claimed partition and serves it until it is lost.
async fn hold(owner: Rc<Owner>, partition: u32, epoch: u64) {
    let started = Instant::now();
    let Some(state) = read(&owner, partition, epoch).await else {
        return;
    };
    let state = Rc::new(RefCell::new(state));
    let appender = Rc::new(Appender::new(
        place(partition),
        epoch,
        owner.store.clone(),
        owner.contact.clone(),
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
        assigner: owner.assigner.clone(),
    };
    owner
        .held
        .borrow_mut()
        .insert(partition, Hold::Serving(owned));
    owner.note_held(owner.held_count());
    owner.claims.changed.notify_waiters();
    let end = appender
        .run(|took| owner.metrics.append_seconds.observe(took.as_secs_f64()))
        .await;
    tracing::info!(event = "partition_given_up", partition, epoch, cause = ?end);
    owner.drop_partition(partition, Some(epoch));
    if end == AppendEnd::Fenced {
        // There is a newer owner: until it is known, its turns could not be served here.
        let _ = owner.claims.refresh().await;
    }
}

/// Deletes what need not be kept, now and then.
pub async fn run_expiry(owner: Rc<Owner>) {
    loop {
        sleep(EXPIRY_PERIOD).await;
        for hold in owner.held.borrow().values() {
            if let Hold::Serving(owned) = hold {
                owned.expire();
            }
        }
    }
}
