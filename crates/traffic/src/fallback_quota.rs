//! The part of a tenant's quota that a daemon may use while it reaches no owner.
//!
//! The daemon continues for one window at a part of the rate that it was granted before, and only
//! for tenants that were far below their limits. Other daemons may still reach the owner, and
//! their grants are added to this (docs/design/tenants.md).

/// Fraction of the previously granted rate that a daemon may use without an owner.
const FALLBACK_FRACTION: f64 = 0.5;
/// Usage up to which a tenant counts as far below its limit. What daemons send for it without an
/// owner then stays within the limit, unless the tenant doubles its traffic.
const MAX_USAGE: f64 = 0.5;

/// Number of daemons in the largest supported deployment. Each may send a few spare requests at
/// once while it reaches no owner. If all of them do so, the total stays within what the
/// tenant leaves unused.
const MAX_DAEMONS: f64 = 350.0;

/// Recent grants of one tenant's quota to this daemon, and what it may send without an owner.
#[derive(Clone, Debug, Default)]
pub struct FallbackQuota {
    /// Requests granted in the current and in the previous window.
    granted: [u32; 2],
    window_start_ms: u64,
    /// Fraction of the limit that was used when the owner last granted a request.
    used: f64,
    /// Requests that may be sent without an owner, as of `tokens_at_ms`.
    tokens: f64,
    tokens_at_ms: Option<u64>,
    /// Requests that may be sent immediately when no owner answers.
    spare: f64,
    /// When the spare requests were last used.
    spare_taken_ms: Option<u64>,
}

impl FallbackQuota {
    /// Records that the owner granted a request, and the fraction of the limit in use.
    pub fn record_grant(&mut self, used: f64, window_ms: u64, now_ms: u64) {
        self.used = used;
        self.tokens_at_ms = None;
        self.tokens = 0.0;
        self.advance_window(window_ms, now_ms);
        self.granted[0] += 1;
    }

    /// Sets the number of requests that the limit allows in a window.
    pub fn set_window_limit(&mut self, requests: f64) {
        self.spare = requests * (1.0 - MAX_USAGE) / MAX_DAEMONS;
    }

    /// Takes the spare requests, which may be sent immediately once per window. Without them, a
    /// tenant that sends little through each of many daemons would be refused, and its programs
    /// would fail.
    fn take_spare(&mut self, window_ms: u64, now_ms: u64) -> f64 {
        let taken = self
            .spare_taken_ms
            .is_some_and(|at_ms| now_ms < at_ms + window_ms);
        if taken || self.granted == [0, 0] {
            return 0.0;
        }
        self.spare_taken_ms = Some(now_ms);
        self.spare
    }

    /// Takes one request without an owner. Returns false if none is allowed.
    pub fn take(&mut self, window_ms: u64, now_ms: u64) -> bool {
        self.advance_window(window_ms, now_ms);
        let granted = self.granted[0].max(self.granted[1]);
        let rate = f64::from(granted) / window_ms.max(1) as f64 * FALLBACK_FRACTION;
        let since_ms = now_ms - *self.tokens_at_ms.get_or_insert(now_ms);
        let max_tokens = (rate * window_ms as f64).max(self.tokens);
        self.tokens = (self.tokens + rate * since_ms as f64).min(max_tokens);
        self.tokens += self.take_spare(window_ms, now_ms);
        self.tokens_at_ms = Some(now_ms);
        if self.tokens < 1.0 || self.used > MAX_USAGE {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn advance_window(&mut self, window_ms: u64, now_ms: u64) {
        let windows = now_ms.saturating_sub(self.window_start_ms) / window_ms.max(1);
        match windows {
            0 => return,
            1 => self.granted = [0, self.granted[0]],
            _ => self.granted = [0, 0],
        }
        self.window_start_ms += windows * window_ms;
    }
}
