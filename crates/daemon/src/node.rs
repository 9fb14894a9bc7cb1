//! The daemon's shared state, on one thread.

use crate::metrics::Metrics;
use crate::platform::fleet::Fleet;
use crate::platform::log_store::HttpLog;
use crate::settings::Settings;
use crate::shard::ShardHost;
use crate::shard::storage::SHARD_OWNERS_TOPIC;
use fieldhook_http::HttpClient;
use fieldhook_log::api::LogStore;
use fieldhook_log::claims::Claims;
use fieldhook_log::log_health::LogHealth;
use fieldhook_membership::{Detector, Fact};
use fieldhook_model::address::{Address, ProcessId};
use fieldhook_model::config_log::ConfigState;
use fieldhook_model::ids::ShardId;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long a daemon without the log and without most peers admits new work.
const MAX_ISOLATION: Duration = Duration::from_secs(5);

/// Where the daemon's life stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not all shards have a known owner yet.
    Starting,
    /// Serves.
    Serving,
    /// Finishes what it has and takes nothing new.
    Draining,
}

/// The daemon's shared state. Handlers and tasks hold it by `Rc`; no borrow is
/// kept across an await.
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// This process.
    pub id: ProcessId,
    /// Client for all outgoing requests.
    pub client: HttpClient,
    /// Metrics.
    pub metrics: Metrics,
    /// Failure detector and known facts.
    pub detector: RefCell<Detector>,
    /// Shards owned here.
    pub shards: RefCell<BTreeMap<ShardId, Rc<ShardHost>>>,
    /// Configuration in force.
    pub config: RefCell<ConfigState>,
    /// Whether that has been learnt from the log's end or from a peer; a daemon
    /// that has just started must not serve by an empty one.
    pub config_known: Cell<bool>,
    /// The platform's log.
    pub store: Rc<dyn LogStore>,
    /// Claims of shards, from the platform's log.
    pub claims: Rc<Claims>,
    /// Machines and their load.
    pub fleet: RefCell<Fleet>,
    /// When the log last answered.
    pub log_health: Rc<LogHealth>,
    /// When most peers were last in touch.
    pub last_majority: Cell<Instant>,
    phase: Cell<Phase>,
    started_at: Instant,
}

impl Node {
    /// The state of a new process.
    pub fn new(
        settings: Settings,
        address: Address,
        seeds: Vec<Address>,
        client: HttpClient,
    ) -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let id = ProcessId {
            address,
            incarnation: since_epoch.as_millis() as u64,
        };
        let log_health = Rc::new(LogHealth::default());
        let log = HttpLog::new(&settings.platform.log, client.clone(), log_health.clone());
        let store: Rc<dyn LogStore> = Rc::new(log);
        let claims = Claims::new(
            store.clone(),
            log_health.clone(),
            SHARD_OWNERS_TOPIC,
            u32::from(settings.shards),
            address.socket().into(),
            id.incarnation,
        );
        let seed = fastrand::u64(..);
        let detector = Detector::new(
            id,
            &settings.zone,
            seeds,
            settings.membership_settings(),
            seed,
        );
        Self {
            id,
            client,
            metrics: Metrics::default(),
            detector: RefCell::new(detector),
            shards: RefCell::default(),
            config: RefCell::default(),
            config_known: Cell::new(false),
            store,
            claims: Rc::new(claims),
            fleet: RefCell::default(),
            log_health,
            last_majority: Cell::new(Instant::now()),
            phase: Cell::new(Phase::Starting),
            started_at: Instant::now(),
            settings,
        }
    }

    /// Milliseconds since the process started; the clock of all cores.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Where the daemon's life stands.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Moves on; a draining daemon never serves again.
    pub fn set_phase(&self, phase: Phase) {
        if self.phase.get() != Phase::Draining {
            self.phase.set(phase);
        }
    }

    /// A shard, if it is owned here.
    pub fn shard(&self, shard: ShardId) -> Option<Rc<ShardHost>> {
        self.shards.borrow().get(&shard).cloned()
    }

    /// All shards owned here.
    pub fn hosts(&self) -> Vec<Rc<ShardHost>> {
        self.shards.borrow().values().cloned().collect()
    }

    /// Tells the others a fact.
    pub fn announce(&self, fact: Fact) {
        self.detector.borrow_mut().learn(fact);
    }

    /// Whether new work may be admitted: this daemon serves, and it has been in
    /// touch with the log or with most peers, from whom it would have heard of
    /// a newer configuration.
    pub fn may_admit(&self) -> bool {
        let log_recent = self.log_health.answered_within(MAX_ISOLATION);
        let peers_recent = self.last_majority.get().elapsed() < MAX_ISOLATION;
        self.phase() == Phase::Serving && (log_recent || peers_recent)
    }

    /// Notes whether most known daemons are held alive.
    pub fn update_last_majority(&self) {
        let detector = self.detector.borrow();
        let known = detector
            .table()
            .members()
            .filter(|member| member.state != fieldhook_membership::MemberState::Left);
        let live = detector.table().live().count();
        if live * 2 > known.count() {
            self.last_majority.set(Instant::now());
        }
        self.metrics.live_members.set(live as i64);
    }

    /// URL of a path at another daemon.
    pub fn url(&self, address: Address, path: &str) -> String {
        format!("http://{address}{path}")
    }
}
