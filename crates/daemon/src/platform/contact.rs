//! When the log last answered this daemon.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Contact with the log.
#[derive(Default)]
pub struct LogContact {
    last: Cell<Option<Instant>>,
}

impl LogContact {
    /// The log answered.
    pub fn note(&self) {
        self.last.set(Some(Instant::now()));
    }

    /// Whether it answered within this time.
    pub fn within(&self, limit: Duration) -> bool {
        self.last.get().is_some_and(|last| last.elapsed() < limit)
    }
}
