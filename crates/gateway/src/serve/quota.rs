//! Whether a request's tenant may send it.

use super::answer::OwnAnswer;
use super::request::RequestContext;
use crate::ledger::quota::Outcome;
use fieldhook_ledger::message::QuotaQuestion;
use fieldhook_traffic::tenants::Limit;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Part of a request's time that it may wait at its tenant's limit: one in this. A program
/// that is under way is broken by a refusal, and a wait is shorter than another try.
const WAIT_DIVISOR: u64 = 4;
/// A request that got through later than this after it came is told of, in milliseconds.
const LATE_MS: u64 = 100;

/// Takes one request from the tenant's limit; `begins` says that it is the first of its
/// program.
///
/// # Errors
/// The answer for the client where it may not be sent.
pub async fn take(context: &RequestContext, begins: bool) -> Result<(), OwnAnswer> {
    let Some((tenant, limit, version)) = limit_of(context) else {
        return Ok(());
    };
    let question = QuotaQuestion {
        tenant,
        rate_per_s: limit.rate_per_s,
        burst: limit.burst,
        version,
        program: context.meta.program.clone(),
        route: context.entry.route.name.clone(),
        begins,
        waits: true,
    };
    let outcome = ask(context, &question).await;
    tell(context, outcome, begins, limit, version);
    match outcome {
        Outcome::Granted | Outcome::Unasked => Ok(()),
        Outcome::Refused { retry_after_ms } => Err(OwnAnswer::over_limit(
            "the tenant is at its limit",
            retry_after_ms,
        )),
        Outcome::Unknown => Err(OwnAnswer::not_run(
            "the tenant's limit cannot be told",
            context.retry_later_ms(),
        )),
    }
}

/// Asks until there is a place, or the next one is too far off to wait for.
async fn ask(context: &RequestContext, question: &QuotaQuestion) -> Outcome {
    let daemon = &context.daemon;
    let until = Instant::now() + Duration::from_millis(context.left_ms() / WAIT_DIVISOR);
    loop {
        let outcome = daemon.quota.take(&daemon.ledger, question).await;
        let Outcome::Refused { retry_after_ms } = outcome else {
            return outcome;
        };
        let pause = Duration::from_millis(retry_after_ms);
        if Instant::now() + pause >= until {
            return outcome;
        }
        daemon.metrics.quota.with_label_values(&["waits"]).inc();
        sleep(pause).await;
    }
}

/// Name and limit of the tenant, with the version of the configuration that says so.
fn limit_of(context: &RequestContext) -> Option<(String, Limit, u64)> {
    let name = context.tenant_name()?;
    let table = context.daemon.routes.borrow().clone()?;
    let limit = table.tenant(name)?.limit?;
    Some((name.to_owned(), limit, table.config.version))
}

fn tell(context: &RequestContext, outcome: Outcome, begins: bool, limit: Limit, version: u64) {
    let (label, wait_ms) = match outcome {
        Outcome::Granted => ("granted", 0),
        Outcome::Unasked => ("unasked", 0),
        Outcome::Refused { retry_after_ms } => ("refused", retry_after_ms),
        Outcome::Unknown => ("unknown", 0),
    };
    let metrics = &context.daemon.metrics;
    metrics.quota.with_label_values(&[label]).inc();
    if outcome == Outcome::Granted && context.age_ms() < LATE_MS {
        return;
    }
    tracing::info!(
        event = "at_limit",
        outcome = label,
        request = context.meta.id,
        program = context.meta.program,
        route = context.entry.route.name,
        tenant = context.tenant_name(),
        begins,
        wait_ms,
        rate_per_s = limit.rate_per_s,
        burst = limit.burst,
        version,
        age_ms = context.age_ms()
    );
}
