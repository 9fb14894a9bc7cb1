//! How long a connection to a server may be idle before it is no longer reused.
//!
//! A server may drop idle connections silently and earlier than it announces. A connection that
//! turns out to be closed when it is reused is stale: the next request on it is reset, and fails if
//! it may not be retried. Therefore the idle time of a stale connection limits the connections that
//! are reused after it.

/// The limit is the idle time of the stale connection divided by this.
const STALE_DIVISOR: u64 = 2;
/// Idle time that is always allowed, in milliseconds.
const MIN_LIMIT_MS: u64 = 40;
/// How long a limit applies, in milliseconds.
const LIMIT_VALIDITY_MS: u64 = 10_000;

/// Idle time limit of the connections to one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IdleLimit {
    limit_ms: Option<u64>,
    until_ms: u64,
}

impl IdleLimit {
    /// Records that a connection was stale after it had been idle for `idle_ms`.
    pub fn record_stale(&mut self, now_ms: u64, idle_ms: u64) {
        let limit_ms = (idle_ms / STALE_DIVISOR).max(MIN_LIMIT_MS);
        let known = self.limit_ms(now_ms).unwrap_or(u64::MAX);
        self.limit_ms = Some(limit_ms.min(known));
        self.until_ms = now_ms + LIMIT_VALIDITY_MS;
    }

    /// Returns the longest idle time, if a connection was stale recently.
    pub fn limit_ms(&self, now_ms: u64) -> Option<u64> {
        self.limit_ms.filter(|_| now_ms < self.until_ms)
    }
}
