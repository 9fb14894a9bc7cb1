//! Enforces the request limits of tenants.

use super::local_response::LocalResponse;
use super::request::{ConnectionAction, RequestContext};
use crate::daemon::Daemon;
use crate::ledger::quota::Outcome;
use fieldhook_ledger::message::{QuotaEvent, QuotaRequest};
use fieldhook_traffic::quota_wait;
use fieldhook_traffic::tenants::Limit;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Requests that are granted later than this after their arrival are logged, in milliseconds.
const SLOW_GRANT_MS: u64 = 100;

/// A request charged, or about to be charged, to the limit of its tenant. The first request of a
/// program is charged for all requests that the program is expected to make, which is estimated
/// from earlier programs of its route ([`fieldhook_traffic::quota`]).
///
/// If the charge is dropped before the request finishes, the client has disconnected or received an
/// incomplete response, and the owner of the limit is informed: an aborted program must not change
/// the estimate, and it no longer needs the requests that it was charged for.
#[derive(Default)]
pub struct QuotaCharge {
    report: Option<(Rc<Daemon>, QuotaRequest)>,
}

impl QuotaCharge {
    /// Created before the request to the owner is sent, because the client may disconnect while the
    /// grant is in transit. Only programs have an end to report.
    fn new(context: &RequestContext, request: &QuotaRequest) -> Self {
        let program = request.program.as_ref();
        let report = program.map(|_| {
            let request = QuotaRequest {
                event: QuotaEvent::Interrupted,
                ..request.clone()
            };
            (context.daemon.clone(), request)
        });
        Self { report }
    }

    /// Completes the request; unless the connection was aborted, nothing is reported.
    pub fn finish(mut self, action: ConnectionAction) {
        if action != ConnectionAction::Abort {
            self.report = None;
        }
    }

    /// Discards the charge, because no owner granted the request.
    fn discard(mut self) {
        self.report = None;
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if let Some((daemon, request)) = self.report.take() {
            daemon.metrics.quota.with_label_values(&["left"]).inc();
            daemon.ledger.report_disconnect(request);
        }
    }
}

/// Charges a request to the limit of its tenant; `starts_program` marks the first request of a
/// program.
///
/// # Errors
/// The request may not be sent; contains the response for the client.
pub async fn acquire(
    context: &RequestContext,
    starts_program: bool,
) -> Result<QuotaCharge, LocalResponse> {
    let Some((tenant, limit, version)) = tenant_limit(context) else {
        return Ok(QuotaCharge::default());
    };
    let mut request = QuotaRequest {
        event: QuotaEvent::Request,
        tenant,
        rate_per_s: limit.rate_per_s,
        burst: limit.burst,
        version,
        program: context.meta.program.clone(),
        route: context.entry.route.name.clone(),
        starts_program,
        max_wait_ms: 0,
    };
    let charge = QuotaCharge::new(context, &request);
    let outcome = ask_until_granted(context, &mut request).await;
    log_outcome(context, outcome, &request);
    let response = match outcome {
        Outcome::Granted => return Ok(charge),
        Outcome::AdmittedLocally => Ok(QuotaCharge::default()),
        Outcome::Refused { retry_after_ms } => Err(LocalResponse::over_limit(
            "the tenant is at its limit",
            retry_after_ms,
        )),
        Outcome::Unknown => Err(LocalResponse::not_run(
            "the tenant's limit cannot be told",
            context.retry_later_ms(),
        )),
    };
    charge.discard();
    response
}

/// Asks the owner until the request is granted or the next free slot is too late. The request
/// states how long it can wait, and the owner reserves no slot later than that. If the request is
/// abandoned while it waits, its slot expires unused.
async fn ask_until_granted(context: &RequestContext, request: &mut QuotaRequest) -> Outcome {
    let daemon = &context.daemon;
    loop {
        let max_wait = max_wait(context, request.starts_program);
        request.max_wait_ms = max_wait.map_or(0, |max_wait| max_wait.as_millis() as u64);
        let outcome = daemon.quota.acquire(&daemon.ledger, request).await;
        let Outcome::Refused { retry_after_ms } = outcome else {
            return outcome;
        };
        if retry_after_ms.max(1) > request.max_wait_ms {
            return outcome;
        }
        daemon.metrics.quota.with_label_values(&["waits"]).inc();
        sleep(Duration::from_millis(retry_after_ms)).await;
    }
}

/// Returns how long it is worth waiting for a slot. The wait delays a new program as a whole, so
/// beyond the target of its route the client should rather retry later. Requests of a running
/// program wait as long as there is time left for the response.
fn max_wait(context: &RequestContext, starts_program: bool) -> Option<Duration> {
    let route = &context.entry.route;
    if starts_program {
        let remaining_ms = route.target_latency_ms.saturating_sub(context.age_ms());
        return quota_wait::max_wait(Duration::ZERO, Duration::from_millis(remaining_ms));
    }
    let usual = context.daemon.response_times.overdue_after(&route.name);
    quota_wait::max_wait(usual, Duration::from_millis(context.remaining_ms()))
}

/// Name and limit of the tenant, and the version of the configuration that defines them.
fn tenant_limit(context: &RequestContext) -> Option<(String, Limit, u64)> {
    let name = context.tenant_name()?;
    let table = context.daemon.routes.borrow().clone()?;
    let limit = table.tenant(name)?.limit?;
    Some((name.to_owned(), limit, table.config.version))
}

fn log_outcome(context: &RequestContext, outcome: Outcome, request: &QuotaRequest) {
    let (label, wait_ms) = match outcome {
        Outcome::Granted => ("granted", 0),
        Outcome::AdmittedLocally => ("unasked", 0),
        Outcome::Refused { retry_after_ms } => ("refused", retry_after_ms),
        Outcome::Unknown => ("unknown", 0),
    };
    let metrics = &context.daemon.metrics;
    metrics.quota.with_label_values(&[label]).inc();
    if outcome == Outcome::Granted && context.age_ms() < SLOW_GRANT_MS {
        return;
    }
    tracing::info!(
        event = "at_limit",
        outcome = label,
        request = context.meta.id,
        program = context.meta.program,
        route = context.entry.route.name,
        tenant = context.tenant_name(),
        begins = request.starts_program,
        wait_ms,
        patience_ms = request.max_wait_ms,
        rate_per_s = request.rate_per_s,
        burst = request.burst,
        version = request.version,
        age_ms = context.age_ms()
    );
}
