//! Records the content of a completed turn in a region that may store it at that time.

use super::homes;
use super::request::RequestContext;
use super::turn::{MAX_RECORD_BYTES, Turn};
use fieldhook_ledger::message::{CloseTurn, TurnContent};
use fieldhook_topology::region::RegionSet;
use futures_util::future::{join, join_all};
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
        self.ledger.close(&close, deadline).await
    }

    /// Records the content. A chain that is stored along with the turn may exceed the size of one
    /// record; all of it but the last part is then stored in separate records first, as turns that
    /// this one continues from.
    async fn record_content(&self, deadline: Instant) -> bool {
        let mut parts = vec![&self.input[..]];
        if self.request.supplies_chain && self.input.len() > MAX_RECORD_BYTES {
            parts = self.input.chunks(MAX_RECORD_BYTES).collect();
        }
        let last = parts.len() - 1;
        let names: Vec<String> = (0..last).map(|number| self.part_name(number)).collect();
        let closes = parts[..last].iter().enumerate().map(|(number, part)| {
            let previous = number.checked_sub(1).map(|before| names[before].clone());
            let content = self.content(previous, part, &[]);
            CloseTurn {
                turn: names[number].clone(),
                budget: None,
                engine: None,
                ..self.close_request(Some(content))
            }
        });
        let closes: Vec<CloseTurn> = closes.collect();
        let recordings = closes
            .iter()
            .map(|close| self.ledger.close(close, deadline));
        if !join_all(recordings)
            .await
            .into_iter()
            .all(|recorded| recorded)
        {
            return false;
        }
        let previous = names.last().cloned().or_else(|| self.recorded_previous());
        let content = self.content(previous, parts[last], &self.output);
        let close = self.close_request(Some(content));
        self.ledger.close(&close, deadline).await
    }

    /// Returns a turn name that no client can choose, because header fields contain no control
    /// characters.
    fn part_name(&self, number: usize) -> String {
        let hash = fieldhook_traffic::assignment::prefix_hash(&self.request.turn);
        format!("\u{1}{hash:016x}-{number}")
    }

    fn content(&self, previous: Option<String>, input: &[u8], output: &[u8]) -> TurnContent {
        TurnContent {
            previous,
            input: input.to_vec(),
            output: output.to_vec(),
            retention_ms: self.retention_ms,
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
        self.input = self.prompt.clone();
        self.request.home_partition.is_some()
    }

    fn recorded_previous(&self) -> Option<String> {
        let previous = self.request.previous.clone();
        previous.filter(|_| !self.request.supplies_chain)
    }
}
