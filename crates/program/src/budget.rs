//! Cost of calls and the budget of a program.
//!
//! A prompt token, a generated token and a server request cost one unit each.
//! The maximum cost of an attempt is reserved before it is dispatched and
//! settled when its usage is known. An attempt whose usage never becomes known
//! is charged its full reservation, so that a program never spends more than
//! its budget.

use fieldhook_model::api::{CallSpec, Message, Usage};
use nanoserde::{DeBin, SerBin};

/// Upper bound of the tokens that a model's chat template adds to a message.
pub(crate) const TEMPLATE_TOKENS: u64 = 8;
/// Cost units of a request to a tool or application server.
const SERVER_REQUEST_COST: u64 = 1;

/// Budget account of a root program and its sub-agents, in cost units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Budget {
    /// Total that may be spent.
    pub limit: u64,
    /// Settled cost.
    pub spent: u64,
    /// Reserved for running calls.
    pub reserved: u64,
}

impl Budget {
    /// Returns the amount that can still be reserved.
    pub fn available(&self) -> u64 {
        self.limit - self.spent - self.reserved
    }

    /// Reserves an amount. Returns false and changes nothing if it exceeds what
    /// is available.
    pub(crate) fn reserve(&mut self, amount: u64) -> bool {
        let fits = amount <= self.available();
        if fits {
            self.reserved += amount;
        }
        fits
    }

    /// Replaces a reservation by the actual cost. A reported cost above the
    /// reservation is capped at it, so that the limit is never exceeded.
    pub(crate) fn settle(&mut self, reservation: u64, cost: u64) {
        self.reserved -= reservation;
        self.spent += cost.min(reservation);
    }
}

/// Returns an upper bound of the tokens of messages: a token is at least one byte.
pub fn max_prompt_tokens(messages: &[Message]) -> u64 {
    let bytes = |message: &Message| message.content.len() as u64 + TEMPLATE_TOKENS;
    messages.iter().map(bytes).sum()
}

/// Returns the maximum cost of a call whose history has at most `history_tokens`.
pub fn max_cost(spec: &CallSpec, history_tokens: u64) -> u64 {
    match spec {
        CallSpec::Model(model) => {
            history_tokens + max_prompt_tokens(&model.messages) + u64::from(model.max_tokens)
        }
        CallSpec::Server(_) => SERVER_REQUEST_COST,
    }
}

/// Returns the cost of a finished attempt.
pub(crate) fn actual_cost(spec: &CallSpec, usage: &Usage) -> u64 {
    match spec {
        CallSpec::Model(_) => usage.prompt_tokens + usage.completion_tokens,
        CallSpec::Server(_) => SERVER_REQUEST_COST,
    }
}
