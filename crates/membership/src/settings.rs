//! Timing and sizes of the failure detector.

use std::fmt;

/// Timing and sizes of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between probes, in milliseconds.
    pub probe_ms: u64,
    /// Time to wait for a direct answer, in milliseconds.
    pub answer_ms: u64,
    /// Members asked to probe in one's stead.
    pub indirect_probes: usize,
    /// Time that a suspected member has to object, in milliseconds.
    pub suspicion_ms: u64,
    /// How often a fact is passed on, times the logarithm of the group's size.
    pub retransmit_factor: u32,
    /// Time between two comparisons with a random member, which repair what
    /// gossip missed, in milliseconds.
    pub sync_ms: u64,
    /// Most bytes of facts in a packet.
    pub max_packet_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_ms: 500,
            answer_ms: 200,
            indirect_probes: 3,
            suspicion_ms: 2_000,
            retransmit_factor: 1,
            sync_ms: 5_000,
            max_packet_bytes: 1_100,
        }
    }
}

/// Values that cannot work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// A probe must end before the next begins.
    AnswerTooSlow,
    /// Suspicion must leave time for an objection.
    SuspicionTooShort,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::AnswerTooSlow => "answer_ms must be above 0 and under half of probe_ms; lower it",
            Self::SuspicionTooShort => "suspicion_ms must be at least twice probe_ms; raise it",
        })
    }
}

impl Settings {
    /// Checks that the values can work.
    ///
    /// # Errors
    /// The first relation that does not hold.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.answer_ms == 0 || self.answer_ms * 2 >= self.probe_ms {
            return Err(SettingsError::AnswerTooSlow);
        }
        if self.suspicion_ms < self.probe_ms * 2 {
            return Err(SettingsError::SuspicionTooShort);
        }
        Ok(())
    }
}
