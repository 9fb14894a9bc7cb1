//! Commands that change a shard's state, and the replies to them.

use crate::call::Attempt;
use fieldhook_model::api::{Answer, CallSpec};
use fieldhook_model::error::CallError;
use fieldhook_model::ids::ProgramId;
use fieldhook_model::labels::Labels;
use nanoserde::{DeBin, SerBin};

/// Opens a program.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct OpenProgram {
    /// Identifier of the new program.
    pub program: ProgramId,
    /// The program that spawns it as a sub-agent, on the same shard.
    pub parent: Option<ProgramId>,
    /// Tenant that the program belongs to.
    pub tenant: String,
    /// Labels that selectors match.
    pub labels: Labels,
    /// Budget in cost units; ignored for a sub-agent, which spends its root's.
    pub budget: u64,
    /// Milliseconds from now until the deadline.
    pub deadline_ms: u64,
    /// Maximum number of calls.
    pub max_turns: u32,
}

/// Records the intent to run a call, before its first attempt is dispatched.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct BeginCall {
    /// The program.
    pub program: ProgramId,
    /// Position in the program's sequence of calls, from 1.
    pub call_number: u64,
    /// Idempotency key that the caller chose.
    pub request_key: String,
    /// What the caller asks for.
    pub spec: CallSpec,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Address of the engine or server of the first attempt.
    pub target: String,
}

/// What an abandoned attempt is charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum AttemptCost {
    /// Nothing: it certainly did not run.
    NotRun,
    /// Its full reservation: it may have run.
    Full,
}

/// Abandons the newest attempt of a running call and records the next one.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct NextAttempt {
    /// The program.
    pub program: ProgramId,
    /// Number of the call.
    pub call_number: u64,
    /// Number of the attempt that is abandoned.
    pub abandoned_attempt: u32,
    /// What the abandoned attempt is charged.
    pub cost: AttemptCost,
    /// Address of the engine or server of the new attempt.
    pub target: String,
    /// Text already delivered to callers, which the new attempt continues.
    pub prefix: String,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Outcome {
    /// The engine or server answered.
    Answered(Answer),
    /// The call ended without an answer.
    Failed(CallError),
}

/// Records the outcome of an attempt, which ends its call.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct FinishCall {
    /// The program.
    pub program: ProgramId,
    /// Number of the call.
    pub call_number: u64,
    /// Number of the attempt; only the outcome of the newest one counts.
    pub attempt: u32,
    /// Outcome of the call.
    pub outcome: Outcome,
}

/// Why a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum EndReason {
    /// The caller ended the program.
    Caller,
    /// An operator cancelled the program.
    Operator,
    /// The program's deadline passed.
    Deadline,
    /// The program's parent ended.
    Parent,
}

/// A change of a shard's state.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Command {
    /// Opens a program.
    OpenProgram(OpenProgram),
    /// Records the intent to run a call.
    BeginCall(BeginCall),
    /// Replaces the attempt of a running call.
    NextAttempt(NextAttempt),
    /// Records the outcome of a call.
    FinishCall(FinishCall),
    /// Refuses a request key permanently, so that a delayed duplicate of the
    /// request cannot run.
    RefuseKey {
        /// The program.
        program: ProgramId,
        /// Call number of the request.
        call_number: u64,
        /// The key to refuse.
        request_key: String,
    },
    /// Ends a program and its sub-agents.
    EndProgram {
        /// The program.
        program: ProgramId,
        /// Why the program ends.
        reason: EndReason,
    },
    /// An engine confirmed that it no longer holds cache for a program.
    CacheReleased {
        /// The program.
        program: ProgramId,
        /// Address of the engine.
        engine: String,
    },
    /// Drops the records of ended programs whose retention time is over.
    PurgeExpired,
}

/// A command with the time at which the owner issued it.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct TimedCommand {
    /// Milliseconds on the shard's clock, which only commands advance.
    pub at_ms: u64,
    /// The command.
    pub command: Command,
}

/// Result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The command was applied.
    Done,
    /// The attempt is recorded and may be dispatched.
    Dispatch(Attempt),
    /// The state already holds what the command records: the program, the call
    /// under the same key, or the end of the program.
    AlreadyRecorded,
    /// The command refers to a program or an attempt that is no longer current.
    Stale,
    /// The command was refused. A call whose next attempt does not fit the
    /// budget is closed with the same error; otherwise nothing changed.
    Refused(CallError),
}
