//! The longest of the recent response times of a route.

use std::time::Duration;

/// Length of one of the two windows, in milliseconds. A time counts for one to two of them.
const WINDOW_MS: u64 = 30_000;

/// Longest time observed in the present and in the previous window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LongestTime {
    /// Number of the present window.
    window: u64,
    present: Option<Duration>,
    previous: Option<Duration>,
}

impl LongestTime {
    /// Records a time that was observed at `now_ms`.
    pub fn observe(&mut self, now_ms: u64, time: Duration) {
        *self = self.at(now_ms);
        self.present = self.present.max(Some(time));
    }

    /// Returns the longest recent time, if there is one.
    pub fn get(&self, now_ms: u64) -> Option<Duration> {
        let now = self.at(now_ms);
        now.present.max(now.previous)
    }

    fn at(&self, now_ms: u64) -> Self {
        let window = now_ms / WINDOW_MS;
        match window.saturating_sub(self.window) {
            0 => *self,
            1 => Self {
                window,
                present: None,
                previous: self.present,
            },
            _ => Self {
                window,
                ..Self::default()
            },
        }
    }
}
