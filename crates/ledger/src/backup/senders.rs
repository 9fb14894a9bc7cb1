//! The daemons whose attempts are backed up here.

use super::{CHECK_PERIOD_MS, LOST_AFTER_MS};
use crate::message::{BackUpAttempts, BackedUpAttempt, ClosedAttempt};
use std::collections::HashMap;

/// Maximum number of attempts that are kept for one daemon.
pub const MAX_ATTEMPTS: usize = 4_096;
/// A check that is this late shows that this process was paused, in milliseconds.
const PAUSE_MS: u64 = 2 * CHECK_PERIOD_MS;

/// How it is known that a daemon is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// Its connection has closed.
    Closed,
    /// It was not heard.
    Silent,
}

impl LossCause {
    /// Returns the value of the log field `cause` and of the metric label.
    pub fn name(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Silent => "silent",
        }
    }
}

/// A daemon that is lost, with the attempts that it had in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostSender {
    /// IP address and port at which it listened for other daemons.
    pub address: String,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// How its loss is known.
    pub cause: LossCause,
    /// Its attempts, with their ages at this time.
    pub attempts: Vec<BackedUpAttempt>,
}

/// What follows from a message of a daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackupChange {
    /// Attempts that are not kept here and that the daemon has ended. They were taken over if it had
    /// been silent.
    pub ended: Vec<ClosedAttempt>,
    /// Number of attempts that are not kept because there are too many.
    pub dropped: usize,
}

struct Kept {
    attempt: BackedUpAttempt,
    began_ms: u64,
}

/// A daemon whose attempts are kept here.
struct Sender {
    address: String,
    incarnation: u64,
    heard_ms: u64,
    attempts: HashMap<u64, Kept>,
}

impl Sender {
    fn lose(&mut self, cause: LossCause, now_ms: u64) -> Option<LostSender> {
        if self.attempts.is_empty() {
            return None;
        }
        let attempts = self.attempts.drain().map(|(_, kept)| BackedUpAttempt {
            age_ms: now_ms.saturating_sub(kept.began_ms),
            ..kept.attempt
        });
        Some(LostSender {
            address: self.address.clone(),
            incarnation: self.incarnation,
            cause,
            attempts: attempts.collect(),
        })
    }
}

/// The daemons whose attempts are backed up here, by the number of their connection. Times are in
/// milliseconds of the clock of the caller.
#[derive(Default)]
pub struct Senders {
    senders: HashMap<u64, Sender>,
    checked_ms: Option<u64>,
}

impl Senders {
    /// Number of attempts that are kept.
    pub fn attempt_count(&self) -> usize {
        let senders = self.senders.values();
        senders.map(|sender| sender.attempts.len()).sum()
    }

    /// Addresses of the daemons.
    pub fn addresses(&self) -> impl Iterator<Item = &str> {
        self.senders.values().map(|sender| sender.address.as_str())
    }

    /// Records a message that arrived on a connection.
    pub fn receive(
        &mut self,
        connection: u64,
        message: BackUpAttempts,
        now_ms: u64,
    ) -> BackupChange {
        let sender = self.senders.entry(connection).or_insert_with(|| Sender {
            address: message.address,
            incarnation: message.incarnation,
            heard_ms: now_ms,
            attempts: HashMap::new(),
        });
        sender.heard_ms = now_ms;
        if message.is_complete {
            sender.attempts.clear();
        }
        let mut change = BackupChange::default();
        for closed in message.closed {
            if sender.attempts.remove(&closed.attempt).is_none() {
                change.ended.push(closed);
            }
        }
        for attempt in message.begun {
            if sender.attempts.len() >= MAX_ATTEMPTS {
                change.dropped += 1;
                continue;
            }
            let began_ms = now_ms.saturating_sub(attempt.age_ms);
            let number = attempt.attempt;
            sender.attempts.insert(number, Kept { attempt, began_ms });
        }
        change
    }

    /// A connection has closed. Returns its daemon if that had attempts in progress.
    pub fn close(&mut self, connection: u64, now_ms: u64) -> Option<LostSender> {
        let mut sender = self.senders.remove(&connection)?;
        sender.lose(LossCause::Closed, now_ms)
    }

    /// Returns the daemons with attempts in progress that were not heard for [`LOST_AFTER_MS`]. To be
    /// called every [`CHECK_PERIOD_MS`]: a late call shows that this process was paused, and messages
    /// may wait in its sockets.
    pub fn find_silent(&mut self, now_ms: u64) -> Vec<LostSender> {
        let checked_ms = self.checked_ms.replace(now_ms);
        let was_paused = checked_ms.is_some_and(|checked| now_ms - checked > PAUSE_MS);
        let senders = self.senders.values_mut();
        let lost = senders.filter_map(|sender| {
            if was_paused {
                sender.heard_ms = now_ms;
            }
            let is_silent = now_ms - sender.heard_ms >= LOST_AFTER_MS;
            is_silent.then(|| sender.lose(LossCause::Silent, now_ms))?
        });
        lost.collect()
    }
}
