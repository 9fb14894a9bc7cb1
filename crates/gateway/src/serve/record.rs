//! Recording what a turn that ended whole has said, where homes allow it to be kept then.

use super::homes;
use super::request::RequestContext;
use super::turn::{LARGEST_KEPT, Turn};
use fieldhook_ledger::message::{CloseTurn, TurnContent};
use fieldhook_topology::region::Set;
use futures_util::future::{join, join_all};
use tokio::time::Instant;

impl Turn {
    /// Records that the turn ended whole. Where context is kept, the answer may end
    /// only once this returned true.
    pub async fn complete(&mut self, context: &RequestContext) -> bool {
        if !self.request.keeps_context {
            return true;
        }
        let homes = homes::now(context);
        if !self.stay_home(&homes) {
            homes::note_no_owner(context, None);
            return false;
        }
        let started = Instant::now();
        let recorded = tokio::select! {
            biased;
            recorded = self.record_whole(context.deadline) => recorded,
            // The client sends the turn anew, elsewhere, while it has time.
            () = self.ledger.wait_until_cut_off() => false,
        };
        // Without a budget, the partition that orders it hears of its end by itself.
        self.closed = recorded && (!self.is_apart() || self.request.budget.is_some());
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

    /// Whether another partition orders it and counts its tokens than the one that keeps its
    /// content.
    fn is_apart(&self) -> bool {
        self.request.home_partition.is_some()
    }

    /// Records its content and its tokens. Where two partitions do so, the answer waits for both:
    /// a successor that reads it as under way counts its most for as long as it knows the
    /// program, which a budget that does not hold two turns' most never outlives.
    async fn record_whole(&self, deadline: Instant) -> bool {
        let (kept, counted) = join(self.record(deadline), self.record_tokens(deadline)).await;
        kept && counted
    }

    /// Records its tokens where that is not part of recording its content.
    async fn record_tokens(&self, deadline: Instant) -> bool {
        if !self.is_apart() || self.request.budget.is_none() {
            return true;
        }
        let close = CloseTurn {
            awaited: true,
            ..self.close_request(None)
        };
        self.ledger.close(&close, deadline).await
    }

    /// Records its content. A chain that it brings may be longer than a record holds: all but
    /// the end of it goes into records of their own before, as turns that it goes on from.
    async fn record(&self, deadline: Instant) -> bool {
        let mut pieces = vec![&self.input[..]];
        if self.request.supplies_chain && self.input.len() > LARGEST_KEPT {
            pieces = self.input.chunks(LARGEST_KEPT).collect();
        }
        let last = pieces.len() - 1;
        let names: Vec<String> = (0..last).map(|number| self.piece_name(number)).collect();
        let closes = pieces[..last].iter().enumerate().map(|(number, piece)| {
            let previous = number.checked_sub(1).map(|before| names[before].clone());
            let content = self.content(previous, piece, &[]);
            CloseTurn {
                turn: names[number].clone(),
                budget: None,
                engine: None,
                ..self.close_request(Some(content))
            }
        });
        let closes: Vec<CloseTurn> = closes.collect();
        let told = closes
            .iter()
            .map(|close| self.ledger.close(close, deadline));
        if !join_all(told).await.into_iter().all(|recorded| recorded) {
            return false;
        }
        let previous = names.last().cloned().or_else(|| self.kept_previous());
        let content = self.content(previous, pieces[last], &self.output);
        let close = self.close_request(Some(content));
        self.ledger.close(&close, deadline).await
    }

    /// A name that no client can give a turn: fields hold no control characters.
    fn piece_name(&self, number: usize) -> String {
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

    /// Sees to it that what was said is kept where homes allow it now: they may have been
    /// narrowed since the turn began. What it went on from goes along. False where no region
    /// is allowed any more.
    fn stay_home(&mut self, homes: &Set) -> bool {
        let layout = &self.ledger.owner.places.layout;
        let program = &self.request.program;
        let kept_at = self.request.home_partition;
        let partition = kept_at.unwrap_or_else(|| layout.program_partition(program));
        if layout.may_store(partition, homes) {
            return true;
        }
        self.request.home_partition = layout.home_partition(program, homes);
        self.request.supplies_chain = true;
        self.input = self.prompt.clone();
        self.request.home_partition.is_some()
    }

    fn kept_previous(&self) -> Option<String> {
        let previous = self.request.previous.clone();
        previous.filter(|_| !self.request.supplies_chain)
    }
}
