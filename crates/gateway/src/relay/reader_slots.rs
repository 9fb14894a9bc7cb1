//! Becoming a reader: a daemon claims a reader slot of its zone that is free or whose holder does not
//! reply.

use super::Relay;
use crate::daemon::Daemon;
use fieldhook_log::claim_delay::{Capacity, claim_delay};
use fieldhook_log::random_delay;
use fieldhook_log::readers::{ReaderSlot, Readers};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval at which the daemon looks for a vacant slot.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Claims vacant reader slots. Never returns.
pub async fn run(daemon: Rc<Daemon>) {
    let relay = daemon.relay.clone();
    let delay = slot_claim_delay(daemon.settings.capacity);
    loop {
        sleep(CHECK_PERIOD).await;
        let Some(slot) = relay.vacant_slot() else {
            continue;
        };
        sleep(delay + random_delay::random_delay(fastrand::u64(..))).await;
        let is_vacant = || relay.vacant_slot().as_ref() == Some(&slot);
        if !is_vacant() || daemon.is_stopping() {
            continue;
        }
        let record = Readers::record(&slot, relay.address);
        let claims = &daemon.owner.claims;
        let taken = claims.append_while(record, &is_vacant).await;
        tracing::info!(
            event = "reader_place",
            zone = slot.zone,
            number = slot.number,
            ?taken
        );
    }
}

/// Returns the delay before a vacant slot is claimed. Small machines wait until all large ones had
/// the chance to claim it.
fn slot_claim_delay(capacity: Capacity) -> Duration {
    match claim_delay(capacity, 0).is_zero() {
        true => Duration::ZERO,
        false => random_delay::max(),
    }
}

impl Relay {
    /// Returns a reader slot that this daemon may claim.
    fn vacant_slot(&self) -> Option<ReaderSlot> {
        if !self.uses_readers() || self.is_reader() {
            return None;
        }
        let selector = self.reader_selector.borrow();
        let now_ms = self.now_ms();
        let is_lost = |reader| selector.is_lost(reader, now_ms);
        self.readers.borrow().vacant_slot(&self.zone, &is_lost)
    }
}
