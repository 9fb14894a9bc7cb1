//! State shared by the tasks of a daemon, and the start of these tasks.

use crate::cold::ColdServers;
use crate::dialect::{Dialect, Topics};
use crate::ledger::assigner::Assigner;
use crate::ledger::backups::{BackupEvent, Backups};
use crate::ledger::client::LedgerClient;
use crate::ledger::own_attempts::{self, OwnAttempts};
use crate::ledger::owner::Owner;
use crate::ledger::quota::LocalShares;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::relay::{self, Relay};
use crate::serve::open_checks::OpenChecks;
use crate::serve::response_times::ResponseTimes;
use crate::serve::software::Registrations;
use crate::settings::GatewaySettings;
use crate::upstream::pool::Pools;
use crate::zone_state::ZoneState;
use fieldhook_ledger::streams::Streams;
use fieldhook_log::api::LogStore;
use fieldhook_log::log_health::LogHealth;
use fieldhook_log::reach::Reach;
use fieldhook_traffic::assignment::prefix_hash;
use fieldhook_traffic::directory::Directory;
use fieldhook_traffic::planned_stop;
use fieldhook_traffic::retry_budget;
use fieldhook_traffic::route_table::RouteTable;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, timeout_at};
use tracing_appender::non_blocking::ErrorCounter;

/// How long after its start a process holds requests while it has no configuration. With 295
/// daemons starting together the configuration arrives after 40 to 150 ms. If the log is
/// unreachable, requests that arrive after this time are refused immediately.
const ROUTES_WAIT: Duration = Duration::from_millis(300);

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No stop is in progress.
    Running,
    /// Connections are closed after each response; requests that still arrive are served.
    Draining,
    /// New requests are refused because they could not be finished in time.
    Refusing,
}

/// Times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    /// New requests are refused from then on.
    pub refuse_at: Instant,
    /// The process exits then at the latest.
    pub end: Instant,
}

/// Shared state of one daemon. All of its tasks run on one thread.
pub struct Daemon {
    /// Startup settings.
    pub settings: GatewaySettings,
    /// Names and formats of header fields and documents.
    pub dialect: Rc<dyn Dialect>,
    /// The log service, read directly or through reader daemons.
    pub relay: Rc<Relay>,
    /// Topics of the platform.
    pub topics: Topics,
    /// Health of the connection to the log service.
    pub log_health: Rc<LogHealth>,
    /// The current routes, once a configuration was read.
    pub routes: RefCell<Option<Rc<RouteTable>>>,
    /// Notified when `routes` is replaced.
    pub routes_changed: Notify,
    /// Zones of the deployment and which of them are evacuated.
    pub zone_state: Rc<ZoneState>,
    /// Cold servers, which for a time take only a limited rate of requests.
    pub cold: Rc<ColdServers>,
    /// Whether the first listing of servers is complete. Before that, most requests would find no
    /// server.
    pub servers_listed: Cell<bool>,
    /// Known servers.
    pub directory: Rc<RefCell<Directory>>,
    /// Response times by route.
    pub response_times: ResponseTimes,
    /// Time between two pieces of a streamed response, by route.
    pub stream_gaps: ResponseTimes,
    /// Connections to servers.
    pub pools: Rc<Pools>,
    /// Broken attempts whose servers are being checked.
    pub open_checks: Rc<OpenChecks>,
    /// Attempts in progress, which are backed up at another daemon.
    pub own_attempts: Rc<OwnAttempts>,
    /// What happened to attempts of other daemons, until the task that handles it starts.
    backup_events: Cell<Option<mpsc::UnboundedReceiver<BackupEvent>>>,
    /// Limits retries over all requests.
    pub retry_budget: RefCell<retry_budget::RetryBudget>,
    /// Ledger partitions owned by this daemon.
    pub owner: Rc<Owner>,
    /// Client for the owners of ledger partitions.
    pub ledger: Rc<LedgerClient>,
    /// Shares of tenants' limits granted to this daemon.
    pub quota: LocalShares,
    /// Software at which this daemon may begin streams.
    pub registrations: Registrations,
    /// Origins of the streams that this daemon has served.
    pub streams: RefCell<Streams>,
    /// Limits the memory for data buffered for slow peers.
    pub memory: Rc<Memory>,
    /// Metrics.
    pub metrics: Rc<Metrics>,
    /// Requests in progress.
    pub in_flight: Cell<u32>,
    /// Open client connections.
    pub client_connections: Cell<u32>,
    /// Phase of a planned stop.
    pub shutdown: watch::Sender<ShutdownPhase>,
    /// The planned stop that is in progress.
    pub planned_stop: Cell<Option<PlannedStop>>,
    /// Set once the platform routes new connections to other daemons. Idle connections are then
    /// closed, so that their clients reconnect there.
    pub close_idle: watch::Sender<bool>,
    started: Instant,
}

/// What the adapter to a platform supplies.
pub struct Adapter {
    /// Names and formats of header fields and documents.
    pub dialect: Rc<dyn Dialect>,
    /// The log service.
    pub store: Rc<dyn LogStore>,
    /// Topics of the platform.
    pub topics: Topics,
    /// Health of the connection to the log service, updated by the store.
    pub log_health: Rc<LogHealth>,
    /// Metrics, to which the store adds its own counts.
    pub metrics: Rc<Metrics>,
}

impl Daemon {
    /// Creates the state of a daemon. No task runs before [`Daemon::start`].
    pub fn new(settings: GatewaySettings, adapter: Adapter) -> Rc<Self> {
        // Mix in the name: daemons started at the same moment could otherwise draw the same
        // random delays and act simultaneously.
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
        let (backups, backup_events) = Backups::new(&settings.zone);
        let owner = Owner::new(
            relay.clone(),
            adapter.log_health.clone(),
            adapter.metrics.clone(),
            &settings,
            Rc::new(assigner),
            backups,
            incarnation,
        );
        let ledger = Rc::new(LedgerClient::new(owner.clone(), adapter.log_health.clone()));
        let quota = LocalShares::new(settings.quota.window_ms);
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
            open_checks: Rc::default(),
            own_attempts: Rc::default(),
            backup_events: Cell::new(Some(backup_events)),
            retry_budget: RefCell::default(),
            owner,
            ledger,
            quota,
            registrations: Registrations::default(),
            streams: RefCell::default(),
            memory,
            metrics: adapter.metrics,
            in_flight: Cell::new(0),
            client_connections: Cell::new(0),
            shutdown: watch::Sender::new(ShutdownPhase::Running),
            planned_stop: Cell::new(None),
            close_idle: watch::Sender::new(false),
            started: Instant::now(),
        })
    }

    /// Time since the start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Waits for the first configuration if the process has just started. A client refused at
    /// that moment would lose one of its attempts.
    pub async fn wait_for_routes(&self) {
        let until = self.started + ROUTES_WAIT;
        while self.routes.borrow().is_none() {
            if timeout_at(until, self.routes_changed.notified())
                .await
                .is_err()
            {
                return;
            }
        }
    }

    /// Returns whether the known evacuations are too old: requests must not be sent to servers
    /// before they are confirmed.
    pub fn is_evacuation_state_stale(&self) -> bool {
        let is_isolated = self.ledger.reach.get() == Reach::Isolated;
        self.zone_state
            .is_evacuation_state_stale(self.config_age_ms(), is_isolated)
    }

    /// Time since the known configuration and evacuations were last confirmed to be the newest, in
    /// milliseconds.
    fn config_age_ms(&self) -> u64 {
        let age_ms = self.owner.config.age_ms();
        age_ms.unwrap_or_else(|| self.now_ms())
    }

    /// Returns whether new clients should connect to this daemon.
    pub fn is_ready(&self) -> bool {
        let should_redirect = self.ledger.reach.get().should_redirect_clients();
        let knows_all = self.routes.borrow().is_some() && self.servers_listed.get();
        knows_all && !self.is_stopping() && !should_redirect
    }

    /// Returns whether a planned stop is in progress.
    pub fn is_stopping(&self) -> bool {
        *self.shutdown.borrow() != ShutdownPhase::Running
    }

    /// Returns whether each response closes its connection, so that the client reconnects to another
    /// daemon: during a planned stop, and while this daemon reaches no or only a minority of the
    /// other daemons or zones.
    pub fn closes_connections(&self) -> bool {
        let is_separated = matches!(self.ledger.reach.get(), Reach::Minority | Reach::Isolated);
        self.is_stopping() || is_separated
    }

    /// Returns whether new requests are refused.
    pub fn is_refusing(&self) -> bool {
        let stop = self.planned_stop.get();
        stop.is_some_and(|stop| Instant::now() >= stop.refuse_at)
    }

    /// Returns whether the response to a request on a route can be expected before a planned stop
    /// ends. `allowed` is the time until the deadline of the request.
    pub fn can_finish(&self, route: &str, allowed: Duration) -> bool {
        let Some(stop) = self.planned_stop.get() else {
            return true;
        };
        let left = stop.end.saturating_duration_since(Instant::now());
        planned_stop::can_finish(self.response_times.longest(route), allowed, left)
    }

    /// Starts all tasks. `dropped` counts dropped log lines.
    ///
    /// # Errors
    /// A listener cannot be bound.
    pub async fn start(self: &Rc<Self>, dropped: ErrorCounter) -> std::io::Result<()> {
        crate::probes::serve(self, dropped)?;
        self.start_without_probes().await
    }

    /// Starts all tasks except the HTTP server for readiness and metrics.
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
        let claim_delay = self.owner.claim_delay();
        ntex::rt::spawn(self.owner.claims.clone().run_claim_unowned(claim_delay));
        ntex::rt::spawn(crate::ledger::owner::run_expiry(self.owner.clone()));
        ntex::rt::spawn(crate::ledger::reach::run(self.clone()));
        ntex::rt::spawn(crate::ledger::homes::watch_owners(self.ledger.clone()));
        ntex::rt::spawn(crate::serve::software::run(self.clone()));
        ntex::rt::spawn(self.clone().back_up_attempts());
        ntex::rt::spawn(self.owner.backups.clone().run());
        if let Some(events) = self.backup_events.take() {
            ntex::rt::spawn(crate::serve::takeover::run(self.clone(), events));
        }
        ntex::rt::spawn(sweep_pools(self.clone()));
        ntex::rt::spawn(detect_suspension(self.clone()));
        Ok(())
    }

    async fn back_up_attempts(self: Rc<Self>) {
        let (owner, own) = (self.owner.clone(), self.own_attempts.clone());
        own_attempts::run(owner, own, &self.settings.zone).await;
    }
}

/// Unix time, in milliseconds, as of the start of the process and the time since then: it does not
/// change when the machine's clock is set.
pub fn unix_ms() -> u64 {
    static START: OnceLock<(std::time::Instant, u64)> = OnceLock::new();
    let (started, unix_ms) = START.get_or_init(|| (std::time::Instant::now(), system_time_ms()));
    unix_ms + started.elapsed().as_millis() as u64
}

fn system_time_ms() -> u64 {
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
        daemon.streams.borrow_mut().expire(daemon.now_ms());
        let known_crashes = &daemon.owner.known_crashes;
        known_crashes.borrow_mut().expire(unix_ms());
        let cold = daemon.cold.count_cold(&directory);
        daemon.metrics.cold_servers.set(cold as i64);
        let backed_up = daemon.owner.backups.attempt_count();
        daemon.metrics.backed_up_attempts.set(backed_up as i64);
    }
}

/// Interval at which the process records that it runs: several times within the shortest
/// suspension that is detected ([`fieldhook_topology::freshness`]).
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);

async fn detect_suspension(daemon: Rc<Daemon>) {
    loop {
        daemon.zone_state.record_run(daemon.config_age_ms());
        tokio::time::sleep(HEARTBEAT_PERIOD).await;
    }
}
