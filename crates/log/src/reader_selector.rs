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
/// Parts of the time in which a change has to be known: for one to two of them readers alone are
/// asked, which leaves the others for a reader that falls silent and for the log's own answer.
const BOUND_PARTS: u64 = 10;
/// Times the patience where no reader has answered yet: the first ones take their places while the
/// log still answers what all daemons asked before.
const FIRST_FACTOR: u64 = 3;
/// Times the patience at most, for a daemon that no reader answers.
const MOST_FACTOR: u64 = 32;
/// Times the patience for a read for which a whole listing is asked of readers alone. After a loss
/// of all power readers have read it themselves within a second, and what all daemons list at
/// once would keep the log from them.
const LISTING_FACTOR: u64 = 3;

#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    count: u32,
    first_ms: u64,
    until_ms: u64,
}

/// A topic of which no reader tells anything.
#[derive(Clone, Copy, Debug)]
struct Alone {
    since_ms: u64,
    /// Doubled with each turn to the log.
    factor: u64,
}

/// What one daemon knows of the readers that it asks.
#[derive(Clone, Debug)]
pub struct ReaderSelector {
    failures: HashMap<SocketAddr, Failures>,
    alone: HashMap<String, Alone>,
    /// A reader has answered before. Until then none may have taken its place yet.
    was_answered: bool,
    /// For so long readers alone are asked at first, in milliseconds: the log can't send all
    /// daemons at once what readers send them.
    patience_ms: u64,
}

impl ReaderSelector {
    /// An asker that has asked nobody yet. Changes have to be known in `bound_ms`; `random` spreads
    /// it among the others, so that they do not turn to the log in the same moment.
    pub fn new(bound_ms: u64, random: u64) -> Self {
        let part_ms = (bound_ms / BOUND_PARTS).max(1);
        Self {
            failures: HashMap::new(),
            alone: HashMap::new(),
            was_answered: false,
            patience_ms: part_ms + random % part_ms,
        }
    }

    /// Whom to ask about a topic, in order. `near` are the readers of its zone, `far` those of
    /// others, who are asked where the near ones fail. A zone that has none yet soon has, and what
    /// its daemons would ask of the first reader of another zone is too much for one.
    pub fn candidates(
        &self,
        topic: &str,
        near: &[SocketAddr],
        far: &[SocketAddr],
        now_ms: u64,
    ) -> Vec<SocketAddr> {
        let is_asked = |reader: &&SocketAddr| {
            let failures = self.failures.get(reader);
            failures.is_none_or(|failures| now_ms >= failures.until_ms)
        };
        let asks_far = !near.is_empty() || self.may_read_log(topic, now_ms);
        let far = far.iter().filter(|_| asks_far).filter(is_asked);
        let far = far.take(MOST_ELSEWHERE);
        near.iter().filter(is_asked).chain(far).copied().collect()
    }

    /// A reader answered about a topic.
    pub fn record_answer(&mut self, reader: SocketAddr, topic: &str) {
        self.was_answered = true;
        self.failures.remove(&reader);
        self.alone.remove(topic);
    }

    /// A reader did not answer, or with something too old.
    pub fn record_failure(&mut self, reader: SocketAddr, now_ms: u64) {
        let failures = self.failures.entry(reader).or_default();
        if failures.count == 0 {
            failures.first_ms = now_ms;
        }
        failures.count += 1;
        let pause_ms = FIRST_PAUSE_MS << (failures.count - 1).min(8);
        failures.until_ms = now_ms + pause_ms.min(LONGEST_PAUSE_MS);
    }

    /// No reader told anything of a topic this time.
    pub fn record_unanswered(&mut self, topic: &str, now_ms: u64) {
        let alone = Alone {
            since_ms: now_ms,
            factor: if self.was_answered { 1 } else { FIRST_FACTOR },
        };
        self.alone.entry(topic.to_owned()).or_insert(alone);
    }

    /// This daemon turns to the log for a topic. As long as readers tell nothing, the next turn
    /// comes after twice the time: where all daemons are alone, they ask less and less, until the
    /// log serves those who are about to read for them.
    pub fn record_log_fallback(&mut self, topic: &str, now_ms: u64) {
        if let Some(alone) = self.alone.get_mut(topic) {
            alone.since_ms = now_ms;
            alone.factor = (alone.factor * 2).min(MOST_FACTOR);
        }
    }

    /// Whether a reader has not answered for so long that its place is to be taken.
    pub fn is_lost(&self, reader: SocketAddr, now_ms: u64) -> bool {
        let failures = self.failures.get(&reader);
        failures.is_some_and(|failures| now_ms >= failures.first_ms + LOST_AFTER_MS)
    }

    /// Whether what changed may be asked of the log.
    pub fn may_read_log(&self, topic: &str, now_ms: u64) -> bool {
        self.log_read_delay_ms(topic, now_ms) == Some(0)
    }

    /// Time until what changed may be asked of the log, in milliseconds, if no reader answers.
    pub fn log_read_delay_ms(&self, topic: &str, now_ms: u64) -> Option<u64> {
        let alone = self.alone.get(topic)?;
        let at_ms = alone.since_ms + self.patience_ms * alone.factor;
        Some(at_ms.saturating_sub(now_ms))
    }

    /// Whether a whole listing may be asked of the log.
    pub fn may_list_log(&self, topic: &str, now_ms: u64) -> bool {
        self.is_alone_for(topic, self.patience_ms * LISTING_FACTOR, now_ms)
    }

    fn is_alone_for(&self, topic: &str, time_ms: u64, now_ms: u64) -> bool {
        let alone = self.alone.get(topic);
        alone.is_some_and(|alone| now_ms >= alone.since_ms + time_ms * alone.factor)
    }
}
