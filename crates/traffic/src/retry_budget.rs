//! Limits the retries of a daemon over all its requests.
//!
//! Each request limits its own attempts ([`crate::attempt`]). If every server refuses requests,
//! however, every request uses all its attempts, and the servers receive many attempts for each
//! one that they complete. Retries are therefore limited in proportion to the completed attempts,
//! plus a constant rate so that a daemon with little traffic is not held back.

/// Retries that each completed attempt allows.
const PER_COMPLETED: f64 = 0.5;
/// Retries per second that are allowed without any completed attempt.
const PER_SECOND: f64 = 20.0;
/// Maximum number of saved retries. It covers some seconds of a busy daemon, so that retries
/// still bridge a short outage of a service.
const MAX_SAVED: f64 = 200.0;

/// The retries that a daemon may still make.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    left: f64,
    at_ms: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            left: MAX_SAVED,
            at_ms: 0,
        }
    }
}

impl RetryBudget {
    /// Records that an attempt was completed: the server ran it and its response was read.
    pub fn record_completed(&mut self) {
        self.left = (self.left + PER_COMPLETED).min(MAX_SAVED);
    }

    /// Takes one retry from the budget. Returns false if none is left.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let passed_s = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        self.left = (self.left + passed_s * PER_SECOND).min(MAX_SAVED);
        self.at_ms = self.at_ms.max(now_ms);
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
