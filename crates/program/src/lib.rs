//! The state machine of a shard: its programs, their order, history, budget
//! and answers. Pure: a group of replicas applies the same commands in the
//! same order and so holds the same state.

mod budget;
mod call;
mod command;
mod history;
mod machine;
mod program;
mod view;

pub use budget::{Budget, highest_cost, prompt_bound};
pub use call::{Attempt, Call, CallState};
pub use command::{
    AttemptCost, Begin, Command, EndReason, Finish, NextAttempt, Open, Outcome, Reply, TimedCommand,
};
pub use machine::{Admission, RETENTION_MS, ShardState};
pub use program::{ForkPoint, Phase, Program};
