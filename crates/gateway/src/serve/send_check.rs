//! Checks whether a request may be sent now: evacuations are checked before a server is selected
//! and again right before the request is written.

use super::attempt::{AttemptHistory, DispatchFailure};
use super::dispatch::Continuation;
use super::homes;
use super::request::RequestContext;
use super::stream_origin;
use fieldhook_ledger::streams::StreamOrigin;
use fieldhook_topology::zone_rule::ZoneDenial;
use fieldhook_traffic::attempt::AttemptFailure;
use fieldhook_traffic::directory::ServerEntry;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a request waits until the evacuation state is confirmed. After the process was paused,
/// one short read of the log confirms it; this takes a few milliseconds, plus a delay of up to
/// 40 ms after the read that the pause interrupted.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which the evacuation state is polled.
const CONFIRM_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Waits briefly if the known evacuation state is too old to rely on.
///
/// # Errors
/// The state is still too old after the wait.
pub async fn wait_for_evacuation_state(context: &RequestContext) -> Result<(), DispatchFailure> {
    let daemon = &context.daemon;
    let deadline = Instant::now() + CONFIRM_TIMEOUT;
    while daemon.is_evacuation_state_stale() {
        if Instant::now() >= deadline {
            tracing::info!(
                event = "evacuations_uncertain",
                request = context.meta.id,
                word_age_ms = daemon.owner.config.age_ms(),
                reach = ?daemon.ledger.reach.get(),
                age_ms = context.age_ms()
            );
            return Err(DispatchFailure::EvacuationsUncertain);
        }
        sleep(CONFIRM_POLL_PERIOD).await;
    }
    Ok(())
}

/// Checks whether a selected server may still be used. While the connection was being established,
/// the server may have started draining, its zone may have been evacuated, or this process may have
/// been paused.
///
/// # Errors
/// The server may not be used; nothing was sent.
pub fn recheck_server(
    context: &RequestContext,
    server: &ServerEntry,
) -> Result<(), DispatchFailure> {
    let daemon = &context.daemon;
    let cause = if !daemon.directory.borrow().accepts_work(&server.id) {
        "server_leaves"
    } else if !stream_origin::is_current(context, server) {
        "software_changed"
    } else if daemon.zone_state.is_evacuated(&server.zone) {
        "zone_evacuated"
    } else if !is_in_home_region(context, server) {
        "homes_narrowed"
    } else if daemon.is_evacuation_state_stale() {
        "evacuations_uncertain"
    } else {
        return Ok(());
    };
    Err(withdraw(context, &server.id, cause))
}

/// Checks whether the permit of an attempt is still current. While the connection was being
/// established, servers may have ended under other copies of the request.
///
/// # Errors
/// The permit has to be renewed; nothing was sent.
pub fn recheck_permit(
    context: &RequestContext,
    history: &AttemptHistory,
) -> Result<(), DispatchFailure> {
    match &history.permit {
        Some(permit) if permit.is_current() => Ok(()),
        _ => {
            let server = history.servers.last().map_or("", String::as_str);
            Err(withdraw(context, server, "permit_outdated"))
        }
    }
}

/// Checks whether the response can be expected before this daemon exits, since a request may have
/// waited. A response that has begun goes on in any case.
///
/// # Errors
/// It can't; nothing was sent.
pub fn check_stop(
    context: &RequestContext,
    continuation: &Continuation<'_>,
) -> Result<(), DispatchFailure> {
    let allowed = Duration::from_millis(context.remaining_ms());
    let route = &context.entry.route.name;
    if continuation.has_begun || context.daemon.can_finish(route, allowed) {
        return Ok(());
    }
    tracing::info!(
        event = "attempt_failed",
        request = context.meta.id,
        program = context.meta.program,
        route,
        outcome = "withdrawn",
        cause = "stopping",
        left_ms = allowed.as_millis() as u64,
        age_ms = context.age_ms()
    );
    Err(DispatchFailure::Stopping)
}

/// Logs why a request is not sent to a server after all.
fn withdraw(context: &RequestContext, server: &str, cause: &str) -> DispatchFailure {
    tracing::info!(
        event = "attempt_failed",
        request = context.meta.id,
        server,
        outcome = "withdrawn",
        cause,
        age_ms = context.age_ms()
    );
    DispatchFailure::Attempt(AttemptFailure::NotSent)
}

/// Returns whether the server is in a region allowed by the current configuration.
fn is_in_home_region(context: &RequestContext, server: &ServerEntry) -> bool {
    let zone_state = &context.daemon.zone_state;
    let homes = homes::current(context);
    // Evacuations were checked by the caller; only the region rule is left, and `may_store` checks
    // just that.
    zone_state.with_rule(&homes, &server.zone, |rule| rule.may_store(&server.zone))
}

/// Returns why no server was found: the software of the stream may no longer be in service, or all
/// servers that could handle the request may be in evacuated zones.
pub fn no_server_failure(
    context: &RequestContext,
    origin: Option<&StreamOrigin>,
) -> DispatchFailure {
    let daemon = &context.daemon;
    let Some(service) = context.service() else {
        return DispatchFailure::NoServer;
    };
    let directory = daemon.directory.borrow();
    let runs = |origin: &StreamOrigin| {
        let servers = directory.active_servers(service);
        servers.is_some_and(|servers| {
            servers
                .running(&stream_origin::required_software(origin))
                .is_some()
        })
    };
    if origin.is_some_and(|origin| !runs(origin)) {
        return DispatchFailure::SoftwareGone;
    }
    let zone = &daemon.settings.zone;
    let homes = homes::current(context);
    let denials: Result<Vec<ZoneDenial>, ()> = daemon.zone_state.with_rule(&homes, zone, |rule| {
        let zones = directory.zones_of(service);
        zones
            .map(|zone| rule.serving_distance(zone).err().ok_or(()))
            .collect()
    });
    match denials {
        Ok(denials) if denials.contains(&ZoneDenial::Evacuated) => DispatchFailure::Evacuated,
        _ => DispatchFailure::NoServer,
    }
}
