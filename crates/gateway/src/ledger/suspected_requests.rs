//! Requests that were in progress at a daemon when it was lost, and whose partition it owned too. The next
//! owner does not know of their attempts yet.

use fieldhook_ledger::name::QualifiedName;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long the next owner is asked in any case: it has claimed the partition then, and was told of the
/// attempts.
const RETENTION: Duration = Duration::from_secs(2);

/// Requests by content, and when they were added.
#[derive(Default)]
pub struct SuspectedRequests(RefCell<HashMap<QualifiedName, Instant>>);

impl SuspectedRequests {
    /// Adds requests.
    pub fn add(&self, requests: Vec<QualifiedName>) {
        let now = Instant::now();
        let mut suspected = self.0.borrow_mut();
        suspected.retain(|_, since| now - *since < RETENTION);
        suspected.extend(requests.into_iter().map(|request| (request, now)));
    }

    /// Whether the owner has to be asked before a request is sent.
    pub fn contains(&self, request: &QualifiedName) -> bool {
        let suspected = self.0.borrow();
        let since = suspected.get(request);
        since.is_some_and(|since| since.elapsed() < RETENTION)
    }
}
