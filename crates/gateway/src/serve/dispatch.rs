//! Makes one attempt: selects a server, connects, sends the request and reads the response head.

use super::attempt::{Attempt, AttemptHistory, DispatchFailure, Stage, observe};
use super::attempt_monitor::AttemptMonitor;
use super::cold;
use super::homes;
use super::process_check::{self, Process};
use super::request::RequestContext;
use super::selection::choose;
use super::send_check;
use super::send_permit::SendPermit;
use super::server_check;
use super::silence;
use super::software;
use crate::dialect::Forwarding;
use crate::http::write;
use crate::upstream::connection::{ExchangeError, OutgoingRequest, ServerConnection};
use crate::upstream::pool::InFlightGuard;
use crate::upstream::probe::{self, ProbeOutcome};
use fieldhook_ledger::streams::StreamOrigin;
use fieldhook_traffic::attempt::AttemptFailure;
use fieldhook_traffic::directory::ServerEntry;
use fieldhook_traffic::health::Observation;
use fieldhook_traffic::process_identity::ProcessIdentity;
use std::time::Duration;
use tokio::time::Instant;

/// A reused connection that the server had already closed is reset within one round trip, which is
/// shorter than this unless the server is in a distant region. A server that fails while processing
/// takes longer.
const STALE_RESET_WITHIN: Duration = Duration::from_millis(20);

/// A server whose connection fails within this time after a request was sent may have become cold:
/// cold servers fail under load at once instead of processing requests.
const EARLY_FAILURE_WITHIN: Duration = Duration::from_millis(50);

/// Where a stream continues; empty for a new stream and for other requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Continuation<'a> {
    /// Last event that the client has.
    pub last_event: Option<u64>,
    /// Server of the first event.
    pub origin: Option<&'a StreamOrigin>,
    /// The client has received a part of this response.
    pub has_begun: bool,
}

/// Sends the request to a server that was not tried before.
///
/// # Errors
/// No server sent a response that may be forwarded.
pub async fn dispatch(
    context: &RequestContext,
    history: &mut AttemptHistory,
    continuation: Continuation<'_>,
) -> Result<Attempt, DispatchFailure> {
    for _ in 0..cold::MAX_PERMIT_REQUESTS {
        history.stage = Stage::Choosing;
        send_check::check_stop(context, &continuation)?;
        if history.permit.is_none() {
            history.permit = Some(SendPermit::request(context).await?);
        }
        if !context.is_still_admitted() {
            return Err(DispatchFailure::KeyRevoked);
        }
        send_check::wait_for_evacuation_state(context).await?;
        let homes = homes::current(context);
        let Some(server) = choose(context, &homes, history, continuation.origin) else {
            break;
        };
        history.servers.push(server.id.clone());
        if continuation.origin.is_none() && !software::register(context, &server).await {
            log_unregistered(context, &server);
            return Err(DispatchFailure::Attempt(AttemptFailure::NotSent));
        }
        history.stage = Stage::Connecting;
        let in_flight = context.daemon.pools.start_request(&server.id);
        let is_counted = history.permit.as_ref().is_some_and(SendPermit::holds_place);
        let target = connect(context, &server, &continuation, is_counted).await;
        let (connection, process) = target?;
        if process == Process::Uncertain && !software::register_uncertain(context, &server).await {
            log_unregistered(context, &server);
            return Err(DispatchFailure::Attempt(AttemptFailure::NotSent));
        }
        // Nothing was sent yet, so a timeout while waiting for the permit is not attributed to the
        // server.
        history.stage = Stage::Choosing;
        if let Some(permit) = &mut history.permit {
            permit.renew(context).await?;
        }
        if let Some(limits) = context.daemon.cold.cold_limits(&server)
            && !cold::request_permit(context, &server, &limits).await
        {
            // Nothing was sent, so this does not count as an attempt.
            history.servers.pop();
            context.daemon.pools.release_unused(&server.id, connection);
            continue;
        }
        send_check::recheck_server(context, &server)?;
        send_check::recheck_permit(context, history)?;
        send_check::check_stop(context, &continuation)?;
        history.stage = Stage::Sent;
        let target = Target {
            server,
            connection,
            in_flight,
            process,
        };
        return send(context, history, target, continuation.last_event).await;
    }
    match cold::shortest_wait_ms(context, history) {
        Some(wait_ms) => Err(DispatchFailure::ColdServersBusy { wait_ms }),
        None => Err(send_check::no_server_failure(context, continuation.origin)),
    }
}

fn log_unregistered(context: &RequestContext, server: &ServerEntry) {
    tracing::info!(
        event = "attempt_failed",
        request = context.meta.id,
        program = context.meta.program,
        server = server.id,
        outcome = "software_unregistered",
        software = server.software_version.as_deref(),
        age_ms = context.age_ms()
    );
}

/// Connects to the process that the entry of a server names.
async fn connect(
    context: &RequestContext,
    server: &ServerEntry,
    continuation: &Continuation<'_>,
    is_counted: bool,
) -> Result<(ServerConnection, Process), DispatchFailure> {
    let daemon = &context.daemon;
    let is_usable = |process| match process {
        Process::Proven => true,
        Process::Uncertain => continuation.last_event.is_none(),
        Process::Other | Process::Unresponsive => false,
    };
    match process_check::connect(context, server, is_counted).await {
        Ok((_, process)) if !is_usable(process) => {
            let outcome = process.name();
            if process != Process::Uncertain {
                observe(context, server, Observation::Failed, outcome);
            }
            tracing::info!(
                event = "attempt_failed",
                request = context.meta.id,
                program = context.meta.program,
                server = server.id,
                outcome,
                software = server.software_version.as_deref(),
                log_age_ms = daemon.log_health.ms_since_answer(),
                age_ms = context.age_ms()
            );
            Err(DispatchFailure::Attempt(AttemptFailure::NotSent))
        }
        Ok(connected) => {
            daemon.cold.record_reachable(server);
            Ok(connected)
        }
        Err(error) => {
            if probe::is_unreachable(error.kind()) {
                probe::record(daemon, server, ProbeOutcome::Unreachable);
            }
            if let Some(contact) = server_check::contact_of(&error) {
                daemon
                    .pools
                    .record_contact(&server.id, Instant::now(), contact);
            }
            observe(context, server, Observation::Failed, "not_sent");
            daemon.cold.record_unreachable(server);
            tracing::info!(event = "attempt_failed", request = context.meta.id,
                server = server.id, outcome = "not_sent", %error, age_ms = context.age_ms());
            Err(DispatchFailure::Attempt(AttemptFailure::NotSent))
        }
    }
}

/// Server that a request is about to be sent to.
struct Target {
    server: ServerEntry,
    connection: ServerConnection,
    in_flight: InFlightGuard,
    process: Process,
}

/// Sends the request on an open connection and reads the response head. Must not wait before
/// writing, because a permit for a cold server is valid only briefly.
async fn send(
    context: &RequestContext,
    history: &mut AttemptHistory,
    target: Target,
    last_event: Option<u64>,
) -> Result<Attempt, DispatchFailure> {
    let Target {
        server,
        mut connection,
        in_flight,
        process,
    } = target;
    let daemon = &context.daemon;
    context.last_server.replace(Some(server.id.clone()));
    let bytes = encode_request(context, &server, last_event);
    let outgoing = OutgoingRequest {
        method: &context.method,
        id: &context.meta.id,
        bytes: &bytes,
    };
    let sent = Instant::now();
    let reused = connection.has_served;
    // A connection whose process stated nothing was replaced by one that was not asked.
    let stated = match process {
        Process::Uncertain => Some(ProcessIdentity::Unknown),
        Process::Proven | Process::Other | Process::Unresponsive => connection.identity,
    };
    let monitor = AttemptMonitor::new(context, &server, stated, history.permit.take());
    let exchange = connection.exchange(&outgoing, daemon.dialect.as_ref());
    match silence::abort_if_silent(context, &server, exchange).await {
        Ok(response) => {
            let first = connection.first_answer;
            daemon.pools.record_answer(&server.id, sent, first);
            let attempt = Attempt {
                server,
                connection,
                response,
                process,
                _in_flight: in_flight,
                monitor,
            };
            attempt.check_response(context, history, sent.elapsed(), reused)
        }
        Err(error) => {
            let stale = reused
                && error == ExchangeError::ConnectionLost
                && sent.elapsed() < STALE_RESET_WITHIN;
            let observation = match stale {
                true => Observation::Stale,
                false => Observation::Failed,
            };
            observe(context, &server, observation, error.name());
            if stale {
                let pools = &daemon.pools;
                pools.record_stale(&server.id, daemon.now_ms(), connection.idle_before_use);
            }
            if !stale && sent.elapsed() < EARLY_FAILURE_WITHIN {
                daemon.cold.record_reset(&server);
            }
            tracing::info!(
                event = "attempt_failed",
                request = context.meta.id,
                server = server.id,
                outcome = error.name(),
                reused,
                stale,
                rested_ms = connection.idle_before_use.as_millis() as u64,
                after_ms = sent.elapsed().as_millis() as u64,
                age_ms = context.age_ms()
            );
            monitor.break_off(error).await;
            Err(DispatchFailure::Attempt(AttemptFailure::MayHaveRun))
        }
    }
}

fn encode_request(
    context: &RequestContext,
    server: &ServerEntry,
    last_event: Option<u64>,
) -> Vec<u8> {
    let mut headers = context.headers.clone();
    let forwarding = Forwarding {
        deadline_ms: context.remaining_ms(),
        server: &server.name,
        last_event,
        priority: context.priority(),
        engine: context.entry.route.kind.is_stream(),
        tenant: context.tenant_name(),
    };
    context.daemon.dialect.forward(&mut headers, &forwarding);
    write::request(&context.method, &context.target, &headers, &context.body)
}
