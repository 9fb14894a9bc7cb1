//! What follows an attempt that brought nothing to pass on: the same for buffered
//! answers and streams.

use super::answer::OwnAnswer;
use super::attempt::{DispatchFailure, Tried};
use super::cold;
use super::homes;
use super::request::{RETRY_LATER_MS, RETRY_SOON_MS, RequestContext};
use fieldhook_traffic::attempt::{Attempts, NextStep, TimeLeft};
use fieldhook_traffic::tenants::Denial;
use std::time::Duration;
use tokio::time::sleep;

/// Time that another attempt needs at least, in milliseconds.
const LEAST_TIME_MS: u64 = 15;
const OUTCOME_UNKNOWN: &str = "the outcome is not known";
const NO_SERVER_PAUSE: Duration = Duration::from_millis(20);
/// How long a request waits for a server to appear, in milliseconds.
const NO_SERVER_PATIENCE_MS: u64 = 120;

/// When a client should come back where all servers for its request stand in evacuated
/// zones, in milliseconds. Nobody knows when an operator withdraws an evacuation; it is done
/// by hand, so sooner tries would be in vain, and most requests allow for two or three of
/// these.
const RETRY_EVACUATED_MS: u64 = 1_000;

/// Part of a request's time that may go by before it is refused for want of a place: one
/// in this. What is left lets the client ask elsewhere.
const WAIT_DIVISOR: u32 = 2;

/// Attempts of one request.
#[derive(Default)]
pub struct Retries {
    /// Servers that it was sent to.
    pub tried: Tried,
    counted: Attempts,
}

impl Retries {
    /// How long the next attempt is waited for, where another could follow it.
    pub fn patience(&self, context: &RequestContext) -> Option<Duration> {
        let route = &context.entry.route;
        if !self.counted.allows_another(route.kind, route.max_attempts) {
            return None;
        }
        let left = Duration::from_millis(context.left_ms());
        context.daemon.answer_times.wait(&route.name, left)
    }

    /// Returns when another attempt may be made.
    ///
    /// # Errors
    /// The answer for the client where none may.
    pub async fn after(
        &mut self,
        context: &RequestContext,
        failure: DispatchFailure,
    ) -> Result<(), OwnAnswer> {
        let route = &context.entry.route;
        let time = time_of(context);
        let next = match failure {
            DispatchFailure::NoServer if self.waits_for_discovery(context) => {
                sleep(NO_SERVER_PAUSE).await;
                return Ok(());
            }
            DispatchFailure::KeyGone if self.counted.may_have_run == 0 => {
                return Err(OwnAnswer::new(401, Denial::UnknownKey.remedy()));
            }
            DispatchFailure::KeyGone => return Err(OwnAnswer::new(502, OUTCOME_UNKNOWN)),
            // A place at a server that refused may come free before one at a cold server.
            DispatchFailure::Cold { wait_ms } if self.nothing_ran() => {
                return cold::wait(context, wait_ms).await;
            }
            DispatchFailure::Cold { .. } => {
                self.counted
                    .on_no_server(route.kind, route.max_attempts, time)
            }
            DispatchFailure::Evacuated | DispatchFailure::Uncertain => {
                return Err(self.not_now(failure));
            }
            // Waiting is for places: where no server is known, none would come free.
            DispatchFailure::NoServer if self.tried.refused.is_empty() => {
                homes::note_no_server(context);
                return Err(self.no_server());
            }
            DispatchFailure::NoServer => {
                self.counted
                    .on_no_server(route.kind, route.max_attempts, time)
            }
            DispatchFailure::Attempt(failure) => {
                self.tried.note(failure);
                self.counted
                    .on_failure(route.kind, route.max_attempts, failure, time)
            }
        };
        match next {
            NextStep::Retry | NextStep::Wait(_) if !self.may_repeat(context) => {
                Err(self.without_repeat(context))
            }
            NextStep::Retry => Ok(()),
            NextStep::Wait(pause_ms) => {
                self.wait(context, pause_ms).await;
                Ok(())
            }
            NextStep::Refuse => Err(OwnAnswer::not_run("no server took it", RETRY_SOON_MS)),
            NextStep::BadGateway => Err(OwnAnswer::new(502, OUTCOME_UNKNOWN)),
        }
    }

    /// Whether this daemon may repeat an attempt now.
    fn may_repeat(&self, context: &RequestContext) -> bool {
        let daemon = &context.daemon;
        daemon.retry_budget.borrow_mut().take(daemon.now_ms())
    }

    fn without_repeat(&self, context: &RequestContext) -> OwnAnswer {
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
            may_have_run = self.counted.may_have_run,
            refused = self.tried.refused.len(),
            waits = self.counted.waits,
            age_ms = context.age_ms()
        );
        match self.counted.may_have_run {
            0 => OwnAnswer::not_run("servers refuse too many requests", RETRY_LATER_MS),
            _ => OwnAnswer::new(502, OUTCOME_UNKNOWN),
        }
    }

    /// Waits for a place at a server that refused before.
    async fn wait(&mut self, context: &RequestContext, pause_ms: u64) {
        if self.counted.waits == 1 {
            tracing::info!(
                event = "waits_for_place",
                request = context.meta.id,
                program = context.meta.program,
                refused = self.tried.refused.len(),
                age_ms = context.age_ms()
            );
        }
        sleep(Duration::from_millis(pause_ms)).await;
        self.tried.forget_refusals();
    }

    /// No server was asked but those that were not reached, and none may have run it.
    fn nothing_ran(&self) -> bool {
        self.counted.may_have_run == 0 && self.tried.refused.is_empty()
    }

    /// Whether discovery may be about to tell of a server.
    fn waits_for_discovery(&self, context: &RequestContext) -> bool {
        let nothing_sent = self.counted == Attempts::default();
        nothing_sent && context.age_ms() < NO_SERVER_PATIENCE_MS
    }

    /// The operator's word, or that it is not known well enough, keeps all servers from it.
    fn not_now(&self, failure: DispatchFailure) -> OwnAnswer {
        if self.counted.may_have_run > 0 {
            return OwnAnswer::new(502, OUTCOME_UNKNOWN);
        }
        match failure {
            DispatchFailure::Uncertain => OwnAnswer::not_run(
                "this daemon has yet to confirm which zones are evacuated",
                RETRY_LATER_MS,
            ),
            _ => OwnAnswer::not_run(
                "all servers for it stand in evacuated zones",
                RETRY_EVACUATED_MS,
            ),
        }
    }

    fn no_server(&self) -> OwnAnswer {
        if self.counted.may_have_run > 0 {
            OwnAnswer::new(502, OUTCOME_UNKNOWN)
        } else {
            OwnAnswer::not_run("no server takes work", RETRY_SOON_MS)
        }
    }
}

fn time_of(context: &RequestContext) -> TimeLeft {
    let allowed = context.deadline - context.started;
    TimeLeft {
        enough_for_attempt: context.left_ms() > LEAST_TIME_MS,
        enough_for_wait: context.started.elapsed() < allowed / WAIT_DIVISOR,
    }
}
