//! Estimate of the time that the log service takes to answer, adapted to the answers themselves.
//!
//! A fixed timeout does not work: it is far too long where an answer was lost, and far too short
//! where the service is sixty times slower than usual. The estimate jumps up with the first slow
//! answer and decays slowly, so that a slow service is not sent repeats of calls that it is about
//! to answer.

use std::cell::Cell;
use std::time::Duration;

/// Estimate before the first answer.
const INITIAL_ESTIMATE: Duration = Duration::from_millis(20);
/// An answer is overdue after this multiple of the estimate.
const OVERDUE_FACTOR: u32 = 3;
/// Margin for pauses of this process and its network.
const MARGIN: Duration = Duration::from_millis(25);
/// Upper bound of the time after which an answer is overdue.
const MAX_OVERDUE: Duration = Duration::from_millis(800);
/// A faster answer lowers the estimate by this fraction of the difference.
const DECAY: u32 = 8;

/// Estimated time that an answer takes.
#[derive(Debug)]
pub struct RoundTrip {
    estimate: Cell<Duration>,
}

impl Default for RoundTrip {
    fn default() -> Self {
        Self {
            estimate: Cell::new(INITIAL_ESTIMATE),
        }
    }
}

impl RoundTrip {
    /// Updates the estimate with the time that an answer took.
    pub fn observe(&self, took: Duration) {
        let estimate = self.estimate.get();
        let next = if took > estimate {
            took
        } else {
            estimate - (estimate - took) / DECAY
        };
        self.estimate.set(next);
    }

    /// Time after which an answer is overdue.
    pub fn overdue_after(&self) -> Duration {
        (self.estimate.get() * OVERDUE_FACTOR + MARGIN).min(MAX_OVERDUE)
    }
}
