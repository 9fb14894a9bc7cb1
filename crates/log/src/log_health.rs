//! When the log service last answered this daemon.

use crate::round_trip::RoundTrip;
use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Without an answer for this long the service counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(800);
/// Calls that failed for less than this wake nobody when one is answered again: where
/// some partitions are down and others not, failures and answers alternate.
const OUTAGE_AFTER: Duration = Duration::from_millis(120);

/// Contact with the log service; logs each loss and return once.
#[derive(Default)]
pub struct LogHealth {
    last_answer: Cell<Option<Instant>>,
    first_failure: Cell<Option<Instant>>,
    last_failure: Cell<Option<Instant>>,
    /// Told when the service answers after it had not: what waits for it need not
    /// wait for its own next try.
    pub recovered: Notify,
    /// How long appends take.
    pub append_time: RoundTrip,
    lost: Cell<bool>,
}

impl LogHealth {
    /// The service answered.
    pub fn record_answer(&self) {
        self.last_answer.set(Some(Instant::now()));
        let since = self.first_failure.take();
        if since.is_some_and(|since| since.elapsed() >= OUTAGE_AFTER) {
            self.recovered.notify_waiters();
        }
        if self.lost.replace(false) {
            tracing::info!(event = "store_regained", "the log service answers again");
        }
    }

    /// A call had no answer.
    pub fn record_failure(&self) {
        let now = Instant::now();
        let since = self.first_failure.get().unwrap_or(now);
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

    /// Whether calls fail.
    pub fn is_failing(&self) -> bool {
        self.first_failure.get().is_some()
    }

    /// Whether no call failed for this long.
    pub fn no_failure_for(&self, time: Duration) -> bool {
        self.last_failure
            .get()
            .is_none_or(|at| at.elapsed() >= time)
    }

    /// Whether the service answered within this time.
    pub fn answered_within(&self, time: Duration) -> bool {
        self.last_answer.get().is_some_and(|at| at.elapsed() < time)
    }

    /// Whether calls have failed for a while.
    pub fn is_lost(&self) -> bool {
        self.lost.get()
    }

    /// Time since the last answer, in milliseconds.
    pub fn ms_since_answer(&self) -> u64 {
        self.last_answer
            .get()
            .map_or(u64::MAX, |at| at.elapsed().as_millis() as u64)
    }
}
