//! Requests of which this daemon has an attempt that broke, and whose server is being checked.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Number of checks in progress for each content.
#[derive(Default)]
pub struct OpenChecks {
    contents: RefCell<HashMap<String, u32>>,
    closed: Notify,
}

/// Counts a check as in progress until dropped.
pub(super) struct CheckGuard {
    checks: Rc<OpenChecks>,
    content: String,
}

impl OpenChecks {
    /// Begins a check.
    pub(super) fn begin(self: &Rc<Self>, content: &str) -> CheckGuard {
        let mut contents = self.contents.borrow_mut();
        *contents.entry(content.to_owned()).or_default() += 1;
        CheckGuard {
            checks: self.clone(),
            content: content.to_owned(),
        }
    }

    /// Waits until no attempt with this content is being checked, or until the deadline. Another copy
    /// must not be sent before the ends under these attempts are reported.
    pub(super) async fn wait_closed(&self, content: &str, deadline: Instant) {
        while self.contents.borrow().contains_key(content) {
            let closed = self.closed.notified();
            if timeout_at(deadline, closed).await.is_err() {
                return;
            }
        }
    }
}

impl Drop for CheckGuard {
    fn drop(&mut self) {
        let mut contents = self.checks.contents.borrow_mut();
        if let Some(count) = contents.get_mut(&self.content) {
            *count -= 1;
            if *count == 0 {
                contents.remove(&self.content);
                self.checks.closed.notify_waiters();
            }
        }
    }
}
