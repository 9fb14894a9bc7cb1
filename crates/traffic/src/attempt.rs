//! What may follow an attempt that brought no answer.

use crate::config::RouteKind;

/// How an attempt at a server ended without an answer for the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// Nothing was sent.
    NotSent,
    /// The server said that it did not run the request.
    NotRun,
    /// It may have run: the connection broke, or the answer was not one.
    MayHaveRun,
}

/// What the gateway does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try another server.
    Retry,
    /// Tell the client that it has not run and when to come back.
    Refuse,
    /// Tell the client that the outcome is not known.
    BadGateway,
}

/// Attempts of one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Attempts that may have run at a server.
    pub may_have_run: u32,
    /// Attempts that did not run.
    pub not_run: u32,
}

/// Attempts that did not run are bounded as well, so that a full service is not
/// asked without end.
const MOST_NOT_RUN: u32 = 4;

impl Attempts {
    /// Counts a failed attempt and says what follows. `time_left` tells whether
    /// another attempt could still be answered in time.
    pub fn after(
        &mut self,
        kind: RouteKind,
        max_attempts: u32,
        failure: AttemptFailure,
        time_left: bool,
    ) -> NextStep {
        match failure {
            AttemptFailure::MayHaveRun => self.may_have_run += 1,
            AttemptFailure::NotSent | AttemptFailure::NotRun => self.not_run += 1,
        }
        if self.may_repeat(kind, max_attempts) && time_left {
            return NextStep::Retry;
        }
        // Once it may have run, only "unknown" is true, whatever came later.
        if self.may_have_run > 0 {
            NextStep::BadGateway
        } else {
            NextStep::Refuse
        }
    }

    fn may_repeat(&self, kind: RouteKind, max_attempts: u32) -> bool {
        let ran_allows = self.may_have_run == 0
            || (kind.repeatable() && self.may_have_run < max_attempts.max(1));
        ran_allows && self.not_run < MOST_NOT_RUN
    }
}
