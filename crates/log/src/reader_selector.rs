//! Selects the reader that a daemon requests a followed topic from: the readers of its zone first,
//! then those of other zones, and the log itself if no reader answers.

use std::collections::HashMap;
use std::net::SocketAddr;

/// Pause after the first failure of a reader, in milliseconds; doubled by each further failure.
const INITIAL_PAUSE_MS: u64 = 300;
/// Longest pause, in milliseconds.
const MAX_PAUSE_MS: u64 = 5_000;
/// A reader that has failed for this many milliseconds is considered lost. A process that was
/// restarted answers again earlier.
const LOST_AFTER_MS: u64 = 4_000;
/// Number of readers in other zones that are tried before the log. It is small because their
/// traffic crosses zones.
const MAX_REMOTE_READERS: usize = 2;
/// For one to two of this many parts of the time within which changes have to be known, only
/// readers are asked. The rest is left for a reader that stops answering and for the answer of the
/// log.
const READERS_ONLY_DIVISOR: u64 = 10;
/// Factor on the wait before the log is asked, while no reader has answered yet: the first readers
/// claim their slots while the log still serves what all daemons requested before.
const INITIAL_FACTOR: u64 = 3;
/// Largest factor on the wait, for a daemon that gets no answer from readers.
const MAX_FACTOR: u64 = 32;
/// Factor on the wait before a whole listing is requested from the log. After a loss of all power
/// the readers have listed it themselves within a second, and listings by all daemons at once would
/// keep the log from serving them.
const LISTING_FACTOR: u64 = 3;

#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    count: u32,
    first_ms: u64,
    until_ms: u64,
}

/// A topic for which no reader has answered lately.
#[derive(Clone, Copy, Debug)]
struct Unanswered {
    since_ms: u64,
    /// Doubled each time the log is asked instead.
    factor: u64,
}

/// State of the readers as seen by one daemon.
#[derive(Clone, Debug)]
pub struct ReaderSelector {
    failures: HashMap<SocketAddr, Failures>,
    unanswered: HashMap<String, Unanswered>,
    /// Whether any reader has ever answered. Before that, possibly no slot is claimed yet.
    has_answer: bool,
    /// Time for which only readers are asked at first, in milliseconds: the log cannot serve all
    /// daemons at once.
    readers_only_ms: u64,
}

impl ReaderSelector {
    /// Creates a selector. Changes have to be known within `bound_ms`. `random` spreads the time at
    /// which daemons turn to the log, so that they don't all do so at once.
    pub fn new(bound_ms: u64, random: u64) -> Self {
        let part_ms = (bound_ms / READERS_ONLY_DIVISOR).max(1);
        Self {
            failures: HashMap::new(),
            unanswered: HashMap::new(),
            has_answer: false,
            readers_only_ms: part_ms + random % part_ms,
        }
    }

    /// Returns the readers to ask about a topic, in order. `local` are the readers of this zone;
    /// `remote` those of other zones, which are asked if the local ones fail. A zone without
    /// readers will soon have some, and meanwhile the queries of all its daemons would overload the
    /// first reader of another zone.
    pub fn candidates(
        &self,
        topic: &str,
        local: &[SocketAddr],
        remote: &[SocketAddr],
        now_ms: u64,
    ) -> Vec<SocketAddr> {
        let is_asked = |reader: &&SocketAddr| {
            let failures = self.failures.get(reader);
            failures.is_none_or(|failures| now_ms >= failures.until_ms)
        };
        let asks_remote = !local.is_empty() || self.may_read_log(topic, now_ms);
        let remote = remote.iter().filter(|_| asks_remote).filter(is_asked);
        let remote = remote.take(MAX_REMOTE_READERS);
        local
            .iter()
            .filter(is_asked)
            .chain(remote)
            .copied()
            .collect()
    }

    /// Records that a reader answered about a topic.
    pub fn record_answer(&mut self, reader: SocketAddr, topic: &str) {
        self.has_answer = true;
        self.failures.remove(&reader);
        self.unanswered.remove(topic);
    }

    /// Records that a reader did not answer, or that its answer was too old.
    pub fn record_failure(&mut self, reader: SocketAddr, now_ms: u64) {
        let failures = self.failures.entry(reader).or_default();
        if failures.count == 0 {
            failures.first_ms = now_ms;
        }
        failures.count += 1;
        let pause_ms = INITIAL_PAUSE_MS << (failures.count - 1).min(8);
        failures.until_ms = now_ms + pause_ms.min(MAX_PAUSE_MS);
    }

    /// Records that no reader answered about a topic.
    pub fn record_unanswered(&mut self, topic: &str, now_ms: u64) {
        let unanswered = Unanswered {
            since_ms: now_ms,
            factor: if self.has_answer { 1 } else { INITIAL_FACTOR },
        };
        self.unanswered
            .entry(topic.to_owned())
            .or_insert(unanswered);
    }

    /// Records that the log is asked about a topic instead. Until a reader answers, the next such
    /// query comes after twice the time. If there are no readers yet, this reduces the load on the
    /// log until it can serve those that claim a slot.
    pub fn record_log_fallback(&mut self, topic: &str, now_ms: u64) {
        if let Some(unanswered) = self.unanswered.get_mut(topic) {
            unanswered.since_ms = now_ms;
            unanswered.factor = (unanswered.factor * 2).min(MAX_FACTOR);
        }
    }

    /// Whether a reader has failed for so long that its slot should be claimed.
    pub fn is_lost(&self, reader: SocketAddr, now_ms: u64) -> bool {
        let failures = self.failures.get(&reader);
        failures.is_some_and(|failures| now_ms >= failures.first_ms + LOST_AFTER_MS)
    }

    /// Whether changes may be read from the log.
    pub fn may_read_log(&self, topic: &str, now_ms: u64) -> bool {
        self.log_read_delay_ms(topic, now_ms) == Some(0)
    }

    /// Time in milliseconds until changes may be read from the log, unless a reader answers first.
    pub fn log_read_delay_ms(&self, topic: &str, now_ms: u64) -> Option<u64> {
        let unanswered = self.unanswered.get(topic)?;
        let at_ms = unanswered.since_ms + self.readers_only_ms * unanswered.factor;
        Some(at_ms.saturating_sub(now_ms))
    }

    /// Whether a whole listing may be requested from the log.
    pub fn may_list_log(&self, topic: &str, now_ms: u64) -> bool {
        self.is_unanswered_for(topic, self.readers_only_ms * LISTING_FACTOR, now_ms)
    }

    fn is_unanswered_for(&self, topic: &str, time_ms: u64, now_ms: u64) -> bool {
        let unanswered = self.unanswered.get(topic);
        unanswered
            .is_some_and(|unanswered| now_ms >= unanswered.since_ms + time_ms * unanswered.factor)
    }
}
