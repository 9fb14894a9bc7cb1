//! The partitions owned by this daemon.

use super::assigner::Assigner;
use super::cold::{self, Counts};
use super::hold::{Hold, hold};
use super::homes::eligibility;
use super::limits::{self, Limits};
use crate::follow::known::Known;
use crate::metrics::Metrics;
use crate::relay::Relay;
use crate::settings::{GatewaySettings, Quota};
use crate::zone_state::ZoneState;
use fieldhook_ledger::message::{
    ClaimPartition, KnownOwner, LedgerReply, LedgerRequest, QuotaEvent, QuotaRequest,
};
use fieldhook_ledger::partition::uncertainty_after_loss_ms;
use fieldhook_log::api::{LogStore, Partition as LogPartition, StoreError};
use fieldhook_log::appender::fence;
use fieldhook_log::claim_delay::{Capacity, claim_delay};
use fieldhook_log::claims::Claims;
use fieldhook_log::log_health::LogHealth;
use fieldhook_log::ownership::Claim;
use fieldhook_log::reach::Reach;
use fieldhook_traffic::window::Bounds;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, mpsc};
use tokio::time::sleep;

/// Topic of programs and turns.
pub const LEDGER_TOPIC: &str = "keyed.fieldhook-ledger";
/// Beginning of the topics of home partitions; the number of the region follows.
pub const HOME_TOPIC: &str = "keyed.fieldhook-ledger-home-";
/// Topic of the claims of its partitions.
pub const OWNERS_TOPIC: &str = "keyed.fieldhook-owners";
/// An answer of the log counts as fresh for this long: less than a daemon takes to hold
/// the log for lost, so that nobody vouches for it by an answer from before the outage.
const FRESH: Duration = Duration::from_millis(800);
const EXPIRY_PERIOD: Duration = Duration::from_secs(5);

/// Partitions owned here.
pub struct Owner {
    /// Who owns what.
    pub claims: Rc<Claims>,
    relay: Rc<Relay>,
    pub(super) store: Rc<dyn LogStore>,
    pub(super) log_health: Rc<LogHealth>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) held: RefCell<HashMap<u32, Hold>>,
    capacity: Capacity,
    /// Longest time of a turn by the routes in force, in milliseconds.
    longest_turn_ms: Cell<u64>,
    pub(super) assigner: Rc<Assigner>,
    limits: Limits,
    /// What cold servers were allowed to get.
    pub(super) counts: Counts,
    /// What this daemon knows of the configuration.
    pub config: Rc<Known>,
    /// What it knows of places.
    pub zone_state: Rc<ZoneState>,
    /// Held while a partition is read.
    pub(super) reading: Mutex<()>,
    /// What this daemon reaches, kept by [`super::reach`].
    pub reach: Rc<Cell<Reach>>,
}

impl Owner {
    /// An owner of nothing.
    pub fn new(
        relay: Rc<Relay>,
        log_health: Rc<LogHealth>,
        metrics: Rc<Metrics>,
        settings: &GatewaySettings,
        assigner: Rc<Assigner>,
        incarnation: u64,
    ) -> Rc<Self> {
        let zone_state = assigner.zone_state.clone();
        let store: Rc<dyn LogStore> = relay.clone();
        let claims = Claims::new(
            store.clone(),
            log_health.clone(),
            OWNERS_TOPIC,
            zone_state.layout.count(),
            settings.peers,
            incarnation,
        );
        claims.eligibility.set(eligibility(zone_state.clone()));
        let owner = Rc::new(Self {
            claims: Rc::new(claims),
            relay,
            store,
            log_health,
            metrics,
            held: RefCell::default(),
            capacity: settings.capacity,
            longest_turn_ms: Cell::new(u64::MAX),
            limits: Limits::new(bounds(settings.quota)),
            counts: Counts::default(),
            config: Rc::default(),
            zone_state,
            assigner,
            reading: Mutex::default(),
            reach: Rc::default(),
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
    pub fn claim_delay(&self) -> Duration {
        let held = self.held.borrow();
        let reading = held
            .values()
            .filter(|hold| matches!(hold, Hold::Loading(_)));
        claim_delay(self.capacity, reading.count() as u32)
    }

    /// Takes in how long turns may take.
    pub fn set_longest_turn(&self, longest_ms: u64) {
        self.longest_turn_ms.set(longest_ms);
    }

    /// How long programs without a record are in doubt once an owner was lost.
    pub(super) fn doubt_after_loss_ms(&self) -> u64 {
        uncertainty_after_loss_ms(self.longest_turn_ms.get())
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
        let partition = request.partition(self.zone_state.layout.global_count());
        match request {
            LedgerRequest::HasRecentLogContact => {
                let has_log =
                    self.log_health.answered_within(FRESH) && !self.log_health.is_failing();
                let _ = sender.send(LedgerReply::LogContact(has_log));
            }
            LedgerRequest::HasLogContact => {
                let _ = sender.send(LedgerReply::LogContact(!self.log_health.is_lost()));
            }
            LedgerRequest::Config(version) => {
                let _ = sender.send(LedgerReply::Config(
                    self.config.news_after(version, &self.zone_state),
                ));
            }
            LedgerRequest::Claim(claim) => {
                ntex::rt::spawn(claim_for_another(self.clone(), claim, sender));
            }
            LedgerRequest::Follow(question) => {
                let relay = self.relay.clone();
                ntex::rt::spawn(async move {
                    let _ = sender.send(relay.answer_follow(&question).await);
                });
            }
            LedgerRequest::List(question) => {
                let relay = self.relay.clone();
                ntex::rt::spawn(async move {
                    let _ = sender.send(relay.answer_list(&question).await);
                });
            }
            LedgerRequest::Quota(question) => self.handle_quota(partition, &question, &sender),
            LedgerRequest::Cold(question) => {
                ntex::rt::spawn(cold::answer(self.clone(), partition, question, sender));
            }
            LedgerRequest::FindOwner(_) => {
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
            // Awaited as an owner that reads, it would keep programs waiting for as long as the
            // log serves others and not this daemon.
            Some(Hold::Loading(_)) if self.log_health.is_lost() => {
                let _ = sender.send(LedgerReply::NotLoaded);
            }
            Some(Hold::Loading(_) | Hold::Releasing(_)) => {
                let _ = sender.send(LedgerReply::Unavailable);
            }
            None => {
                let _ = sender.send(LedgerReply::NotOwner(self.known_owner(partition)));
            }
        }
    }

    /// Answers a question about a tenant's limit. What the partition holds need not be read
    /// for that. While others reach the log and this daemon does not, it counts nothing: another
    /// may have claimed the partition without its hearing of it, and count beside it, for 8 s in
    /// a play in which a third of the machines were without the log.
    fn handle_quota(
        &self,
        partition: u32,
        question: &QuotaRequest,
        sender: &mpsc::UnboundedSender<LedgerReply>,
    ) {
        let may_be_replaced = self.reach.get() == Reach::CutOff;
        let claim = self.own_claim(partition).filter(|_| !may_be_replaced);
        let reply = match claim {
            Some(claim) => LedgerReply::Quota(match question.event {
                QuotaEvent::Request => {
                    let question = limits::of_tenant(question);
                    self.limits.ask(partition, &claim, &question)
                }
                QuotaEvent::Interrupted => self.limits.client_left(partition, &claim, question),
            }),
            None if may_be_replaced => LedgerReply::NotOwner(None),
            None => LedgerReply::NotOwner(self.known_owner(partition)),
        };
        let _ = sender.send(reply);
    }

    /// The claim by which this daemon holds a partition, read or not.
    pub(super) fn own_claim(&self, partition: u32) -> Option<Claim> {
        let is_held = self.held.borrow().contains_key(&partition);
        let claim = self.claims.claim(partition);
        claim.filter(|claim| is_held && self.claims.is_mine(claim))
    }

    /// Who owns a partition, for a daemon that may not know.
    pub(super) fn known_owner(&self, partition: u32) -> Option<KnownOwner> {
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
        if mine && held_epoch != Some(claim.epoch) && !self.claims.has_stopped_claiming() {
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

    pub(super) fn drop_partition(&self, partition: u32, epoch: Option<u64>) {
        let mut held = self.held.borrow_mut();
        let current = held.get(&partition).map(Hold::epoch);
        if current.is_some() && (epoch.is_none() || epoch == current) {
            if let Some(Hold::Serving(owned) | Hold::Releasing(owned)) = held.remove(&partition) {
                owned.appender.stop();
            }
            self.note_held(&held);
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
        fence(self.store.as_ref(), self.place(partition), 0, timeout).await
    }

    /// Tells those who depend on it which partitions are held now.
    pub(super) fn note_held(&self, held: &HashMap<u32, Hold>) {
        self.metrics.partitions_owned.set(held.len() as i64);
        // Engines are assigned where programs are ordered.
        let free = self.zone_state.layout.global_count();
        let ordering = held.keys().copied().filter(|partition| *partition < free);
        self.assigner.set_owned(ordering.collect());
    }

    /// Tells how near to their limits the tenants are that are counted here.
    pub fn record_tenant_usage(&self) {
        let used = self
            .limits
            .used(|partition| self.held.borrow().contains_key(&partition));
        self.metrics.set_tenant_usage(&used);
    }

    /// Partitions held here.
    pub fn held_count(&self) -> usize {
        self.held.borrow().len()
    }

    /// Where the records of a partition are.
    pub(super) fn place(&self, partition: u32) -> LogPartition {
        let place = self.zone_state.layout.location(partition);
        LogPartition {
            topic: match place.region {
                Some(region) => format!("{HOME_TOPIC}{region}"),
                None => LEDGER_TOPIC.to_owned(),
            },
            number: place.number,
        }
    }
}

fn bounds(quota: Quota) -> Bounds {
    Bounds {
        window_ms: quota.window_ms,
        overshoot: quota.overshoot,
        slack: quota.slack,
    }
}

/// Claims a partition for a daemon that is cut off the log, and tells it the owner.
async fn claim_for_another(
    owner: Rc<Owner>,
    claim: ClaimPartition,
    sender: mpsc::UnboundedSender<LedgerReply>,
) {
    let partition = claim.partition;
    let claimed = owner
        .claims
        .take_over(partition, claim.replaced_epoch())
        .await;
    tracing::info!(
        event = "claimed_for_another",
        partition,
        epoch = claim.replaced_epoch,
        ?claimed
    );
    let _ = sender.send(LedgerReply::NotOwner(owner.known_owner(partition)));
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
