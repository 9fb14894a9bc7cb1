//! The record of one call of a program.

use fieldhook_model::api::{Answer, CallSpec};
use fieldhook_model::error::CallError;
use nanoserde::{DeBin, SerBin};

/// One dispatch of a call to an engine or server.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Attempt {
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Address of the engine or server.
    pub target: String,
    /// Cost units reserved for the attempt.
    pub reservation: u64,
    /// Number of the attempt that began the text. An attempt that continues
    /// delivered text keeps the lineage; one that starts over gets a new one.
    /// Text of different lineages must never be joined.
    pub lineage: u32,
    /// Text that earlier attempts delivered and this one continues.
    pub prefix: String,
}

/// State of a call.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum CallState {
    /// The intent is recorded; the newest attempt may have been dispatched.
    Running,
    /// The call was answered.
    Answered(Answer),
    /// The call ended without an answer.
    Failed(CallError),
}

/// The record of one call.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Call {
    /// Idempotency key that the caller chose.
    pub request_key: String,
    /// What the caller asked for.
    pub spec: CallSpec,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// The newest attempt.
    pub attempt: Attempt,
    /// State of the call.
    pub state: CallState,
}

impl Call {
    /// Returns whether the call has been neither answered nor failed.
    pub fn is_running(&self) -> bool {
        self.state == CallState::Running
    }
}
