//! Permits for sending requests to cold servers, obtained right before a request is written.

use super::attempt::AttemptHistory;
use super::local_response::LocalResponse;
use super::request::{RETRY_SOON_MS, RequestContext};
use fieldhook_ledger::message::{ColdServerRequest, QuotaReply};
use fieldhook_traffic::cold::PERMIT_VALIDITY_MS;
use fieldhook_traffic::config::ColdLimit;
use fieldhook_traffic::directory::ServerEntry;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Maximum number of permits requested in one attempt; each takes an exchange between daemons.
pub const MAX_PERMIT_REQUESTS: u32 = 4;
/// How long this daemon skips a cold server after no owner of its rate limit responded, in
/// milliseconds. A lost owner is replaced within 300 to 700 ms, so a request right after the first
/// would fail as well.
const NO_OWNER_PAUSE_MS: u64 = 100;
/// How long this daemon skips a cold server after a permit arrived too late, in milliseconds.
const LATE_PERMIT_PAUSE_MS: u64 = 20;
/// A request waits for capacity at a cold server for at most the target time of its route divided
/// by this; beyond that the client should rather retry later.
const TARGET_WAIT_DIVISOR: u64 = 4;

/// Requests a permit to send the request to a cold server immediately. Returns false if there is
/// none; the server is then skipped for a while.
pub async fn request_permit(
    context: &RequestContext,
    server: &ServerEntry,
    cold: &ColdLimit,
) -> bool {
    let daemon = &context.daemon;
    let request = ColdServerRequest {
        server: server.id.clone(),
        rate_per_s: cold.rate_per_s,
        version: daemon.cold.version(),
        priority: context.priority(),
    };
    let asked = Instant::now();
    let response = daemon.ledger.request_cold_permit(&request).await;
    let is_late = asked.elapsed() >= Duration::from_millis(PERMIT_VALIDITY_MS);
    let (outcome, wait_ms) = match response {
        Some(QuotaReply::Granted { .. }) if !is_late => ("granted", None),
        Some(QuotaReply::Granted { .. }) => ("late", Some(LATE_PERMIT_PAUSE_MS)),
        Some(QuotaReply::Refused { retry_after_ms }) => ("refused", Some(retry_after_ms)),
        None => ("no_owner", Some(NO_OWNER_PAUSE_MS)),
    };
    let permits = &daemon.metrics.cold_permits;
    permits.with_label_values(&[outcome]).inc();
    tracing::info!(
        event = "cold_permit",
        request = context.meta.id,
        program = context.meta.program,
        server = server.id,
        outcome,
        wait_ms,
        rank = request.priority,
        rate_per_s = request.rate_per_s,
        partition = daemon.ledger.partition_of(&server.id),
        took_ms = asked.elapsed().as_millis() as u64,
        age_ms = context.age_ms()
    );
    if let Some(wait_ms) = wait_ms {
        daemon.cold.record_denial(&server.id, wait_ms);
    }
    wait_ms.is_none()
}

/// Time until a cold server that was not tried yet may have capacity, in milliseconds; `None` if no
/// server is skipped for lack of a permit.
pub fn shortest_wait_ms(context: &RequestContext, history: &AttemptHistory) -> Option<u64> {
    let daemon = &context.daemon;
    let service = context.service()?;
    let directory = daemon.directory.borrow();
    let denied = daemon.cold.denied_servers();
    daemon
        .zone_state
        .with_rule(&context.homes, &daemon.zone_state.zone, |rule| {
            let may_serve = |id: &str| {
                let server = directory.entry(id).filter(|server| !server.draining);
                server.is_some_and(|server| {
                    server.service == service && rule.serving_distance(&server.zone).is_ok()
                })
            };
            let waits = denied
                .iter()
                .filter(|(id, _)| !history.servers.iter().any(|tried| **tried == **id))
                .filter(|(id, _)| may_serve(id))
                .map(|(_, wait_ms)| *wait_ms);
            waits.min()
        })
}

/// Waits if capacity is expected soon.
///
/// # Errors
/// It is not; contains the response for the client with a retry delay. The delay is randomized so
/// that clients refused at the same time do not return at the same time.
pub async fn wait_or_refuse(context: &RequestContext, wait_ms: u64) -> Result<(), LocalResponse> {
    let max_wait_ms = context.entry.route.target_latency_ms / TARGET_WAIT_DIVISOR;
    if context.age_ms() + wait_ms < max_wait_ms {
        sleep(Duration::from_millis(wait_ms)).await;
        return Ok(());
    }
    let spread_ms = fastrand::u64(..=wait_ms + RETRY_SOON_MS);
    let response = LocalResponse::not_run(
        "its servers are cold and take no more now",
        wait_ms + spread_ms,
    );
    Err(response)
}
