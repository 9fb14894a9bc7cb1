//! Whether a request may be sent to a cold server: asked right before it is written.

use super::answer::OwnAnswer;
use super::attempt::Tried;
use super::request::{RETRY_SOON_MS, RequestContext};
use fieldhook_ledger::message::{ColdServerRequest, QuotaReply};
use fieldhook_traffic::cold::PERMIT_MS;
use fieldhook_traffic::config::Cold;
use fieldhook_traffic::directory::ServerEntry;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Cold servers that one attempt asks for at most: each takes an exchange between daemons.
pub const MOST_ASKED: u32 = 4;
/// For so long a cold server gets nothing from this daemon after no owner of its count
/// answered, in milliseconds: a lost owner is replaced within 300 to 700.
const NO_OWNER_MS: u64 = 100;
/// The same after a permit came too late.
const LATE_MS: u64 = 20;
/// Part of its aim that a request may wait for a place at a cold server: one in this. What
/// waits longer than a quarter had better come back.
const WAIT_DIVISOR: u64 = 4;

/// Asks for a permit to send the request to a cold server at once. False if there is none;
/// the server is passed over for a while then.
pub async fn permit(context: &RequestContext, server: &ServerEntry, cold: &Cold) -> bool {
    let daemon = &context.daemon;
    let question = ColdServerRequest {
        server: server.id.clone(),
        rate_per_s: cold.rate_per_s,
        version: daemon.cold.version(),
        rank: context.priority(),
    };
    let asked = Instant::now();
    let answer = daemon.ledger.request_cold_permit(&question).await;
    let is_late = asked.elapsed() >= Duration::from_millis(PERMIT_MS);
    let (outcome, wait_ms) = match answer {
        Some(QuotaReply::Granted { .. }) if !is_late => ("granted", None),
        Some(QuotaReply::Granted { .. }) => ("late", Some(LATE_MS)),
        Some(QuotaReply::Refused { retry_after_ms }) => ("refused", Some(retry_after_ms)),
        None => ("no_owner", Some(NO_OWNER_MS)),
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
        rank = question.rank,
        rate_per_s = question.rate_per_s,
        partition = daemon.ledger.partition_of(&server.id),
        took_ms = asked.elapsed().as_millis() as u64,
        age_ms = context.age_ms()
    );
    if let Some(wait_ms) = wait_ms {
        daemon.cold.deny(&server.id, wait_ms);
    }
    wait_ms.is_none()
}

/// Time until a cold server that the request was not sent to may have a place, in
/// milliseconds; `None` where no server is passed over for that.
pub fn wait_ms(context: &RequestContext, tried: &Tried) -> Option<u64> {
    let daemon = &context.daemon;
    let service = context.service()?;
    let directory = daemon.directory.borrow();
    let denied = daemon.cold.denied();
    daemon
        .places
        .with_rule(&context.homes, &daemon.places.zone, |rule| {
            let may_serve = |id: &str| {
                let server = directory.entry(id).filter(|server| !server.draining);
                server.is_some_and(|server| {
                    server.service == service && rule.serve(&server.zone).is_ok()
                })
            };
            let waits = denied
                .iter()
                .filter(|(id, _)| !tried.servers.iter().any(|tried| **tried == **id))
                .filter(|(id, _)| may_serve(id))
                .map(|(_, wait_ms)| *wait_ms);
            waits.min()
        })
}

/// Waits where a place comes soon.
///
/// # Errors
/// The answer for the client where it does not, with the time when one does. Those who are
/// refused together are told different times, so that they do not come back together.
pub async fn wait(context: &RequestContext, wait_ms: u64) -> Result<(), OwnAnswer> {
    let patience_ms = context.entry.route.target_ms / WAIT_DIVISOR;
    if context.age_ms() + wait_ms < patience_ms {
        sleep(Duration::from_millis(wait_ms)).await;
        return Ok(());
    }
    let spread_ms = fastrand::u64(..=wait_ms + RETRY_SOON_MS);
    let answer = OwnAnswer::not_run(
        "its servers are cold and take no more now",
        wait_ms + spread_ms,
    );
    Err(answer)
}
