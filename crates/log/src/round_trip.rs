//! How long an answer of the log service takes, learned from the answers themselves.
//!
//! A fixed time-out is wrong twice: far too long where an answer was lost, far too
//! short where the service is sixty times slower than usual. The estimate jumps up
//! with the first slow answer and comes down slowly, so that a slow service is not
//! asked again and again for what it is about to answer.

use std::cell::Cell;
use std::time::Duration;

/// Estimate before the first answer.
const FIRST: Duration = Duration::from_millis(20);
/// An answer is overdue after this many usual times.
const OVERDUE_FACTOR: u32 = 3;
/// Added for pauses of this process and its link.
const SLACK: Duration = Duration::from_millis(25);
/// Longest time after which an answer is overdue.
const LONGEST: Duration = Duration::from_millis(800);
/// The estimate moves down by one in this.
const DECAY: u32 = 8;

/// Estimate of the time that an answer takes.
#[derive(Debug)]
pub struct RoundTrip {
    usual: Cell<Duration>,
}

impl Default for RoundTrip {
    fn default() -> Self {
        Self {
            usual: Cell::new(FIRST),
        }
    }
}

impl RoundTrip {
    /// Takes in how long an answer took.
    pub fn observe(&self, took: Duration) {
        let usual = self.usual.get();
        let next = if took > usual {
            took
        } else {
            usual - (usual - took) / DECAY
        };
        self.usual.set(next);
    }

    /// The time after which an answer is overdue.
    pub fn overdue_after(&self) -> Duration {
        (self.usual.get() * OVERDUE_FACTOR + SLACK).min(LONGEST)
    }
}
