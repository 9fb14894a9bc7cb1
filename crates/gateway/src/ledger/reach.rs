//! Keeps the belief of what this daemon reaches, by asking others while its own calls to
//! the log fail.

use super::client::LedgerClient;
use fieldhook_log::reach::{Judge, Reach, Round};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const PERIOD: Duration = Duration::from_millis(200);

/// Judges for good. Nobody is asked while the log answers.
pub async fn run(ledger: Rc<LedgerClient>) {
    let mut judge = Judge::default();
    loop {
        sleep(PERIOD).await;
        let round = match ledger.contact.lost() {
            true => ledger.ask_who_reaches_log().await,
            false => Round::Heard,
        };
        let Some(reach) = judge.step(round) else {
            continue;
        };
        ledger.reach.set(reach);
        tracing::info!(
            event = "reach_changed",
            ?reach,
            ?round,
            log_age_ms = ledger.contact.age_ms()
        );
        if reach == Reach::CutOff {
            ledger.owner.claims.changed.notify_waiters();
        }
    }
}
