//! Exponential backoff for failing servers.

/// Backoff after the first failure, in milliseconds. Each further failure doubles it.
const FIRST_BACKOFF_MS: u64 = 300;
/// Longest backoff, in milliseconds.
const MAX_BACKOFF_MS: u64 = 3_000;
/// Backoff after the server refused a request because it is full, in milliseconds.
const FULL_BACKOFF_MS: u64 = 60;
/// Consecutive failures from which a server counts as unhealthy.
const UNHEALTHY_FAILURES: u32 = 1;

/// What an attempt showed about a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The response of the server was read completely.
    Completed,
    /// The server refused the request because it is full.
    Full,
    /// An idle connection turned out to be closed when it was reused. This says nothing about
    /// the health of the server.
    Stale,
    /// No connection, an invalid response, or no response.
    Failed,
}

/// Health of one server, as seen by one gateway.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    backoff_until_ms: u64,
}

impl Health {
    /// Updates the health after an attempt.
    pub fn observe(&mut self, now_ms: u64, observation: Observation) {
        match observation {
            Observation::Completed => *self = Self::default(),
            Observation::Full => {
                self.backoff_until_ms = self.backoff_until_ms.max(now_ms + FULL_BACKOFF_MS);
            }
            Observation::Stale => {}
            Observation::Failed => {
                self.failures = (self.failures + 1).min(8);
                let backoff_ms = FIRST_BACKOFF_MS << (self.failures - 1).min(5);
                self.backoff_until_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS);
            }
        }
    }

    /// Whether the server should be skipped for now.
    pub fn is_in_backoff(&self, now_ms: u64) -> bool {
        now_ms < self.backoff_until_ms
    }

    /// Whether the last attempts failed. This holds until an attempt is completed again, also after
    /// the backoff has ended.
    pub fn is_unhealthy(&self) -> bool {
        self.failures >= UNHEALTHY_FAILURES
    }
}
