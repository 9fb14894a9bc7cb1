//! Idle connections, requests under way and health of each server.

use super::connection::ServerConnection;
use crate::metrics::Metrics;
use fieldhook_traffic::directory::ServerEntry;
use fieldhook_traffic::health::{Health, Observation};
use fieldhook_traffic::rest::Rest;
use fieldhook_traffic::silence::Silence;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A connection that does not come about in this time counts as refused.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle time allowed where a server does not tell its own.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_millis(300);
/// Part of a server's idle time after which a connection is not used any more:
/// a close by the server must not cross a request that may not be repeated.
const IDLE_LIMIT_FACTOR: f64 = 0.88;
/// Idle connections is_known to one server.
const MAX_IDLE_PER_SERVER: usize = 16;

#[derive(Default)]
struct ServerState {
    idle: Vec<ServerConnection>,
    in_flight: u32,
    health: Health,
    rest: Rest,
    /// When its machine answered a try last.
    last_probe_answer: Option<Instant>,
}

/// All servers' pools.
#[derive(Default)]
pub struct Pools {
    servers: RefCell<HashMap<String, ServerState>>,
    silence: RefCell<Silence>,
    /// Servers that are being tried.
    probing: RefCell<HashSet<String>>,
}

/// A server is being tried until this is dropped.
pub struct ProbeGuard<'a> {
    pools: &'a Pools,
    id: String,
}

impl Drop for ProbeGuard<'_> {
    fn drop(&mut self) {
        self.pools.probing.borrow_mut().remove(&self.id);
    }
}

/// Counts a request as under way at a server until it is dropped.
pub struct InFlightGuard {
    pools: Rc<Pools>,
    id: String,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(state) = self.pools.servers.borrow_mut().get_mut(&self.id) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }
}

/// What the pools know about a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerStatus {
    /// Requests under way.
    pub in_flight: u32,
    /// It is passed over for now.
    pub avoided: bool,
    /// Its last attempt failed.
    pub unsound: bool,
    /// An idle connection waits.
    pub has_idle_connection: bool,
}

impl Pools {
    /// What is known about a server.
    pub fn status(&self, id: &str, zone: &str, now_ms: u64) -> ServerStatus {
        let servers = self.servers.borrow();
        let in_doubt = self.silence.borrow().is_in_doubt(id, zone, now_ms);
        let known = servers.get(id);
        let status = known.map_or_else(ServerStatus::default, |state| ServerStatus {
            in_flight: state.in_flight,
            avoided: state.health.avoided(now_ms),
            unsound: state.health.unsound(),
            has_idle_connection: !state.idle.is_empty(),
        });
        ServerStatus {
            avoided: status.avoided || in_doubt,
            ..status
        }
    }

    /// Something came from a server's machine. True if it had been silent.
    pub fn mark_responsive(&self, server: &ServerEntry, now_ms: u64) -> bool {
        let mut silence = self.silence.borrow_mut();
        silence.heard(&server.id, &server.zone, now_ms)
    }

    /// A connection to a server did not come about in time. True if it is silent from now on.
    pub fn mark_unresponsive(&self, server: &ServerEntry, now_ms: u64) -> bool {
        let mut silence = self.silence.borrow_mut();
        silence.missed(&server.id, &server.zone, now_ms)
    }

    /// Whether a server's machine says nothing.
    pub fn is_silent(&self, id: &str, now_ms: u64) -> bool {
        self.silence.borrow().is_silent(id, now_ms)
    }

    /// Whether several servers of a zone say nothing, and none of them does.
    pub fn is_zone_in_doubt(&self, zone: &str, now_ms: u64) -> bool {
        self.silence.borrow().is_zone_in_doubt(zone, now_ms)
    }

    /// The machine of a server answered a try.
    pub fn record_probe_answer(&self, id: &str) {
        let mut servers = self.servers.borrow_mut();
        servers.entry(id.to_owned()).or_default().last_probe_answer = Some(Instant::now());
    }

    /// Whether it did within this time: all that wait for the server know by one try.
    pub fn answered_probe_within(&self, id: &str, time: Duration) -> bool {
        let servers = self.servers.borrow();
        let answered_at = servers.get(id).and_then(|state| state.last_probe_answer);
        answered_at.is_some_and(|at| at.elapsed() < time)
    }

    /// Whoever tries a server holds this; `None` while another does.
    pub fn begin_probe(&self, id: &str) -> Option<ProbeGuard<'_>> {
        let is_first = self.probing.borrow_mut().insert(id.to_owned());
        is_first.then(|| ProbeGuard {
            pools: self,
            id: id.to_owned(),
        })
    }

    /// Counts a request at a server.
    pub fn start_request(self: &Rc<Self>, id: &str) -> InFlightGuard {
        let mut servers = self.servers.borrow_mut();
        servers.entry(id.to_owned()).or_default().in_flight += 1;
        InFlightGuard {
            pools: self.clone(),
            id: id.to_owned(),
        }
    }

    /// Takes in how an attempt went.
    pub fn observe(&self, id: &str, now_ms: u64, observation: Observation) {
        let mut servers = self.servers.borrow_mut();
        let state = servers.entry(id.to_owned()).or_default();
        state.health.observe(now_ms, observation);
        if observation == Observation::Failed {
            state.idle.clear();
        }
    }

    /// An idle connection was gone when it was used again after this rest.
    pub fn record_stale(&self, id: &str, now_ms: u64, idle_time: Duration) {
        let mut servers = self.servers.borrow_mut();
        let state = servers.entry(id.to_owned()).or_default();
        state
            .rest
            .was_too_long(now_ms, idle_time.as_millis() as u64);
    }

    /// A connection for the next request: a new one where the server's machine is in doubt,
    /// so that nothing is sent to one that is gone.
    ///
    /// # Errors
    /// None came about; nothing was sent.
    pub async fn acquire(
        &self,
        server: &ServerEntry,
        now_ms: u64,
        metrics: &Metrics,
    ) -> std::io::Result<ServerConnection> {
        let in_doubt = {
            let silence = self.silence.borrow();
            silence.is_in_doubt(&server.id, &server.zone, now_ms)
        };
        if !in_doubt && let Some(connection) = self.acquire_idle(&server.id, now_ms) {
            return Ok(connection);
        }
        metrics.connections.inc();
        ServerConnection::connect(server.address, CONNECT_TIMEOUT).await
    }

    fn acquire_idle(&self, id: &str, now_ms: u64) -> Option<ServerConnection> {
        let mut servers = self.servers.borrow_mut();
        let state = servers.get_mut(id)?;
        let limit = state.rest.limit_ms(now_ms).map(Duration::from_millis);
        while let Some(mut connection) = state.idle.pop() {
            connection.idle_before_use = connection.idle_since.elapsed();
            let is_too_old = limit.is_some_and(|limit| connection.idle_before_use > limit);
            if is_fresh(&connection) && !is_too_old && connection.has_no_input() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer is whole. `keep_alive` is the server's idle
    /// time, where it tells one.
    pub fn release(
        &self,
        id: &str,
        mut connection: ServerConnection,
        keep_alive: Option<Duration>,
    ) {
        if !connection.is_reusable() {
            return;
        }
        connection.mark_idle();
        connection.idle_limit =
            keep_alive.map_or(DEFAULT_IDLE_LIMIT, |limit| limit.mul_f64(IDLE_LIMIT_FACTOR));
        let mut servers = self.servers.borrow_mut();
        let state = servers.entry(id.to_owned()).or_default();
        if state.idle.len() < MAX_IDLE_PER_SERVER {
            state.idle.push(connection);
        }
    }

    /// Keeps a connection that nothing was sent on, as it was taken.
    pub fn release_unused(&self, id: &str, mut connection: ServerConnection) {
        if !connection.has_served {
            connection.idle_limit = DEFAULT_IDLE_LIMIT;
        }
        let mut servers = self.servers.borrow_mut();
        let state = servers.entry(id.to_owned()).or_default();
        if state.idle.len() < MAX_IDLE_PER_SERVER {
            state.idle.push(connection);
        }
    }

    /// Closes idle connections that are over their time, and forgets servers that
    /// `known` does not name.
    pub fn sweep(&self, known: &dyn Fn(&str) -> bool, now_ms: u64) {
        self.silence.borrow_mut().retain(known, now_ms);
        let mut servers = self.servers.borrow_mut();
        servers.retain(|id, state| state.in_flight > 0 || known(id));
        for (id, state) in servers.iter_mut() {
            let is_known = known(id);
            state
                .idle
                .retain(|connection| is_known && is_fresh(connection) && connection.has_no_input());
        }
    }
}

fn is_fresh(connection: &ServerConnection) -> bool {
    connection.idle_since.elapsed() < connection.idle_limit
}
