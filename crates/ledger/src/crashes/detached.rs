//! Attempts that are over for their client while the server lives and may still run the request.
//!
//! The daemon that made such an attempt follows the process for as long as the request may run there,
//! and renews its report meanwhile. Without a renewal an end may have been missed, so the outcome of
//! the attempt counts as open.
//!
//! A process that lived when it was last heard may have ended since without a sign. Where a decision
//! depends on it, the owner asks the daemons that follow, and only processes that were asked after
//! that question count as alive.

use std::collections::HashMap;

/// Interval at which the report of a detached attempt is renewed, in milliseconds.
pub const DETACHED_RENEWAL_MS: u64 = 1_000;
/// How long a report of a detached attempt holds, in milliseconds: a renewal may be late or lost.
pub const DETACHED_LEASE_MS: u64 = 2_500;
/// How long a detached attempt holds a place after the first end, in milliseconds: most servers that
/// end under a request do so soon, and the daemon may be far from them.
pub const DETACHED_HOLD_MS: u64 = 300;

/// Unix times in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Detached {
    since_ms: u64,
    /// When the report lapses.
    until_ms: u64,
    /// Number of the newest question after which the process has shown that it lives; 0 if none.
    confirmed: u64,
}

/// The detached attempts of a request.
#[derive(Clone, Debug, Default)]
pub(super) struct DetachedAttempts(HashMap<u64, Detached>);

impl DetachedAttempts {
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Records that the process of an attempt was alive, and is followed.
    pub(super) fn renew(&mut self, attempt: u64, now_ms: u64) {
        let known = self.0.get(&attempt);
        let detached = Detached {
            since_ms: known.map_or(now_ms, |known| known.since_ms),
            until_ms: now_ms + DETACHED_LEASE_MS,
            confirmed: known.map_or(0, |known| known.confirmed),
        };
        self.0.insert(attempt, detached);
    }

    pub(super) fn remove(&mut self, attempt: u64) {
        self.0.remove(&attempt);
    }

    /// Forgets those whose report was not renewed, and all that hold no place.
    pub(super) fn retain(&mut self, now_ms: u64, holds_place: impl Fn(u64) -> bool) {
        self.0
            .retain(|attempt, detached| now_ms < detached.until_ms && holds_place(*attempt));
    }

    /// Whether an attempt is detached and its process is followed.
    pub(super) fn is_followed(&self, attempt: u64, now_ms: u64) -> bool {
        let detached = self.0.get(&attempt);
        detached.is_some_and(|detached| now_ms < detached.until_ms)
    }

    /// Records that the process of an attempt has shown that it lives after a question.
    pub(super) fn confirm(&mut self, attempt: u64, question: u64, now_ms: u64) {
        if let Some(detached) = self.0.get_mut(&attempt) {
            detached.confirmed = detached.confirmed.max(question);
            detached.until_ms = now_ms + DETACHED_LEASE_MS;
        }
    }

    /// Whether an attempt is followed, and its process has shown that it lives after a question.
    pub(super) fn is_confirmed(&self, attempt: u64, question: u64, now_ms: u64) -> bool {
        let detached = self.0.get(&attempt);
        detached
            .is_some_and(|detached| now_ms < detached.until_ms && detached.confirmed >= question)
    }

    /// Whether an attempt has been detached for [`DETACHED_HOLD_MS`] or more.
    pub(super) fn is_settled(&self, attempt: u64, now_ms: u64) -> bool {
        let detached = self.0.get(&attempt);
        detached.is_some_and(|detached| now_ms >= detached.since_ms + DETACHED_HOLD_MS)
    }
}
