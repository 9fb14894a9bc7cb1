//! Records the content of a completed turn in a region that may store it at that time.

use super::homes;
use super::request::RequestContext;
use super::turn::{MAX_RECORD_BYTES, Turn};
use crate::ledger::client::Recording;
use fieldhook_ledger::message::{CloseTurn, TurnContent};
use fieldhook_topology::region::RegionSet;
use futures_util::future::join;
use tokio::time::Instant;

impl Turn {
    /// Records that the turn is complete. If the route retains context, the response may end only
    /// after this has returned true.
    pub async fn complete(&mut self, context: &RequestContext) -> bool {
        if !self.request.retains_context {
            return true;
        }
        let homes = homes::current(context);
        if !self.move_to_allowed_partition(&homes) {
            homes::report_no_owner(context, None);
            return false;
        }
        let started = Instant::now();
        let recorded = tokio::select! {
            biased;
            recorded = self.record_all(context.deadline) => recorded,
            // Give up early, so that the client still has time to send the turn to another daemon.
            () = self.ledger.wait_until_in_minority() => false,
        };
        // With a home partition and no budget, the program partition has not been informed yet;
        // dropping the turn does that.
        self.closed =
            recorded && (!self.has_separate_home_partition() || self.request.budget.is_some());
        tracing::info!(
            event = "turn_recorded",
            request = self.request.turn,
            program = self.request.program,
            tokens = self.tokens,
            recorded,
            took_ms = started.elapsed().as_millis() as u64
        );
        self.metrics
            .close_seconds
            .observe(started.elapsed().as_secs_f64());
        recorded
    }

    /// Returns whether the partition that stores the content differs from the program partition,
    /// which determines the order of the turns and counts their tokens.
    fn has_separate_home_partition(&self) -> bool {
        self.request.home_partition.is_some()
    }

    /// Records the content and the tokens. If two partitions are involved, the response waits for
    /// both. Otherwise a new owner might read the turn as open. It would then count the maximum
    /// tokens of the turn for as long as it knows the program, and refuse every further turn if the
    /// budget does not cover two turns.
    async fn record_all(&self, deadline: Instant) -> bool {
        let (content_recorded, tokens_recorded) =
            join(self.record_content(deadline), self.record_tokens(deadline)).await;
        content_recorded && tokens_recorded
    }

    /// Records the tokens, unless recording the content does so.
    async fn record_tokens(&self, deadline: Instant) -> bool {
        if !self.has_separate_home_partition() || self.request.budget.is_none() {
            return true;
        }
        let close = CloseTurn {
            delays_response: true,
            ..self.close_request(None)
        };
        self.ledger.close(&close, deadline).await.is_durable()
    }

    /// Records the content. If the chain that the turn continues is not stored, it is recorded along
    /// with the turn: it belongs to another program, or has expired since the turn was opened.
    async fn record_content(&self, deadline: Instant) -> bool {
        if !self.request.supplies_chain {
            let previous = self.request.previous.clone();
            let recording = self.record_after(previous, &self.input, "", deadline).await;
            if recording != Recording::UnknownChain {
                return recording.is_durable();
            }
            self.report_expired_chain();
        }
        loop {
            let recording = self.record_after(None, &self.prompt, "c", deadline).await;
            if recording != Recording::UnknownChain {
                return recording.is_durable();
            }
        }
    }

    /// Records the turn after `previous`. If the input and the output exceed the size of one record,
    /// all but the last part of them is stored in separate records first, as turns that this one
    /// continues. `kind` distinguishes the names of parts that begin after different turns.
    async fn record_after(
        &self,
        previous: Option<String>,
        input: &[u8],
        kind: &str,
        deadline: Instant,
    ) -> Recording {
        if input.len() + self.output.len() <= MAX_RECORD_BYTES {
            return self
                .record_turn(previous, input, &self.output, deadline)
                .await;
        }
        let contents = [input, self.output.as_ref()].concat();
        let mut parts: Vec<&[u8]> = contents.chunks(MAX_RECORD_BYTES).collect();
        let last_part = parts.pop().unwrap_or_default();
        let mut previous = previous;
        for (number, part) in parts.into_iter().enumerate() {
            // One after another, because a part continues the one before it.
            let name = self.part_name(kind, number);
            let recording = self.record_part(&name, previous, part, deadline).await;
            if !recording.is_durable() {
                return recording;
            }
            previous = Some(name);
        }
        self.record_turn(previous, last_part, &[], deadline).await
    }

    /// Records the turn with this input and output.
    async fn record_turn(
        &self,
        previous: Option<String>,
        input: &[u8],
        output: &[u8],
        deadline: Instant,
    ) -> Recording {
        let content = self.content(previous, input, output, deadline);
        let close = self.close_request(Some(content));
        self.ledger.close(&close, deadline).await
    }

    /// Records a part of the contents as a turn of its own.
    async fn record_part(
        &self,
        name: &str,
        previous: Option<String>,
        part: &[u8],
        deadline: Instant,
    ) -> Recording {
        let content = self.content(previous, part, &[], deadline);
        let close = CloseTurn {
            turn: name.to_owned(),
            budget: None,
            engine: None,
            ..self.close_request(Some(content))
        };
        self.ledger.close(&close, deadline).await
    }

    /// Contents of the chain that the turn continues.
    fn chain(&self) -> &[u8] {
        &self.prompt[..self.prompt.len() - self.input.len()]
    }

    fn report_expired_chain(&self) {
        self.metrics.expired_chains.inc();
        tracing::info!(
            event = "chain_recorded_again",
            request = self.request.turn,
            program = self.request.program,
            previous = self.request.previous,
            bytes = self.chain().len(),
            keeper = self.request.home_partition
        );
    }

    /// Returns a turn name that no client can choose, because header fields contain no control
    /// characters.
    fn part_name(&self, kind: &str, number: usize) -> String {
        let hash = fieldhook_traffic::assignment::prefix_hash(&self.request.turn);
        format!("\u{1}{hash:016x}-{kind}{number}")
    }

    /// Returns the content to store. The client may get the end of the response as late as the
    /// deadline, and the retention counts from then on.
    fn content(
        &self,
        previous: Option<String>,
        input: &[u8],
        output: &[u8],
        deadline: Instant,
    ) -> TurnContent {
        let remaining = deadline.saturating_duration_since(Instant::now());
        TurnContent {
            previous,
            input: input.to_vec(),
            output: output.to_vec(),
            retention_ms: self.retention_ms + remaining.as_millis() as u64,
        }
    }

    /// Makes sure that the content is stored in a region that is allowed now, since the allowed
    /// regions may have been narrowed since the turn started. The chain that the turn continues is
    /// stored there as well. Returns false if no region is allowed any more.
    fn move_to_allowed_partition(&mut self, homes: &RegionSet) -> bool {
        let layout = &self.ledger.owner.zone_state.layout;
        let program = &self.request.program;
        let home_partition = self.request.home_partition;
        let partition = home_partition.unwrap_or_else(|| layout.program_partition(program));
        if layout.may_store(partition, homes) {
            return true;
        }
        self.request.home_partition = layout.home_partition(program, homes);
        self.request.supplies_chain = true;
        self.request.home_partition.is_some()
    }
}
