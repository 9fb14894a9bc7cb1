//! Errors that are returned to callers and operators.

use nanoserde::{DeBin, SerBin};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a refused or failed request was executed by its engine or server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(rename_all = "snake_case")]
pub enum Executed {
    /// It did not run and will not.
    No,
    /// It may have run.
    Unknown,
    /// It ran.
    Yes,
}

/// Kind of an error; part of the callers' API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request does not have the documented form.
    InvalidRequest,
    /// The request body exceeds the limit.
    BodyTooLarge,
    /// No such program, or its record was dropped after its end.
    ProgramUnknown,
    /// The program has ended.
    ProgramEnded,
    /// An earlier call has not been issued yet or is still running.
    CallNumberTooEarly,
    /// The call number is taken by a request with another key.
    CallNumberConflict,
    /// The request key was used for another call of the program.
    RequestKeyConflict,
    /// The request key was refused permanently; a new key is needed.
    RequestKeyRefused,
    /// The maximum cost of the call exceeds the available budget.
    BudgetExhausted,
    /// The program's deadline has passed.
    DeadlineExceeded,
    /// The program has reached its maximum number of calls.
    TurnLimit,
    /// No engine or server may serve this call under the configuration.
    NoTarget,
    /// Queues are full.
    Overloaded,
    /// This daemon accepts no new work at present.
    NotReady,
    /// The owner of the program's shard could not be reached in time.
    Unavailable,
    /// A request that is not retryable may or may not have run.
    OutcomeUnknown,
    /// All attempts failed.
    TargetFailed,
    /// The program ended while the call was running.
    Cancelled,
}

/// Body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
pub struct CallError {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Whether the request ran.
    pub executed: Executed,
    /// Time after which to retry, in milliseconds; absent if a retry cannot help.
    pub retry_after_ms: Option<u64>,
    /// What the caller or operator can do about it.
    pub remedy: String,
}

impl CallError {
    /// Creates an error for a request that did not run.
    pub fn not_run(kind: ErrorKind, remedy: impl Into<String>) -> Self {
        Self {
            kind,
            executed: Executed::No,
            retry_after_ms: None,
            remedy: remedy.into(),
        }
    }

    /// Sets the time after which to retry.
    pub fn retry_after(mut self, delay_ms: u64) -> Self {
        self.retry_after_ms = Some(delay_ms);
        self
    }

    /// Sets whether the request ran.
    pub fn executed(mut self, executed: Executed) -> Self {
        self.executed = executed;
        self
    }

    /// Returns the HTTP status of the response.
    pub fn status(&self) -> u16 {
        match self.kind {
            ErrorKind::InvalidRequest => 400,
            ErrorKind::BodyTooLarge => 413,
            ErrorKind::ProgramUnknown => 404,
            ErrorKind::ProgramEnded | ErrorKind::Cancelled => 410,
            ErrorKind::CallNumberTooEarly
            | ErrorKind::CallNumberConflict
            | ErrorKind::RequestKeyConflict
            | ErrorKind::RequestKeyRefused => 409,
            ErrorKind::BudgetExhausted | ErrorKind::TurnLimit => 402,
            ErrorKind::DeadlineExceeded => 408,
            ErrorKind::Overloaded => 429,
            ErrorKind::TargetFailed | ErrorKind::OutcomeUnknown => 502,
            ErrorKind::NoTarget | ErrorKind::NotReady | ErrorKind::Unavailable => 503,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:?} (executed: {:?}): {}",
            self.kind, self.executed, self.remedy
        )
    }
}

impl std::error::Error for CallError {}
