//! Whether what a daemon knows of the operator's word is recent enough to act on.
//!
//! A process that was frozen wakes with what it knew before, and one that reaches neither
//! the log nor another daemon hears of nothing. An outage of the log alone is no cause for
//! doubt: nobody can know more then, and the service has to go on.

/// A process that did not run for so long was stopped, in milliseconds: an event loop that
/// is merely busy comes round in less. Shorter stops leave what is known younger than any
/// bound by themselves.
const STOPPED_MS: u64 = 1_000;

/// What a daemon may believe of its own knowledge.
#[derive(Clone, Debug)]
pub struct Freshness {
    limit_ms: u64,
    last_run_ms: u64,
    woken_ms: Option<u64>,
}

impl Freshness {
    /// What was last confirmed longer than `limit_ms` ago is too old after a stop.
    pub fn new(limit_ms: u64) -> Self {
        Self {
            limit_ms,
            last_run_ms: 0,
            woken_ms: None,
        }
    }

    /// The process runs, and what it knows was the newest `age_ms` ago. True if it has been
    /// stopped before.
    pub fn record_run(&mut self, now_ms: u64, age_ms: u64) -> bool {
        let was_stopped = now_ms.saturating_sub(self.last_run_ms) > STOPPED_MS;
        self.last_run_ms = now_ms;
        if was_stopped {
            self.woken_ms = Some(now_ms);
        } else if self.is_confirmed_since_stop(now_ms, age_ms) {
            self.woken_ms = None;
        }
        was_stopped
    }

    /// Others were heard who know no more: nobody can tell for now.
    pub fn accept_unconfirmed(&mut self) {
        self.woken_ms = None;
    }

    /// Whether nothing may be sent before what is known is confirmed. `is_isolated` says that
    /// neither the log nor another daemon answers.
    pub fn is_stale(&self, now_ms: u64, age_ms: u64, is_isolated: bool) -> bool {
        let is_old = age_ms > self.limit_ms;
        let stopped_now = now_ms.saturating_sub(self.last_run_ms) > STOPPED_MS;
        is_old && (is_isolated || stopped_now || self.woken_ms.is_some())
    }

    fn is_confirmed_since_stop(&self, now_ms: u64, age_ms: u64) -> bool {
        let confirmed_ms = now_ms.saturating_sub(age_ms);
        self.woken_ms.is_some_and(|woken| confirmed_ms >= woken)
    }
}
