//! Closing turns in the background, independently of the requests that they were part of.

use super::client::LedgerClient;
use fieldhook_ledger::message::CloseTurn;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// How long closing an incomplete turn is retried. This outlasts an outage of the log, and ends
/// before the owner deletes the program, 180 s after its last change at the earliest
/// (`MIN_PROGRAM_RETENTION_MS` in fieldhook-ledger).
const RETRY_FOR: Duration = Duration::from_secs(120);
/// Timeout of one attempt. It suffices to notice that an owner does not answer and to send the
/// request once more.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// First pause between attempts while no ownership change is reported; it doubles with each
/// attempt. Hundreds of clients disconnect when an owner stops answering, and every close sends
/// requests and searches for owners in addition to the requests that wait for the same partition.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between attempts.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Counts a turn that is being closed until it is dropped.
struct PendingClose(Rc<LedgerClient>);

impl Drop for PendingClose {
    fn drop(&mut self) {
        self.0.pending_closes.set(self.0.pending_closes.get() - 1);
    }
}

impl LedgerClient {
    /// Closes an incomplete turn in the background, so that this happens even if its request is
    /// dropped. Until the owner has accepted the close, the turn's token maximum stays reserved.
    pub fn close_in_background(self: &Rc<Self>, close: CloseTurn) {
        self.pending_closes.set(self.pending_closes.get() + 1);
        let pending = PendingClose(self.clone());
        ntex::rt::spawn(async move {
            if !pending.0.close_with_retries(&close).await {
                tracing::warn!(
                    event = "turn_end_untold",
                    request = close.turn,
                    program = close.program,
                    reservation = close.reservation_id(),
                    "the token maximum of the turn stays reserved unless an owner accepted its end"
                );
            }
        });
    }

    /// Retries to close a turn. Returns whether it was recorded.
    async fn close_with_retries(&self, close: &CloseTurn) -> bool {
        let until = Instant::now() + RETRY_FOR;
        let mut pause = FIRST_PAUSE;
        while Instant::now() < until {
            let recording = self.close(close, Instant::now() + ATTEMPT_TIMEOUT).await;
            if recording.is_durable() {
                return true;
            }
            // Retry at once when the owner changes: a new owner may answer the client's next
            // request immediately and has to know of the close before.
            let _ = timeout(pause, self.owner.claims.changed.notified()).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
        false
    }
}
