//! What cold servers may get: the owner of the partition that a server's identity hashes to
//! counts for it, while the log confirms that it is the only one.

use super::client::LedgerClient;
use super::exchange::Exchange;
use super::limits::{self, Limits};
use super::owner::Owner;
use fieldhook_ledger::message::{ColdServerRequest, LedgerReply, LedgerRequest, QuotaReply};
use fieldhook_log::api::StoreError;
use fieldhook_log::appender::fence;
use fieldhook_log::lease::{Lease, State, TERM_MS};
use fieldhook_log::ownership::{Claim, PreviousOwner};
use fieldhook_traffic::cold::{BOUNDS, PERMIT_MS};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// A permit that comes later than this is void.
const PERMIT: Duration = Duration::from_millis(PERMIT_MS);
/// Pause before another owner, of whom this daemon just learned, is asked.
const AGAIN: Duration = Duration::from_millis(1);
/// After the log did not confirm an owner it is left alone for so long, in milliseconds.
const PAUSE_MS: u64 = 100;
/// How long an owner that does not answer is looked for, beside the request: an owner is
/// suspected after 250 ms, and a claim takes two calls of the log.
const SEARCH: Duration = Duration::from_millis(700);

/// Counts of the partitions owned here, and until when they may be acted on.
pub(super) struct Counts {
    limits: Limits,
    leases: RefCell<HashMap<u32, Lease>>,
    /// Partitions of which the log is asked.
    asked: RefCell<HashSet<u32>>,
    /// When the log last did not confirm a partition that it has not confirmed since.
    failed_ms: RefCell<HashMap<u32, u64>>,
    confirmed: Notify,
    started: Instant,
}

impl Default for Counts {
    fn default() -> Self {
        Self {
            limits: Limits::new(BOUNDS),
            leases: RefCell::default(),
            asked: RefCell::default(),
            failed_ms: RefCell::default(),
            confirmed: Notify::new(),
            started: Instant::now(),
        }
    }
}

impl Counts {
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn state(&self, partition: u32, claim: &Claim) -> State {
        let leases = self.leases.borrow();
        let lease = leases
            .get(&partition)
            .filter(|lease| lease.epoch == claim.epoch);
        lease.map_or(State::Expired, |lease| lease.state(self.now_ms()))
    }

    /// Whether the log is better left alone for a moment.
    fn has_just_failed(&self, partition: u32) -> bool {
        let failed_ms = self.failed_ms.borrow().get(&partition).copied();
        failed_ms.is_some_and(|failed_ms| self.now_ms() < failed_ms + PAUSE_MS)
    }

    fn confirm(&self, partition: u32, claim: &Claim, asked_ms: u64) {
        let mut leases = self.leases.borrow_mut();
        self.failed_ms.borrow_mut().remove(&partition);
        let is_known = leases
            .get(&partition)
            .is_some_and(|lease| lease.epoch == claim.epoch);
        if !is_known {
            let lease = Lease::new(claim.epoch, claim.previous_owner != PreviousOwner::None);
            leases.insert(partition, lease);
        }
        if let Some(lease) = leases.get_mut(&partition) {
            lease.confirm(asked_ms, self.now_ms());
        }
    }
}

/// Answers a question about a cold server.
pub(super) async fn answer(
    owner: Rc<Owner>,
    partition: u32,
    question: ColdServerRequest,
    sender: mpsc::UnboundedSender<LedgerReply>,
) {
    let asked = Instant::now();
    let reply = loop {
        let Some(claim) = owner.own_claim(partition) else {
            break LedgerReply::NotOwner(owner.known_owner(partition));
        };
        match owner.counts.state(partition, &claim) {
            State::Held { needs_renewal } => {
                if needs_renewal {
                    ntex::rt::spawn(confirm(owner.clone(), partition, claim));
                }
                let question = limits::of_cold(&question);
                let limits = &owner.counts.limits;
                break LedgerReply::Quota(limits.ask(partition, &claim, &question));
            }
            State::Waiting(retry_after_ms) => {
                break LedgerReply::Quota(QuotaReply::Refused { retry_after_ms });
            }
            // Whoever asks would not take a later answer.
            State::Expired if asked.elapsed() >= PERMIT => break LedgerReply::Unavailable,
            State::Expired if owner.counts.has_just_failed(partition) => {
                break LedgerReply::Unavailable;
            }
            State::Expired => {
                let until = asked + PERMIT;
                let confirmed = owner.counts.confirmed.notified();
                ntex::rt::spawn(confirm(owner.clone(), partition, claim));
                let _ = timeout_at(until, confirmed).await;
            }
        }
    };
    let _ = sender.send(reply);
}

/// Has the log confirm a claim, by an append of its epoch without a record. One call at a
/// time is under way for a partition.
async fn confirm(owner: Rc<Owner>, partition: u32, claim: Claim) {
    let counts = &owner.counts;
    if !counts.asked.borrow_mut().insert(partition) {
        return;
    }
    let asked_ms = counts.now_ms();
    let limit = Duration::from_millis(TERM_MS);
    let told = fence(
        owner.store.as_ref(),
        owner.place(partition),
        claim.epoch,
        limit,
    )
    .await;
    counts.asked.borrow_mut().remove(&partition);
    match told {
        // An owner that has appended records is told their number: its epoch is in force.
        Ok(()) | Err(StoreError::Sequence(_)) => counts.confirm(partition, &claim, asked_ms),
        Err(error) => {
            let now_ms = counts.now_ms();
            let former = counts.failed_ms.borrow_mut().insert(partition, now_ms);
            if former.is_none() {
                tracing::info!(
                    event = "cold_count_unconfirmed",
                    partition,
                    epoch = claim.epoch,
                    ?error
                );
            }
        }
    }
    counts.confirmed.notify_waiters();
}

impl LedgerClient {
    /// Asks once whether a request may be sent to a cold server; `None` where no owner
    /// answers in time. That one is looked for then, for the requests that follow.
    pub(crate) async fn request_cold_permit(
        self: &Rc<Self>,
        question: &ColdServerRequest,
    ) -> Option<QuotaReply> {
        let request = LedgerRequest::Cold(question.clone());
        let answer = timeout(PERMIT, self.ask_cold_owner(&request)).await;
        if let Ok(Some(answer)) = answer {
            return Some(answer);
        }
        let partition = request.partition(self.owner.zone_state.layout.global_count());
        if self.searching.borrow_mut().insert(partition) {
            let ledger = self.clone();
            ntex::rt::spawn(async move {
                let answer = ledger.ask(&request, Instant::now() + SEARCH).await;
                if answer.is_none() {
                    // It answers, and the log does not confirm it.
                    ledger.replace_stuck(partition).await;
                }
                ledger.searching.borrow_mut().remove(&partition);
            });
        }
        None
    }

    async fn ask_cold_owner(&self, request: &LedgerRequest) -> Option<QuotaReply> {
        let partition = request.partition(self.owner.zone_state.layout.global_count());
        loop {
            match self.exchange(partition, request, PERMIT).await {
                Exchange::Answered(LedgerReply::Quota(answer), _) => return Some(answer),
                Exchange::Again | Exchange::Moved => sleep(AGAIN).await,
                _ => return None,
            }
        }
    }
}
