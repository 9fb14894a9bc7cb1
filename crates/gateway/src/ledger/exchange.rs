//! One question to the owner of a partition, and what its silence may mean.

use super::client::LedgerClient;
use crate::upstream::probe;
use fieldhook_ledger::message::{LedgerReply, LedgerRequest};
use fieldhook_log::reach::Reach;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

/// A time-out that fires this much late shows that the process did not run.
const WOKEN_AFTER: Duration = Duration::from_millis(150);

/// One exchange with whoever owns the partition.
pub(super) enum Exchange {
    Answered(LedgerReply, mpsc::UnboundedReceiver<LedgerReply>),
    /// The owner is gone, or does not hold the partition; its claim had this epoch.
    Suspect(Option<u64>),
    /// The owner does not answer; its claim had this epoch.
    Silent(u64),
    /// The owner has claimed the partition and reads it; its claim has this epoch.
    Loading(u64),
    /// Ask again after news.
    Again,
    /// Another claimed the partition meanwhile, or the connection has to be made anew: ask
    /// again at once.
    Moved,
}

impl Exchange {
    /// What the exchange showed about the owner, if that is doubtful.
    fn doubt(&self) -> Option<Doubt> {
        match self {
            Self::Suspect(epoch) => Some((*epoch, "gone")),
            Self::Silent(epoch) => Some((Some(*epoch), "silent")),
            Self::Loading(epoch) => Some((Some(*epoch), "reading")),
            Self::Answered(..) | Self::Again | Self::Moved => None,
        }
    }
}

/// What ended the wait for an owner.
enum Heard {
    /// Its answer; `None` if its connection ended.
    Reply(Option<LedgerReply>),
    /// The partition has a newer claim than the one asked by.
    NewClaim,
}

/// Epoch of an owner and what is wrong with it.
pub(super) type Doubt = (Option<u64>, &'static str);

impl LedgerClient {
    /// Says a new doubt about the owner of a partition.
    pub(super) fn note(&self, partition: u32, exchange: Option<&Exchange>) {
        let Some(exchange) = exchange else {
            return;
        };
        self.note_region(partition, exchange);
        let mut doubts = self.doubts.borrow_mut();
        let Some(doubt) = exchange.doubt() else {
            doubts.remove(&partition);
            return;
        };
        if doubts.insert(partition, doubt) != Some(doubt) {
            let (epoch, state) = doubt;
            let log_age_ms = self.log_health.ms_since_answer();
            tracing::info!(event = "owner_doubted", partition, epoch, state, log_age_ms);
        }
    }

    /// Asks whoever owns the partition, as far as known, once.
    pub(super) async fn exchange(
        &self,
        partition: u32,
        request: &LedgerRequest,
        answer_limit: Duration,
    ) -> Exchange {
        let in_doubt = Cell::default();
        self.exchange_for(partition, request, &in_doubt, answer_limit)
            .await
    }

    /// The same; `in_doubt` is set once the owner is asked, and stays so where nothing is heard
    /// of what it did.
    pub(super) async fn exchange_for(
        &self,
        partition: u32,
        request: &LedgerRequest,
        in_doubt: &Cell<bool>,
        answer_limit: Duration,
    ) -> Exchange {
        let claim = self.owner.claims.claim(partition);
        let Some(claim) = claim else {
            return Exchange::Suspect(None);
        };
        let Some(address) = claim.address else {
            return Exchange::Suspect(Some(claim.epoch));
        };
        let mine = self.owner.claims.is_mine(&claim);
        if mine && self.reach.get() == Reach::CutOff {
            // Nothing can be appended from here, but others can.
            return Exchange::Suspect(Some(claim.epoch));
        }
        let was_connected = !mine && self.peers.is_connected(address);
        let was_in_doubt;
        let mut replies = if mine {
            let (sender, replies) = mpsc::unbounded_channel();
            was_in_doubt = in_doubt.replace(true);
            self.owner.handle(request.clone(), sender);
            replies
        } else if address == self.owner.claims.address {
            return Exchange::Suspect(Some(claim.epoch));
        } else {
            match self.peers.connection(address).await {
                Ok(connection) => {
                    was_in_doubt = in_doubt.replace(true);
                    connection.call(request.clone())
                }
                // Nothing came back: the owner's machine is gone, or either side is cut off.
                Err(error) if probe::is_unreachable(error.kind()) => {
                    self.silent_owner.set(true);
                    return Exchange::Silent(claim.epoch);
                }
                Err(_) => return Exchange::Suspect(Some(claim.epoch)),
            }
        };
        let asked = Instant::now();
        let heard = self.hear(partition, claim.epoch, &mut replies);
        let reply = match timeout(answer_limit, heard).await {
            Ok(Heard::Reply(Some(reply))) => reply,
            Ok(Heard::NewClaim) => return Exchange::Moved,
            // A connection that was kept may have ended in a cut that is over: a new one tells
            // whether the owner is gone.
            Ok(Heard::Reply(None)) if was_connected => {
                self.peers.discard(address);
                return Exchange::Moved;
            }
            Ok(Heard::Reply(None)) => {
                self.peers.discard(address);
                return Exchange::Suspect(Some(claim.epoch));
            }
            // Woken from a freeze, this process is what was late.
            Err(_) if asked.elapsed() > answer_limit + WOKEN_AFTER => return Exchange::Again,
            Err(_) => {
                self.silent_owner.set(true);
                return Exchange::Silent(claim.epoch);
            }
        };
        in_doubt.set(was_in_doubt);
        match reply {
            LedgerReply::Unavailable => Exchange::Loading(claim.epoch),
            LedgerReply::NotLoaded => Exchange::Silent(claim.epoch),
            LedgerReply::NotOwner(Some(known)) if self.learn(partition, &known) => Exchange::Again,
            LedgerReply::NotOwner(_) if self.owner.claims.is_mine(&claim) => Exchange::Again,
            LedgerReply::NotOwner(_) => Exchange::Suspect(Some(claim.epoch)),
            reply => Exchange::Answered(reply, replies),
        }
    }

    /// Waits for an answer, or for the claim of another: whoever found the owner lost first
    /// spares the others their own wait.
    async fn hear(
        &self,
        partition: u32,
        epoch: u64,
        replies: &mut mpsc::UnboundedReceiver<LedgerReply>,
    ) -> Heard {
        let claims = &self.owner.claims;
        loop {
            let changed = claims.changed.notified();
            if claims.claim(partition).map(|claim| claim.epoch) != Some(epoch) {
                return Heard::NewClaim;
            }
            tokio::select! {
                biased;
                reply = replies.recv() => return Heard::Reply(reply),
                () = changed => {}
            }
        }
    }
}
