//! Timing of one group.

use std::fmt;

/// Timing of one group, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between heartbeats of a leader.
    pub heartbeat_ms: u64,
    /// Shortest silence after which a follower asks for votes; the lease ends
    /// within it. Timeouts are drawn from this up to twice this.
    pub election_ms: u64,
    /// How much the clocks of two machines may drift apart within a lease.
    pub drift_ms: u64,
    /// Applied entries kept in memory so that a slow follower needs no snapshot.
    pub retained_entries: u64,
    /// Most entries in one message.
    pub entries_per_message: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 100,
            election_ms: 600,
            drift_ms: 50,
            retained_entries: 256,
            entries_per_message: 128,
        }
    }
}

/// Timing that cannot work, with the remedy in its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// Heartbeats must fit several times into the election timeout.
    HeartbeatTooSlow,
    /// The drift must be shorter than the election timeout.
    DriftTooLong,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::HeartbeatTooSlow => {
                "heartbeat_ms must be above 0 and at most a third of election_ms; lower it"
            }
            Self::DriftTooLong => "drift_ms must be under half of election_ms; lower it",
        })
    }
}

impl Settings {
    /// Checks that the timing can work.
    ///
    /// # Errors
    /// The first relation that does not hold.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.heartbeat_ms == 0 || self.heartbeat_ms * 3 > self.election_ms {
            return Err(SettingsError::HeartbeatTooSlow);
        }
        if self.drift_ms * 2 >= self.election_ms {
            return Err(SettingsError::DriftTooLong);
        }
        Ok(())
    }
}
