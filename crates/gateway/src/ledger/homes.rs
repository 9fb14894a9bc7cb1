//! Home partitions: which of them this daemon may own, and the check that the owners in its region
//! are up. docs/design/homes.md explains the design.

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
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// Shortest pause between two checks of the owners of a region.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Largest random addition to the pause, so that not all daemons notice a lost owner at the same
/// moment.
const CHECK_JITTER_MS: u64 = 500;

/// Returns the rule for the partitions that this daemon may own. Any daemon may own a global
/// partition. A home partition may be owned by the daemons of its region, if the configuration
/// names the region as a home or the partition was claimed before: it may still store contents
/// that have to be kept.
pub(super) fn eligibility(zone_state: Rc<ZoneState>) -> Predicate {
    Rc::new(move |partition, claim: Option<&Claim>| {
        let Some(region) = zone_state.layout.region(partition) else {
            return true;
        };
        let is_own_region = zone_state.region() == Some(region);
        is_own_region && (claim.is_some() || zone_state.is_home_region(region))
    })
}

/// Checks the owners of this region's home partitions until the daemon stops. Partitions that were
/// never claimed are skipped.
///
/// Daemons of the region also notice a lost owner by their own clients' requests. The check serves
/// clients in other regions, whose daemons may not take over.
pub async fn watch_owners(ledger: Rc<LedgerClient>) {
    loop {
        let jitter = Duration::from_millis(fastrand::u64(0..CHECK_JITTER_MS));
        sleep(CHECK_PERIOD + jitter).await;
        if ledger.owner.claims.has_stopped_claiming() {
            return;
        }
        for partition in ledger.owner.zone_state.layout.home_partitions() {
            check_owner(&ledger, partition).await;
        }
    }
}

/// Asks the owner of a partition whether the log answers it, and replaces it if the log does not or
/// if the owner does not answer.
async fn check_owner(ledger: &LedgerClient, partition: u32) {
    let claims = &ledger.owner.claims;
    let Some(claim) = claims.claim(partition) else {
        return;
    };
    if claim.address.is_none() || claims.is_mine(&claim) || !claims.is_eligible(partition) {
        return;
    }
    let exchange = ledger
        .exchange(partition, &LedgerRequest::HasLogContact, REPLY_TIMEOUT)
        .await;
    ledger.note_outcome(partition, Some(&exchange));
    match exchange {
        Exchange::Answered(LedgerReply::LogContact(false), _) => {
            ledger.replace_silent(partition, claim.epoch).await;
        }
        other => ledger.handle_suspicion(partition, &other).await,
    }
}
