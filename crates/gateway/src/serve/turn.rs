//! A turn of a program that was opened at its owner by [`super::turn_open`]. The end of the turn is
//! always reported to the owner, whatever happens to the client connection.

use crate::http::events::Event;
use crate::ledger::client::{LedgerClient, OpenedTurn};
use crate::memory::{MemoryAccount, MemoryExhausted};
use crate::metrics::Metrics;
use bytes::{Bytes, BytesMut};
use fieldhook_ledger::message::{CloseTurn, OpenTurn, TurnContent};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::Instant;

/// Maximum size of the input or output in one log record, in bytes.
pub(super) const MAX_RECORD_BYTES: usize = 200 << 10;
/// Number of copies of the output in memory: the collected one, and the one in the record.
const OUTPUT_COPIES: usize = 2;

/// A turn in progress. Dropping it reports its end to the ledger, unless that was done before.
pub struct Turn {
    pub(super) ledger: Rc<LedgerClient>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) request: OpenTurn,
    pub(super) opened: OpenedTurn,
    /// New input of this turn.
    pub(super) input: Bytes,
    /// Complete prompt sent to the engine: the chain that the turn continues, then the new input.
    pub(super) prompt: Bytes,
    pub(super) output: BytesMut,
    pub(super) tokens: u64,
    pub(super) tokens_per_event: u64,
    pub(super) retention_ms: u64,
    pub(super) last_server: Rc<RefCell<Option<String>>>,
    pub(super) closed: bool,
}

impl Turn {
    /// Builds the body for the engine: the chain of earlier turns followed by the new input.
    pub fn build_prompt(&mut self, input: &Bytes) -> Bytes {
        let chain = std::mem::take(&mut self.opened.chain);
        if chain.is_empty() {
            return input.clone();
        }
        let mut prompt = BytesMut::from(chain.as_slice());
        prompt.extend_from_slice(input);
        let prompt = prompt.freeze();
        self.prompt = prompt.clone();
        prompt
    }

    /// Returns whether this is the first turn of its program.
    pub fn is_first_turn(&self) -> bool {
        self.opened.is_first_turn
    }

    /// Engine assigned to the program.
    pub fn engine(&self) -> Option<String> {
        self.opened.engine.clone()
    }

    /// Waits until this many further events may be sent to the client.
    pub async fn wait_allowed(&mut self, events: usize, deadline: Instant) -> bool {
        let tokens = self.tokens + self.tokens_per_event * events as u64;
        self.ledger
            .wait_allowed(&mut self.opened, tokens, &self.request, deadline)
            .await
    }

    /// Counts an event that is about to be sent to the client, and keeps its data if the route
    /// retains context. `memory_account` accounts for what is kept.
    ///
    /// # Errors
    /// There is no memory for the data; the event must not be sent.
    pub fn record_delivered(
        &mut self,
        event: &Event,
        memory_account: &MemoryAccount,
    ) -> Result<(), MemoryExhausted> {
        let Some(data) = &event.data else {
            return Ok(());
        };
        if self.request.retains_context {
            memory_account.grow((data.len() + 1) * OUTPUT_COPIES)?;
            self.output.extend_from_slice(data);
            self.output.extend_from_slice(b"\n");
        }
        self.tokens += self.tokens_per_event;
        Ok(())
    }

    /// Ends the turn, whether it is complete or not. Dropping it reports its end unless that was
    /// done before.
    pub fn finish(self) {}

    /// Reports that the turn ended with the tokens delivered so far. Called before a response that
    /// makes the client retry, because the retry may arrive before this turn would otherwise end.
    pub fn abort(&mut self) {
        let has_separate_home_partition = self.request.home_partition.is_some();
        if self.closed || (self.request.budget.is_none() && !has_separate_home_partition) {
            return;
        }
        self.closed = true;
        self.ledger.close_in_background(self.close_request(None));
    }

    /// Builds the report of the end of the turn, for the partition that stores its content if
    /// `content` is given, and otherwise for the program partition.
    pub(super) fn close_request(&self, content: Option<TurnContent>) -> CloseTurn {
        let has_content = content.is_some();
        let has_separate_home_partition = has_content && self.request.home_partition.is_some();
        CloseTurn {
            tenant: self.request.tenant.clone(),
            turn: self.request.turn.clone(),
            attempt: self.request.attempt,
            program: self.request.program.clone(),
            budget: self.request.budget.filter(|_| !has_separate_home_partition),
            max_tokens: self.request.max_tokens,
            tokens: self.tokens,
            content,
            engine: self.last_server.borrow().clone(),
            home_partition: self.request.home_partition.filter(|_| has_content),
            delays_response: has_content,
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.abort();
    }
}
