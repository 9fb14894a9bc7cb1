//! Cost and the budget ledger.
//!
//! Unit: one per prompt token, one per generated token, one per server
//! request. The highest possible cost is reserved before a request leaves and
//! settled when its usage is known; an attempt whose usage was never seen
//! counts in full (brief, "A program never spends beyond its budget").

use fieldhook_model::api::{CallSpec, Message, Usage};
use nanoserde::{DeBin, SerBin};

/// Tokens that a model's chat template adds to a message, at most.
pub(crate) const TEMPLATE_TOKENS: u64 = 8;
/// Cost of a request to a tool or application server.
const SERVER_REQUEST_COST: u64 = 1;

/// Ledger of a root program and its sub-agents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Budget {
    /// Most that may ever be spent.
    pub limit: u64,
    /// Spent for good.
    pub spent: u64,
    /// Set aside for calls under way.
    pub reserved: u64,
}

impl Budget {
    /// What can still be reserved.
    pub fn available(&self) -> u64 {
        self.limit - self.spent - self.reserved
    }

    /// Sets an amount aside; false, with nothing changed, if it does not fit.
    pub(crate) fn reserve(&mut self, amount: u64) -> bool {
        let fits = amount <= self.available();
        if fits {
            self.reserved += amount;
        }
        fits
    }

    /// Ends a reservation. A server that reports more than the highest
    /// possible cost is not believed: the ledger never exceeds its limit.
    pub(crate) fn settle(&mut self, reservation: u64, cost: u64) {
        self.reserved -= reservation;
        self.spent += cost.min(reservation);
    }
}

/// Upper bound of the tokens of some messages: a token is at least one byte.
pub fn max_prompt_tokens(messages: &[Message]) -> u64 {
    let bytes = |message: &Message| message.content.len() as u64 + TEMPLATE_TOKENS;
    messages.iter().map(bytes).sum()
}

/// Highest possible cost of a call whose history has `history_tokens` at most.
pub fn max_cost(spec: &CallSpec, history_tokens: u64) -> u64 {
    match spec {
        CallSpec::Model(model) => {
            history_tokens + max_prompt_tokens(&model.messages) + u64::from(model.max_tokens)
        }
        CallSpec::Server(_) => SERVER_REQUEST_COST,
    }
}

/// Cost of a finished attempt.
pub(crate) fn cost_of(spec: &CallSpec, usage: &Usage) -> u64 {
    match spec {
        CallSpec::Model(_) => usage.prompt_tokens + usage.completion_tokens,
        CallSpec::Server(_) => SERVER_REQUEST_COST,
    }
}
