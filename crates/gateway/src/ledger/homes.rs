//! Home partitions: which this daemon may own, and whether the owners of those of its region
//! are there. docs/design/homes.md tells what was weighed.

use super::client::LedgerClient;
use super::exchange::Exchange;
use crate::zone_state::ZoneState;
use fieldhook_ledger::message::{LedgerReply, LedgerRequest};
use fieldhook_log::eligibility::Predicate;
use fieldhook_log::ownership::Claim;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// An owner that does not answer in this time is suspected.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);
/// Least pause between two looks at the owners of a region. Gateways of the region find an
/// owner gone by their clients' requests; this is for those of other regions, which must not
/// take over.
const LOOK_PERIOD: Duration = Duration::from_millis(500);
/// A random time on top, so that not all daemons find an owner gone in the same moment.
const LOOK_JITTER_MS: u64 = 500;

/// Free partitions are for all daemons. A home partition is for those of its region, once a
/// configuration has named the region as a home, and for good where it was claimed before: it
/// may hold what is still promised to be kept.
pub(super) fn eligibility(zone_state: Rc<ZoneState>) -> Predicate {
    Rc::new(move |partition, claim: Option<&Claim>| {
        let Some(region) = zone_state.layout.region(partition) else {
            return true;
        };
        let is_here = zone_state.region() == Some(region);
        is_here && (claim.is_some() || zone_state.is_home_region(region))
    })
}

/// Looks for good whether the owners of this region's home partitions are there. Nobody is
/// asked while none was claimed.
pub async fn watch_owners(ledger: Rc<LedgerClient>) {
    loop {
        let jitter = Duration::from_millis(fastrand::u64(0..LOOK_JITTER_MS));
        sleep(LOOK_PERIOD + jitter).await;
        if ledger.owner.claims.has_stopped_claiming() {
            return;
        }
        for partition in ledger.owner.zone_state.layout.home_partitions() {
            look(&ledger, partition).await;
        }
    }
}

/// Asks the owner of a partition for a sign of life; one that gives none, or that the log has
/// left, is replaced.
async fn look(ledger: &LedgerClient, partition: u32) {
    let claims = &ledger.owner.claims;
    let Some(claim) = claims.claim(partition) else {
        return;
    };
    if claim.address.is_none() || claims.is_mine(&claim) || !claims.is_eligible(partition) {
        return;
    }
    let exchange = ledger
        .exchange(partition, &LedgerRequest::HasLogContact, ANSWER_LIMIT)
        .await;
    ledger.note(partition, Some(&exchange));
    match exchange {
        Exchange::Answered(LedgerReply::LogContact(false), _) => {
            ledger.replace_silent(partition, claim.epoch).await;
        }
        doubtful => ledger.act_on_doubt(partition, &doubtful).await,
    }
}
