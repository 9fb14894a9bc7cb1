//! Replacing an owner that does not answer: finding the next owner of its partition or becoming it.

use super::client::{LedgerClient, OWNER_CHANGE_WAIT, RETRY_PAUSE};
use fieldhook_ledger::message::{
    ClaimPartition, ConfigUpdate, KnownOwner, LedgerReply, LedgerRequest,
};
use fieldhook_log::api::StoreError;
use fieldhook_log::ownership::{Claim, PreviousOwner};
use fieldhook_log::reach::{Reach, Round};
use futures_util::future::join_all;
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Number of daemons that a query is sent to.
const QUERIED_PEERS: usize = 3;
/// Number of daemons that are polled to find out whether this daemon is cut off together with a few
/// others. In a sample of this size, those few are seldom as many as half.
const REACHABILITY_SAMPLE: usize = 16;
/// Time that a daemon has to answer a query.
const PEER_TIMEOUT: Duration = Duration::from_millis(120);
/// Time that a daemon has to claim a partition.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that the log has to answer a probe of a partition.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without a failed log call after which an owner that does not answer may be replaced.
const MIN_TIME_SINCE_LOG_FAILURE: Duration = Duration::from_millis(800);

/// Time without a failed log call after which this daemon was certainly not cut off recently: a
/// call that is cut off fails after at most 1.5 s. Before that, the owner's missing reply may be
/// due to a network partition that is over, and the owner is queried once more.
const NOT_RECENTLY_CUT_OFF: Duration = Duration::from_millis(3_000);
/// Time that an owner has to answer on a new connection.
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Removes a partition from a set when it is dropped.
pub(super) struct PartitionGuard<'a> {
    partitions: &'a RefCell<HashSet<u32>>,
    partition: u32,
}

impl<'a> PartitionGuard<'a> {
    /// Guards a partition that is in the set.
    pub(super) fn new(partitions: &'a RefCell<HashSet<u32>>, partition: u32) -> Self {
        Self {
            partitions,
            partition,
        }
    }
}

impl Drop for PartitionGuard<'_> {
    fn drop(&mut self) {
        self.partitions.borrow_mut().remove(&self.partition);
    }
}

impl LedgerClient {
    /// Records what another daemon knows of an owner. Returns whether it was new.
    ///
    /// The message does not name the previous owner, so it counts as lost: it may then have granted
    /// what was not recorded.
    pub(super) fn learn_owner(&self, partition: u32, known: &KnownOwner) -> bool {
        let Ok(address) = known.address.parse() else {
            return false;
        };
        let claim = Claim {
            address: Some(address),
            incarnation: known.incarnation,
            epoch: known.epoch,
            previous_owner: PreviousOwner::Lost,
            handover_uncertainty_ms: None,
        };
        self.owner.claims.learn(partition, claim)
    }

    /// Asks some other daemons for the owner of a partition, since a daemon that is cut off
    /// from the log does not see new claims. Returns whether one of them knew a newer owner.
    pub(super) async fn learn_owner_from_peers(&self, partition: u32, epoch: Option<u64>) -> bool {
        let suspected = self
            .owner
            .claims
            .claim(partition)
            .and_then(|claim| claim.address);
        let request = LedgerRequest::FindOwner(partition);
        let answers = self.query_peers(suspected, &request, PEER_TIMEOUT).await;
        let mut found_newer = false;
        for answer in answers.into_iter().flatten() {
            if let LedgerReply::NotOwner(Some(known)) = answer {
                found_newer |= Some(known.epoch) > epoch && self.learn_owner(partition, &known);
            }
        }
        found_newer
    }

    /// Sends a query to some daemons, chosen at random, at once; `None` stands for one that did
    /// not answer.
    async fn query_peers(
        &self,
        except: Option<SocketAddr>,
        request: &LedgerRequest,
        reply_timeout: Duration,
    ) -> Vec<Option<LedgerReply>> {
        self.query_sample(QUERIED_PEERS, except, request, reply_timeout)
            .await
    }

    /// Sends a query to at most `count` daemons other than this one and `except`.
    async fn query_sample(
        &self,
        count: usize,
        except: Option<SocketAddr>,
        request: &LedgerRequest,
        reply_timeout: Duration,
    ) -> Vec<Option<LedgerReply>> {
        let mut others = self.owner.claims.addresses();
        others.retain(|other| *other != self.owner.claims.address && Some(*other) != except);
        fastrand::shuffle(&mut others);
        let queries = others
            .into_iter()
            .take(count)
            .map(|other| self.query_peer(other, request, reply_timeout));
        join_all(queries).await
    }

    /// Sends a query to one daemon; `None` if it does not answer in time.
    pub(super) async fn query_peer(
        &self,
        address: SocketAddr,
        request: &LedgerRequest,
        reply_timeout: Duration,
    ) -> Option<LedgerReply> {
        self.peers.request(address, request, reply_timeout).await
    }

    /// Asks some daemons whether the log answers them.
    pub async fn poll_peers_for_log(&self) -> Round {
        let answers = self
            .query_peers(None, &LedgerRequest::HasRecentLogContact, PEER_TIMEOUT)
            .await;
        let reach_log = |answer: &&LedgerReply| matches!(answer, LedgerReply::LogContact(true));
        Round::Asked {
            asked: answers.len(),
            answered: answers.iter().flatten().count(),
            reach_log: answers.iter().flatten().filter(reach_log).count(),
        }
    }

    /// Queries a larger sample of daemons; returns how many were queried and how many answered.
    pub async fn poll_reachable_peers(&self) -> (usize, usize) {
        let request = LedgerRequest::HasRecentLogContact;
        let answers = self
            .query_sample(REACHABILITY_SAMPLE, None, &request, PEER_TIMEOUT)
            .await;
        (answers.len(), answers.iter().flatten().count())
    }

    /// Asks some daemons for a configuration newer than this version.
    pub async fn query_peer_configs(&self, version: u64) -> Vec<ConfigUpdate> {
        let request = LedgerRequest::Config(version);
        let answers = self.query_peers(None, &request, PEER_TIMEOUT).await;
        let replies = answers.into_iter().flatten();
        replies
            .filter_map(|answer| match answer {
                LedgerReply::Config(update) => Some(update),
                _ => None,
            })
            .collect()
    }

    /// Asks daemons that reach the log to claim a partition. Returns whether there is a newer
    /// owner.
    async fn request_claim(&self, partition: u32, epoch: u64) -> bool {
        if self.owner.zone_state.layout.region(partition).is_some() {
            return self.request_claim_in_region(partition, epoch).await;
        }
        let request = LedgerRequest::Claim(ClaimPartition::replacing(partition, Some(epoch)));
        let answers = self.query_peers(None, &request, CLAIM_TIMEOUT).await;
        let mut found_newer = false;
        for answer in answers.into_iter().flatten() {
            if let LedgerReply::NotOwner(Some(known)) = answer {
                found_newer |= self.learn_owner(partition, &known);
            }
        }
        found_newer
    }

    /// Asks other owners in the partition's region, one after another, to claim it. Returns whether
    /// there is a newer owner.
    async fn request_claim_in_region(&self, partition: u32, epoch: u64) -> bool {
        let claim = self.owner.claims.claim(partition);
        let suspected = claim.and_then(|claim| claim.address);
        let mut others = self.owners_in_region_of(partition);
        others.retain(|other| Some(*other) != suspected);
        let request = LedgerRequest::Claim(ClaimPartition::replacing(partition, Some(epoch)));
        for other in others {
            let answer = self.query_peer(other, &request, CLAIM_TIMEOUT).await;
            if let Some(LedgerReply::NotOwner(Some(known))) = answer
                && self.learn_owner(partition, &known)
            {
                return true;
            }
        }
        false
    }

    /// Waits for an ownership change of a partition that only daemons of another region may own;
    /// returns false at once if this daemon may own it. The daemons of that region watch their
    /// owners themselves: a daemon that is cut off from the region would otherwise replace owners
    /// that work well there. If the partition has no owner, the daemons of its region are asked to
    /// claim it.
    async fn defer_to_region(&self, partition: u32, epoch: Option<u64>) -> bool {
        if self.owner.claims.is_eligible(partition) {
            return false;
        }
        if self.request_claim_of_unowned(partition).await {
            return true;
        }
        if !self.log_health.is_failing() || !self.learn_owner_from_peers(partition, epoch).await {
            let _ = timeout(OWNER_CHANGE_WAIT, self.owner.claims.changed.notified()).await;
        }
        true
    }

    /// Takes over a partition from an owner that may be unable to append: it has accepted the end
    /// of a turn but not recorded it, or gave no permit for a cold server in time. Does so only if
    /// the owner replies that the log does not answer it, or does not reply.
    pub(super) async fn replace_stuck(&self, partition: u32) {
        let claims = &self.owner.claims;
        let Some(claim) = claims.claim(partition) else {
            return;
        };
        let Some(address) = claim.address.filter(|_| !claims.is_mine(&claim)) else {
            return;
        };
        let request = LedgerRequest::HasRecentLogContact;
        let answer = self.query_peer(address, &request, PEER_TIMEOUT).await;
        match answer {
            Some(LedgerReply::LogContact(true)) => {}
            // The owner itself reports that it is stuck, so a daemon of its region may claim the
            // partition without checking.
            Some(LedgerReply::LogContact(false)) if !claims.is_eligible(partition) => {
                if !self.request_claim_in_region(partition, claim.epoch).await {
                    let _ = timeout(OWNER_CHANGE_WAIT, claims.changed.notified()).await;
                }
            }
            _ => self.replace_silent(partition, claim.epoch).await,
        }
    }

    /// Whether the log accepts appends of this daemon to a partition. Single partitions of the log
    /// may be down, and a new owner of such a partition could do no more than the present one.
    pub(super) async fn log_accepts_appends(&self, partition: u32) -> bool {
        matches!(
            self.owner.probe(partition, PROBE_TIMEOUT).await,
            Ok(()) | Err(StoreError::Fenced)
        )
    }

    /// Whether the owner of a partition answers on a new connection.
    async fn owner_answers(&self, partition: u32) -> bool {
        let claim = self.owner.claims.claim(partition);
        let Some(address) = claim.and_then(|claim| claim.address) else {
            return false;
        };
        self.peers.discard(address);
        let answer = self.query_peer(
            address,
            &LedgerRequest::HasRecentLogContact,
            RECONNECT_TIMEOUT,
        );
        answer.await.is_some()
    }

    /// Takes over a partition from an owner that does not answer, unless log calls failed
    /// recently: the owner may then be about to append what is queued.
    pub(super) async fn replace_silent(&self, partition: u32, epoch: u64) {
        if self.defer_to_region(partition, Some(epoch)).await {
            return;
        }
        let may_claim = self.log_health.no_failure_for(MIN_TIME_SINCE_LOG_FAILURE)
            && self.log_accepts_appends(partition).await
            && (self.log_health.no_failure_for(NOT_RECENTLY_CUT_OFF)
                || !self.owner_answers(partition).await);
        if may_claim {
            self.replace(partition, Some(epoch)).await;
        } else if !self.learn_owner_from_peers(partition, Some(epoch)).await {
            let _ = timeout(OWNER_CHANGE_WAIT, self.owner.claims.changed.notified()).await;
        }
    }

    /// Takes over a partition from an owner that is gone or does not answer. This needs contact
    /// with the log; without it, the owner's appends wait as well. Of the requests that wait for
    /// the partition, one claims it for all.
    pub(super) async fn replace(&self, partition: u32, epoch: Option<u64>) {
        if self.defer_to_region(partition, epoch).await {
            return;
        }
        if self.reach.get() == Reach::Minority {
            // The majority of the daemons or zones continues without this daemon, and would take
            // the partition back.
            let _ = timeout(OWNER_CHANGE_WAIT, self.owner.claims.changed.notified()).await;
            return;
        }
        if self.log_health.is_failing() && self.learn_owner_from_peers(partition, epoch).await {
            return;
        }
        if self.reach.get() == Reach::CutOff
            && let Some(epoch) = epoch
            && self.request_claim(partition, epoch).await
        {
            return;
        }
        if self.log_health.is_failing() || !self.claiming.borrow_mut().insert(partition) {
            let _ = timeout(OWNER_CHANGE_WAIT, self.owner.claims.changed.notified()).await;
            return;
        }
        // Removes the mark also if this future is dropped.
        let _guard = PartitionGuard::new(&self.claiming, partition);
        // Claims are made one after another: several owners may be found gone at the same time,
        // and the partition that was claimed first is to be loaded first.
        let _claim_order = self.claim_lock.lock().await;
        sleep(self.owner.claim_delay()).await;
        if self.owner.claims.take_over(partition, epoch).await.is_err() {
            sleep(RETRY_PAUSE).await;
        }
    }
}
