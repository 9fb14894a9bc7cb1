//! The partitions that this daemon owns, and the requests that it answers for other daemons.

use super::assigner::Assigner;
use super::attempt_questions::AttemptQuestions;
use super::backups::Backups;
use super::cold::{self, ColdCounters};
use super::followers::Followers;
use super::held::{HeldPartition, load_and_serve};
use super::homes::eligibility;
use super::limits::{self, LimitCounters};
use super::peer::{Peers, Subscribers};
use super::suspected_requests::SuspectedRequests;
use crate::follow::config_cache::ConfigCache;
use crate::metrics::Metrics;
use crate::relay::Relay;
use crate::settings::{GatewaySettings, Quota};
use crate::zone_state::ZoneState;
use fieldhook_ledger::crashes::{CrashTable, WatchLevel};
use fieldhook_ledger::message::{
    ClaimPartition, KnownOwner, LedgerReply, LedgerRequest, QuotaEvent, QuotaRequest,
};
use fieldhook_ledger::partition::{program_retention_ms, uncertainty_after_loss_ms};
use fieldhook_log::api::{LogStore, Partition as LogPartition, StoreError};
use fieldhook_log::appender::fence;
use fieldhook_log::claim_delay::{Capacity, claim_delay};
use fieldhook_log::claims::Claims;
use fieldhook_log::log_health::LogHealth;
use fieldhook_log::ownership::Claim;
use fieldhook_log::reach::Reach;
use fieldhook_traffic::sliding_window::Bounds;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, mpsc};
use tokio::time::{Instant, sleep};

/// Topic of program and turn records.
pub const LEDGER_TOPIC: &str = "keyed.fieldhook-ledger";
/// Prefix of the topics of home partitions; the region follows.
pub const HOME_TOPIC: &str = "keyed.fieldhook-ledger-home-";
/// Topic of the claims of ledger partitions.
pub const OWNERS_TOPIC: &str = "keyed.fieldhook-owners";
/// A reply of the log counts as recent for this long. This is less than a daemon takes to
/// consider the log lost, so that no daemon confirms the log's availability by a reply from
/// before an outage.
pub(super) const RECENT_LOG_REPLY: Duration = Duration::from_millis(800);
/// How often expired turns and programs are deleted.
const EXPIRY_PERIOD: Duration = Duration::from_secs(5);

/// The partitions that this daemon owns, with the state that is needed to serve them.
pub struct Owner {
    /// Claims of all partitions.
    pub claims: Rc<Claims>,
    pub(super) relay: Rc<Relay>,
    pub(super) store: Rc<dyn LogStore>,
    pub(super) log_health: Rc<LogHealth>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) held: RefCell<HashMap<u32, HeldPartition>>,
    capacity: Capacity,
    /// Longest timeout of a streaming route in the active configuration, in milliseconds.
    longest_turn_ms: Cell<u64>,
    /// Longest retention of a streaming route in the active configuration, in milliseconds.
    longest_retention_ms: Cell<u64>,
    pub(super) assigner: Rc<Assigner>,
    limits: LimitCounters,
    /// Counters of requests to cold servers.
    pub(super) cold_counters: ColdCounters,
    /// The newest configuration document.
    pub config: Rc<ConfigCache>,
    /// Zones, regions and evacuations.
    pub zone_state: Rc<ZoneState>,
    /// Held while a partition is loaded, so that one at a time is.
    pub(super) load_lock: Mutex<()>,
    /// Servers that ended under requests, as far as this daemon has seen or was told.
    pub known_crashes: Rc<RefCell<CrashTable>>,
    /// Connections over which other owners are told of crash watches.
    pub(super) crash_watch_peers: Peers,
    /// Connections of other daemons.
    pub(super) subscribers: Rc<Subscribers>,
    /// Questions about the detached attempts that this daemon follows.
    pub attempt_questions: Rc<AttemptQuestions>,
    pub(super) followers: Rc<Followers>,
    /// Attempts of other daemons that are backed up here.
    pub backups: Rc<Backups>,
    /// Requests that are not sent before the next owner of their partition has answered.
    pub(super) suspected_requests: SuspectedRequests,
    /// When this daemon last announced that servers end under requests of a partition.
    pub(super) announced_watches: RefCell<HashMap<u32, Instant>>,
    /// When this daemon last reported that attempts of a partition were abandoned.
    pub(super) suspected_partitions: RefCell<HashMap<u32, Instant>>,
    /// What this daemon can reach, updated by [`super::reach`].
    pub reach: Rc<Cell<Reach>>,
}

impl Owner {
    /// Creates an owner that holds no partition.
    pub fn new(
        relay: Rc<Relay>,
        log_health: Rc<LogHealth>,
        metrics: Rc<Metrics>,
        settings: &GatewaySettings,
        assigner: Rc<Assigner>,
        backups: Rc<Backups>,
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
        let subscribers = Rc::<Subscribers>::default();
        let attempt_questions = Rc::<AttemptQuestions>::default();
        let owner = Rc::new(Self {
            claims: Rc::new(claims),
            relay,
            store,
            log_health,
            metrics,
            held: RefCell::default(),
            capacity: settings.capacity,
            longest_turn_ms: Cell::new(u64::MAX),
            longest_retention_ms: Cell::new(u64::MAX),
            limits: LimitCounters::new(bounds(settings.quota)),
            cold_counters: ColdCounters::default(),
            config: Rc::default(),
            zone_state,
            assigner,
            load_lock: Mutex::default(),
            known_crashes: Rc::default(),
            crash_watch_peers: Peers::default(),
            followers: Rc::new(Followers::new(
                subscribers.clone(),
                attempt_questions.clone(),
            )),
            subscribers,
            attempt_questions,
            backups,
            suspected_requests: SuspectedRequests::default(),
            announced_watches: RefCell::default(),
            suspected_partitions: RefCell::default(),
            reach: Rc::default(),
        });
        let weak = Rc::downgrade(&owner);
        owner.claims.set_on_change(Rc::new(move |partition| {
            if let Some(owner) = weak.upgrade() {
                owner.handle_claim_change(partition);
            }
        }));
        owner
    }

    /// Returns the delay before a claim. It lets daemons claim first that have more capacity or are
    /// loading fewer partitions.
    pub fn claim_delay(&self) -> Duration {
        let held = self.held.borrow();
        let loading = held
            .values()
            .filter(|partition| matches!(partition, HeldPartition::Loading(_)));
        claim_delay(self.capacity, loading.count() as u32)
    }

    /// Sets the longest time that a turn may take, and for which it may be stored.
    pub fn set_longest_turn(&self, longest_ms: u64, longest_retention_ms: u64) {
        self.longest_turn_ms.set(longest_ms);
        self.longest_retention_ms.set(longest_retention_ms);
    }

    /// Returns how long the budgets of programs are stored, in milliseconds.
    pub fn program_retention_ms(&self) -> u64 {
        program_retention_ms(self.longest_turn_ms.get(), self.longest_retention_ms.get())
    }

    /// Returns how long it stays uncertain what a lost owner granted to programs without a record,
    /// in milliseconds.
    pub(super) fn uncertainty_after_loss_ms(&self) -> u64 {
        uncertainty_after_loss_ms(self.longest_turn_ms.get())
    }

    /// Whether a partition is claimed but not loaded yet.
    pub fn is_loading(&self, partition: u32) -> bool {
        matches!(
            self.held.borrow().get(&partition),
            Some(HeldPartition::Loading(_))
        )
    }

    /// Handles a request and sends its replies to `sender`, [`LedgerReply::Durable`] last.
    pub fn handle(
        self: &Rc<Self>,
        request: LedgerRequest,
        sender: mpsc::UnboundedSender<LedgerReply>,
    ) {
        let partition = request.partition(self.zone_state.layout.global_count());
        match request {
            // Asked before an owner is replaced and to tell an outage of the log from a daemon that
            // is cut off: replies of the log from before an outage must not count.
            LedgerRequest::HasRecentLogContact => {
                let has_log = self.log_health.answered_within(RECENT_LOG_REPLY)
                    && !self.log_health.is_failing();
                let _ = sender.send(LedgerReply::LogContact(has_log));
            }
            // Asked by the periodic check of owners in the same region.
            LedgerRequest::HasLogContact => {
                let _ = sender.send(LedgerReply::LogContact(!self.log_health.is_lost()));
            }
            LedgerRequest::Config(version) => {
                let _ = sender.send(LedgerReply::Config(
                    self.config.changes_since(version, &self.zone_state),
                ));
            }
            LedgerRequest::Claim(claim) => {
                ntex::rt::spawn(claim_on_request(self.clone(), claim, sender));
            }
            LedgerRequest::Follow(request) => {
                let relay = self.relay.clone();
                ntex::rt::spawn(async move {
                    let _ = sender.send(relay.serve_records(&request).await);
                });
            }
            LedgerRequest::List(request) => {
                let relay = self.relay.clone();
                ntex::rt::spawn(async move {
                    let _ = sender.send(relay.serve_page(&request).await);
                });
            }
            LedgerRequest::Quota(request) => self.handle_quota(partition, &request, &sender),
            LedgerRequest::Cold(request) => {
                ntex::rt::spawn(cold::answer(self.clone(), partition, request, sender));
            }
            LedgerRequest::WatchCrashes(_) => {
                self.relay.watch_crashes(partition, WatchLevel::Watched);
                let _ = sender.send(LedgerReply::Accepted);
            }
            LedgerRequest::SuspectRequests(requests) => {
                self.suspected_requests.add(requests);
                let _ = sender.send(LedgerReply::Closed);
            }
            // The reply names the owner that this daemon knows, which may be itself.
            LedgerRequest::FindOwner(_) => {
                let _ = sender.send(LedgerReply::NotOwner(self.known_owner(partition)));
            }
            request => self.handle_held(partition, request, sender),
        }
    }

    /// Handles a request that only the partition's owner can answer.
    fn handle_held(
        self: &Rc<Self>,
        partition: u32,
        request: LedgerRequest,
        sender: mpsc::UnboundedSender<LedgerReply>,
    ) {
        match self.held.borrow().get(&partition) {
            Some(HeldPartition::Serving(served)) => match request {
                LedgerRequest::ReportAttempt(report) => {
                    let announce = |level| self.report_crash_watch(partition, level);
                    served.end_attempt(report, announce, sender);
                }
                // A daemon that asks between two reports has to act on the earlier one.
                LedgerRequest::FindCrashWatch(_) => {
                    let reported = self.reported_crash_watch(partition);
                    served.find_crash_watch(partition, reported, sender);
                }
                request => served.handle(request, sender),
            },
            // `Unavailable` would make clients wait for the load, which does not finish while the
            // log serves other daemons but not this one.
            Some(HeldPartition::Loading(_)) if self.log_health.is_lost() => {
                let _ = sender.send(LedgerReply::NotLoaded);
            }
            Some(HeldPartition::Loading(_) | HeldPartition::Releasing(_)) => {
                let _ = sender.send(LedgerReply::Unavailable);
            }
            None => {
                let _ = sender.send(LedgerReply::NotOwner(self.known_owner(partition)));
            }
        }
    }

    /// Handles a request about a tenant's limit, which does not need the partition to be loaded.
    /// A daemon that is cut off from the log counts nothing: another one may have claimed the
    /// partition without this daemon's knowledge, and both would grant requests. In a simulated
    /// outage that cut a third of the machines off from the log, two owners counted for 8 s.
    fn handle_quota(
        &self,
        partition: u32,
        request: &QuotaRequest,
        sender: &mpsc::UnboundedSender<LedgerReply>,
    ) {
        let may_be_replaced = self.reach.get() == Reach::CutOff;
        let claim = self.own_claim(partition).filter(|_| !may_be_replaced);
        let reply = match claim {
            Some(claim) => LedgerReply::Quota(match request.event {
                QuotaEvent::Request => {
                    let admission_request = limits::tenant_admission_request(request);
                    self.limits.admit(partition, &claim, &admission_request)
                }
                QuotaEvent::Interrupted => {
                    self.limits.record_disconnect(partition, &claim, request)
                }
            }),
            None if may_be_replaced => LedgerReply::NotOwner(None),
            None => LedgerReply::NotOwner(self.known_owner(partition)),
        };
        let _ = sender.send(reply);
    }

    /// Returns the claim by which this daemon holds a partition, whether loaded or not.
    pub(super) fn own_claim(&self, partition: u32) -> Option<Claim> {
        let is_held = self.held.borrow().contains_key(&partition);
        let claim = self.claims.claim(partition);
        claim.filter(|claim| is_held && self.claims.is_mine(claim))
    }

    /// Addresses of the other daemons that this one knows: owners, and those whose backup it is.
    pub(super) fn known_daemons(&self) -> Vec<SocketAddr> {
        let mut addresses = self.claims.addresses();
        addresses.extend(self.backups.addresses());
        addresses.retain(|address| *address != self.claims.address);
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns the owner of a partition as far as this daemon knows, to be sent to another daemon.
    pub(super) fn known_owner(&self, partition: u32) -> Option<KnownOwner> {
        let claim = self.claims.claim(partition)?;
        Some(KnownOwner {
            address: claim.address?.to_string(),
            incarnation: claim.incarnation,
            epoch: claim.epoch,
        })
    }

    /// Acts on a new claim of a partition: starts to load it if the claim is this daemon's, drops
    /// it if the claim is another's.
    fn handle_claim_change(self: &Rc<Self>, partition: u32) {
        let Some(claim) = self.claims.claim(partition) else {
            return;
        };
        let held_epoch = self.held.borrow().get(&partition).map(HeldPartition::epoch);
        let mine = self.claims.is_mine(&claim);
        if mine && held_epoch != Some(claim.epoch) && !self.claims.has_stopped_claiming() {
            self.held
                .borrow_mut()
                .insert(partition, HeldPartition::Loading(claim.epoch));
            ntex::rt::spawn(load_and_serve(self.clone(), partition, claim.epoch));
        } else if !mine && held_epoch.is_some() {
            tracing::info!(event = "partition_lost", partition, epoch = claim.epoch,
                owner = ?claim.address);
            self.drop_partition(partition, None);
        }
        self.claims.changed.notify_waiters();
    }

    /// Stops holding a partition; with an epoch, only if it is held by the claim of that epoch.
    pub(super) fn drop_partition(&self, partition: u32, epoch: Option<u64>) {
        let mut held = self.held.borrow_mut();
        let current = held.get(&partition).map(HeldPartition::epoch);
        if current.is_some() && (epoch.is_none() || epoch == current) {
            if let Some(HeldPartition::Serving(served) | HeldPartition::Releasing(served)) =
                held.remove(&partition)
            {
                served.appender.stop();
            }
            self.publish_held(&held);
        }
        drop(held);
        self.claims.changed.notify_waiters();
    }

    /// Checks whether the log accepts appends to a partition. The check is an append with epoch 0,
    /// which changes nothing because every claim has a higher epoch.
    ///
    /// # Errors
    /// [`StoreError::Fenced`] if the log accepts appends, any other error if it does not.
    pub async fn probe(&self, partition: u32, timeout: Duration) -> Result<(), StoreError> {
        fence(
            self.store.as_ref(),
            self.log_partition(partition),
            0,
            timeout,
        )
        .await
    }

    /// Updates the metrics and the engine assigner after the set of held partitions changed.
    pub(super) fn publish_held(&self, held: &HashMap<u32, HeldPartition>) {
        self.metrics.partitions_owned.set(held.len() as i64);
        // Engines are assigned by the owners of global partitions, which order the programs.
        let global_count = self.zone_state.layout.global_count();
        let global = held
            .keys()
            .copied()
            .filter(|partition| *partition < global_count);
        self.assigner.set_owned(global.collect());
    }

    /// Exports how much of their limits the tenants counted by this daemon use.
    pub fn record_tenant_usage(&self) {
        let usage = self
            .limits
            .usage(|partition| self.held.borrow().contains_key(&partition));
        self.metrics.set_tenant_usage(&usage);
    }

    /// Returns the number of partitions that this daemon holds.
    pub fn held_count(&self) -> usize {
        self.held.borrow().len()
    }

    /// Returns the partition of the log that stores the records of a ledger partition.
    pub(super) fn log_partition(&self, partition: u32) -> LogPartition {
        let location = self.zone_state.layout.location(partition);
        LogPartition {
            topic: match location.region {
                Some(region) => format!("{HOME_TOPIC}{region}"),
                None => LEDGER_TOPIC.to_owned(),
            },
            number: location.number,
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

/// Claims a partition on request of a daemon that does not reach the log or is in another region.
/// Replies with the resulting owner.
async fn claim_on_request(
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

/// Periodically deletes expired turns and programs.
pub async fn run_expiry(owner: Rc<Owner>) {
    loop {
        sleep(EXPIRY_PERIOD).await;
        for partition in owner.held.borrow().values() {
            if let HeldPartition::Serving(served) = partition {
                served.expire(owner.program_retention_ms());
            }
        }
        owner.renew_crash_watches();
    }
}
