//! Ends of turns that are told beside the requests that they were part of.

use super::client::LedgerClient;
use fieldhook_ledger::message::CloseTurn;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// How long the end of a turn is told that did not end whole. It outlasts an outage of the log,
/// and ends before the owner forgets the program, 180 s after its last change.
const PATIENCE: Duration = Duration::from_secs(120);
/// One round of telling it: an owner that is silent is noticed, and asked once more.
const ROUND: Duration = Duration::from_millis(1_200);
/// Pauses between rounds, without news of owners. Clients leave by hundreds where an owner is silent, and each end that
/// is told asks and looks for owners beside the requests that wait for the same ones.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// An end that is being told.
struct Telling(Rc<LedgerClient>);

impl Drop for Telling {
    fn drop(&mut self) {
        self.0.pending_closes.set(self.0.pending_closes.get() - 1);
    }
}

impl LedgerClient {
    /// Tells the end of a turn that did not end whole, whatever becomes of its request: until
    /// then its most stays reserved.
    pub fn close_in_background(self: &Rc<Self>, close: CloseTurn) {
        self.pending_closes.set(self.pending_closes.get() + 1);
        let telling = Telling(self.clone());
        ntex::rt::spawn(async move {
            if !telling.0.tell(&close).await {
                tracing::warn!(
                    event = "turn_end_untold",
                    request = close.turn,
                    program = close.program,
                    reservation = close.reservation(),
                    "its most stays reserved where no owner has noted it"
                );
            }
        });
    }

    /// Tells an end in rounds. False if none was answered.
    async fn tell(&self, close: &CloseTurn) -> bool {
        let until = Instant::now() + PATIENCE;
        let mut pause = FIRST_PAUSE;
        while Instant::now() < until {
            if self.close(close, Instant::now() + ROUND).await {
                return true;
            }
            // A new owner answers the client's next try at once: it has to know before.
            let _ = timeout(pause, self.owner.claims.changed.notified()).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
        false
    }
}
