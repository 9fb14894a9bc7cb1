//! Registers the software at which this daemon begins streams, so that a stream whose origin is not
//! recorded can still be resumed while only one software is registered for its service.

use super::request::RequestContext;
use super::stream_origin;
use fieldhook_ledger::software::{MAX_SERVICE_BYTES, VALIDITY_MS};
use fieldhook_ledger::streams::StreamOrigin;
use fieldhook_traffic::config::RouteKind;
use fieldhook_traffic::directory::{ServerEntry, Software};
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long a request waits for a registration: an owner that is lost is replaced within 300 to
/// 700 ms, and other software may be registered already.
const REGISTER_TIMEOUT: Duration = Duration::from_millis(300);
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

/// Registrations that this daemon has made, by service and software.
#[derive(Debug, Default)]
pub struct Registrations(RefCell<HashMap<(String, Software), State>>);

impl Registrations {
    fn state(&self, server: &ServerEntry) -> Option<State> {
        let key = (server.service.clone(), server.software());
        let state = self.0.borrow().get(&key).copied();
        state.filter(|state| !state.is_outdated())
    }

    fn set(&self, server: &ServerEntry, state: State) {
        let key = (server.service.clone(), server.software());
        let mut states = self.0.borrow_mut();
        states.retain(|_, state| !state.is_outdated());
        states.insert(key, state);
    }
}

/// Makes sure that the software of a server is registered before a stream begins there that may be
/// resumed. Returns false if it could not be registered; nothing may be sent to the server then.
pub async fn register(context: &RequestContext, server: &ServerEntry) -> bool {
    let is_resumable = context.entry.route.kind == (RouteKind::Stream { resumable: true });
    if !is_resumable || server.service.len() > MAX_SERVICE_BYTES {
        return true;
    }
    let daemon = &context.daemon;
    match daemon.registrations.state(server) {
        Some(State::Confirmed(_)) => return true,
        Some(State::Failed(_)) => return false,
        None => {}
    }
    let requested = Instant::now();
    let deadline = context.deadline.min(requested + REGISTER_TIMEOUT);
    let origin = stream_origin::of(server);
    let confirmed = daemon.ledger.register_software(origin, deadline).await;
    let state = match confirmed {
        true => State::Confirmed(requested),
        false => State::Failed(Instant::now()),
    };
    daemon.registrations.set(server, state);
    tracing::info!(
        event = "software_registered",
        request = context.meta.id,
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
    let [part] = context.entry.route.services.as_slice() else {
        return Ok(None);
    };
    if part.service.len() > MAX_SERVICE_BYTES {
        return Ok(None);
    }
    let ledger = &context.daemon.ledger;
    let registered = ledger.find_software(&part.service, deadline).await;
    Ok(registered.ok_or(NoOwner)?.only().cloned())
}
