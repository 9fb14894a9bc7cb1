//! A turn of a program that an owner has opened ([`super::opening`]): its end is told there,
//! whatever becomes of the client's connection.

use crate::http::events::Event;
use crate::ledger::client::{LedgerClient, OpenedTurn};
use crate::metrics::Metrics;
use bytes::{Bytes, BytesMut};
use fieldhook_ledger::message::{CloseTurn, OpenTurn, TurnContent};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::Instant;

/// Largest input or output that one record of the log holds, in bytes.
pub(super) const LARGEST_KEPT: usize = 200 << 10;

/// A turn under way. Dropping it tells the ledger that it broke off.
pub struct Turn {
    pub(super) ledger: Rc<LedgerClient>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) request: OpenTurn,
    pub(super) opened: OpenedTurn,
    pub(super) input: Bytes,
    /// All that the engine was sent.
    pub(super) prompt: Bytes,
    pub(super) output: BytesMut,
    pub(super) tokens: u64,
    pub(super) tokens_per_event: u64,
    pub(super) retention_ms: u64,
    pub(super) ran_at: Rc<RefCell<Option<String>>>,
    pub(super) closed: bool,
}

impl Turn {
    /// The body for the engine: the chain, then the new input. Where the chain
    /// belongs to another program, the whole of it is kept as this turn's input:
    /// the partition of a program holds all that its turns go on from.
    pub fn prompt(&mut self, input: &Bytes) -> Bytes {
        let chain = std::mem::take(&mut self.opened.chain);
        if chain.is_empty() {
            return input.clone();
        }
        let mut prompt = BytesMut::from(chain.as_slice());
        prompt.extend_from_slice(input);
        let prompt = prompt.freeze();
        self.prompt = prompt.clone();
        if self.request.supplies_chain {
            self.input = prompt.clone();
        }
        prompt
    }

    /// Whether it is the first turn of its program.
    pub fn begins(&self) -> bool {
        self.opened.is_first_turn
    }

    /// The engine that its program is assigned to.
    pub fn engine(&self) -> Option<String> {
        self.opened.engine.clone()
    }

    /// Waits until so many further events may reach the client.
    pub async fn wait_allowed(&mut self, events: usize, deadline: Instant) -> bool {
        let tokens = self.tokens + self.tokens_per_event * events as u64;
        self.ledger
            .wait_allowed(&mut self.opened, tokens, &self.request, deadline)
            .await
    }

    /// Counts an event that is about to be handed to the client.
    pub fn hand_out(&mut self, event: &Event) {
        let Some(data) = &event.data else {
            return;
        };
        self.tokens += self.tokens_per_event;
        if self.request.keeps_context {
            self.output.extend_from_slice(data);
            self.output.extend_from_slice(b"\n");
        }
    }

    /// The turn is over.
    pub fn end(self) {}

    /// The turn ends with what was handed out. Said before an answer that sends its client back:
    /// the next try may be there before the end of this one.
    pub fn break_off(&mut self) {
        let is_apart = self.request.home_partition.is_some();
        if self.closed || (self.request.budget.is_none() && !is_apart) {
            return;
        }
        self.closed = true;
        self.ledger.close_in_background(self.close_request(None));
    }

    /// What is told of its end: to the partition that keeps its content, or to the one that
    /// ordered it.
    pub(super) fn close_request(&self, content: Option<TurnContent>) -> CloseTurn {
        let has_content = content.is_some();
        let is_apart = has_content && self.request.home_partition.is_some();
        CloseTurn {
            tenant: self.request.tenant.clone(),
            turn: self.request.turn.clone(),
            attempt: self.request.attempt,
            program: self.request.program.clone(),
            budget: self.request.budget.filter(|_| !is_apart),
            max_tokens: self.request.max_tokens,
            tokens: self.tokens,
            content,
            engine: self.ran_at.borrow().clone(),
            home_partition: self.request.home_partition.filter(|_| has_content),
            awaited: has_content,
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.break_off();
    }
}
