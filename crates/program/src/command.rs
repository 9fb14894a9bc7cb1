//! Commands that an owner applies, and what applying them says.

use crate::call::Attempt;
use fieldhook_model::api::{Answer, CallSpec};
use fieldhook_model::error::CallError;
use fieldhook_model::ids::ProgramId;
use fieldhook_model::labels::Labels;
use nanoserde::{DeBin, SerBin};

/// Opens a program.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct OpenProgram {
    /// Its identifier.
    pub program: ProgramId,
    /// The program that spawns it, on the same shard.
    pub parent: Option<ProgramId>,
    /// Owner.
    pub tenant: String,
    /// Labels.
    pub labels: Labels,
    /// Cost units; ignored for a sub-agent, which spends its root's.
    pub budget: u64,
    /// Milliseconds until it must be over.
    pub deadline_ms: u64,
    /// Most calls.
    pub max_turns: u32,
}

/// Records the intent to run a call, before anything is dispatched.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct BeginCall {
    /// The program.
    pub program: ProgramId,
    /// Place in the program's order, from 1.
    pub call_number: u64,
    /// The caller's key.
    pub request_key: String,
    /// What is asked.
    pub spec: CallSpec,
    /// Whether it may run again.
    pub repeatable: bool,
    /// Address of the engine or server.
    pub target: String,
}

/// What an abandoned attempt counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum AttemptCost {
    /// It surely did not run.
    NotRun,
    /// It may have run: its reservation counts in full.
    Full,
}

/// Records another attempt of a running call.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct NextAttempt {
    /// The program.
    pub program: ProgramId,
    /// The call.
    pub call_number: u64,
    /// The attempt that is given up.
    pub abandoned_attempt: u32,
    /// What the given-up attempt counts.
    pub cost: AttemptCost,
    /// Address of the new engine or server.
    pub target: String,
    /// Text that callers have seen and that the new attempt continues.
    pub prefix: String,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Outcome {
    /// With this answer.
    Answered(Answer),
    /// Without one.
    Failed(CallError),
}

/// Records the end of an attempt and of its call.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct FinishCall {
    /// The program.
    pub program: ProgramId,
    /// The call.
    pub call_number: u64,
    /// The attempt; others than the newest are ignored.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
}

/// Why a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum EndReason {
    /// The caller ended it.
    Caller,
    /// An operator cancelled it.
    Operator,
    /// Its deadline passed.
    Deadline,
    /// Its parent ended.
    Parent,
}

/// A change of a shard's state.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Command {
    /// Opens a program.
    OpenProgram(OpenProgram),
    /// Records an intent.
    BeginCall(BeginCall),
    /// Records another attempt.
    NextAttempt(NextAttempt),
    /// Records an end.
    FinishCall(FinishCall),
    /// Refuses a key for good, so that no late copy of the request can run.
    RefuseKey {
        /// The program.
        program: ProgramId,
        /// The call number the request had.
        call_number: u64,
        /// The key.
        request_key: String,
    },
    /// Ends a program and its sub-agents.
    EndProgram {
        /// The program.
        program: ProgramId,
        /// Why.
        reason: EndReason,
    },
    /// An engine acknowledged that it holds nothing more for a program.
    CacheReleased {
        /// The program.
        program: ProgramId,
        /// Address of the engine.
        engine: String,
    },
    /// Drops ended programs whose retention is over.
    PurgeExpired,
}

/// A command with the owner's time.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct TimedCommand {
    /// Milliseconds of the shard's own clock, which only moves by commands.
    pub at_ms: u64,
    /// The change.
    pub command: Command,
}

/// What applying a command says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Done.
    Done,
    /// The attempt may be dispatched now.
    Dispatch(Attempt),
    /// The call was recorded before, under the same key.
    AlreadyRecorded,
    /// The command names an attempt or program that is no longer current.
    Stale,
    /// Refused; nothing changed but what the error says.
    Refused(CallError),
}
