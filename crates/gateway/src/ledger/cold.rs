//! Admission of requests to cold servers, which started recently and can handle only few requests
//! per second. The owner of the partition that a server's identity
//! hashes to counts them, while a lease confirmed by the log guarantees that it is the only owner.

use super::client::LedgerClient;
use super::exchange::Exchange;
use super::limits::{self, LimitCounters};
use super::owner::Owner;
use fieldhook_ledger::message::{ColdServerRequest, LedgerReply, LedgerRequest, QuotaReply};
use fieldhook_log::api::StoreError;
use fieldhook_log::appender::fence;
use fieldhook_log::lease::{Lease, State, TERM_MS};
use fieldhook_log::ownership::{Claim, PreviousOwner};
use fieldhook_traffic::cold::{PERMIT_BOUNDS, PERMIT_VALIDITY_MS};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// A permit that arrives later than this is not used.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(PERMIT_VALIDITY_MS);
/// Pause before a request is sent again after the owner or the connection to it has changed.
const RETRY_PAUSE: Duration = Duration::from_millis(1);
/// Pause after the log did not confirm an owner, in milliseconds.
const CONFIRM_RETRY_MS: u64 = 100;
/// Timeout of the background search for an owner after one did not answer: an owner is
/// suspected after 250 ms, and a claim takes two log calls.
const OWNER_SEARCH_TIMEOUT: Duration = Duration::from_millis(700);

/// Counters of requests to cold servers, by partition, and the leases under which they may be
/// used.
pub(super) struct ColdCounters {
    limits: LimitCounters,
    leases: RefCell<HashMap<u32, Lease>>,
    /// Partitions with a confirmation under way.
    confirming: RefCell<HashSet<u32>>,
    /// When the last confirmation of a partition failed; removed once one succeeds.
    failed_ms: RefCell<HashMap<u32, u64>>,
    confirmed: Notify,
    started: Instant,
}

impl Default for ColdCounters {
    fn default() -> Self {
        Self {
            limits: LimitCounters::new(PERMIT_BOUNDS),
            leases: RefCell::default(),
            confirming: RefCell::default(),
            failed_ms: RefCell::default(),
            confirmed: Notify::new(),
            started: Instant::now(),
        }
    }
}

impl ColdCounters {
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

    /// Whether a confirmation failed too recently to try again.
    fn failed_recently(&self, partition: u32) -> bool {
        let failed_ms = self.failed_ms.borrow().get(&partition).copied();
        failed_ms.is_some_and(|failed_ms| self.now_ms() < failed_ms + CONFIRM_RETRY_MS)
    }

    fn confirm(&self, partition: u32, claim: &Claim, sent_ms: u64) {
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
            lease.confirm(sent_ms, self.now_ms());
        }
    }
}

/// Handles a request for a permit to use a cold server.
pub(super) async fn answer(
    owner: Rc<Owner>,
    partition: u32,
    request: ColdServerRequest,
    sender: mpsc::UnboundedSender<LedgerReply>,
) {
    let started = Instant::now();
    let reply = loop {
        let Some(claim) = owner.own_claim(partition) else {
            break LedgerReply::NotOwner(owner.known_owner(partition));
        };
        match owner.cold_counters.state(partition, &claim) {
            State::Held { needs_renewal } => {
                if needs_renewal {
                    ntex::rt::spawn(confirm(owner.clone(), partition, claim));
                }
                let admission_request = limits::cold_admission_request(&request);
                let limits = &owner.cold_counters.limits;
                break LedgerReply::Quota(limits.admit(partition, &claim, &admission_request));
            }
            // The lease of the previous owner may still be valid.
            State::Waiting(retry_after_ms) => {
                break LedgerReply::Quota(QuotaReply::Refused { retry_after_ms });
            }
            // The sender would not use a later reply.
            State::Expired if started.elapsed() >= PERMIT_TIMEOUT => {
                break LedgerReply::Unavailable;
            }
            State::Expired if owner.cold_counters.failed_recently(partition) => {
                break LedgerReply::Unavailable;
            }
            State::Expired => {
                let until = started + PERMIT_TIMEOUT;
                let confirmed = owner.cold_counters.confirmed.notified();
                ntex::rt::spawn(confirm(owner.clone(), partition, claim));
                let _ = timeout_at(until, confirmed).await;
            }
        }
    };
    let _ = sender.send(reply);
}

/// Confirms a claim by an append without records under the claim's epoch. Per partition, one such
/// call is under way at a time.
async fn confirm(owner: Rc<Owner>, partition: u32, claim: Claim) {
    let counters = &owner.cold_counters;
    if !counters.confirming.borrow_mut().insert(partition) {
        return;
    }
    let sent_ms = counters.now_ms();
    let append_timeout = Duration::from_millis(TERM_MS);
    let fenced = fence(
        owner.store.as_ref(),
        owner.log_partition(partition),
        claim.epoch,
        append_timeout,
    )
    .await;
    counters.confirming.borrow_mut().remove(&partition);
    match fenced {
        // The log reports a sequence error if this owner has appended records before, which also
        // shows that its epoch is current.
        Ok(()) | Err(StoreError::Sequence(_)) => counters.confirm(partition, &claim, sent_ms),
        Err(error) => {
            let now_ms = counters.now_ms();
            let previous = counters.failed_ms.borrow_mut().insert(partition, now_ms);
            if previous.is_none() {
                tracing::info!(
                    event = "cold_count_unconfirmed",
                    partition,
                    epoch = claim.epoch,
                    ?error
                );
            }
        }
    }
    counters.confirmed.notify_waiters();
}

impl LedgerClient {
    /// Requests a permit to send a request to a cold server; `None` if no owner answers in time.
    /// An owner is then searched for in the background, for the requests that follow.
    pub(crate) async fn request_cold_permit(
        self: &Rc<Self>,
        cold_request: &ColdServerRequest,
    ) -> Option<QuotaReply> {
        let request = LedgerRequest::Cold(cold_request.clone());
        let answer = timeout(PERMIT_TIMEOUT, self.request_permit_from_owner(&request)).await;
        if let Ok(Some(answer)) = answer {
            return Some(answer);
        }
        let partition = request.partition(self.owner.zone_state.layout.global_count());
        if self.owner_searches.borrow_mut().insert(partition) {
            let ledger = self.clone();
            ntex::rt::spawn(async move {
                let answer = ledger
                    .request_until_answered(&request, Instant::now() + OWNER_SEARCH_TIMEOUT)
                    .await;
                if answer.is_none() {
                    // The owner may answer but not be confirmed by the log.
                    ledger.replace_stuck(partition).await;
                }
                ledger.owner_searches.borrow_mut().remove(&partition);
            });
        }
        None
    }

    async fn request_permit_from_owner(&self, request: &LedgerRequest) -> Option<QuotaReply> {
        let partition = request.partition(self.owner.zone_state.layout.global_count());
        loop {
            match self.exchange(partition, request, PERMIT_TIMEOUT).await {
                Exchange::Answered(LedgerReply::Quota(answer), _) => return Some(answer),
                Exchange::RetryAfterChange | Exchange::RetryNow => sleep(RETRY_PAUSE).await,
                _ => return None,
            }
        }
    }
}
