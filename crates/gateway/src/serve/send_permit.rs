//! Permits for sending a request to a server. A request under which servers have ended gets only as
//! many as it takes to reach the limit, over all attempts of its client at all daemons.

use super::attempt::DispatchFailure;
use super::attempt_monitor;
use super::request::RequestContext;
use crate::daemon::{Daemon, unix_ms};
use crate::ledger::crashes::SendAnswer;
use fieldhook_ledger::crashes::{AttemptEnd, MAX_ENDED_SERVERS, SendDecision};
use fieldhook_ledger::message::{
    BackedUpAttempt, ConfirmAttempt, ReportAttempt, RequestKey, RequestSend,
};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// How long a request waits for the checks of broken attempts with the same content: as long as the
/// next step of such an attempt does.
const MAX_CHECK_WAIT: Duration = attempt_monitor::MAX_WAIT;
/// Age at which a permit is renewed before it is used: servers may have ended while the request waited
/// for a place or a connection.
const RENEWAL_AGE: Duration = Duration::from_millis(100);
/// Age at which a permit may no longer be used, because this process was paused after the renewal.
const MAX_AGE: Duration = Duration::from_millis(500);
/// Minimum time for which the servers that ended under a request are remembered, in milliseconds.
const MIN_RETENTION_MS: u64 = 60_000;
/// Number of times that a program may send a turn, each with the attempts of its client.
const MAX_REPETITIONS: u64 = 6;

/// An attempt at a server, as the owner of the request's partition knows it.
pub(super) struct CountedAttempt {
    pub daemon: Rc<Daemon>,
    /// The request, by its content.
    pub content: RequestKey,
    /// Number of the attempt.
    pub attempt: u64,
    /// When the permit was asked for.
    asked: Instant,
    /// Servers that were known to have ended under the request when the permit was granted.
    pub known: Vec<String>,
    /// Whether the owner holds a place for the attempt until its end is reported.
    pub is_held: bool,
    /// How long clients may send the request again, in milliseconds.
    pub retention_ms: u64,
}

impl CountedAttempt {
    /// An attempt that another daemon has made.
    pub fn taken_over(daemon: Rc<Daemon>, attempt: &BackedUpAttempt) -> Self {
        Self {
            daemon,
            content: attempt.content.clone(),
            attempt: attempt.attempt,
            asked: Instant::now(),
            known: attempt.known.clone(),
            is_held: false,
            retention_ms: attempt.retention_ms,
        }
    }

    /// Reports the end of the attempt. The receiver is notified once an owner has accepted that. An
    /// attempt whose outcome is open holds its place for as long as ended servers count.
    pub fn report(&mut self, server: &str, end: AttemptEnd) -> oneshot::Receiver<()> {
        self.report_held(server, end, self.retention_ms)
    }

    /// Reports that the attempt was abandoned, and that it holds a place for this long. The receiver
    /// is notified once an owner has accepted that.
    pub fn report_abandoned(&mut self, server: &str, hold: Duration) -> oneshot::Receiver<()> {
        self.report_held(server, AttemptEnd::Unresolved, hold.as_millis() as u64)
    }

    fn report_held(
        &mut self,
        server: &str,
        end: AttemptEnd,
        hold_ms: u64,
    ) -> oneshot::Receiver<()> {
        self.is_held = matches!(end, AttemptEnd::Unresolved | AttemptEnd::Detached);
        let report = ReportAttempt {
            request: self.content.clone(),
            attempt: self.attempt,
            server: server.to_owned(),
            end,
            known: self.known.clone(),
            hold_ms,
            retention_ms: self.retention_ms,
        };
        let daemon = &self.daemon;
        if end == AttemptEnd::ServerEnded {
            let mut crashes = daemon.owner.known_crashes.borrow_mut();
            crashes.end_attempt(&report.request.name, &report.ended_attempt(), unix_ms());
        }
        if let Some(level) = report.watch_level() {
            let partition = daemon.ledger.partition_of_request(&report.request);
            daemon.relay.watch_crashes(partition, level);
        }
        daemon.ledger.report_attempt(report)
    }

    /// Epoch of the owner that counts the attempt, as far as known.
    pub fn owner_epoch(&self) -> Option<u64> {
        let ledger = &self.daemon.ledger;
        let partition = ledger.partition_of_request(&self.content);
        let claim = self.daemon.owner.claims.claim(partition);
        claim.map(|claim| claim.epoch)
    }

    /// Reports that the process of the attempt, which is detached, lives.
    pub fn confirm(&self, question: u64) {
        self.daemon.ledger.confirm_attempt(ConfirmAttempt {
            request: self.content.clone(),
            attempt: self.attempt,
            question,
        });
    }

    /// Gives the place back, if the owner holds one. A complete response clears the count only if
    /// unrelated requests share the content.
    pub fn release(&mut self, server: &str, end: AttemptEnd) {
        let end = match end {
            AttemptEnd::Completed if !self.content.is_shared() => AttemptEnd::ServerAlive,
            end => end,
        };
        if self.is_held {
            drop(self.report(server, end));
        }
    }
}

/// Permit for one attempt. It is given back if it is dropped before the request is sent.
pub struct SendPermit(Option<CountedAttempt>);

impl SendPermit {
    /// Requests a permit.
    ///
    /// # Errors
    /// The request may not be sent now, or not at all.
    pub async fn request(context: &RequestContext) -> Result<Self, DispatchFailure> {
        let checks = &context.daemon.open_checks;
        let content = &context.content.name.name;
        // Unrelated requests with the same content are not copies of one.
        if !context.content.is_shared() {
            let until = Instant::now() + MAX_CHECK_WAIT;
            checks.wait_closed(content, until).await;
        }
        let asked = Instant::now();
        let attempt = fastrand::u64(..);
        let grant = ask(context, attempt).await?;
        Ok(Self(Some(CountedAttempt {
            daemon: context.daemon.clone(),
            content: context.content.clone(),
            attempt,
            asked,
            known: grant.ended,
            is_held: grant.holds_place,
            retention_ms: retention_ms(context),
        })))
    }

    /// Asks again unless the permit was asked for a moment ago.
    ///
    /// # Errors
    /// The request may not be sent now, or not at all.
    pub async fn renew(&mut self, context: &RequestContext) -> Result<(), DispatchFailure> {
        let Some(counted) = &mut self.0 else {
            return Ok(());
        };
        if counted.asked.elapsed() < RENEWAL_AGE {
            return Ok(());
        }
        let asked = Instant::now();
        let grant = ask(context, counted.attempt).await?;
        counted.asked = asked;
        counted.known = grant.ended;
        counted.is_held = grant.holds_place;
        Ok(())
    }

    /// Whether the owner holds a place for the attempt.
    pub fn holds_place(&self) -> bool {
        self.0.as_ref().is_some_and(|counted| counted.is_held)
    }

    /// Whether the permit may still be used.
    pub fn is_current(&self) -> bool {
        let counted = self.0.as_ref();
        counted.is_some_and(|counted| counted.asked.elapsed() < MAX_AGE)
    }

    /// Returns the permit of an attempt that did not run.
    pub(super) fn of(counted: CountedAttempt) -> Self {
        Self(Some(counted))
    }

    /// Uses the permit for an attempt that is about to be sent.
    pub(super) fn into_attempt(mut self) -> Option<CountedAttempt> {
        self.0.take()
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if let Some(counted) = &mut self.0 {
            counted.release("", AttemptEnd::ServerAlive);
        }
    }
}

/// What is known about a request that may be sent.
struct Grant {
    /// Servers that have ended under it.
    ended: Vec<String>,
    /// Whether the owner holds a place for the attempt.
    holds_place: bool,
}

/// Asks for a permit, and logs and counts the outcome.
async fn ask(context: &RequestContext, attempt: u64) -> Result<Grant, DispatchFailure> {
    let asked = Instant::now();
    let decision = decide(context, attempt).await;
    let outcome = outcome_of(&decision);
    let permits = &context.daemon.metrics.send_permits;
    permits.with_label_values(&[outcome]).inc();
    if outcome != "granted" {
        log(context, outcome, asked);
    }
    let grant = decision?;
    // A complete response may clear the count of shared content at any time.
    Ok(match context.content.is_shared() {
        true => Grant {
            ended: Vec::new(),
            ..grant
        },
        false => grant,
    })
}

async fn decide(context: &RequestContext, attempt: u64) -> Result<Grant, DispatchFailure> {
    let daemon = &context.daemon;
    let known = known_servers(context);
    if known.len() >= MAX_ENDED_SERVERS {
        return Err(DispatchFailure::Blocked);
    }
    let ended = known.clone();
    let request = RequestSend {
        request: context.content.clone(),
        attempt,
        // The outcome is never reported if this daemon is lost together with the server.
        hold_ms: retention_ms(context),
        known,
        retention_ms: retention_ms(context),
        max_durable_wait_ms: 0,
    };
    let decision = match daemon.ledger.ask_to_send(request, context.deadline).await {
        SendAnswer::Decided(decision) => decision,
        SendAnswer::NotAsked => {
            return Ok(Grant {
                ended,
                holds_place: false,
            });
        }
        SendAnswer::NoOwner => return Err(DispatchFailure::OwnerUnknown),
    };
    let (SendDecision::Granted { servers, .. }
    | SendDecision::Busy { servers }
    | SendDecision::Blocked { servers }) = &decision;
    // Kept in case the owner is lost before its count is durable.
    let mut crashes = daemon.owner.known_crashes.borrow_mut();
    let name = &context.content.name;
    crashes.merge(name, servers, retention_ms(context), unix_ms());
    match decision {
        SendDecision::Granted {
            servers,
            holds_place,
        } => Ok(Grant {
            ended: servers,
            holds_place,
        }),
        SendDecision::Busy { .. } => Err(DispatchFailure::AttemptsOpen),
        SendDecision::Blocked { .. } => Err(DispatchFailure::Blocked),
    }
}

/// The servers that have ended under a request, as far as this daemon knows.
fn known_servers(context: &RequestContext) -> Vec<String> {
    let crashes = context.daemon.owner.known_crashes.borrow();
    crashes.servers_to_tell(&context.content, unix_ms())
}

/// Value of the log field `outcome` and of the metric label.
fn outcome_of(decision: &Result<Grant, DispatchFailure>) -> &'static str {
    match decision {
        Ok(grant) if !grant.holds_place && grant.ended.is_empty() => "granted",
        Ok(_) => "granted_after_crash",
        Err(DispatchFailure::Blocked) => "blocked",
        Err(DispatchFailure::OwnerUnknown) => "no_owner",
        Err(_) => "busy",
    }
}

fn log(context: &RequestContext, outcome: &str, asked: Instant) {
    let daemon = &context.daemon;
    let servers = known_servers(context);
    tracing::info!(
        event = "send_permit",
        request = context.meta.id,
        program = context.meta.program,
        content = context.content.name.name,
        partition = daemon.ledger.partition_of_request(&context.content),
        outcome,
        ended = servers.len(),
        servers = servers.join(" "),
        took_ms = asked.elapsed().as_millis() as u64,
        log_age_ms = daemon.log_health.ms_since_answer(),
        age_ms = context.age_ms()
    );
}

/// How long the client and its program may send the request again, in milliseconds.
fn retention_ms(context: &RequestContext) -> u64 {
    let timeout_ms = context.entry.route.timeout_ms;
    let deadline_ms = context.meta.deadline_ms.unwrap_or(timeout_ms);
    let longest_ms = deadline_ms.max(timeout_ms).saturating_mul(MAX_REPETITIONS);
    longest_ms.max(MIN_RETENTION_MS)
}
