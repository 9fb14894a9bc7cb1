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
    /// Every place is taken: try all servers again after so many milliseconds.
    Wait(u64),
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
    /// Attempts that did not run since the last wait.
    pub not_run: u32,
    /// Waits for a place.
    pub waits: u32,
}

/// Attempts that did not run are bounded as well, so that a full service is not
/// asked without end.
const MOST_NOT_RUN: u32 = 4;
/// First wait for a place, in milliseconds; each further one is twice as long.
const FIRST_WAIT_MS: u64 = 20;
/// Longest wait for a place, in milliseconds.
const LONGEST_WAIT_MS: u64 = 80;
/// Waits of one request at most.
const MOST_WAITS: u32 = 6;

/// What the time of a request still allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLeft {
    /// Another attempt could still be answered.
    pub enough_for_attempt: bool,
    /// A wait for a place would leave enough for the answer.
    pub enough_for_wait: bool,
}

impl Attempts {
    /// Counts a failed attempt and says what follows.
    pub fn on_failure(
        &mut self,
        kind: RouteKind,
        max_attempts: u32,
        failure: AttemptFailure,
        time: TimeLeft,
    ) -> NextStep {
        match failure {
            AttemptFailure::MayHaveRun => self.may_have_run += 1,
            AttemptFailure::NotSent | AttemptFailure::NotRun => self.not_run += 1,
        }
        if !self.may_repeat(kind, max_attempts) || !time.enough_for_attempt {
            return self.give_up();
        }
        match self.not_run < MOST_NOT_RUN {
            true => NextStep::Retry,
            false => self.wait(time),
        }
    }

    /// Says what follows where no server is left to try.
    pub fn on_no_server(&mut self, kind: RouteKind, max_attempts: u32, time: TimeLeft) -> NextStep {
        match self.may_repeat(kind, max_attempts) {
            true => self.wait(time),
            false => self.give_up(),
        }
    }

    /// A place that comes free soon serves the client better than a refusal: it would
    /// come back for the same place, and a program ends with a call that fails.
    fn wait(&mut self, time: TimeLeft) -> NextStep {
        if !time.enough_for_wait || self.waits >= MOST_WAITS {
            return self.give_up();
        }
        let pause_ms = FIRST_WAIT_MS << self.waits.min(8);
        self.waits += 1;
        self.not_run = 0;
        NextStep::Wait(pause_ms.min(LONGEST_WAIT_MS))
    }

    fn give_up(&self) -> NextStep {
        // Once it may have run, only "unknown" is true, whatever came later.
        if self.may_have_run > 0 {
            NextStep::BadGateway
        } else {
            NextStep::Refuse
        }
    }

    /// Whether an attempt that may have run, the one under way, could be followed by another.
    pub fn allows_another(&self, kind: RouteKind, max_attempts: u32) -> bool {
        kind.is_repeatable() && self.may_have_run + 1 < max_attempts
    }

    fn may_repeat(&self, kind: RouteKind, max_attempts: u32) -> bool {
        self.may_have_run == 0 || (kind.is_repeatable() && self.may_have_run < max_attempts.max(1))
    }
}
