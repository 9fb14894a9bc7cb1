//! Tracks whether the log service answers this daemon.

use crate::round_trip::RoundTrip;
use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Without an answer for this long, the service is considered lost.
const LOST_AFTER: Duration = Duration::from_millis(800);
/// Shorter failures do not trigger [`LogHealth::recovered`]: where only some partitions are down,
/// failures and answers alternate.
const MIN_OUTAGE: Duration = Duration::from_millis(120);
/// Refusals because of the call rate count as failures if no call has been served for this long.
/// Until then they may be due to the rate of all daemons together, which another owner would only
/// raise.
const REFUSED_AFTER: Duration = Duration::from_millis(300);

/// Health of the log service as seen by this daemon. Logs each loss and each recovery once.
#[derive(Default)]
pub struct LogHealth {
    last_answer: Cell<Option<Instant>>,
    /// When the newest call was made that the service has answered.
    last_confirmed: Cell<Option<Instant>>,
    first_failure: Cell<Option<Instant>>,
    /// When the first call since the last answer was refused because of the call rate.
    first_refusal: Cell<Option<Instant>>,
    last_failure: Cell<Option<Instant>>,
    /// Notified when the service answers after an outage, so that waiting calls can be repeated at
    /// once.
    pub recovered: Notify,
    /// Estimated duration of an append.
    pub append_time: RoundTrip,
    lost: Cell<bool>,
}

impl LogHealth {
    /// Records that the service answered a call that was made at this time.
    pub fn record_answer_to(&self, called: Instant) {
        let known = self.last_confirmed.get();
        if known.is_none_or(|known| known < called) {
            self.last_confirmed.set(Some(called));
        }
        self.record_answer();
    }

    /// Records that the service answered.
    pub fn record_answer(&self) {
        self.last_answer.set(Some(Instant::now()));
        self.first_refusal.set(None);
        let since = self.first_failure.take();
        if since.is_some_and(|since| since.elapsed() >= MIN_OUTAGE) {
            self.recovered.notify_waiters();
        }
        if self.lost.replace(false) {
            tracing::info!(event = "store_regained", "the log service answers again");
        }
    }

    /// Records that a call got no answer.
    pub fn record_failure(&self) {
        self.record_failure_since(Instant::now());
    }

    /// Records that the service refused a call because of the call rate. If it goes on to refuse all
    /// calls of this daemon, they count as failures.
    pub fn record_refusal(&self) {
        let since = self.first_refusal.get().unwrap_or_else(Instant::now);
        self.first_refusal.set(Some(since));
        if since.elapsed() >= REFUSED_AFTER {
            self.record_failure_since(since);
        }
    }

    /// Records a failure that is part of one which began at this time, unless calls have failed for
    /// longer.
    fn record_failure_since(&self, began: Instant) {
        let now = Instant::now();
        let since = self.first_failure.get().unwrap_or(began);
        self.first_failure.set(Some(since));
        self.last_failure.set(Some(now));
        if now - since >= LOST_AFTER && !self.lost.replace(true) {
            let age_ms = self.ms_since_answer();
            tracing::warn!(
                event = "store_lost",
                age_ms,
                "the log service does not answer"
            );
        }
    }

    /// Whether calls have failed since the last answer.
    pub fn is_failing(&self) -> bool {
        self.first_failure.get().is_some()
    }

    /// Whether the last failure, if any, is at least this long ago.
    pub fn no_failure_for(&self, time: Duration) -> bool {
        self.last_failure
            .get()
            .is_none_or(|at| at.elapsed() >= time)
    }

    /// Whether the service answered a call that was made within this time. An answer alone may have
    /// waited in a buffer while this process was paused.
    pub fn confirmed_within(&self, time: Duration) -> bool {
        let called = self.last_confirmed.get();
        called.is_some_and(|at| at.elapsed() < time)
    }

    /// Whether the service answered within this time.
    pub fn answered_within(&self, time: Duration) -> bool {
        self.last_answer.get().is_some_and(|at| at.elapsed() < time)
    }

    /// Whether calls have failed for so long that the service is considered lost.
    pub fn is_lost(&self) -> bool {
        self.lost.get()
    }

    /// Time since the last answer in milliseconds, or `u64::MAX` if there was none.
    pub fn ms_since_answer(&self) -> u64 {
        self.last_answer
            .get()
            .map_or(u64::MAX, |at| at.elapsed().as_millis() as u64)
    }
}
