//! Timing and sizes of the failure detector.

use std::fmt;

/// Timing and sizes of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between probes, in milliseconds.
    pub probe_ms: u64,
    /// Time to wait for the answer to a direct probe, in milliseconds.
    pub answer_ms: u64,
    /// Number of members asked for an indirect probe.
    pub indirect_probes: usize,
    /// Time that a suspected member has to refute the suspicion, in milliseconds.
    pub suspicion_ms: u64,
    /// A fact is sent this many times the base-2 logarithm of the group size.
    pub retransmit_factor: u32,
    /// Time between exchanges of digests with a random member, which repair what gossip missed, in
    /// milliseconds.
    pub sync_ms: u64,
    /// Maximum size of the facts in a packet, in bytes.
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

/// Why settings are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// A probe must end before the next one begins.
    AnswerTimeTooLong,
    /// A suspected member must have time to refute the suspicion.
    SuspicionTooShort,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::AnswerTimeTooLong => {
                "answer_ms must be above 0 and under half of probe_ms; lower it"
            }
            Self::SuspicionTooShort => "suspicion_ms must be at least twice probe_ms; raise it",
        })
    }
}

impl Settings {
    /// Checks the relations between the values.
    ///
    /// # Errors
    /// The first relation that does not hold.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.answer_ms == 0 || self.answer_ms * 2 >= self.probe_ms {
            return Err(SettingsError::AnswerTimeTooLong);
        }
        if self.suspicion_ms < self.probe_ms * 2 {
            return Err(SettingsError::SuspicionTooShort);
        }
        Ok(())
    }
}
