//! The state that the tasks of a daemon share, and their start.

use crate::cold::ColdServers;
use crate::dialect::{Dialect, Topics};
use crate::ledger::assigner::Assigner;
use crate::ledger::client::LedgerClient;
use crate::ledger::owner::Owner;
use crate::ledger::quota::TenantShares;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::relay::{self, Relay};
use crate::serve::response_times::ResponseTimes;
use crate::settings::GatewaySettings;
use crate::upstream::pool::Pools;
use crate::zone_state::ZoneState;
use fieldhook_log::api::LogStore;
use fieldhook_log::log_health::LogHealth;
use fieldhook_log::reach::Reach;
use fieldhook_traffic::assignment::prefix_hash;
use fieldhook_traffic::directory::Directory;
use fieldhook_traffic::retry_budget;
use fieldhook_traffic::route_table::RouteTable;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout_at};
use tracing_appender::non_blocking::ErrorCounter;

/// From its start on a process holds requests for so long while it knows no configuration.
/// With 295 daemons that start together it is known after 40 to 150 ms; where the log is
/// away, what comes later is refused at once.
const START_PATIENCE: Duration = Duration::from_millis(300);

/// How far a planned stop is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// None is under way.
    Running,
    /// Clients are told to go elsewhere; what they still send is served.
    Draining,
    /// What comes now could not be finished: it is refused.
    Refusing,
}

/// Shared state of one daemon; everything runs on one thread.
pub struct Daemon {
    /// Settings.
    pub settings: GatewaySettings,
    /// Spelling of requests.
    pub dialect: Rc<dyn Dialect>,
    /// The log service, as it is followed.
    pub relay: Rc<Relay>,
    /// Topics of the platform.
    pub topics: Topics,
    /// Contact with the log service.
    pub log_health: Rc<LogHealth>,
    /// Routes in force.
    pub routes: RefCell<Option<Rc<RouteTable>>>,
    /// Told when there are new ones.
    pub routes_changed: Notify,
    /// Zones of the deployment, and which are evacuated.
    pub zone_state: Rc<ZoneState>,
    /// Servers that are cold.
    pub cold: Rc<ColdServers>,
    /// Whether all servers were read once: before that most requests would find none.
    pub servers_listed: Cell<bool>,
    /// Known servers.
    pub directory: Rc<RefCell<Directory>>,
    /// How long answers take.
    pub response_times: ResponseTimes,
    /// How long streams say nothing between two pieces.
    pub stream_gaps: ResponseTimes,
    /// Connections to servers.
    pub pools: Rc<Pools>,
    /// Repeats of attempts that are left.
    pub retry_budget: RefCell<retry_budget::RetryBudget>,
    /// Partitions owned here.
    pub owner: Rc<Owner>,
    /// Asks the owners of partitions.
    pub ledger: Rc<LedgerClient>,
    /// Asks for tenants' requests.
    pub quota: TenantShares,
    /// What is held for peers that are slow to read.
    pub memory: Rc<Memory>,
    /// Figures.
    pub metrics: Rc<Metrics>,
    /// Requests under way.
    pub in_flight: Cell<u32>,
    /// Open connections of clients.
    pub client_connections: Cell<u32>,
    /// How far a planned stop is.
    pub shutdown: watch::Sender<ShutdownPhase>,
    /// The platform sends new connections elsewhere by now: idle ones are closed, so that
    /// their clients come there as well.
    pub close_idle: watch::Sender<bool>,
    started: Instant,
}

/// What an adapter supplies.
pub struct Adapter {
    /// Spelling of requests.
    pub dialect: Rc<dyn Dialect>,
    /// The log service.
    pub store: Rc<dyn LogStore>,
    /// Topics of the platform.
    pub topics: Topics,
    /// Contact with the log service, kept by the store.
    pub log_health: Rc<LogHealth>,
    /// Figures, counted into by the store.
    pub metrics: Rc<Metrics>,
}

impl Daemon {
    /// The state of a daemon that starts.
    pub fn new(settings: GatewaySettings, adapter: Adapter) -> Rc<Self> {
        // Daemons that start at the same moment would draw the same numbers, and what is spread
        // by chance would fall together.
        fastrand::seed(prefix_hash(&settings.name) ^ fastrand::u64(..));
        let incarnation = fastrand::u64(1..u64::MAX);
        let directory = Rc::new(RefCell::new(Directory::default()));
        let pools = Rc::new(Pools::default());
        let zone_state = Rc::new(ZoneState::new(&settings));
        let cold = Rc::new(ColdServers::new(zone_state.clone()));
        let assigner = Assigner::new(
            directory.clone(),
            pools.clone(),
            zone_state.clone(),
            cold.clone(),
            settings.partitions,
        );
        let relay = Rc::new(Relay::new(
            adapter.store,
            &settings,
            &adapter.topics,
            adapter.metrics.clone(),
        ));
        let owner = Owner::new(
            relay.clone(),
            adapter.log_health.clone(),
            adapter.metrics.clone(),
            &settings,
            Rc::new(assigner),
            incarnation,
        );
        let ledger = Rc::new(LedgerClient::new(owner.clone(), adapter.log_health.clone()));
        let quota = TenantShares::new(settings.quota.window_ms);
        let memory = Rc::new(Memory::new(settings.slow_peers, adapter.metrics.clone()));
        Rc::new(Self {
            settings,
            dialect: adapter.dialect,
            relay,
            topics: adapter.topics,
            log_health: adapter.log_health,
            routes: RefCell::new(None),
            routes_changed: Notify::new(),
            zone_state,
            cold,
            servers_listed: Cell::new(false),
            directory,
            response_times: ResponseTimes::default(),
            stream_gaps: ResponseTimes::default(),
            pools,
            retry_budget: RefCell::default(),
            owner,
            ledger,
            quota,
            memory,
            metrics: adapter.metrics,
            in_flight: Cell::new(0),
            client_connections: Cell::new(0),
            shutdown: watch::Sender::new(ShutdownPhase::Running),
            close_idle: watch::Sender::new(false),
            started: Instant::now(),
        })
    }

    /// Time since the start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Waits for the first configuration where this process has only just started: a client
    /// that is refused in these moments has one try less.
    pub async fn wait_for_routes(&self) {
        let until = self.started + START_PATIENCE;
        while self.routes.borrow().is_none() {
            if timeout_at(until, self.routes_changed.notified())
                .await
                .is_err()
            {
                return;
            }
        }
    }

    /// Whether nothing may be sent to servers before what is known of evacuations is
    /// confirmed.
    pub fn is_evacuation_state_stale(&self) -> bool {
        let is_isolated = self.ledger.reach.get() == Reach::Isolated;
        self.zone_state
            .is_evacuation_state_stale(self.word_age_ms(), is_isolated)
    }

    /// Time since the operator's word as it is known was seen to be the newest, in
    /// milliseconds.
    fn word_age_ms(&self) -> u64 {
        let age_ms = self.owner.config.age_ms();
        age_ms.unwrap_or_else(|| self.now_ms())
    }

    /// Whether new clients should come here.
    pub fn is_ready(&self) -> bool {
        let better_elsewhere = self.ledger.reach.get().others_are_better_off();
        let knows_all = self.routes.borrow().is_some() && self.servers_listed.get();
        knows_all && !self.is_stopping() && !better_elsewhere
    }

    /// Whether a planned stop is under way.
    pub fn is_stopping(&self) -> bool {
        *self.shutdown.borrow() != ShutdownPhase::Running
    }

    /// Whether each answer ends its connection, so that the client's next one goes to a daemon
    /// that can do more for it.
    pub fn closes_connections(&self) -> bool {
        let alone = matches!(self.ledger.reach.get(), Reach::Minority | Reach::Isolated);
        self.is_stopping() || alone
    }

    /// Whether requests that come now are refused.
    pub fn is_refusing(&self) -> bool {
        *self.shutdown.borrow() == ShutdownPhase::Refusing
    }

    /// Starts all tasks. `dropped` counts log lines that were dropped.
    ///
    /// # Errors
    /// A listener cannot be bound.
    pub async fn start(self: &Rc<Self>, dropped: ErrorCounter) -> std::io::Result<()> {
        crate::probes::serve(self, dropped)?;
        self.start_without_probes().await
    }

    /// Starts all tasks except the servers of readiness and metrics.
    ///
    /// # Errors
    /// A listener cannot be bound.
    pub async fn start_without_probes(self: &Rc<Self>) -> std::io::Result<()> {
        crate::ledger::peer::listen(self.owner.clone(), self.settings.peers).await?;
        crate::serve::listener::listen(self.clone()).await?;
        ntex::rt::spawn(crate::follow::config::run(self.clone()));
        ntex::rt::spawn(crate::follow::config::poll_peers(self.clone()));
        ntex::rt::spawn(crate::follow::servers::run(self.clone()));
        ntex::rt::spawn(self.owner.claims.clone().run_follow());
        ntex::rt::spawn(relay::reader_slots::run(self.clone()));
        let patience = self.owner.claim_delay();
        ntex::rt::spawn(self.owner.claims.clone().run_claim_unowned(patience));
        ntex::rt::spawn(crate::ledger::owner::run_expiry(self.owner.clone()));
        ntex::rt::spawn(crate::ledger::reach::run(self.clone()));
        ntex::rt::spawn(crate::ledger::homes::watch_owners(self.ledger.clone()));
        ntex::rt::spawn(sweep_pools(self.clone()));
        ntex::rt::spawn(watch_stops(self.clone()));
        Ok(())
    }
}

/// Unix time, in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

const SWEEP_PERIOD: Duration = Duration::from_millis(500);

async fn sweep_pools(daemon: Rc<Daemon>) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        let directory = daemon.directory.borrow();
        daemon
            .pools
            .sweep(&|id| directory.accepts_work(id), daemon.now_ms());
        let cold = daemon.cold.count_cold(&directory);
        daemon.metrics.cold_servers.set(cold as i64);
    }
}

/// How often the process notes that it runs: several times within the shortest stop that
/// counts as one ([`fieldhook_topology::freshness`]).
const RUN_PERIOD: Duration = Duration::from_millis(250);

async fn watch_stops(daemon: Rc<Daemon>) {
    loop {
        daemon.zone_state.record_run(daemon.word_age_ms());
        tokio::time::sleep(RUN_PERIOD).await;
    }
}
