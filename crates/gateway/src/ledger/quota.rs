//! Asking for a tenant's requests, and what goes on while no owner answers.

use super::client::LedgerClient;
use super::exchange::Exchange;
use fieldhook_ledger::message::{LedgerReply, LedgerRequest, QuotaReply, QuotaRequest};
use fieldhook_log::reach::Reach;
use fieldhook_traffic::share::Share;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long an owner is asked, and a new one found, before a request goes on without.
const ASK_LIMIT: Duration = Duration::from_millis(300);
/// The same within a minority of the zones, where nobody takes the place of an owner that is
/// out of reach: several times what one of the same zone takes.
const MINORITY_ASK_LIMIT: Duration = Duration::from_millis(60);
/// For so long after that, requests that can go on without an owner do not ask first.
const UNASKED_FOR: Duration = Duration::from_millis(400);

/// What became of the question whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The owner granted it.
    Granted,
    /// No owner answers; it is within the part that may be sent all the same.
    AdmittedLocally,
    /// The limit does not hold it.
    Refused {
        /// When it could, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// Nobody can tell.
    Unknown,
}

/// What this daemon was granted of tenants' limits.
pub struct TenantShares {
    by_tenant: RefCell<HashMap<Rc<str>, Share>>,
    /// Until when owners of partitions are not asked first.
    silent_until: RefCell<HashMap<u32, Instant>>,
    window_ms: u64,
    started: Instant,
}

impl TenantShares {
    /// Nothing was granted. Limits are judged over windows of this length.
    pub fn new(window_ms: u64) -> Self {
        Self {
            by_tenant: RefCell::default(),
            silent_until: RefCell::default(),
            window_ms,
            started: Instant::now(),
        }
    }

    fn with<T>(&self, tenant: &str, act: impl FnOnce(&mut Share, u64) -> T) -> T {
        let now_ms = self.started.elapsed().as_millis() as u64;
        let mut shares = self.by_tenant.borrow_mut();
        if let Some(share) = shares.get_mut(tenant) {
            return act(share, now_ms);
        }
        let mut share = Share::default();
        let outcome = act(&mut share, now_ms);
        shares.insert(Rc::from(tenant), share);
        outcome
    }

    fn is_silent(&self, partition: u32) -> bool {
        let until = self.silent_until.borrow().get(&partition).copied();
        until.is_some_and(|until| Instant::now() < until)
    }

    fn take_unasked(&self, tenant: &str) -> bool {
        self.with(tenant, |share, now_ms| {
            share.take_unasked(self.window_ms, now_ms)
        })
    }

    /// Takes one request of a tenant by asking `ledger`.
    pub async fn acquire(&self, ledger: &LedgerClient, question: &QuotaRequest) -> Outcome {
        let tenant = &question.tenant;
        let partition = ledger.partition_of(tenant);
        if self.is_silent(partition) && self.take_unasked(tenant) {
            return Outcome::AdmittedLocally;
        }
        let request = LedgerRequest::Quota(question.clone());
        let limit = match ledger.reach.get() {
            Reach::Minority => MINORITY_ASK_LIMIT,
            _ => ASK_LIMIT,
        };
        let deadline = Instant::now() + limit;
        match ledger.ask(&request, deadline).await {
            Some((LedgerReply::Quota(QuotaReply::Granted { used }), _)) => {
                self.silent_until.borrow_mut().remove(&partition);
                let window_s = self.window_ms as f64 / 1_000.0;
                let held = question.rate_per_s * window_s + question.burst;
                self.with(tenant, |share, now_ms| {
                    share.learn_limit(held);
                    share.granted(used, self.window_ms, now_ms);
                });
                Outcome::Granted
            }
            Some((LedgerReply::Quota(QuotaReply::Refused { retry_after_ms }), _)) => {
                Outcome::Refused { retry_after_ms }
            }
            _ => {
                let until = Instant::now() + UNASKED_FOR;
                self.silent_until.borrow_mut().insert(partition, until);
                match self.take_unasked(tenant) {
                    true => Outcome::AdmittedLocally,
                    false => Outcome::Unknown,
                }
            }
        }
    }
}

impl LedgerClient {
    /// Tells the owner of a limit that a client left, beside its request and once: clients leave
    /// by hundreds where owners are silent, and an owner that does not hear of it counts the
    /// program as a short one, nothing worse.
    pub(crate) fn report_client_left(self: &Rc<Self>, question: QuotaRequest) {
        let ledger = self.clone();
        ntex::rt::spawn(async move {
            let partition = ledger.partition_of(&question.tenant);
            let (program, tenant) = (question.program.clone(), question.tenant.clone());
            let request = LedgerRequest::Quota(question);
            let answer = ledger.exchange(partition, &request, ASK_LIMIT).await;
            if !matches!(answer, Exchange::Answered(..)) {
                tracing::info!(event = "left_untold", program, tenant, partition);
            }
        });
    }
}
