//! Decides what follows a failed attempt, for buffered responses and streams alike.

use super::attempt::{AttemptHistory, DispatchFailure};
use super::cold;
use super::homes;
use super::local_response::{LocalResponse, about_to_stop};
use super::request::{RETRY_LATER_MS, RETRY_SOON_MS, RequestContext};
use fieldhook_traffic::attempt::{Attempts, NextStep, TimeLeft};
use fieldhook_traffic::tenants::KeyDenial;
use std::time::Duration;
use tokio::time::sleep;

/// Minimum time needed for another attempt, in milliseconds.
const MIN_ATTEMPT_TIME_MS: u64 = 15;
const OUTCOME_UNKNOWN: &str = "the outcome is not known";
const DISCOVERY_POLL_PERIOD: Duration = Duration::from_millis(20);
/// How long a request waits for service discovery to report a server, in milliseconds.
const DISCOVERY_WAIT_MS: u64 = 120;

/// Retry delay when all servers for a request are in evacuated zones, in milliseconds. Operators
/// withdraw evacuations by hand and at unknown times, so earlier retries would be useless; the
/// deadlines of most requests leave time for two or three retries with this delay.
const RETRY_EVACUATED_MS: u64 = 1_000;

/// A request waits for capacity for at most its total time divided by this. The remaining time lets
/// the client try another daemon.
const MAX_WAIT_DIVISOR: u32 = 2;

/// Attempts made for one request.
#[derive(Default)]
pub struct RetryState {
    /// Servers that the request was sent to.
    pub history: AttemptHistory,
    attempts: Attempts,
}

impl RetryState {
    /// Returns the timeout of the next attempt, or `None` if it is the last one allowed or if
    /// another one could not be expected to finish in time.
    pub fn attempt_timeout(&self, context: &RequestContext) -> Option<Duration> {
        let route = &context.entry.route;
        if !self.attempts.allows_another(route.kind, route.max_attempts) {
            return None;
        }
        let remaining = Duration::from_millis(context.remaining_ms());
        context
            .daemon
            .response_times
            .attempt_timeout(&route.name, remaining)
    }

    /// Waits, if necessary, until another attempt may be made.
    ///
    /// # Errors
    /// No further attempt is allowed; contains the response for the client.
    pub async fn handle_failure(
        &mut self,
        context: &RequestContext,
        failure: DispatchFailure,
    ) -> Result<(), LocalResponse> {
        let route = &context.entry.route;
        let time = time_limits(context);
        let next = match failure {
            DispatchFailure::NoServer | DispatchFailure::SoftwareGone
                if self.waits_for_discovery(context) =>
            {
                sleep(DISCOVERY_POLL_PERIOD).await;
                return Ok(());
            }
            DispatchFailure::SoftwareGone => return Err(self.software_gone_response(context)),
            DispatchFailure::KeyRevoked if self.attempts.may_have_run == 0 => {
                return Err(LocalResponse::new(401, KeyDenial::UnknownKey.remedy()));
            }
            DispatchFailure::KeyRevoked => return Err(LocalResponse::new(502, OUTCOME_UNKNOWN)),
            DispatchFailure::Stopping if self.attempts.may_have_run == 0 => {
                return Err(about_to_stop());
            }
            DispatchFailure::Stopping => return Err(LocalResponse::new(502, OUTCOME_UNKNOWN)),
            // Only if no server has refused: such a server may have capacity again before a cold
            // one does.
            DispatchFailure::ColdServersBusy { wait_ms } if self.only_unreachable_tried() => {
                return cold::wait_or_refuse(context, wait_ms).await;
            }
            DispatchFailure::ColdServersBusy { .. } => {
                self.attempts
                    .on_no_server(route.kind, route.max_attempts, time)
            }
            DispatchFailure::Evacuated | DispatchFailure::EvacuationsUncertain => {
                return Err(self.evacuation_response(failure));
            }
            DispatchFailure::Blocked
            | DispatchFailure::AttemptsOpen
            | DispatchFailure::OwnerUnknown => {
                return Err(self.no_permit_response(context, failure));
            }
            // Waiting helps only if a server has refused: without any known server there is no
            // capacity to wait for.
            DispatchFailure::NoServer if self.history.refused.is_empty() => {
                homes::report_no_server(context);
                return Err(self.no_server_response());
            }
            DispatchFailure::NoServer => {
                self.attempts
                    .on_no_server(route.kind, route.max_attempts, time)
            }
            DispatchFailure::Attempt(failure) => {
                self.history.record_failure(failure);
                self.attempts
                    .on_failure(route.kind, route.max_attempts, failure, time)
            }
        };
        match next {
            NextStep::Retry | NextStep::Wait(_) if !self.take_retry(context) => {
                Err(self.retries_exhausted_response(context))
            }
            NextStep::Retry => Ok(()),
            NextStep::Wait(pause_ms) => {
                self.wait(context, pause_ms).await;
                Ok(())
            }
            NextStep::Refuse => Err(LocalResponse::not_run("no server took it", RETRY_SOON_MS)),
            NextStep::BadGateway => Err(LocalResponse::new(502, OUTCOME_UNKNOWN)),
        }
    }

    /// Takes a retry from the retry budget of the daemon.
    fn take_retry(&self, context: &RequestContext) -> bool {
        let daemon = &context.daemon;
        daemon.retry_budget.borrow_mut().take(daemon.now_ms())
    }

    fn retries_exhausted_response(&self, context: &RequestContext) -> LocalResponse {
        context
            .daemon
            .metrics
            .attempts
            .with_label_values(&["no_retry_left"])
            .inc();
        tracing::info!(
            event = "no_retry_left",
            request = context.meta.id,
            program = context.meta.program,
            may_have_run = self.attempts.may_have_run,
            refused = self.history.refused.len(),
            waits = self.attempts.waits,
            age_ms = context.age_ms()
        );
        match self.attempts.may_have_run {
            0 => LocalResponse::not_run("servers refuse too many requests", RETRY_LATER_MS),
            _ => LocalResponse::new(502, OUTCOME_UNKNOWN),
        }
    }

    /// Waits for capacity at a server that refused the request.
    async fn wait(&mut self, context: &RequestContext, pause_ms: u64) {
        if self.attempts.waits == 1 {
            tracing::info!(
                event = "waits_for_place",
                request = context.meta.id,
                program = context.meta.program,
                refused = self.history.refused.len(),
                age_ms = context.age_ms()
            );
        }
        sleep(Duration::from_millis(pause_ms)).await;
        self.history.clear_refusals();
    }

    /// Returns whether no server but unreachable ones was tried. A request that was only refused
    /// was not run either, but the server that refused it may have capacity again.
    fn only_unreachable_tried(&self) -> bool {
        self.attempts.may_have_run == 0 && self.history.refused.is_empty()
    }

    /// Returns whether service discovery may be about to report a server.
    fn waits_for_discovery(&self, context: &RequestContext) -> bool {
        let nothing_sent = self.attempts == Attempts::default();
        nothing_sent && context.age_ms() < DISCOVERY_WAIT_MS
    }

    /// Response when evacuations, or missing knowledge about them, exclude all servers.
    fn evacuation_response(&self, failure: DispatchFailure) -> LocalResponse {
        if self.attempts.may_have_run > 0 {
            return LocalResponse::new(502, OUTCOME_UNKNOWN);
        }
        match failure {
            DispatchFailure::EvacuationsUncertain => LocalResponse::not_run(
                "this daemon has yet to confirm which zones are evacuated",
                RETRY_LATER_MS,
            ),
            _ => LocalResponse::not_run(
                "all servers for it stand in evacuated zones",
                RETRY_EVACUATED_MS,
            ),
        }
    }

    /// Response when a stream cannot continue because the software that began it is no longer in
    /// service. A retry would not help, so there is no retry delay.
    fn software_gone_response(&self, context: &RequestContext) -> LocalResponse {
        let resumed = &context.daemon.metrics.resumed_streams;
        resumed.with_label_values(&["software_gone"]).inc();
        tracing::info!(
            event = "resume_refused",
            request = context.meta.id,
            program = context.meta.program,
            resumes = context.meta.resumes,
            cause = "software_gone",
            may_have_run = self.attempts.may_have_run,
            age_ms = context.age_ms()
        );
        match self.attempts.may_have_run {
            0 => LocalResponse::new(503, "no server runs the software that began this stream"),
            _ => LocalResponse::new(502, OUTCOME_UNKNOWN),
        }
    }

    /// Response when the request may not be sent because servers have ended under it. Once it is
    /// blocked, a retry would not help, so there is no retry delay.
    fn no_permit_response(
        &self,
        context: &RequestContext,
        failure: DispatchFailure,
    ) -> LocalResponse {
        match failure {
            _ if self.attempts.may_have_run > 0 => LocalResponse::new(502, OUTCOME_UNKNOWN),
            DispatchFailure::Blocked => LocalResponse::new(
                503,
                "servers ended while they ran this request; do not send it again",
            ),
            DispatchFailure::AttemptsOpen => LocalResponse::not_run(
                "other attempts of this request have to end first",
                context.retry_later_ms(),
            ),
            _ => LocalResponse::not_run(
                "it cannot be looked up whether servers ended under this request",
                context.retry_later_ms(),
            ),
        }
    }

    fn no_server_response(&self) -> LocalResponse {
        if self.attempts.may_have_run > 0 {
            LocalResponse::new(502, OUTCOME_UNKNOWN)
        } else {
            LocalResponse::not_run("no server takes work", RETRY_SOON_MS)
        }
    }
}

fn time_limits(context: &RequestContext) -> TimeLeft {
    let allowed = context.deadline - context.started;
    TimeLeft {
        enough_for_attempt: context.remaining_ms() > MIN_ATTEMPT_TIME_MS,
        enough_for_wait: context.started.elapsed() < allowed / MAX_WAIT_DIVISOR,
    }
}
