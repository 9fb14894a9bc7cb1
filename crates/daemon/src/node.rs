//! State that all handlers and tasks of the daemon share.

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

/// How long a daemon admits new work without contact to the log or to a majority of daemons.
const MAX_ISOLATION: Duration = Duration::from_secs(5);

/// Phase of the daemon's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not all shards have a known owner yet.
    Starting,
    /// Requests are served.
    Serving,
    /// Requests in flight are completed and new ones are refused.
    Draining,
}

/// Shared state of the daemon. Handlers and tasks hold it in an `Rc`. No borrow may be held across
/// an `await`.
pub struct Node {
    pub settings: Settings,
    /// Address and incarnation of this process.
    pub id: ProcessId,
    /// HTTP client for all outgoing requests.
    pub client: HttpClient,
    pub metrics: Metrics,
    /// Failure detector and the facts it spreads.
    pub detector: RefCell<Detector>,
    /// Shards that this daemon owns.
    pub shards: RefCell<BTreeMap<ShardId, Rc<ShardHost>>>,
    /// Configuration in use.
    pub config: RefCell<ConfigState>,
    /// Whether `config` was read to the end of the log or taken from a peer. Until then it may be
    /// empty, and the daemon must not serve with it.
    pub config_known: Cell<bool>,
    /// The platform's log service.
    pub store: Rc<dyn LogStore>,
    /// Claims on shards, followed on the platform's log.
    pub claims: Rc<Claims>,
    /// Engines, servers and their load.
    pub fleet: RefCell<Fleet>,
    /// Health of the log service.
    pub log_health: Rc<LogHealth>,
    /// When a majority of the known daemons was last considered alive.
    pub last_majority: Cell<Instant>,
    phase: Cell<Phase>,
    started_at: Instant,
}

impl Node {
    /// Creates the state of a process that has just started.
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

    /// Milliseconds since the process started. Used as the clock of the failure detector.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Sets the phase. A draining daemon stays draining.
    pub fn set_phase(&self, phase: Phase) {
        if self.phase.get() != Phase::Draining {
            self.phase.set(phase);
        }
    }

    /// Returns a shard if this daemon owns it.
    pub fn shard(&self, shard: ShardId) -> Option<Rc<ShardHost>> {
        self.shards.borrow().get(&shard).cloned()
    }

    /// Returns all shards that this daemon owns.
    pub fn hosts(&self) -> Vec<Rc<ShardHost>> {
        self.shards.borrow().values().cloned().collect()
    }

    /// Spreads a fact to the other daemons.
    pub fn announce(&self, fact: Fact) {
        self.detector.borrow_mut().learn(fact);
    }

    /// Whether new work may be admitted: the daemon is serving, and recently had contact to the log
    /// or to a majority of the daemons, from which it would have learned of a newer configuration.
    pub fn may_admit(&self) -> bool {
        let log_recent = self.log_health.answered_within(MAX_ISOLATION);
        let peers_recent = self.last_majority.get().elapsed() < MAX_ISOLATION;
        self.phase() == Phase::Serving && (log_recent || peers_recent)
    }

    /// Updates `last_majority` and the number of live members from the failure detector.
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

    /// Returns the URL of a path on another daemon.
    pub fn url(&self, address: Address, path: &str) -> String {
        format!("http://{address}{path}")
    }
}
