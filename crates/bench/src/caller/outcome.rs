//! Outcomes of calls and the violations that a caller detects.

use fieldhook_model::api::Answer;
use fieldhook_model::error::CallError;
use std::fmt;

/// An incorrect answer, detected by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The text differs from the one expected for this conversation.
    WrongAnswer {
        /// Program id.
        program: String,
        /// Call number.
        call: u64,
        /// Text that was received.
        got: String,
        /// Text that was expected.
        wanted: String,
    },
    /// The concatenated deltas of a stream differ from the answer in its `done` event.
    PiecesDiffer {
        /// Program id.
        program: String,
        /// Call number.
        call: u64,
        /// The concatenated deltas.
        pieces: String,
        /// Text of the `done` event.
        whole: String,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// Outcome of a call, as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call was answered completely.
    Answered(Answer),
    /// The call ended with an error response.
    Refused(CallError),
    /// No final response before the caller's timeout; holds the last cause.
    NoAnswer(String),
}
