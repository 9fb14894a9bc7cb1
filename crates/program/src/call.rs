//! The record of one call of a program.

use fieldhook_model::api::{Answer, CallSpec};
use fieldhook_model::error::CallError;
use nanoserde::{DeBin, SerBin};

/// One dispatch of a call.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Attempt {
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Address of the engine or server.
    pub target: String,
    /// Cost set aside.
    pub reservation: u64,
    /// The attempt from which the text descends: attempts that continue a
    /// delivered text keep it, one that starts over gets a new one. Text of two
    /// lineages must never be joined.
    pub lineage: u32,
    /// Text that earlier attempts delivered and that this one continues.
    pub prefix: String,
}

/// Where a call stands.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum CallState {
    /// Its intent is recorded; it may have been dispatched.
    Running,
    /// It was answered.
    Answered(Answer),
    /// It ended without an answer.
    Failed(CallError),
}

/// The record of one call.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Call {
    /// The caller's key.
    pub request_key: String,
    /// What was asked.
    pub spec: CallSpec,
    /// Whether it may run again.
    pub repeatable: bool,
    /// The newest attempt.
    pub attempt: Attempt,
    /// Where it stands.
    pub state: CallState,
}

impl Call {
    /// Whether the call has neither been answered nor failed.
    pub fn is_running(&self) -> bool {
        self.state == CallState::Running
    }
}
