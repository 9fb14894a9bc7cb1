//! What tenants may send, and what cold servers may get, counted where their partitions are
//! owned.

use fieldhook_ledger::message::{ColdServerRequest, QuotaReply, QuotaRequest};
use fieldhook_log::ownership::{self, Claim};
use fieldhook_traffic::cold;
use fieldhook_traffic::quota::{Answer, Book, Former, Question};
use fieldhook_traffic::tenants::Limit;
use fieldhook_traffic::window::Bounds;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::time::Instant;

/// The book of one claim.
struct Kept {
    epoch: u64,
    book: Book,
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
            held.flat_map(|(_, kept)| kept.book.used(now_ms)).collect();
        used.sort_by(|left, right| right.1.total_cmp(&left.1));
        used
    }

    /// Answers a question about what is counted in a partition that this daemon has claimed.
    pub(super) fn ask(&self, partition: u32, claim: &Claim, question: &Question<'_>) -> QuotaReply {
        self.with_book(partition, claim, |book, now_ms| {
            answer(book.ask(question, now_ms))
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
            book.left(tenant, program, now_ms);
            QuotaReply::Granted {
                used: book.used_by(tenant, now_ms),
            }
        })
    }

    fn with_book(
        &self,
        partition: u32,
        claim: &Claim,
        act: impl FnOnce(&mut Book, u64) -> QuotaReply,
    ) -> QuotaReply {
        let now_ms = self.started.elapsed().as_millis() as u64;
        let mut books = self.books.borrow_mut();
        let is_current = books
            .get(&partition)
            .is_some_and(|kept| kept.epoch == claim.epoch);
        if !is_current {
            let kept = Kept {
                epoch: claim.epoch,
                book: Book::new(self.bounds, former(claim), now_ms),
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
fn former(claim: &Claim) -> Former {
    match claim.previous_owner {
        ownership::PreviousOwner::None => Former::None,
        ownership::PreviousOwner::HandedOver { .. } | ownership::PreviousOwner::Lost => {
            Former::Lost
        }
    }
}

/// A question about a cold server.
pub(super) fn of_cold(question: &ColdServerRequest) -> Question<'_> {
    cold::question(
        &question.server,
        question.rate_per_s,
        question.version,
        question.rank,
    )
}

/// A question about a tenant.
pub(super) fn of_tenant(question: &QuotaRequest) -> Question<'_> {
    Question {
        tenant: &question.tenant,
        limit: Limit {
            rate_per_s: question.rate_per_s,
            burst: question.burst,
        },
        version: question.version,
        program: question.program.as_deref(),
        route: &question.route,
        begins: question.starts_program,
        patience_ms: question.max_wait_ms,
        leaves: 0,
    }
}

fn answer(answer: Answer) -> QuotaReply {
    match answer {
        Answer::Granted { used } => QuotaReply::Granted { used },
        Answer::Refused { retry_after_ms } => QuotaReply::Refused { retry_after_ms },
    }
}
