//! The record of one program.

use crate::budget::Budget;
use crate::call::Call;
use crate::command::EndReason;
use fieldhook_model::ids::ProgramId;
use fieldhook_model::labels::Labels;
use nanoserde::{DeBin, SerBin};
use std::collections::{BTreeMap, BTreeSet};

/// Where a sub-agent's history begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ForkPoint {
    /// The parent.
    pub parent: ProgramId,
    /// Number of the parent's calls that the sub-agent inherits.
    pub after_call: u64,
}

/// Whether a program is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Phase {
    /// It takes calls.
    Open,
    /// It takes none; its record is kept for late questions.
    Ended {
        /// Why.
        reason: EndReason,
        /// When, on the shard's clock.
        at_ms: u64,
    },
}

/// Tokens of the prompt so far, as an engine counted them.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct CountedPrompt {
    /// The model whose tokens these are.
    pub model: String,
    /// Prompt and answer of the last turn.
    pub tokens: u64,
}

/// The record of one program.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Program {
    /// Owner.
    pub tenant: String,
    /// Labels.
    pub labels: Labels,
    /// The root whose budget it spends; itself for a root.
    pub root: ProgramId,
    /// Where its history begins, for a sub-agent.
    pub fork: Option<ForkPoint>,
    /// The ledger; used on roots only.
    pub budget: Budget,
    /// When it must be over, on the shard's clock.
    pub deadline_ms: u64,
    /// Most calls.
    pub max_turns: u32,
    /// Calls in order; call number n is at n - 1.
    pub calls: Vec<Call>,
    /// Keys that were refused for good.
    pub refused_keys: BTreeSet<String>,
    /// Whether it is under way.
    pub phase: Phase,
    /// Engines that may hold cache for it, with the tokens they last reported.
    pub held_by: BTreeMap<String, u64>,
    /// Size of the prompt so far.
    pub counted_prompt: Option<CountedPrompt>,
}

impl Program {
    /// Whether it takes calls.
    pub fn is_open(&self) -> bool {
        self.phase == Phase::Open
    }

    /// A call by its number.
    pub fn call(&self, call_number: u64) -> Option<&Call> {
        let place = usize::try_from(call_number.checked_sub(1)?).ok()?;
        self.calls.get(place)
    }

    pub(crate) fn call_mut(&mut self, call_number: u64) -> Option<&mut Call> {
        let place = usize::try_from(call_number.checked_sub(1)?).ok()?;
        self.calls.get_mut(place)
    }

    /// Number of the call that is running; at most the newest one is.
    pub fn running_call(&self) -> Option<u64> {
        let newest = self.calls.last()?;
        newest.is_running().then_some(self.calls.len() as u64)
    }
}
