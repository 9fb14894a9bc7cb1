//! Becoming a reader: a daemon takes a place of its zone that nobody holds, or whose holder does
//! not answer.

use super::Relay;
use crate::daemon::Daemon;
use fieldhook_log::claim_delay::{Capacity, claim_delay};
use fieldhook_log::random_delay;
use fieldhook_log::readers::{ReaderSlot, Readers};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How often it is looked for such a place.
const PERIOD: Duration = Duration::from_millis(250);

/// Looks for places for good.
pub async fn run(daemon: Rc<Daemon>) {
    let relay = daemon.relay.clone();
    let delay = slot_claim_delay(daemon.settings.capacity);
    loop {
        sleep(PERIOD).await;
        let Some(slot) = relay.vacant_slot() else {
            continue;
        };
        sleep(delay + random_delay::draw(fastrand::u64(..))).await;
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

/// Small machines let all large ones go first.
fn slot_claim_delay(capacity: Capacity) -> Duration {
    match claim_delay(capacity, 0).is_zero() {
        true => Duration::ZERO,
        false => random_delay::max(),
    }
}

impl Relay {
    /// A place that this daemon might take.
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
