//! Owners of home partitions as seen from other regions: requesting that an unowned partition be
//! claimed, and limiting the wait for an owner. docs/design/homes.md explains the design.

use super::client::{LedgerClient, OWNER_CHANGE_WAIT};
use super::exchange::Exchange;
use fieldhook_ledger::message::{ClaimPartition, LedgerReply, LedgerRequest};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::collections::HashMap;
use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long no daemon of a home partition's region may answer before the region counts as lost.
/// This leaves time for two requests and for a claim between them. If the region is lost, there
/// is no owner to wait for, and the client gets an error before its deadline.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Shortest pause between two rounds of claim requests for an unowned partition, so that many
/// waiting requests do not multiply the claim requests.
const CLAIM_REQUEST_PERIOD: Duration = Duration::from_millis(300);
/// Time that a daemon has to claim the partition.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of daemons that are asked to claim if owners of other partitions of the region are known.
const KNOWN_OWNERS_ASKED: usize = 3;
/// Number of daemons that are asked to claim if no daemon is known to be in the region. With three
/// regions, two such rounds almost always include a daemon of the region.
const UNKNOWN_DAEMONS_ASKED: usize = 8;

/// Activity in the regions of home partitions, by partition.
#[derive(Default)]
pub(super) struct RegionActivity {
    /// When a daemon that owns the partition, or may own it, last answered.
    answered: HashMap<u32, Instant>,
    /// When daemons were last asked to claim the partition.
    claim_requested: HashMap<u32, Instant>,
}

impl LedgerClient {
    /// Records that the region of a home partition answered, if the exchange shows that. An owner
    /// that is still loading the partition counts, since it will answer.
    pub(super) fn note_region_outcome(&self, partition: u32, exchange: &Exchange) {
        if matches!(exchange, Exchange::Answered(..) | Exchange::OwnerLoading(_)) {
            self.note_region_answered(partition);
        }
    }

    fn note_region_answered(&self, partition: u32) {
        if self.owner.zone_state.layout.region(partition).is_some() {
            let mut activity = self.region_activity.borrow_mut();
            activity.answered.insert(partition, Instant::now());
        }
    }

    /// Completes once no daemon of a home partition's region has answered for [`SILENCE_TIMEOUT`].
    /// Never completes for a global partition.
    pub(super) async fn wait_for_region_silence(&self, partition: u32) {
        if self.owner.zone_state.layout.region(partition).is_none() {
            return pending().await;
        }
        let started = Instant::now();
        loop {
            let answered = self
                .region_activity
                .borrow()
                .answered
                .get(&partition)
                .copied();
            let until =
                answered.map_or(started, |answered| answered.max(started)) + SILENCE_TIMEOUT;
            if Instant::now() >= until {
                return;
            }
            sleep(OWNER_CHANGE_WAIT).await;
        }
    }

    /// Asks daemons of the region to claim a home partition that has no owner. On their own they
    /// claim one partition after another, which may take seconds. Returns whether there is a new
    /// claim.
    pub(super) async fn request_claim_of_unowned(&self, partition: u32) -> bool {
        let claims = &self.owner.claims;
        let claim = claims.claim(partition);
        if claim.is_some_and(|claim| claim.address.is_some()) {
            return false;
        }
        let epoch = claim.map(|claim| claim.epoch);
        let owners = self.owners_in_region_of(partition);
        let known = !owners.is_empty();
        let (mut asked, max_asked) = match known {
            true => (owners, KNOWN_OWNERS_ASKED),
            false => (claims.addresses(), UNKNOWN_DAEMONS_ASKED),
        };
        asked.retain(|other| *other != claims.address);
        if asked.is_empty() || !self.may_request_claim(partition) {
            return false;
        }
        fastrand::shuffle(&mut asked);
        asked.truncate(max_asked);
        tracing::info!(
            event = "region_asked_to_claim",
            partition,
            epoch,
            asked = asked.len(),
            known
        );
        let request = LedgerRequest::Claim(ClaimPartition::replacing(partition, epoch));
        let calls = asked
            .into_iter()
            .map(|other| self.query_peer(other, &request, CLAIM_TIMEOUT));
        let mut answers: FuturesUnordered<_> = calls.collect();
        loop {
            let changed = claims.changed.notified();
            if claims.claim(partition).map(|claim| claim.epoch) != epoch {
                self.note_region_answered(partition);
                return true;
            }
            let answer = tokio::select! {
                answer = answers.next() => answer,
                () = changed => continue,
            };
            match answer {
                None => return false,
                Some(Some(LedgerReply::NotOwner(Some(owner)))) => {
                    self.learn_owner(partition, &owner);
                }
                // The daemon is up, and may claim the partition once its configuration names the
                // home region or the log answers it.
                Some(Some(_)) if known => self.note_region_answered(partition),
                Some(_) => {}
            }
        }
    }

    /// Returns the addresses of the owners of home partitions in the same region, without
    /// duplicates.
    pub(super) fn owners_in_region_of(&self, partition: u32) -> Vec<SocketAddr> {
        let claims = &self.owner.claims;
        let layout = &self.owner.zone_state.layout;
        let region = layout.region(partition);
        let mut owners: Vec<SocketAddr> = layout
            .home_partitions()
            .filter(|other| layout.region(*other) == region)
            .filter_map(|other| claims.claim(other)?.address)
            .collect();
        owners.sort();
        owners.dedup();
        owners
    }

    /// Whether [`CLAIM_REQUEST_PERIOD`] has passed since the last claim request; if so, a new one
    /// is recorded.
    fn may_request_claim(&self, partition: u32) -> bool {
        let now = Instant::now();
        let requested = &mut self.region_activity.borrow_mut().claim_requested;
        let last = requested.get(&partition);
        let may = last.is_none_or(|last| now >= *last + CLAIM_REQUEST_PERIOD);
        if may {
            requested.insert(partition, now);
        }
        may
    }
}
