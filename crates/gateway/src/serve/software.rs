//! Registers the software at which this daemon begins streams, so that a stream whose origin is not
//! recorded can still be resumed while only one software is registered for its service.

use super::request::RequestContext;
use super::stream_origin;
use crate::daemon::Daemon;
use fieldhook_ledger::software::{MAX_SERVICE_BYTES, VALIDITY_MS};
use fieldhook_ledger::streams::StreamOrigin;
use fieldhook_traffic::config::{Route, RouteKind};
use fieldhook_traffic::directory::{ActiveServers, ServerEntry, Software};
use futures_util::future::join_all;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// How long a registration may take: an owner that is lost is replaced within 300 to 700 ms.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(1);
/// How often registrations are checked if neither servers nor routes change.
const CHECK_PERIOD: Duration = Duration::from_secs(1);
/// How long a software is skipped after its registration failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// How long after its confirmation a registration is used. Renewed in time, it stays valid at all
/// times.
const RENEWAL_AGE: Duration = Duration::from_millis(VALIDITY_MS / 2);

/// State of a registration.
#[derive(Clone, Copy, Debug)]
enum State {
    /// Confirmed; contains when it was requested.
    Confirmed(Instant),
    /// Failed at this time.
    Failed(Instant),
}

impl State {
    fn is_outdated(self) -> bool {
        match self {
            Self::Confirmed(requested) => requested.elapsed() >= RENEWAL_AGE,
            Self::Failed(at) => at.elapsed() >= FAILURE_PAUSE,
        }
    }
}

/// Registrations that this daemon has made.
#[derive(Debug, Default)]
pub struct Registrations {
    /// Notified when the known servers may have changed.
    pub servers_changed: Notify,
    /// State by service and software.
    states: RefCell<HashMap<(String, Software), State>>,
}

impl Registrations {
    fn state(&self, server: &ServerEntry) -> Option<State> {
        let key = (server.service.clone(), server.software());
        let state = self.states.borrow().get(&key).copied();
        state.filter(|state| !state.is_outdated())
    }

    fn set(&self, server: &ServerEntry, state: State) {
        let key = (server.service.clone(), server.software());
        let mut states = self.states.borrow_mut();
        states.retain(|_, state| !state.is_outdated());
        states.insert(key, state);
    }
}

/// Registers the software that requests may need, before they do, until the daemon exits.
pub async fn run(daemon: Rc<Daemon>) {
    loop {
        let (servers, unowned): (Vec<_>, Vec<_>) = unregistered_servers(&daemon)
            .into_iter()
            .partition(|server| daemon.ledger.has_owner(&server.service));
        let deadline = Instant::now() + REGISTER_TIMEOUT;
        let registrations = servers
            .iter()
            .map(|server| register_server(&daemon, server, deadline));
        let confirmed = join_all(registrations).await;
        // Asking for a partition without an owner would claim it, out of the order in which daemons
        // claim.
        let pause = match unowned.is_empty() && !confirmed.contains(&false) {
            true => CHECK_PERIOD,
            false => FAILURE_PAUSE,
        };
        tokio::select! {
            () = sleep(pause) => {}
            () = daemon.registrations.servers_changed.notified() => {}
            () = daemon.routes_changed.notified() => {}
        }
    }
}

/// Returns one server of each published software that is not registered, among the services of
/// routes whose streams may be resumed.
fn unregistered_servers(daemon: &Daemon) -> Vec<Rc<ServerEntry>> {
    let routes = daemon.routes.borrow();
    let routes = routes.iter().flat_map(|table| &table.config.routes);
    let resumable = routes.filter(|route| is_resumable(route));
    let services: BTreeSet<&str> = resumable
        .flat_map(|route| &route.services)
        .map(|part| part.service.as_str())
        .collect();
    let directory = daemon.directory.borrow();
    let servers = services
        .into_iter()
        .filter_map(|service| directory.active_servers(service))
        .flat_map(ActiveServers::of_each_software);
    // Servers without a version are registered one by one, as requests need them.
    let published = servers.filter(|server| server.software_version.is_some());
    let unregistered = published.filter(|server| daemon.registrations.state(server).is_none());
    unregistered.cloned().collect()
}

/// Whether clients may resume the streams of a route.
pub fn is_resumable(route: &Route) -> bool {
    route.kind == RouteKind::Stream { resumable: true }
}

/// Makes sure that the software of a server is registered before a stream begins there that may be
/// resumed. Returns false if it could not be registered; nothing may be sent to the server then.
pub async fn register(context: &RequestContext, server: &ServerEntry) -> bool {
    if !is_resumable(&context.entry.route) {
        return true;
    }
    let deadline = context.deadline.min(Instant::now() + REGISTER_TIMEOUT);
    register_server(&context.daemon, server, deadline).await
}

/// Like [`register`], for a server whose process may be a later one than its entry names. It may run
/// any software, so the stream shares its software with no other.
pub async fn register_uncertain(context: &RequestContext, server: &ServerEntry) -> bool {
    register(context, &stream_origin::without_version(server)).await
}

async fn register_server(daemon: &Daemon, server: &ServerEntry, deadline: Instant) -> bool {
    if server.service.len() > MAX_SERVICE_BYTES {
        return true;
    }
    match daemon.registrations.state(server) {
        Some(State::Confirmed(_)) => return true,
        Some(State::Failed(_)) => return false,
        None => {}
    }
    let requested = Instant::now();
    let origin = stream_origin::of(server);
    let confirmed = daemon.ledger.register_software(origin, deadline).await;
    let state = match confirmed {
        true => State::Confirmed(requested),
        false => State::Failed(Instant::now()),
    };
    daemon.registrations.set(server, state);
    tracing::info!(
        event = "software_registered",
        service = server.service,
        server = server.id,
        software = server.software_version.as_deref(),
        confirmed,
        partition = daemon.ledger.partition_of(&server.service),
        took_ms = requested.elapsed().as_millis() as u64,
        log_age_ms = daemon.log_health.ms_since_answer()
    );
    confirmed
}

/// No owner replied by the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoOwner;

/// Returns the only software at which streams of the request's route can have begun; `None` if
/// there may be several.
///
/// # Errors
/// No owner replied by the deadline.
pub async fn only(
    context: &RequestContext,
    deadline: Instant,
) -> Result<Option<StreamOrigin>, NoOwner> {
    let route = &context.entry.route;
    let [part] = route.services.as_slice() else {
        return Ok(None);
    };
    if !is_resumable(route) || part.service.len() > MAX_SERVICE_BYTES {
        return Ok(None);
    }
    let ledger = &context.daemon.ledger;
    let registered = ledger.find_software(&part.service, deadline).await;
    Ok(registered.ok_or(NoOwner)?.only().cloned())
}
