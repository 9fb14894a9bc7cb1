//! Ends of turns that are told beside the requests that they were part of.

use super::client::LedgerClient;
use fieldhook_ledger::message::CloseTurn;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long the end of a turn is told that did not end whole.
const PATIENCE: Duration = Duration::from_secs(20);

/// An end that is being told.
struct Telling(Rc<LedgerClient>);

impl Drop for Telling {
    fn drop(&mut self) {
        self.0.endings.set(self.0.endings.get() - 1);
    }
}

impl LedgerClient {
    /// Tells the end of a turn that did not end whole, whatever becomes of its request: until
    /// then its most stays reserved.
    pub fn tell_end(self: &Rc<Self>, close: CloseTurn) {
        self.endings.set(self.endings.get() + 1);
        let telling = Telling(self.clone());
        ntex::rt::spawn(async move {
            let ledger = &telling.0;
            if !ledger.close(&close, Instant::now() + PATIENCE).await {
                tracing::warn!(
                    event = "turn_end_untold",
                    request = close.turn,
                    program = close.program,
                    reservation = close.reservation(),
                    "its most stays reserved"
                );
            }
        });
    }
}
