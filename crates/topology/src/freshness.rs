//! Whether the evacuation records that a daemon knows are recent enough to act on.
//!
//! A process that was paused resumes with outdated records, and a daemon that reaches neither
//! the log nor another daemon receives no new ones. An outage of the log alone does not make the
//! records stale: no daemon can know newer ones then, and the service has to go on.

/// A process counts as paused if it did not run for longer than this, in milliseconds. One
/// iteration of a busy event loop takes less time. After a shorter pause the records are still
/// younger than any configured limit.
const PAUSED_MS: u64 = 1_000;

/// Tracks pauses of the process and whether its records were confirmed since.
#[derive(Clone, Debug)]
pub struct Freshness {
    limit_ms: u64,
    last_run_ms: u64,
    resumed_ms: Option<u64>,
}

impl Freshness {
    /// Creates a tracker. After a pause, and while the daemon is isolated, records are stale if
    /// they were last confirmed more than `limit_ms` ago.
    pub fn new(limit_ms: u64) -> Self {
        Self {
            limit_ms,
            last_run_ms: 0,
            resumed_ms: None,
        }
    }

    /// Notes that the process is running and that the known records were last confirmed `age_ms`
    /// ago. Returns true if the process was paused since the previous call.
    pub fn record_run(&mut self, now_ms: u64, age_ms: u64) -> bool {
        let was_paused = now_ms.saturating_sub(self.last_run_ms) > PAUSED_MS;
        self.last_run_ms = now_ms;
        if was_paused {
            self.resumed_ms = Some(now_ms);
        } else if self.is_confirmed_since_resume(now_ms, age_ms) {
            self.resumed_ms = None;
        }
        was_paused
    }

    /// Accepts the known records without confirmation, because the other daemons that answered
    /// know no newer ones.
    pub fn accept_unconfirmed(&mut self) {
        self.resumed_ms = None;
    }

    /// Whether the records, last confirmed `age_ms` ago, have to be confirmed again before any
    /// request is sent. `is_isolated` means that neither the log nor another daemon answers.
    pub fn is_stale(&self, now_ms: u64, age_ms: u64, is_isolated: bool) -> bool {
        let is_over_limit = age_ms > self.limit_ms;
        let is_paused_now = now_ms.saturating_sub(self.last_run_ms) > PAUSED_MS;
        is_over_limit && (is_isolated || is_paused_now || self.resumed_ms.is_some())
    }

    fn is_confirmed_since_resume(&self, now_ms: u64, age_ms: u64) -> bool {
        let confirmed_ms = now_ms.saturating_sub(age_ms);
        self.resumed_ms
            .is_some_and(|resumed_ms| confirmed_ms >= resumed_ms)
    }
}
