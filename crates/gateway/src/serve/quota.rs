//! Whether a request's tenant may send it.

use super::answer::OwnAnswer;
use super::request::{RequestContext, Served};
use crate::daemon::Daemon;
use crate::ledger::quota::Outcome;
use fieldhook_ledger::message::{QuotaEvent, QuotaRequest};
use fieldhook_traffic::tenants::Limit;
use fieldhook_traffic::wait;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// A request that got through later than this after it came is told of, in milliseconds.
const LATE_MS: u64 = 100;

/// A request that the owner of its tenant's limit is asked for, and that may be let through.
/// Dropped before its end, its client has left in the middle of it, or got no whole answer, and
/// the owner is told: a program that was cut short says nothing of what programs of its route
/// need, and does not need what it was charged.
#[derive(Default)]
pub struct Taken {
    told: Option<(Rc<Daemon>, QuotaRequest)>,
}

impl Taken {
    /// Before the owner is asked, as its answer may be under way when the client leaves. Only
    /// programs have an end to be told.
    fn new(context: &RequestContext, question: &QuotaRequest) -> Self {
        let program = question.program.as_ref();
        let told = program.map(|_| {
            let question = QuotaRequest {
                event: QuotaEvent::Interrupted,
                ..question.clone()
            };
            (context.daemon.clone(), question)
        });
        Self { told }
    }

    /// The request is over.
    pub fn end(mut self, served: Served) {
        if served != Served::Abandon {
            self.told = None;
        }
    }

    /// No owner let it through.
    fn withdraw(mut self) {
        self.told = None;
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        if let Some((daemon, question)) = self.told.take() {
            daemon.metrics.quota.with_label_values(&["left"]).inc();
            daemon.ledger.report_client_left(question);
        }
    }
}

/// Takes one request from the tenant's limit; `begins` says that it is the first of its
/// program.
///
/// # Errors
/// The answer for the client where it may not be sent.
pub async fn take(context: &RequestContext, begins: bool) -> Result<Taken, OwnAnswer> {
    let Some((tenant, limit, version)) = limit_of(context) else {
        return Ok(Taken::default());
    };
    let mut question = QuotaRequest {
        event: QuotaEvent::Request,
        tenant,
        rate_per_s: limit.rate_per_s,
        burst: limit.burst,
        version,
        program: context.meta.program.clone(),
        route: context.entry.route.name.clone(),
        starts_program: begins,
        max_wait_ms: 0,
    };
    let taken = Taken::new(context, &question);
    let outcome = ask(context, &mut question).await;
    tell(context, outcome, &question);
    let answer = match outcome {
        Outcome::Granted => return Ok(taken),
        Outcome::AdmittedLocally => Ok(Taken::default()),
        Outcome::Refused { retry_after_ms } => Err(OwnAnswer::over_limit(
            "the tenant is at its limit",
            retry_after_ms,
        )),
        Outcome::Unknown => Err(OwnAnswer::not_run(
            "the tenant's limit cannot be told",
            context.retry_later_ms(),
        )),
    };
    taken.withdraw();
    answer
}

/// Asks until there is a place, or the next one comes too late for the answer. The owner is
/// told how late that is, and keeps no place that would be too late: where this request leaves
/// while it waits, its place lapses at its time.
async fn ask(context: &RequestContext, question: &mut QuotaRequest) -> Outcome {
    let daemon = &context.daemon;
    loop {
        let patience = patience(context, question.starts_program);
        question.max_wait_ms = patience.map_or(0, |patience| patience.as_millis() as u64);
        let outcome = daemon.quota.acquire(&daemon.ledger, question).await;
        let Outcome::Refused { retry_after_ms } = outcome else {
            return outcome;
        };
        if retry_after_ms.max(1) > question.max_wait_ms {
            return outcome;
        }
        daemon.metrics.quota.with_label_values(&["waits"]).inc();
        sleep(Duration::from_millis(retry_after_ms)).await;
    }
}

/// How long a place is worth waiting for. A program that begins is late as a whole by what it
/// waits: beyond its route's aim it had better come back. What is under way needs its answer
/// while there is time for it.
fn patience(context: &RequestContext, begins: bool) -> Option<Duration> {
    let route = &context.entry.route;
    if begins {
        let left_ms = route.target_ms.saturating_sub(context.age_ms());
        return wait::patience(Duration::ZERO, Duration::from_millis(left_ms));
    }
    let answer = context.daemon.answer_times.overdue_after(&route.name);
    wait::patience(answer, Duration::from_millis(context.left_ms()))
}

/// Name and limit of the tenant, with the version of the configuration that says so.
fn limit_of(context: &RequestContext) -> Option<(String, Limit, u64)> {
    let name = context.tenant_name()?;
    let table = context.daemon.routes.borrow().clone()?;
    let limit = table.tenant(name)?.limit?;
    Some((name.to_owned(), limit, table.config.version))
}

fn tell(context: &RequestContext, outcome: Outcome, question: &QuotaRequest) {
    let (label, wait_ms) = match outcome {
        Outcome::Granted => ("granted", 0),
        Outcome::AdmittedLocally => ("unasked", 0),
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
        begins = question.starts_program,
        wait_ms,
        patience_ms = question.max_wait_ms,
        rate_per_s = question.rate_per_s,
        burst = question.burst,
        version = question.version,
        age_ms = context.age_ms()
    );
}
