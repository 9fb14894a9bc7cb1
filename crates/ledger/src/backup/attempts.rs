//! The attempts in progress of this daemon.

use crate::message::{BackedUpAttempt, ClosedAttempt};
use std::collections::{HashMap, HashSet};

/// An attempt and when it began, in milliseconds of the clock of the caller.
#[derive(Clone, Debug)]
struct InProgress {
    attempt: BackedUpAttempt,
    began_ms: u64,
}

/// The attempts in progress of this daemon, and what its backup was not told yet.
#[derive(Clone, Debug, Default)]
pub struct AttemptsInProgress {
    attempts: HashMap<u64, InProgress>,
    /// Numbers of attempts that the backup does not know.
    untold: HashSet<u64>,
    /// Attempts that have ended and that the backup knows.
    closed: Vec<ClosedAttempt>,
}

impl AttemptsInProgress {
    /// Number of attempts in progress.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether none is in progress.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Whether an attempt has begun that the backup does not know.
    pub fn has_untold(&self) -> bool {
        !self.untold.is_empty()
    }

    /// An attempt begins.
    pub fn begin(&mut self, attempt: BackedUpAttempt, now_ms: u64) {
        let number = attempt.attempt;
        let began_ms = now_ms.saturating_sub(attempt.age_ms);
        self.attempts
            .insert(number, InProgress { attempt, began_ms });
        self.untold.insert(number);
    }

    /// An attempt is no longer followed. `is_open` tells whether it has remained open what became of
    /// the server.
    pub fn end(&mut self, attempt: u64, is_open: bool) {
        let is_known = self.attempts.remove(&attempt).is_some();
        if is_known && !self.untold.remove(&attempt) {
            self.closed.push(ClosedAttempt { attempt, is_open });
        }
    }

    /// Returns what the backup was not told yet: the attempts that ended, and those that began.
    pub fn take_changes(&mut self, now_ms: u64) -> (Vec<ClosedAttempt>, Vec<BackedUpAttempt>) {
        let attempts = &self.attempts;
        let untold = self.untold.drain();
        let untold = untold.filter_map(|number| attempts.get(&number));
        let begun = untold.map(|known| known.at(now_ms)).collect();
        (std::mem::take(&mut self.closed), begun)
    }

    /// Returns all attempts in progress, for a new backup.
    pub fn take_all(&mut self, now_ms: u64) -> Vec<BackedUpAttempt> {
        self.untold.clear();
        self.closed.clear();
        let attempts = self.attempts.values();
        attempts.map(|known| known.at(now_ms)).collect()
    }
}

impl InProgress {
    fn at(&self, now_ms: u64) -> BackedUpAttempt {
        BackedUpAttempt {
            age_ms: now_ms.saturating_sub(self.began_ms),
            ..self.attempt.clone()
        }
    }
}
