//! Finding or becoming the next owner of a partition whose owner does not answer.

use super::client::{CHANGE_WAIT, LedgerClient, PAUSE};
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

/// Daemons that are asked who owns a partition.
const PEERS_ASKED: usize = 3;
/// Owners that are tried where this daemon may be cut off with few others: so many that those
/// few are seldom half of them.
const OWNERS_LOOKED_AT: usize = 16;
/// Time that they have to answer.
const PEER_ANSWER_LIMIT: Duration = Duration::from_millis(120);
/// Time that they have to claim a partition.
const CLAIM_ANSWER_LIMIT: Duration = Duration::from_millis(400);
/// Time that the log has to answer a probe of a partition.
const PROBE_LIMIT: Duration = Duration::from_millis(300);
/// Time without a failed call of the log after which a silent owner is suspected.
const STEADY: Duration = Duration::from_millis(800);

/// Time without a failed call of the log after which this daemon was not cut off lately: a
/// call that is cut off fails after 1.5 s at most. Until then the silence of an owner may be
/// from the time of a cut that is over, and the owner is asked once more.
const SETTLED: Duration = Duration::from_millis(3_000);
/// Time that an owner has to answer on a new connection.
const CONNECTED_ANSWER_LIMIT: Duration = Duration::from_millis(250);

struct ClaimGuard<'a> {
    claiming: &'a RefCell<HashSet<u32>>,
    partition: u32,
}

impl Drop for ClaimGuard<'_> {
    fn drop(&mut self) {
        self.claiming.borrow_mut().remove(&self.partition);
    }
}

impl LedgerClient {
    /// Takes in what another daemon knows of an owner. True if it was news.
    pub(super) fn learn(&self, partition: u32, known: &KnownOwner) -> bool {
        let Ok(address) = known.address.parse() else {
            return false;
        };
        let claim = Claim {
            address: Some(address),
            incarnation: known.incarnation,
            epoch: known.epoch,
            previous_owner: PreviousOwner::Lost,
            settled_doubt_ms: None,
        };
        self.owner.claims.learn(partition, claim)
    }

    /// Asks some other owners who owns a partition: a daemon that is cut off the log
    /// does not hear of claims. True if one knew a newer owner.
    async fn learn_from_peers(&self, partition: u32, epoch: Option<u64>) -> bool {
        let suspected = self
            .owner
            .claims
            .claim(partition)
            .and_then(|claim| claim.address);
        let question = LedgerRequest::FindOwner(partition);
        let answers = self
            .ask_peers(suspected, &question, PEER_ANSWER_LIMIT)
            .await;
        let mut news = false;
        for answer in answers.into_iter().flatten() {
            if let LedgerReply::NotOwner(Some(known)) = answer {
                news |= Some(known.epoch) > epoch && self.learn(partition, &known);
            }
        }
        news
    }

    /// Asks some daemons, chosen at random, the same question at once; `None` stands for
    /// one that did not answer.
    async fn ask_peers(
        &self,
        except: Option<SocketAddr>,
        question: &LedgerRequest,
        limit: Duration,
    ) -> Vec<Option<LedgerReply>> {
        self.ask_so_many(PEERS_ASKED, except, question, limit).await
    }

    async fn ask_so_many(
        &self,
        most: usize,
        except: Option<SocketAddr>,
        question: &LedgerRequest,
        limit: Duration,
    ) -> Vec<Option<LedgerReply>> {
        let mut others = self.owner.claims.addresses();
        others.retain(|other| *other != self.owner.claims.address && Some(*other) != except);
        fastrand::shuffle(&mut others);
        let asked = others
            .into_iter()
            .take(most)
            .map(|other| self.ask_peer(other, question, limit));
        join_all(asked).await
    }

    pub(super) async fn ask_peer(
        &self,
        address: SocketAddr,
        question: &LedgerRequest,
        limit: Duration,
    ) -> Option<LedgerReply> {
        self.peers.request(address, question, limit).await
    }

    /// Asks some daemons whether the log answers them.
    pub async fn ask_who_reaches_log(&self) -> Round {
        let answers = self
            .ask_peers(None, &LedgerRequest::HasRecentLogContact, PEER_ANSWER_LIMIT)
            .await;
        let reach_log = |answer: &&LedgerReply| matches!(answer, LedgerReply::LogContact(true));
        Round::Asked {
            asked: answers.len(),
            answered: answers.iter().flatten().count(),
            reach_log: answers.iter().flatten().filter(reach_log).count(),
        }
    }

    /// Asks more daemons whether they answer at all: how many were asked, and how many did.
    pub async fn ask_who_answers(&self) -> (usize, usize) {
        let question = LedgerRequest::HasRecentLogContact;
        let answers = self
            .ask_so_many(OWNERS_LOOKED_AT, None, &question, PEER_ANSWER_LIMIT)
            .await;
        (answers.len(), answers.iter().flatten().count())
    }

    /// Asks some daemons for a configuration newer than this version.
    pub async fn ask_for_config(&self, version: u64) -> Vec<ConfigUpdate> {
        let question = LedgerRequest::Config(version);
        let answers = self.ask_peers(None, &question, PEER_ANSWER_LIMIT).await;
        let news = answers.into_iter().flatten();
        news.filter_map(|answer| match answer {
            LedgerReply::Config(news) => Some(news),
            _ => None,
        })
        .collect()
    }

    /// Asks daemons that reach the log to claim a partition. True if there is a newer
    /// owner.
    async fn have_it_claimed(&self, partition: u32, epoch: u64) -> bool {
        if self.owner.zone_state.layout.region(partition).is_some() {
            return self.have_region_claim(partition, epoch).await;
        }
        let question = LedgerRequest::Claim(ClaimPartition::replacing(partition, Some(epoch)));
        let answers = self.ask_peers(None, &question, CLAIM_ANSWER_LIMIT).await;
        let mut news = false;
        for answer in answers.into_iter().flatten() {
            if let LedgerReply::NotOwner(Some(known)) = answer {
                news |= self.learn(partition, &known);
            }
        }
        news
    }

    /// Asks other owners of the region that a partition belongs to, to claim it. True if there
    /// is a newer owner.
    async fn have_region_claim(&self, partition: u32, epoch: u64) -> bool {
        let claim = self.owner.claims.claim(partition);
        let suspected = claim.and_then(|claim| claim.address);
        let mut others = self.owners_in_region_of(partition);
        others.retain(|other| Some(*other) != suspected);
        let question = LedgerRequest::Claim(ClaimPartition::replacing(partition, Some(epoch)));
        for other in others {
            let answer = self.ask_peer(other, &question, CLAIM_ANSWER_LIMIT).await;
            if let Some(LedgerReply::NotOwner(Some(known))) = answer
                && self.learn(partition, &known)
            {
                return true;
            }
        }
        false
    }

    /// Waits for news of a partition that only daemons of another region may own; false
    /// where this one may. They look after their owners themselves: a daemon that is cut off
    /// their region would otherwise replace owners that serve it well. What nobody owns they
    /// are asked to claim.
    async fn left_to_region(&self, partition: u32, epoch: Option<u64>) -> bool {
        if self.owner.claims.is_eligible(partition) {
            return false;
        }
        if self.have_unowned_claimed(partition).await {
            return true;
        }
        if !self.log_health.is_failing() || !self.learn_from_peers(partition, epoch).await {
            let _ = timeout(CHANGE_WAIT, self.owner.claims.changed.notified()).await;
        }
        true
    }

    /// Takes a partition from an owner that noted an end and does not append it, if that
    /// owner says itself that the log does not answer it.
    pub(super) async fn replace_stuck(&self, partition: u32) {
        let claims = &self.owner.claims;
        let Some(claim) = claims.claim(partition) else {
            return;
        };
        let Some(address) = claim.address.filter(|_| !claims.is_mine(&claim)) else {
            return;
        };
        let question = LedgerRequest::HasRecentLogContact;
        let answer = self.ask_peer(address, &question, PEER_ANSWER_LIMIT).await;
        match answer {
            Some(LedgerReply::LogContact(true)) => {}
            // By the owner's own word: a daemon of its region may claim without a look.
            Some(LedgerReply::LogContact(false)) if !claims.is_eligible(partition) => {
                if !self.have_region_claim(partition, claim.epoch).await {
                    let _ = timeout(CHANGE_WAIT, claims.changed.notified()).await;
                }
            }
            _ => self.replace_silent(partition, claim.epoch).await,
        }
    }

    /// Whether the log answers this daemon for a partition: some may be down while others
    /// are not, and a new owner of one that is down could do no more than the present one.
    pub(super) async fn reaches(&self, partition: u32) -> bool {
        matches!(
            self.owner.probe(partition, PROBE_LIMIT).await,
            Ok(()) | Err(StoreError::Fenced)
        )
    }

    /// Whether the owner of a partition answers now.
    async fn owner_answers(&self, partition: u32) -> bool {
        let claim = self.owner.claims.claim(partition);
        let Some(address) = claim.and_then(|claim| claim.address) else {
            return false;
        };
        self.peers.discard(address);
        let answer = self.ask_peer(
            address,
            &LedgerRequest::HasRecentLogContact,
            CONNECTED_ANSWER_LIMIT,
        );
        answer.await.is_some()
    }

    /// Takes a partition from an owner that does not answer, unless the log itself was
    /// in trouble a moment ago: the owner may be about to append what waits.
    pub(super) async fn replace_silent(&self, partition: u32, epoch: u64) {
        if self.left_to_region(partition, Some(epoch)).await {
            return;
        }
        let may_claim = self.log_health.no_failure_for(STEADY)
            && self.reaches(partition).await
            && (self.log_health.no_failure_for(SETTLED) || !self.owner_answers(partition).await);
        if may_claim {
            self.replace(partition, Some(epoch)).await;
        } else if !self.learn_from_peers(partition, Some(epoch)).await {
            let _ = timeout(CHANGE_WAIT, self.owner.claims.changed.notified()).await;
        }
    }

    /// Takes a partition from an owner that is gone or silent. Without contact to
    /// the log service nobody can; the owner's own appends wait as well then. One
    /// request claims for all that wait for the partition.
    pub(super) async fn replace(&self, partition: u32, epoch: Option<u64>) {
        if self.left_to_region(partition, epoch).await {
            return;
        }
        if self.reach.get() == Reach::Minority {
            // The other zones go on: taken from here, a partition would be taken back.
            let _ = timeout(CHANGE_WAIT, self.owner.claims.changed.notified()).await;
            return;
        }
        if self.log_health.is_failing() && self.learn_from_peers(partition, epoch).await {
            return;
        }
        if self.reach.get() == Reach::CutOff
            && let Some(epoch) = epoch
            && self.have_it_claimed(partition, epoch).await
        {
            return;
        }
        if self.log_health.is_failing() || !self.claiming.borrow_mut().insert(partition) {
            let _ = timeout(CHANGE_WAIT, self.owner.claims.changed.notified()).await;
            return;
        }
        // The guard ends the claim also where its request is given up.
        let _guard = ClaimGuard {
            claiming: &self.claiming,
            partition,
        };
        // One after another: requests find several owners gone in the same moment, and what
        // was claimed first is to be read first.
        let _turn = self.claim_turn.lock().await;
        sleep(self.owner.claim_delay()).await;
        if self.owner.claims.take_over(partition, epoch).await.is_err() {
            sleep(PAUSE).await;
        }
    }
}
