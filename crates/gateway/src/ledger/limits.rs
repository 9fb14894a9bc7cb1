//! Counters of requests against the limits of tenants and cold servers, kept by the owners of
//! their partitions.

use fieldhook_ledger::message::{ColdServerRequest, QuotaReply, QuotaRequest};
use fieldhook_log::ownership::{self, Claim};
use fieldhook_traffic::cold;
use fieldhook_traffic::quota::{AdmissionRequest, PreviousGrants, QuotaDecision, QuotaTracker};
use fieldhook_traffic::sliding_window::Bounds;
use fieldhook_traffic::tenants::Limit;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::time::Instant;

/// The counters of a partition under one claim.
struct ClaimCounters {
    epoch: u64,
    counters: QuotaTracker,
}

/// Counters by partition.
pub(super) struct LimitCounters {
    bounds: Bounds,
    by_partition: RefCell<HashMap<u32, ClaimCounters>>,
    started: Instant,
}

impl LimitCounters {
    pub(super) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            by_partition: RefCell::default(),
            started: Instant::now(),
        }
    }

    /// Returns the fraction of its limit that each tenant uses, 0 to 1, largest first. Partitions
    /// for which `is_held` is false belong to other daemons by now and are skipped.
    pub(super) fn usage(&self, is_held: impl Fn(u32) -> bool) -> Vec<(Rc<str>, f64)> {
        let now_ms = self.started.elapsed().as_millis() as u64;
        let mut by_partition = self.by_partition.borrow_mut();
        let held = by_partition
            .iter_mut()
            .filter(|(partition, _)| is_held(**partition));
        let mut usage: Vec<(Rc<str>, f64)> = held
            .flat_map(|(_, claim)| claim.counters.usage(now_ms))
            .collect();
        usage.sort_by(|left, right| right.1.total_cmp(&left.1));
        usage
    }

    /// Counts a request in a partition that this daemon has claimed, and decides whether it is
    /// within its limit.
    pub(super) fn admit(
        &self,
        partition: u32,
        claim: &Claim,
        request: &AdmissionRequest<'_>,
    ) -> QuotaReply {
        self.with_counters(partition, claim, |counters, now_ms| {
            quota_reply(counters.decide(request, now_ms))
        })
    }

    /// Records that the client of a program's last request disconnected.
    pub(super) fn record_disconnect(
        &self,
        partition: u32,
        claim: &Claim,
        report: &QuotaRequest,
    ) -> QuotaReply {
        let (tenant, program) = (&report.tenant, report.program.as_deref());
        self.with_counters(partition, claim, |counters, now_ms| {
            counters.record_disconnect(tenant, program, now_ms);
            QuotaReply::Granted {
                used: counters.usage_of(tenant, now_ms),
            }
        })
    }

    /// Calls `act` with the counters of a claim, which start empty with each claim.
    fn with_counters(
        &self,
        partition: u32,
        claim: &Claim,
        act: impl FnOnce(&mut QuotaTracker, u64) -> QuotaReply,
    ) -> QuotaReply {
        let now_ms = self.started.elapsed().as_millis() as u64;
        let mut by_partition = self.by_partition.borrow_mut();
        let is_current = by_partition
            .get(&partition)
            .is_some_and(|current| current.epoch == claim.epoch);
        if !is_current {
            let new = ClaimCounters {
                epoch: claim.epoch,
                counters: QuotaTracker::new(self.bounds, previous_owner(claim), now_ms),
            };
            by_partition.insert(partition, new);
        }
        let Some(current) = by_partition.get_mut(&partition) else {
            return QuotaReply::Refused { retry_after_ms: 0 };
        };
        act(&mut current.counters, now_ms)
    }
}

/// Grants of the previous owner are not known, whether or not it released the partition in a
/// planned stop.
fn previous_owner(claim: &Claim) -> PreviousGrants {
    match claim.previous_owner {
        ownership::PreviousOwner::None => PreviousGrants::None,
        ownership::PreviousOwner::HandedOver { .. } | ownership::PreviousOwner::Lost => {
            PreviousGrants::Lost
        }
    }
}

/// Converts a request about a cold server.
pub(super) fn cold_admission_request(request: &ColdServerRequest) -> AdmissionRequest<'_> {
    cold::permit_request(
        &request.server,
        request.rate_per_s,
        request.version,
        request.priority,
    )
}

/// Converts a request about a tenant.
pub(super) fn tenant_admission_request(request: &QuotaRequest) -> AdmissionRequest<'_> {
    AdmissionRequest {
        tenant: &request.tenant,
        limit: Limit {
            rate_per_s: request.rate_per_s,
            burst: request.burst,
        },
        version: request.version,
        program: request.program.as_deref(),
        route: &request.route,
        starts_program: request.starts_program,
        max_wait_ms: request.max_wait_ms,
        reserved: 0,
    }
}

fn quota_reply(decision: QuotaDecision) -> QuotaReply {
    match decision {
        QuotaDecision::Granted { used } => QuotaReply::Granted { used },
        QuotaDecision::Refused { retry_after_ms } => QuotaReply::Refused { retry_after_ms },
    }
}
