//! What follows an attempt that brought nothing to pass on: the same for buffered
//! answers and streams.

use super::answer::OwnAnswer;
use super::dispatch::{DispatchFailure, Tried};
use super::request::{RETRY_SOON_MS, RequestContext};
use fieldhook_traffic::attempt::{AttemptFailure, Attempts, NextStep};
use std::time::Duration;
use tokio::time::sleep;

/// Time that another attempt needs at least, in milliseconds.
const LEAST_TIME_MS: u64 = 15;
const NO_SERVER_PAUSE: Duration = Duration::from_millis(20);
/// How long a request waits for a server to appear, in milliseconds.
const NO_SERVER_PATIENCE_MS: u64 = 120;

/// Attempts of one request.
#[derive(Default)]
pub struct Retries {
    /// Servers that it was sent to.
    pub tried: Tried,
    counted: Attempts,
}

impl Retries {
    /// Returns where another attempt may be made.
    ///
    /// # Errors
    /// The answer for the client where none may.
    pub async fn after(
        &mut self,
        context: &RequestContext,
        failure: DispatchFailure,
    ) -> Result<(), OwnAnswer> {
        match failure {
            DispatchFailure::NoServer => self.wait_for_server(context).await,
            DispatchFailure::Attempt(failure) => self.count(context, failure),
        }
    }

    fn count(
        &mut self,
        context: &RequestContext,
        failure: AttemptFailure,
    ) -> Result<(), OwnAnswer> {
        let route = &context.entry.route;
        let time_left = context.left_ms() > LEAST_TIME_MS;
        let next = self
            .counted
            .after(route.kind, route.max_attempts, failure, time_left);
        match next {
            NextStep::Retry => Ok(()),
            NextStep::Refuse => Err(OwnAnswer::not_run("no server took it", RETRY_SOON_MS)),
            NextStep::BadGateway => Err(OwnAnswer::new(502, "the outcome is not known")),
        }
    }

    async fn wait_for_server(&self, context: &RequestContext) -> Result<(), OwnAnswer> {
        let nothing_sent = self.counted == Attempts::default();
        if nothing_sent && context.age_ms() < NO_SERVER_PATIENCE_MS {
            sleep(NO_SERVER_PAUSE).await;
            return Ok(());
        }
        // Every server was tried, or there is none.
        if self.counted.may_have_run > 0 {
            Err(OwnAnswer::new(502, "the outcome is not known"))
        } else {
            Err(OwnAnswer::not_run("no server takes work", RETRY_SOON_MS))
        }
    }
}
