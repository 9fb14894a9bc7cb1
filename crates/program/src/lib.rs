//! The replicated state machine of a shard: its programs with their calls,
//! history, budget and answers. A program is a conversation of an agent; a call is
//! one request that the agent makes in it.
//!
//! It is deterministic and does no I/O: owners that apply the same commands in
//! the same order hold the same state.

mod admission;
mod budget;
mod call;
mod command;
mod history;
mod lifecycle;
mod program;
mod shard_state;
mod view;

pub use admission::Admission;
pub use budget::{Budget, max_cost, max_prompt_tokens};
pub use call::{Attempt, Call, CallState};
pub use command::{
    AttemptCost, BeginCall, Command, EndReason, FinishCall, NextAttempt, OpenProgram, Outcome,
    Reply, TimedCommand,
};
pub use lifecycle::RETENTION_MS;
pub use program::{ForkPoint, Phase, Program};
pub use shard_state::ShardState;
