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
    let patience = patience(daemon.settings.capacity);
    loop {
        sleep(PERIOD).await;
        let Some(place) = relay.vacancy() else {
            continue;
        };
        sleep(patience + random_delay::draw(fastrand::u64(..))).await;
        let is_vacant = || relay.vacancy().as_ref() == Some(&place);
        if !is_vacant() || daemon.is_stopping() {
            continue;
        }
        let record = Readers::record(&place, relay.address);
        let claims = &daemon.owner.claims;
        let taken = claims.append_while(record, &is_vacant).await;
        tracing::info!(
            event = "reader_place",
            zone = place.zone,
            number = place.number,
            ?taken
        );
    }
}

/// Small machines let all large ones go first.
fn patience(capacity: Capacity) -> Duration {
    match claim_delay(capacity, 0).is_zero() {
        true => Duration::ZERO,
        false => random_delay::max(),
    }
}

impl Relay {
    /// A place that this daemon might take.
    fn vacancy(&self) -> Option<ReaderSlot> {
        if !self.is_shared() || self.is_reader() {
            return None;
        }
        let asker = self.asker.borrow();
        let now_ms = self.now_ms();
        let is_lost = |reader| asker.is_lost(reader, now_ms);
        self.readers.borrow().vacant_slot(&self.zone, &is_lost)
    }
}
