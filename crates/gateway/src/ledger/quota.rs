//! Requests admission under a tenant's limit from its owner, and admits requests from the local
//! share while no owner answers.

use super::client::LedgerClient;
use super::exchange::Exchange;
use fieldhook_ledger::message::{LedgerReply, LedgerRequest, QuotaReply, QuotaRequest};
use fieldhook_log::reach::Reach;
use fieldhook_traffic::fallback_quota::FallbackQuota;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Timeout for a reply of the owner of a tenant's partition, which includes finding a new owner.
/// After that a request is decided without the owner.
const OWNER_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for a reply of the owner while this daemon is cut off with a minority of the daemons or
/// zones, where owners that cannot be reached are not replaced. This is several times what an owner
/// in the same zone takes to reply.
const MINORITY_OWNER_TIMEOUT: Duration = Duration::from_millis(60);
/// For this long after an owner did not answer, requests that the local share covers are admitted
/// without a request to the owner.
const SKIP_OWNER_FOR: Duration = Duration::from_millis(400);

/// Decision on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The owner admitted it.
    Granted,
    /// No owner answers, and it is within the local share of the limit.
    AdmittedLocally,
    /// It exceeds the limit.
    Refused {
        /// Milliseconds until it can be admitted.
        retry_after_ms: u64,
    },
    /// No owner answers, and the local share does not cover it.
    Unknown,
}

/// This daemon's local shares of the tenants' limits, as granted by the owners.
pub struct LocalShares {
    by_tenant: RefCell<HashMap<Rc<str>, FallbackQuota>>,
    /// Until when the owner of a partition is not asked before the local share is used.
    skip_owner_until: RefCell<HashMap<u32, Instant>>,
    window_ms: u64,
    started: Instant,
}

impl LocalShares {
    /// Creates empty shares. Limits apply to windows of this length.
    pub fn new(window_ms: u64) -> Self {
        Self {
            by_tenant: RefCell::default(),
            skip_owner_until: RefCell::default(),
            window_ms,
            started: Instant::now(),
        }
    }

    /// Calls `act` with the share of a tenant and the current time.
    fn with_share<T>(&self, tenant: &str, act: impl FnOnce(&mut FallbackQuota, u64) -> T) -> T {
        let now_ms = self.started.elapsed().as_millis() as u64;
        let mut shares = self.by_tenant.borrow_mut();
        if let Some(share) = shares.get_mut(tenant) {
            return act(share, now_ms);
        }
        let mut share = FallbackQuota::default();
        let outcome = act(&mut share, now_ms);
        shares.insert(Rc::from(tenant), share);
        outcome
    }

    /// Whether the owner of a partition did not answer recently.
    fn skips_owner(&self, partition: u32) -> bool {
        let until = self.skip_owner_until.borrow().get(&partition).copied();
        until.is_some_and(|until| Instant::now() < until)
    }

    fn take_from_share(&self, tenant: &str) -> bool {
        self.with_share(tenant, |share, now_ms| share.take(self.window_ms, now_ms))
    }

    /// Decides on one request of a tenant, by the owner of the tenant's partition if that answers.
    pub async fn acquire(&self, ledger: &LedgerClient, quota_request: &QuotaRequest) -> Outcome {
        let tenant = &quota_request.tenant;
        let partition = ledger.partition_of(tenant);
        if self.skips_owner(partition) && self.take_from_share(tenant) {
            return Outcome::AdmittedLocally;
        }
        let request = LedgerRequest::Quota(quota_request.clone());
        let owner_timeout = match ledger.reach.get() {
            Reach::Minority => MINORITY_OWNER_TIMEOUT,
            _ => OWNER_TIMEOUT,
        };
        let deadline = Instant::now() + owner_timeout;
        match ledger.request_until_answered(&request, deadline).await {
            Some((LedgerReply::Quota(QuotaReply::Granted { used }), _)) => {
                self.skip_owner_until.borrow_mut().remove(&partition);
                let window_s = self.window_ms as f64 / 1_000.0;
                let limit = quota_request.rate_per_s * window_s + quota_request.burst;
                self.with_share(tenant, |share, now_ms| {
                    share.set_window_limit(limit);
                    share.record_grant(used, self.window_ms, now_ms);
                });
                Outcome::Granted
            }
            Some((LedgerReply::Quota(QuotaReply::Refused { retry_after_ms }), _)) => {
                Outcome::Refused { retry_after_ms }
            }
            _ => {
                let until = Instant::now() + SKIP_OWNER_FOR;
                self.skip_owner_until.borrow_mut().insert(partition, until);
                match self.take_from_share(tenant) {
                    true => Outcome::AdmittedLocally,
                    false => Outcome::Unknown,
                }
            }
        }
    }
}

impl LedgerClient {
    /// Reports to the owner of a tenant's partition, in the background, that a client disconnected.
    /// The report is sent only once: hundreds of clients disconnect when owners stop answering, and
    /// an owner that misses a report merely refunds nothing and counts the program as one that
    /// ended after few requests.
    pub(crate) fn report_disconnect(self: &Rc<Self>, report: QuotaRequest) {
        let ledger = self.clone();
        ntex::rt::spawn(async move {
            let partition = ledger.partition_of(&report.tenant);
            let (program, tenant) = (report.program.clone(), report.tenant.clone());
            let request = LedgerRequest::Quota(report);
            let answer = ledger.exchange(partition, &request, OWNER_TIMEOUT).await;
            if !matches!(answer, Exchange::Answered(..)) {
                tracing::info!(event = "left_untold", program, tenant, partition);
            }
        });
    }
}
