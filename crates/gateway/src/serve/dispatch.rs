//! One attempt: choosing a server, connecting, sending, reading the head.

use super::attempt::{Attempt, DispatchFailure, Stage, Tried, observe};
use super::choice::choose;
use super::cold;
use super::homes;
use super::open;
use super::request::RequestContext;
use super::watch;
use crate::dialect::Forwarding;
use crate::http::write;
use crate::upstream::connection::{ExchangeError, OutgoingRequest, ServerConnection};
use crate::upstream::pool::InFlightGuard;
use crate::upstream::probe::{self, ProbeOutcome};
use fieldhook_traffic::attempt::AttemptFailure;
use fieldhook_traffic::directory::ServerEntry;
use fieldhook_traffic::health::Observation;
use std::time::Duration;
use tokio::time::Instant;

/// A connection that was gone before it was used again is reset within a round trip; a
/// server that fails while it works takes longer.
const STALE_WITHIN: Duration = Duration::from_millis(20);

/// A server that breaks off within this time what was sent to it may have become cold: it
/// falls over rather than work.
const BROKE_AT_ONCE: Duration = Duration::from_millis(50);

/// Sends the request to a server that it was not sent to before.
///
/// # Errors
/// No answer came from it.
pub async fn dispatch(
    context: &RequestContext,
    tried: &mut Tried,
    last_event: Option<u64>,
) -> Result<Attempt, DispatchFailure> {
    for _ in 0..cold::MOST_ASKED {
        tried.stage = Stage::Choosing;
        if !context.is_still_admitted() {
            return Err(DispatchFailure::KeyGone);
        }
        open::confirm(context).await?;
        let homes = homes::now(context);
        let Some(server) = choose(context, &homes, tried) else {
            break;
        };
        tried.servers.push(server.id.clone());
        tried.stage = Stage::Connecting;
        let in_flight = context.daemon.pools.start_request(&server.id);
        let connection = connect(context, &server).await?;
        tried.stage = Stage::Choosing;
        if let Some(bears) = context.daemon.cold.cold(&server)
            && !cold::permit(context, &server, &bears).await
        {
            // Nothing was sent: it does not count as an attempt.
            tried.servers.pop();
            context.daemon.pools.release_unused(&server.id, connection);
            continue;
        }
        open::still(context, &server)?;
        tried.stage = Stage::Sent;
        return send(context, server, connection, in_flight, last_event).await;
    }
    match cold::wait_ms(context, tried) {
        Some(wait_ms) => Err(DispatchFailure::Cold { wait_ms }),
        None => Err(open::absence(context)),
    }
}

async fn connect(
    context: &RequestContext,
    server: &ServerEntry,
) -> Result<ServerConnection, DispatchFailure> {
    let daemon = &context.daemon;
    let taken = daemon
        .pools
        .acquire(server, daemon.now_ms(), &daemon.metrics)
        .await;
    match taken {
        Ok(connection) => {
            daemon.cold.reached(server);
            Ok(connection)
        }
        Err(error) => {
            if probe::is_unreachable(error.kind()) {
                probe::record(daemon, server, ProbeOutcome::Unreachable);
            }
            observe(context, server, Observation::Failed, "not_sent");
            daemon.cold.unreachable(server);
            tracing::info!(event = "attempt_failed", request = context.meta.id,
                server = server.id, outcome = "not_sent", %error, age_ms = context.age_ms());
            Err(DispatchFailure::Attempt(AttemptFailure::NotSent))
        }
    }
}

/// Sends the request on a connection that is ready, and reads the head of the answer. Nothing
/// is waited for before it is written: a permit for a cold server holds for a short time.
async fn send(
    context: &RequestContext,
    server: ServerEntry,
    mut connection: ServerConnection,
    in_flight: InFlightGuard,
    last_event: Option<u64>,
) -> Result<Attempt, DispatchFailure> {
    let daemon = &context.daemon;
    context.sent_to.replace(Some(server.id.clone()));
    let bytes = message(context, &server, last_event);
    let outgoing = OutgoingRequest {
        method: &context.method,
        id: &context.meta.id,
        bytes: &bytes,
    };
    let sent = Instant::now();
    let reused = connection.has_served;
    let exchange = connection.exchange(&outgoing, daemon.dialect.as_ref());
    match watch::watched(context, &server, exchange).await {
        Ok(answer) => {
            let attempt = Attempt {
                server,
                connection,
                answer,
                _in_flight: in_flight,
            };
            attempt.judge(context, sent.elapsed(), reused)
        }
        Err(error) => {
            let stale =
                reused && error == ExchangeError::ConnectionLost && sent.elapsed() < STALE_WITHIN;
            let observation = match stale {
                true => Observation::Stale,
                false => Observation::Failed,
            };
            observe(context, &server, observation, error.name());
            if stale {
                let pools = &daemon.pools;
                pools.record_stale(&server.id, daemon.now_ms(), connection.idle_before_use);
            }
            if !stale && sent.elapsed() < BROKE_AT_ONCE {
                daemon.cold.reset(&server);
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
            Err(DispatchFailure::Attempt(AttemptFailure::MayHaveRun))
        }
    }
}

fn message(context: &RequestContext, server: &ServerEntry, last_event: Option<u64>) -> Vec<u8> {
    let mut headers = context.headers.clone();
    let forwarding = Forwarding {
        deadline_ms: context.left_ms(),
        server: &server.name,
        last_event,
        priority: context.priority(),
        engine: context.entry.route.kind.is_stream(),
        tenant: context.tenant_name(),
    };
    context.daemon.dialect.forward(&mut headers, &forwarding);
    write::request(&context.method, &context.target, &headers, &context.body)
}
