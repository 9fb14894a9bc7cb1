//! Whom a daemon asks for what it follows: the readers of its zone, then those of others, and
//! the log itself where none of them answers.

use std::collections::HashMap;
use std::net::SocketAddr;

/// Pause after a reader's first failure, in milliseconds; doubled by each that follows.
const FIRST_PAUSE_MS: u64 = 300;
/// Longest pause, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 5_000;
/// A reader that has failed for so long is lost, in milliseconds: a process that ended is back
/// before that.
const LOST_AFTER_MS: u64 = 4_000;
/// Readers of other zones that are asked at most, one after another, before the log: their
/// bytes cross zones.
const MOST_ELSEWHERE: usize = 2;
/// For so long a whole listing is asked of readers alone, in milliseconds. After a loss of all
/// power readers have read it themselves within a second, and what all daemons list at once
/// would keep the log from them.
const LISTING_PATIENCE_MS: u64 = 3_000;
/// Daemons that no reader has answered turn to the log over so long, in milliseconds, and not
/// in the same moment.
const LISTING_SPREAD_MS: u64 = 2_000;

#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    count: u32,
    first_ms: u64,
    until_ms: u64,
}

/// What one daemon knows of the readers that it asks.
#[derive(Clone, Debug)]
pub struct Asker {
    failures: HashMap<SocketAddr, Failures>,
    /// Since when no reader answered.
    alone_since_ms: Option<u64>,
    /// Time of its own after the patience for a listing, in milliseconds.
    spread_ms: u64,
}

impl Asker {
    /// An asker that has asked nobody yet; `random` spreads it among the others.
    pub fn new(random: u64) -> Self {
        Self {
            failures: HashMap::new(),
            alone_since_ms: None,
            spread_ms: random % LISTING_SPREAD_MS,
        }
    }

    /// Whom to ask, in order. `near` are the readers of its zone, `far` those of others; both in
    /// an order of chance.
    pub fn candidates(
        &self,
        near: &[SocketAddr],
        far: &[SocketAddr],
        now_ms: u64,
    ) -> Vec<SocketAddr> {
        let is_asked = |reader: &&SocketAddr| {
            let failures = self.failures.get(reader);
            failures.is_none_or(|failures| now_ms >= failures.until_ms)
        };
        let far = far.iter().filter(is_asked).take(MOST_ELSEWHERE);
        near.iter().filter(is_asked).chain(far).copied().collect()
    }

    /// A reader answered.
    pub fn answered(&mut self, reader: SocketAddr) {
        self.failures.remove(&reader);
        self.alone_since_ms = None;
    }

    /// A reader did not answer, or with something too old.
    pub fn failed(&mut self, reader: SocketAddr, now_ms: u64) {
        let failures = self.failures.entry(reader).or_default();
        if failures.count == 0 {
            failures.first_ms = now_ms;
        }
        failures.count += 1;
        let pause_ms = FIRST_PAUSE_MS << (failures.count - 1).min(8);
        failures.until_ms = now_ms + pause_ms.min(LONGEST_PAUSE_MS);
    }

    /// No reader answered this time.
    pub fn is_alone(&mut self, now_ms: u64) {
        self.alone_since_ms.get_or_insert(now_ms);
    }

    /// Whether a reader has not answered for so long that its place is to be taken.
    pub fn is_lost(&self, reader: SocketAddr, now_ms: u64) -> bool {
        let failures = self.failures.get(&reader);
        failures.is_some_and(|failures| now_ms >= failures.first_ms + LOST_AFTER_MS)
    }

    /// Whether a whole listing may be asked of the log.
    pub fn may_list(&self, now_ms: u64) -> bool {
        let patience_ms = LISTING_PATIENCE_MS + self.spread_ms;
        self.alone_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + patience_ms)
    }
}
