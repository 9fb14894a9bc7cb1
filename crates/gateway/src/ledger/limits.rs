//! What tenants may send, and what cold servers may get, counted where their partitions are
//! owned.

use fieldhook_ledger::message::{ColdServerRequest, QuotaReply, QuotaRequest};
use fieldhook_log::ownership::{self, Claim};
use fieldhook_traffic::cold;
use fieldhook_traffic::quota::{AdmissionRequest, PreviousOwner, QuotaDecision, QuotaTracker};
use fieldhook_traffic::sliding_window::Bounds;
use fieldhook_traffic::tenants::Limit;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::time::Instant;

/// The book of one claim.
struct Kept {
    epoch: u64,
    book: QuotaTracker,
}

/// Books of the partitions owned here.
pub(super) struct Limits {
    bounds: Bounds,
    books: RefCell<HashMap<u32, Kept>>,
    started: Instant,
}

impl Limits {
    pub(super) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            books: RefCell::default(),
            started: Instant::now(),
        }
    }

    /// How much of its limit each tenant counted here uses, 0 to 1, most first. Partitions
    /// that `is_held` does not name are another daemon's by now.
    pub(super) fn used(&self, is_held: impl Fn(u32) -> bool) -> Vec<(Rc<str>, f64)> {
        let now_ms = self.started.elapsed().as_millis() as u64;
        let mut books = self.books.borrow_mut();
        let held = books
            .iter_mut()
            .filter(|(partition, _)| is_held(**partition));
        let mut used: Vec<(Rc<str>, f64)> =
            held.flat_map(|(_, kept)| kept.book.usage(now_ms)).collect();
        used.sort_by(|left, right| right.1.total_cmp(&left.1));
        used
    }

    /// Answers a question about what is counted in a partition that this daemon has claimed.
    pub(super) fn ask(
        &self,
        partition: u32,
        claim: &Claim,
        question: &AdmissionRequest<'_>,
    ) -> QuotaReply {
        self.with_book(partition, claim, |book, now_ms| {
            answer(book.decide(question, now_ms))
        })
    }

    /// Takes in that the client of a program's last request left.
    pub(super) fn client_left(
        &self,
        partition: u32,
        claim: &Claim,
        question: &QuotaRequest,
    ) -> QuotaReply {
        let (tenant, program) = (&question.tenant, question.program.as_deref());
        self.with_book(partition, claim, |book, now_ms| {
            book.record_disconnect(tenant, program, now_ms);
            QuotaReply::Granted {
                used: book.usage_of(tenant, now_ms),
            }
        })
    }

    fn with_book(
        &self,
        partition: u32,
        claim: &Claim,
        act: impl FnOnce(&mut QuotaTracker, u64) -> QuotaReply,
    ) -> QuotaReply {
        let now_ms = self.started.elapsed().as_millis() as u64;
        let mut books = self.books.borrow_mut();
        let is_current = books
            .get(&partition)
            .is_some_and(|kept| kept.epoch == claim.epoch);
        if !is_current {
            let kept = Kept {
                epoch: claim.epoch,
                book: QuotaTracker::new(self.bounds, former(claim), now_ms),
            };
            books.insert(partition, kept);
        }
        let Some(kept) = books.get_mut(&partition) else {
            return QuotaReply::Refused { retry_after_ms: 0 };
        };
        act(&mut kept.book, now_ms)
    }
}

/// A former owner's grants are not told, whether or not it gave the partition up in order.
fn former(claim: &Claim) -> PreviousOwner {
    match claim.previous_owner {
        ownership::PreviousOwner::None => PreviousOwner::None,
        ownership::PreviousOwner::Settled { .. } | ownership::PreviousOwner::Lost => {
            PreviousOwner::Lost
        }
    }
}

/// A question about a cold server.
pub(super) fn of_cold(question: &ColdServerRequest) -> AdmissionRequest<'_> {
    cold::permit_request(
        &question.server,
        question.rate_per_s,
        question.version,
        question.rank,
    )
}

/// A question about a tenant.
pub(super) fn of_tenant(question: &QuotaRequest) -> AdmissionRequest<'_> {
    AdmissionRequest {
        tenant: &question.tenant,
        limit: Limit {
            rate_per_s: question.rate_per_s,
            burst: question.burst,
        },
        version: question.version,
        program: question.program.as_deref(),
        route: &question.route,
        starts_program: question.starts_program,
        max_wait_ms: question.max_wait_ms,
        reserved: 0,
    }
}

fn answer(answer: QuotaDecision) -> QuotaReply {
    match answer {
        QuotaDecision::Granted { used } => QuotaReply::Granted { used },
        QuotaDecision::Refused { retry_after_ms } => QuotaReply::Refused { retry_after_ms },
    }
}
