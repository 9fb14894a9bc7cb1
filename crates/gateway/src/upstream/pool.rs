//! Idle connections, requests in flight and health of each server.

use super::connection::ServerConnection;
use crate::metrics::Metrics;
use fieldhook_traffic::directory::ServerEntry;
use fieldhook_traffic::health::{Health, Observation};
use fieldhook_traffic::idle_limit::IdleLimit;
use fieldhook_traffic::server_fate::Contact;
use fieldhook_traffic::silence::SilenceDetector;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// A connection that is not established within this time counts as failed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle time allowed if the server does not announce a keep-alive time.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_millis(300);
/// Fraction of the keep-alive time announced by a server after which a connection is no longer
/// used: the server must not close it while a request that cannot be retried is being sent.
const IDLE_LIMIT_FACTOR: f64 = 0.88;
/// Maximum number of idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 16;
/// Number of idle connections that stay open if none of them can carry a request and another one is
/// opened. With spare ones, requests that are refused in turn need no further connections; without
/// a limit, one request that is refused again and again would take many of those that the server
/// accepts.
const MAX_SPARE_CONNECTIONS: usize = 2;

#[derive(Default)]
struct ServerState {
    idle: Vec<ServerConnection>,
    in_flight: u32,
    health: Health,
    idle_limit: IdleLimit,
    /// When the machine of the server last answered a probe.
    last_probe_answer: Option<Instant>,
    /// When the newest request that the server answered was sent, and when the first answer on its
    /// connection arrived.
    last_answer: Option<(Instant, Instant)>,
    /// Start and result of the newest attempt to connect after a break.
    last_contact: Option<(Instant, Contact)>,
    /// Start that the process at the address stated, and since when it has stated the same.
    stated_start: Option<(u64, Instant)>,
    /// Connection that is kept open because it closes when its process ends.
    watched: Weak<ServerConnection>,
}

impl ServerState {
    /// Removes the newest idle connection that can carry the request with this id.
    fn take_idle(&mut self, request: &str) -> Option<ServerConnection> {
        let can_carry = |connection: &ServerConnection| connection.can_carry(request);
        let index = self.idle.iter().rposition(can_carry)?;
        Some(self.idle.remove(index))
    }
}

/// Connection pools and health state of all servers.
#[derive(Default)]
pub struct Pools {
    servers: RefCell<HashMap<String, ServerState>>,
    silence: RefCell<SilenceDetector>,
    /// Servers that are being probed.
    probing: RefCell<HashSet<String>>,
}

/// Marks a server as being probed until dropped.
pub struct ProbeGuard<'a> {
    pools: &'a Pools,
    id: String,
}

impl Drop for ProbeGuard<'_> {
    fn drop(&mut self) {
        self.pools.probing.borrow_mut().remove(&self.id);
    }
}

/// Counts a request as in flight at a server until dropped.
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

/// Current state of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerStatus {
    /// Number of requests in flight.
    pub in_flight: u32,
    /// The server is currently avoided: it is in backoff, or suspected to be unreachable.
    pub is_avoided: bool,
    /// The last attempt at the server failed.
    pub is_unhealthy: bool,
    /// An idle connection is available.
    pub has_idle_connection: bool,
}

impl Pools {
    /// Returns the current state of a server.
    pub fn status(&self, id: &str, zone: &str, now_ms: u64) -> ServerStatus {
        let servers = self.servers.borrow();
        let is_suspect = self.silence.borrow().is_suspect(id, zone, now_ms);
        let known = servers.get(id);
        let status = known.map_or_else(ServerStatus::default, |state| ServerStatus {
            in_flight: state.in_flight,
            is_avoided: state.health.is_in_backoff(now_ms),
            is_unhealthy: state.health.is_unhealthy(),
            has_idle_connection: !state.idle.is_empty(),
        });
        ServerStatus {
            is_avoided: status.is_avoided || is_suspect,
            ..status
        }
    }

    /// Records that the machine of a server responded. Returns true if it had been silent.
    pub fn mark_responsive(&self, server: &ServerEntry, now_ms: u64) -> bool {
        let mut silence = self.silence.borrow_mut();
        silence.record_contact(&server.id, &server.zone, now_ms)
    }

    /// Records that a connection to a server timed out. Returns true if the server counts as silent
    /// from now on.
    pub fn mark_unresponsive(&self, server: &ServerEntry, now_ms: u64) -> bool {
        let mut silence = self.silence.borrow_mut();
        silence.record_connect_timeout(&server.id, &server.zone, now_ms)
    }

    /// Returns whether the machine of a server counts as silent.
    pub fn is_silent(&self, id: &str, now_ms: u64) -> bool {
        self.silence.borrow().is_silent(id, now_ms)
    }

    /// Returns whether several servers of a zone are silent and none of them responds.
    pub fn is_zone_suspect(&self, zone: &str, now_ms: u64) -> bool {
        self.silence.borrow().is_zone_suspect(zone, now_ms)
    }

    /// Records that the machine of a server answered a probe.
    pub fn record_probe_answer(&self, id: &str) {
        let mut servers = self.servers.borrow_mut();
        servers.entry(id.to_owned()).or_default().last_probe_answer = Some(Instant::now());
    }

    /// Returns whether the machine of the server answered a probe within the last `time`, so that
    /// all requests waiting for the server share the result of one probe.
    pub fn answered_probe_within(&self, id: &str, time: Duration) -> bool {
        let servers = self.servers.borrow();
        let answered_at = servers.get(id).and_then(|state| state.last_probe_answer);
        answered_at.is_some_and(|at| at.elapsed() < time)
    }

    /// Records an answer of a server to a request that was sent at this time, on a connection on which
    /// the first answer arrived at the time `first`.
    pub fn record_answer(&self, id: &str, sent: Instant, first: Option<Instant>) {
        let mut servers = self.servers.borrow_mut();
        let state = servers.entry(id.to_owned()).or_default();
        state.last_answer = Some((sent, first.unwrap_or_else(Instant::now)));
    }

    /// Returns whether a server has answered a request that was sent after a break, and after the
    /// newest attempt to connect since then, on a connection on which it had answered before the
    /// break. Any other connection may lead to the next process at the address, and an answer to an
    /// earlier request may have been under way.
    pub fn has_answered_since(&self, id: &str, broke: Instant) -> bool {
        let servers = self.servers.borrow();
        let Some(state) = servers.get(id) else {
            return false;
        };
        let contact = state.last_contact.map(|(at, _)| at);
        let since = contact.map_or(broke, |at| at.max(broke));
        let answer = state.last_answer;
        answer.is_some_and(|(sent, first)| sent > since && first < broke)
    }

    /// Keeps a connection open to notice the end of its process, for as long as it is in use.
    pub fn watch(&self, id: &str, connection: ServerConnection) -> Rc<ServerConnection> {
        let connection = Rc::new(connection);
        let mut servers = self.servers.borrow_mut();
        servers.entry(id.to_owned()).or_default().watched = Rc::downgrade(&connection);
        connection
    }

    /// Returns the connection that is kept open to a server, unless its process has ended.
    pub fn watched(&self, id: &str) -> Option<Rc<ServerConnection>> {
        let servers = self.servers.borrow();
        let connection = servers.get(id)?.watched.upgrade()?;
        connection.has_no_input().then_some(connection)
    }

    /// Records the start that the process at the address of a server stated.
    pub fn record_start(&self, id: &str, started_ms: u64) {
        let mut servers = self.servers.borrow_mut();
        let state = servers.entry(id.to_owned()).or_default();
        let known = state.stated_start;
        if known.is_none_or(|(known, _)| known != started_ms) {
            state.stated_start = Some((started_ms, Instant::now()));
        }
    }

    /// Returns the start that the process at the address of a server stated last.
    pub fn stated_start(&self, id: &str) -> Option<u64> {
        let servers = self.servers.borrow();
        let stated = servers.get(id).and_then(|state| state.stated_start);
        stated.map(|(started_ms, _)| started_ms)
    }

    /// Returns whether the process at the address of a server has stated the same start since before
    /// this time, so that it is the same process, whatever the entry tells.
    pub fn is_same_process_since(&self, id: &str, time: Instant) -> bool {
        let servers = self.servers.borrow();
        let stated = servers.get(id).and_then(|state| state.stated_start);
        stated.is_some_and(|(_, since)| since < time)
    }

    /// Records the result of an attempt to connect to a server that began at this time.
    pub fn record_contact(&self, id: &str, began: Instant, contact: Contact) {
        let mut servers = self.servers.borrow_mut();
        let state = servers.entry(id.to_owned()).or_default();
        let known = state.last_contact;
        if known.is_none_or(|(at, _)| at <= began) {
            state.last_contact = Some((began, contact));
        }
    }

    /// Returns the result of the newest attempt to connect to a server that began after this time.
    pub fn contact_since(&self, id: &str, time: Instant) -> Option<Contact> {
        let servers = self.servers.borrow();
        let (at, contact) = servers.get(id)?.last_contact?;
        (at > time).then_some(contact)
    }

    /// Returns the time since the newest attempt to connect to a server, in milliseconds.
    pub fn contact_age_ms(&self, id: &str) -> Option<u64> {
        let servers = self.servers.borrow();
        let (at, _) = servers.get(id)?.last_contact?;
        Some(at.elapsed().as_millis() as u64)
    }

    /// Reserves the right to probe a server; `None` while another task is probing it.
    pub fn begin_probe(&self, id: &str) -> Option<ProbeGuard<'_>> {
        let is_first = self.probing.borrow_mut().insert(id.to_owned());
        is_first.then(|| ProbeGuard {
            pools: self,
            id: id.to_owned(),
        })
    }

    /// Counts a request as in flight at a server.
    pub fn start_request(self: &Rc<Self>, id: &str) -> InFlightGuard {
        let mut servers = self.servers.borrow_mut();
        servers.entry(id.to_owned()).or_default().in_flight += 1;
        InFlightGuard {
            pools: self.clone(),
            id: id.to_owned(),
        }
    }

    /// Updates the health of a server with the result of an attempt.
    pub fn observe(&self, id: &str, now_ms: u64, observation: Observation) {
        let mut servers = self.servers.borrow_mut();
        let state = servers.entry(id.to_owned()).or_default();
        state.health.observe(now_ms, observation);
        if observation == Observation::Failed {
            state.idle.clear();
        }
    }

    /// Records that a pooled connection turned out to be closed after having been idle for
    /// `idle_time`.
    pub fn record_stale(&self, id: &str, now_ms: u64, idle_time: Duration) {
        let mut servers = self.servers.borrow_mut();
        let state = servers.entry(id.to_owned()).or_default();
        state
            .idle_limit
            .record_stale(now_ms, idle_time.as_millis() as u64);
    }

    /// Returns a connection for the request with this id. If the machine of the server is suspected
    /// to be unreachable, the connection is always new, so that no request is sent to such a
    /// machine.
    ///
    /// # Errors
    /// No connection was established; nothing was sent.
    pub async fn acquire(
        &self,
        server: &ServerEntry,
        request: &str,
        now_ms: u64,
        metrics: &Metrics,
    ) -> std::io::Result<ServerConnection> {
        let is_suspect = {
            let silence = self.silence.borrow();
            silence.is_suspect(&server.id, &server.zone, now_ms)
        };
        if !is_suspect && let Some(connection) = self.acquire_idle(&server.id, request, now_ms) {
            return Ok(connection);
        }
        self.open(server, metrics).await
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// No connection was established; nothing was sent.
    pub async fn open(
        &self,
        server: &ServerEntry,
        metrics: &Metrics,
    ) -> std::io::Result<ServerConnection> {
        metrics.connections.inc();
        ServerConnection::connect(server.address, CONNECT_TIMEOUT).await
    }

    fn acquire_idle(&self, id: &str, request: &str, now_ms: u64) -> Option<ServerConnection> {
        let mut servers = self.servers.borrow_mut();
        let state = servers.get_mut(id)?;
        let limit = state.idle_limit.limit_ms(now_ms).map(Duration::from_millis);
        while let Some(mut connection) = state.take_idle(request) {
            connection.idle_before_use = connection.idle_since.elapsed();
            let is_too_old = limit.is_some_and(|limit| connection.idle_before_use > limit);
            if is_fresh(&connection) && !is_too_old && connection.has_no_input() {
                return Some(connection);
            }
        }
        if state.idle.len() > MAX_SPARE_CONNECTIONS {
            state.idle.remove(0);
        }
        None
    }

    /// Returns a connection whose last response is complete to the pool. `keep_alive` is the
    /// keep-alive time announced by the server, if any.
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

    /// Returns a connection to the pool on which nothing was sent since it was acquired.
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

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, id: &str) {
        if let Some(state) = self.servers.borrow_mut().get_mut(id) {
            state.idle.clear();
        }
    }

    /// Closes idle connections that have exceeded their limit, and removes servers for which
    /// `known` returns false.
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
