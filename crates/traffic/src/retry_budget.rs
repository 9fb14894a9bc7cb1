//! How many attempts a daemon may repeat, over all its requests.
//!
//! Each request bounds its own attempts ([`crate::attempt`]), but where every server refuses,
//! every request uses all of them, and the servers are asked many times for each answer that
//! they give. So repeats are bounded by what succeeds: a part of the answers may be repeats,
//! and a few more a second, so that a daemon with little to do is not held back.

/// Repeats that each answer allows.
const PER_ANSWER: f64 = 0.5;
/// Repeats that are allowed each second without any answer.
const PER_SECOND: f64 = 20.0;
/// Repeats that may be saved up: those of some seconds of a busy daemon, so that a short
/// outage of a service is bridged as it was.
const MOST: f64 = 200.0;

/// The repeats that are left.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    left: f64,
    at_ms: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            left: MOST,
            at_ms: 0,
        }
    }
}

impl RetryBudget {
    /// A server answered.
    pub fn record_answer(&mut self) {
        self.left = (self.left + PER_ANSWER).min(MOST);
    }

    /// Takes one repeat; false where none is left.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let passed_s = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        self.left = (self.left + passed_s * PER_SECOND).min(MOST);
        self.at_ms = self.at_ms.max(now_ms);
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
