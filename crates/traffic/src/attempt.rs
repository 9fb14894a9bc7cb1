//! Decides what follows an attempt that ended without a response.

use crate::config::RouteKind;

/// How an attempt at a server ended without a response for the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// Nothing was sent to the server.
    NotSent,
    /// The server reported that it did not run the request.
    NotRun,
    /// The request may have run: the connection broke, or the response was not valid.
    MayHaveRun,
}

/// What the gateway does after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try another server.
    Retry,
    /// All servers are busy: try all of them again after this many milliseconds.
    Wait(u64),
    /// Tell the client that the request has not run and when to retry it.
    Refuse,
    /// Tell the client that the outcome is unknown.
    BadGateway,
}

/// Counts the failed attempts of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Attempts that may have run on a server.
    pub may_have_run: u32,
    /// Attempts since the last wait that did not run.
    pub not_run: u32,
    /// Waits so far for a server with a free slot.
    pub waits: u32,
}

/// Number of attempts since the last wait that did not run, after which the request waits again.
/// Without it, a full service would be tried endlessly.
const MAX_NOT_RUN: u32 = 4;
/// First wait for a free slot, in milliseconds. Each further wait is twice as long.
const FIRST_WAIT_MS: u64 = 20;
/// Longest wait for a free slot, in milliseconds.
const MAX_WAIT_MS: u64 = 80;
/// Maximum number of waits of one request.
const MAX_WAITS: u32 = 6;

/// What the remaining time of a request allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLeft {
    /// There is enough time for another attempt and its response.
    pub enough_for_attempt: bool,
    /// There is enough time for a wait, and for the response after it.
    pub enough_for_wait: bool,
}

impl Attempts {
    /// Counts a failed attempt and decides what follows.
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
        match self.not_run < MAX_NOT_RUN {
            true => NextStep::Retry,
            false => self.wait(time),
        }
    }

    /// Decides what follows if no server is left to try.
    pub fn on_no_server(&mut self, kind: RouteKind, max_attempts: u32, time: TimeLeft) -> NextStep {
        match self.may_repeat(kind, max_attempts) {
            true => self.wait(time),
            false => self.give_up(),
        }
    }

    /// Waits for a free slot if there is time. A short wait is better than a refusal: the client
    /// would only retry for the same slot, and a program ends when one of its calls fails.
    fn wait(&mut self, time: TimeLeft) -> NextStep {
        if !time.enough_for_wait || self.waits >= MAX_WAITS {
            return self.give_up();
        }
        let pause_ms = FIRST_WAIT_MS << self.waits.min(8);
        self.waits += 1;
        self.not_run = 0;
        NextStep::Wait(pause_ms.min(MAX_WAIT_MS))
    }

    fn give_up(&self) -> NextStep {
        // Once an attempt may have run, the outcome stays unknown whatever happens later.
        if self.may_have_run > 0 {
            NextStep::BadGateway
        } else {
            NextStep::Refuse
        }
    }

    /// Whether the attempt in progress could be followed by another one if it may have run.
    pub fn allows_another(&self, kind: RouteKind, max_attempts: u32) -> bool {
        kind.is_repeatable() && self.may_have_run + 1 < max_attempts
    }

    fn may_repeat(&self, kind: RouteKind, max_attempts: u32) -> bool {
        self.may_have_run == 0 || (kind.is_repeatable() && self.may_have_run < max_attempts.max(1))
    }
}
