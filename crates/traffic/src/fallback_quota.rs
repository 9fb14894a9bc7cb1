//! What one daemon may send of a tenant's limit while no owner can be asked.
//!
//! It goes on with a part of what it was granted in the window before, for one window, and
//! only for tenants that were far from their limits: others may still reach the owner, and
//! what they get comes on top (docs/design/tenants.md).

/// Part of its former rate at which a daemon goes on without an owner.
const UNASKED_PART: f64 = 0.5;
/// Part of its limit up to which a tenant counts as far from it: what its daemons send
/// without an owner then stays within the limit unless it comes to send twice as much.
const FAR_FROM_LIMIT: f64 = 0.5;

/// Daemons of the largest deployment that this is built for: what one may send at once of what
/// a tenant leaves free stays within that, if all of them do so.
const MOST_DAEMONS: f64 = 350.0;

/// A daemon's share of one tenant's limit, as it was granted lately.
#[derive(Clone, Debug, Default)]
pub struct FallbackQuota {
    /// Requests granted in the present window of this history and the one before.
    granted: [u32; 2],
    window_began_ms: u64,
    /// Part of the limit that was used when the owner last answered.
    used: f64,
    /// Requests that may be sent without an owner, as of a time.
    unasked: f64,
    unasked_at_ms: Option<u64>,
    /// Requests that may be sent at once when no owner can be asked, as of the last grant.
    spare: f64,
    /// When these were last taken.
    spare_at_ms: Option<u64>,
}

impl FallbackQuota {
    /// The owner granted a request; so much of the limit is used.
    pub fn record_grant(&mut self, used: f64, window_ms: u64, now_ms: u64) {
        self.used = used;
        self.unasked_at_ms = None;
        self.unasked = 0.0;
        self.roll(window_ms, now_ms);
        self.granted[0] += 1;
    }

    /// The limit holds so many requests in a window.
    pub fn set_window_limit(&mut self, requests: f64) {
        self.spare = requests * (1.0 - FAR_FROM_LIMIT) / MOST_DAEMONS;
    }

    /// What may be sent at once, once in a window: a request of a tenant that sends little
    /// through each of many daemons would be refused otherwise, and its program lost.
    fn take_spare(&mut self, window_ms: u64, now_ms: u64) -> f64 {
        let taken = self
            .spare_at_ms
            .is_some_and(|at_ms| now_ms < at_ms + window_ms);
        if taken || self.granted == [0, 0] {
            return 0.0;
        }
        self.spare_at_ms = Some(now_ms);
        self.spare
    }

    /// Takes one request without an owner.
    pub fn take(&mut self, window_ms: u64, now_ms: u64) -> bool {
        self.roll(window_ms, now_ms);
        let granted = self.granted[0].max(self.granted[1]);
        let rate = f64::from(granted) / window_ms.max(1) as f64 * UNASKED_PART;
        let since_ms = now_ms - *self.unasked_at_ms.get_or_insert(now_ms);
        let most = (rate * window_ms as f64).max(self.unasked);
        self.unasked = (self.unasked + rate * since_ms as f64).min(most);
        self.unasked += self.take_spare(window_ms, now_ms);
        self.unasked_at_ms = Some(now_ms);
        if self.unasked < 1.0 || self.used > FAR_FROM_LIMIT {
            return false;
        }
        self.unasked -= 1.0;
        true
    }

    fn roll(&mut self, window_ms: u64, now_ms: u64) {
        let windows = now_ms.saturating_sub(self.window_began_ms) / window_ms.max(1);
        match windows {
            0 => return,
            1 => self.granted = [0, self.granted[0]],
            _ => self.granted = [0, 0],
        }
        self.window_began_ms += windows * window_ms;
    }
}
