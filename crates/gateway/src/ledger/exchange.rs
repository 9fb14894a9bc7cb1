//! One request to the owner of a partition, and what a missing reply says about the owner.

use super::client::LedgerClient;
use crate::upstream::probe;
use fieldhook_ledger::message::{LedgerReply, LedgerRequest};
use fieldhook_log::reach::Reach;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

/// If a timeout fires this much too late, this process was paused.
const PROCESS_PAUSE: Duration = Duration::from_millis(150);

/// Outcome of one request to the owner of a partition.
pub(super) enum Exchange {
    /// The owner replied; more replies may follow.
    Answered(LedgerReply, mpsc::UnboundedReceiver<LedgerReply>),
    /// There is no owner, it is gone, or it does not hold the partition; or it is this daemon,
    /// which is cut off from the log. The epoch is that of the owner's claim.
    OwnerGone(Option<u64>),
    /// The owner does not answer; the epoch is that of its claim.
    OwnerSilent(u64),
    /// The owner answers but cannot serve the request: it is loading or releasing the partition, or
    /// the turn was closed already. The epoch is that of its claim.
    OwnerLoading(u64),
    /// Retry once an ownership change is reported, or after a short wait.
    RetryAfterChange,
    /// Another daemon has claimed the partition, or a new connection is needed: retry at once.
    RetryNow,
}

impl Exchange {
    /// Returns why the owner cannot serve the request, if so.
    fn suspicion(&self) -> Option<Suspicion> {
        match self {
            Self::OwnerGone(epoch) => Some((*epoch, "gone")),
            Self::OwnerSilent(epoch) => Some((Some(*epoch), "silent")),
            Self::OwnerLoading(epoch) => Some((Some(*epoch), "reading")),
            Self::Answered(..) | Self::RetryAfterChange | Self::RetryNow => None,
        }
    }
}

/// What ended the wait for a reply.
pub(super) enum WaitEnd {
    /// A reply; `None` if the connection closed.
    Reply(Option<LedgerReply>),
    /// The partition has a newer claim than that of the owner that the request was sent to.
    NewClaim,
}

/// Epoch of an owner that cannot serve a request, and the reason as logged.
pub(super) type Suspicion = (Option<u64>, &'static str);

impl LedgerClient {
    /// Logs a suspicion about the owner of a partition if it is new, and records that the region
    /// of a home partition answered.
    pub(super) fn note_outcome(&self, partition: u32, exchange: Option<&Exchange>) {
        let Some(exchange) = exchange else {
            return;
        };
        self.note_region_outcome(partition, exchange);
        let mut suspicions = self.suspicions.borrow_mut();
        let Some(suspicion) = exchange.suspicion() else {
            suspicions.remove(&partition);
            return;
        };
        if suspicions.insert(partition, suspicion) != Some(suspicion) {
            let (epoch, state) = suspicion;
            let log_age_ms = self.log_health.ms_since_answer();
            tracing::info!(event = "owner_doubted", partition, epoch, state, log_age_ms);
        }
    }

    /// Sends a request once to the owner of the partition as far as this daemon knows it.
    pub(super) async fn exchange(
        &self,
        partition: u32,
        request: &LedgerRequest,
        reply_timeout: Duration,
    ) -> Exchange {
        let in_doubt = Cell::default();
        self.exchange_tracked(partition, request, &in_doubt, reply_timeout)
            .await
    }

    /// Like [`Self::exchange`]; `in_doubt` is set when the request is sent, and stays set if no
    /// reply tells what the owner did.
    pub(super) async fn exchange_tracked(
        &self,
        partition: u32,
        request: &LedgerRequest,
        in_doubt: &Cell<bool>,
        reply_timeout: Duration,
    ) -> Exchange {
        let claim = self.owner.claims.claim(partition);
        let Some(claim) = claim else {
            return Exchange::OwnerGone(None);
        };
        let Some(address) = claim.address else {
            return Exchange::OwnerGone(Some(claim.epoch));
        };
        let mine = self.owner.claims.is_mine(&claim);
        if mine && self.reach.get() == Reach::CutOff {
            // This daemon cannot append, but other daemons can.
            return Exchange::OwnerGone(Some(claim.epoch));
        }
        let was_connected = !mine && self.peers.is_connected(address);
        let was_in_doubt;
        let mut replies = if mine {
            let (sender, replies) = mpsc::unbounded_channel();
            was_in_doubt = in_doubt.replace(true);
            self.owner.handle(request.clone(), sender);
            replies
        } else if address == self.owner.claims.address {
            return Exchange::OwnerGone(Some(claim.epoch));
        } else {
            match self.peers.connection(address).await {
                Ok(connection) => {
                    was_in_doubt = in_doubt.replace(true);
                    connection.call(request.clone())
                }
                // No response at all: the owner's machine is down, or either side is cut off.
                Err(error) if probe::is_unreachable(error.kind()) => {
                    self.owner_timed_out.set(true);
                    return Exchange::OwnerSilent(claim.epoch);
                }
                Err(_) => return Exchange::OwnerGone(Some(claim.epoch)),
            }
        };
        let sent = Instant::now();
        let wait = self.wait_for_reply(partition, Some(claim.epoch), &mut replies);
        let reply = match timeout(reply_timeout, wait).await {
            Ok(WaitEnd::Reply(Some(reply))) => reply,
            Ok(WaitEnd::NewClaim) => return Exchange::RetryNow,
            // An older connection may have been closed by a network partition that is over: a
            // new connection shows whether the owner is gone.
            Ok(WaitEnd::Reply(None)) if was_connected => {
                self.peers.discard(address);
                return Exchange::RetryNow;
            }
            Ok(WaitEnd::Reply(None)) => {
                self.peers.discard(address);
                return Exchange::OwnerGone(Some(claim.epoch));
            }
            // The delay is this process's own, which was paused.
            Err(_) if sent.elapsed() > reply_timeout + PROCESS_PAUSE => {
                return Exchange::RetryAfterChange;
            }
            Err(_) => {
                self.owner_timed_out.set(true);
                return Exchange::OwnerSilent(claim.epoch);
            }
        };
        in_doubt.set(was_in_doubt);
        match reply {
            LedgerReply::Unavailable => Exchange::OwnerLoading(claim.epoch),
            // The owner cannot load the partition because the log does not answer it, so it is
            // replaced like one that does not answer.
            LedgerReply::NotLoaded => Exchange::OwnerSilent(claim.epoch),
            LedgerReply::NotOwner(Some(known)) if self.learn_owner(partition, &known) => {
                Exchange::RetryAfterChange
            }
            LedgerReply::NotOwner(_) if self.owner.claims.is_mine(&claim) => {
                Exchange::RetryAfterChange
            }
            LedgerReply::NotOwner(_) => Exchange::OwnerGone(Some(claim.epoch)),
            reply => Exchange::Answered(reply, replies),
        }
    }

    /// Waits for a reply or for a newer claim: once any daemon has replaced a lost owner, the
    /// others need not wait for their own timeouts.
    pub(super) async fn wait_for_reply(
        &self,
        partition: u32,
        epoch: Option<u64>,
        replies: &mut mpsc::UnboundedReceiver<LedgerReply>,
    ) -> WaitEnd {
        let claims = &self.owner.claims;
        loop {
            let changed = claims.changed.notified();
            if claims.claim(partition).map(|claim| claim.epoch) != epoch {
                return WaitEnd::NewClaim;
            }
            tokio::select! {
                biased;
                reply = replies.recv() => return WaitEnd::Reply(reply),
                () = changed => {}
            }
        }
    }
}
