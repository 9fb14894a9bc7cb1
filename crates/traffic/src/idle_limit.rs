//! How long an idle connection to a server may rest before it is used again.
//!
//! A server may forget idle connections without a word, sooner than it tells. The next
//! request on such a connection is reset, and one that may not be repeated is lost by it:
//! so what was learned from one reset holds for the connections that follow.

/// A connection rests for this part of what was too long.
const TOO_LONG_DIVISOR: u64 = 2;
/// IdleLimit that is always allowed, in milliseconds.
const LEAST_MS: u64 = 40;
/// What was learned holds for this long, in milliseconds.
const REMEMBERED_MS: u64 = 10_000;

/// What was learned of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IdleLimit {
    limit_ms: Option<u64>,
    until_ms: u64,
}

impl IdleLimit {
    /// A connection that had rested this long was gone.
    pub fn record_stale(&mut self, now_ms: u64, rested_ms: u64) {
        let limit_ms = (rested_ms / TOO_LONG_DIVISOR).max(LEAST_MS);
        let known = self.limit_ms(now_ms).unwrap_or(u64::MAX);
        self.limit_ms = Some(limit_ms.min(known));
        self.until_ms = now_ms + REMEMBERED_MS;
    }

    /// Longest rest, if one was learned lately.
    pub fn limit_ms(&self, now_ms: u64) -> Option<u64> {
        self.limit_ms.filter(|_| now_ms < self.until_ms)
    }
}
