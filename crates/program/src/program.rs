//! The record of one program.

use crate::budget::Budget;
use crate::call::Call;
use crate::command::EndReason;
use fieldhook_model::ids::ProgramId;
use fieldhook_model::labels::Labels;
use nanoserde::{DeBin, SerBin};
use std::collections::{BTreeMap, BTreeSet};

/// Point of the parent's history at which a sub-agent was spawned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ForkPoint {
    /// The program that spawned the sub-agent.
    pub parent: ProgramId,
    /// How many of the parent's calls the sub-agent inherits, counted from the first.
    pub after_call: u64,
}

/// Lifecycle phase of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Phase {
    /// The program accepts calls.
    Open,
    /// The program accepts no calls; its record is kept so that late requests
    /// still get their answers.
    Ended {
        /// Why the program ended.
        reason: EndReason,
        /// When it ended, on the shard's clock.
        at_ms: u64,
    },
}

/// Size of the conversation so far, as counted by an engine.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct CountedPrompt {
    /// The model whose tokenizer counted.
    pub model: String,
    /// Tokens of the last turn's prompt and answer.
    pub tokens: u64,
}

/// The record of one program.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Program {
    /// Tenant that the program belongs to.
    pub tenant: String,
    /// Labels that selectors match.
    pub labels: Labels,
    /// The root program whose budget is spent; the program itself if it is a root.
    pub root: ProgramId,
    /// Where the inherited history ends; `None` for a root program.
    pub fork: Option<ForkPoint>,
    /// The budget account; used on root programs only.
    pub budget: Budget,
    /// Deadline on the shard's clock.
    pub deadline_ms: u64,
    /// Maximum number of calls.
    pub max_turns: u32,
    /// Calls in order; call number `n` is at index `n - 1`.
    pub calls: Vec<Call>,
    /// Request keys that were refused permanently.
    pub refused_keys: BTreeSet<String>,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Engines that may hold cache for the program, each with the number of tokens
    /// of the last turn that it answered, or 0 before its first answer.
    pub held_by: BTreeMap<String, u64>,
    /// Size of the conversation so far; `None` until an engine has counted it.
    pub counted_prompt: Option<CountedPrompt>,
}

impl Program {
    /// Returns whether the program accepts calls.
    pub fn is_open(&self) -> bool {
        self.phase == Phase::Open
    }

    /// Returns the call with a number, if it has been issued.
    pub fn call(&self, call_number: u64) -> Option<&Call> {
        let index = usize::try_from(call_number.checked_sub(1)?).ok()?;
        self.calls.get(index)
    }

    pub(crate) fn call_mut(&mut self, call_number: u64) -> Option<&mut Call> {
        let index = usize::try_from(call_number.checked_sub(1)?).ok()?;
        self.calls.get_mut(index)
    }

    /// Returns the number of the running call, if any. Only the newest call can
    /// be running.
    pub fn running_call(&self) -> Option<u64> {
        let newest = self.calls.last()?;
        newest.is_running().then_some(self.calls.len() as u64)
    }
}
