//! Owners of home partitions, seen from other regions: having one claimed that nobody owns,
//! and how long an owner is awaited. docs/design/homes.md tells what was weighed.

use super::client::{CHANGE_WAIT, LedgerClient};
use super::exchange::Exchange;
use fieldhook_ledger::message::{ClaimPartition, LedgerReply, LedgerRequest};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::collections::HashMap;
use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long the region of a home partition may give no sign of a daemon that owns it or can:
/// two questions and the news of a claim between them. A region that is lost has no owner to
/// wait for, and the client may be told so while its time lasts.
pub(super) const SILENCE_LIMIT: Duration = Duration::from_millis(600);
/// Least pause before daemons are asked again to claim a partition that nobody owns: the
/// questions of all requests that wait for it cost no more than one's.
const ASK_PERIOD: Duration = Duration::from_millis(300);
/// Time that they have to claim it.
const ASK_LIMIT: Duration = Duration::from_millis(400);
/// Daemons of the region that are asked at once, where owners of its partitions are known.
const OWNERS_ASKED: usize = 3;
/// Daemons that are asked at once where none is known to be of the region: so many that one in
/// three regions is hardly ever missed twice.
const ANYBODY_ASKED: usize = 8;

/// What was heard of the regions of home partitions, by partition.
#[derive(Default)]
pub(super) struct Signs {
    /// When a daemon that owns it, or can, answered last.
    heard: HashMap<u32, Instant>,
    /// When daemons were asked last to claim it.
    asked: HashMap<u32, Instant>,
}

impl LedgerClient {
    /// Takes in what an exchange with the owner of a home partition says of its region: an
    /// owner that still reads it will answer.
    pub(super) fn note_region(&self, partition: u32, exchange: &Exchange) {
        if matches!(exchange, Exchange::Answered(..) | Exchange::Loading(_)) {
            self.heard(partition);
        }
    }

    fn heard(&self, partition: u32) {
        if self.owner.zone_state.layout.region(partition).is_some() {
            let mut signs = self.signs.borrow_mut();
            signs.heard.insert(partition, Instant::now());
        }
    }

    /// Ends once no daemon of a home partition's region gave a sign for so long that there may
    /// be none; never for a free partition.
    pub(super) async fn region_is_silent(&self, partition: u32) {
        if self.owner.zone_state.layout.region(partition).is_none() {
            return pending().await;
        }
        let begun = Instant::now();
        loop {
            let heard = self.signs.borrow().heard.get(&partition).copied();
            let until = heard.map_or(begun, |heard| heard.max(begun)) + SILENCE_LIMIT;
            if Instant::now() >= until {
                return;
            }
            sleep(CHANGE_WAIT).await;
        }
    }

    /// Has a home partition that nobody owns claimed by a daemon of its region, which would
    /// claim it by itself only in its turn, seconds later where it has others to claim. True
    /// if there is an owner now.
    pub(super) async fn have_unowned_claimed(&self, partition: u32) -> bool {
        let claims = &self.owner.claims;
        let claim = claims.claim(partition);
        if claim.is_some_and(|claim| claim.address.is_some()) {
            return false;
        }
        let epoch = claim.map(|claim| claim.epoch);
        let owners = self.owners_in_region_of(partition);
        let known = !owners.is_empty();
        let (mut asked, most) = match known {
            true => (owners, OWNERS_ASKED),
            false => (claims.addresses(), ANYBODY_ASKED),
        };
        asked.retain(|other| *other != claims.address);
        if asked.is_empty() || !self.may_ask(partition) {
            return false;
        }
        fastrand::shuffle(&mut asked);
        asked.truncate(most);
        tracing::info!(
            event = "region_asked_to_claim",
            partition,
            epoch,
            asked = asked.len(),
            known
        );
        let question = LedgerRequest::Claim(ClaimPartition::replacing(partition, epoch));
        let calls = asked
            .into_iter()
            .map(|other| self.ask_peer(other, &question, ASK_LIMIT));
        let mut answers: FuturesUnordered<_> = calls.collect();
        loop {
            let changed = claims.changed.notified();
            if claims.claim(partition).map(|claim| claim.epoch) != epoch {
                self.heard(partition);
                return true;
            }
            let answer = tokio::select! {
                answer = answers.next() => answer,
                () = changed => continue,
            };
            match answer {
                None => return false,
                Some(Some(LedgerReply::NotOwner(Some(owner)))) => {
                    self.learn(partition, &owner);
                }
                // It lives and may claim it once its configuration or the log lets it.
                Some(Some(_)) if known => self.heard(partition),
                Some(_) => {}
            }
        }
    }

    /// Where owners of home partitions of the same region listen, each once.
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

    fn may_ask(&self, partition: u32) -> bool {
        let now = Instant::now();
        let asked = &mut self.signs.borrow_mut().asked;
        let last = asked.get(&partition);
        let may = last.is_none_or(|last| now >= *last + ASK_PERIOD);
        if may {
            asked.insert(partition, now);
        }
        may
    }
}
