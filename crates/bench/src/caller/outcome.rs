//! How calls end, and what may be wrong with them.

use fieldhook_model::api::Answer;
use fieldhook_model::error::CallError;
use std::fmt;

/// What is wrong with an answer, seen from outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The text is not the one that this conversation must give.
    WrongAnswer {
        /// The program.
        program: String,
        /// The call.
        call: u64,
        /// What came.
        got: String,
        /// What had to come.
        wanted: String,
    },
    /// The pieces of a stream do not make up its closing event's whole.
    PiecesDiffer {
        /// The program.
        program: String,
        /// The call.
        call: u64,
        /// Pieces put together.
        pieces: String,
        /// The whole.
        whole: String,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// How a call ended for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// With a whole answer.
    Answered(Answer),
    /// With an error body.
    Refused(CallError),
    /// Without any final answer in the caller's time.
    NoAnswer(String),
}
