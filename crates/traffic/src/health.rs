//! Leaving a failing server alone for a while, longer with each failure.

/// First pause after a failure, in milliseconds.
const FIRST_PAUSE_MS: u64 = 300;
/// Longest pause, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 3_000;
/// Pause after a refusal for lack of room, in milliseconds.
const FULL_PAUSE_MS: u64 = 60;
/// Failures in a row from which on a server counts as unsound.
const UNSOUND_FROM: u32 = 1;

/// What an attempt at a server showed about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It answered.
    Answered,
    /// It refused for lack of room.
    Full,
    /// An idle connection turned out to be gone when it was used again. That says
    /// nothing about the server.
    Stale,
    /// No connection, a broken answer or silence.
    Failed,
}

/// Recent behaviour of one server, as seen by one gateway.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    avoid_until_ms: u64,
}

impl Health {
    /// Takes in an observation.
    pub fn observe(&mut self, now_ms: u64, observation: Observation) {
        match observation {
            Observation::Answered => *self = Self::default(),
            Observation::Full => {
                self.avoid_until_ms = self.avoid_until_ms.max(now_ms + FULL_PAUSE_MS);
            }
            Observation::Stale => {}
            Observation::Failed => {
                self.failures = (self.failures + 1).min(8);
                let pause = FIRST_PAUSE_MS << (self.failures - 1).min(5);
                self.avoid_until_ms = now_ms + pause.min(LONGEST_PAUSE_MS);
            }
        }
    }

    /// Whether the server should be passed over now.
    pub fn is_in_backoff(&self, now_ms: u64) -> bool {
        now_ms < self.avoid_until_ms
    }

    /// Whether its last answers failed.
    pub fn is_unhealthy(&self) -> bool {
        self.failures >= UNSOUND_FROM
    }
}
