//! Output of a call that runs under this owner.

use fieldhook_model::api::StreamEvent;
use std::cell::{Cell, Ref, RefCell};
use tokio::sync::Notify;

/// A call that runs under this owner. Any number of readers can follow it. The complete text is
/// kept, so that a reader can start at any offset.
#[derive(Debug, Default)]
pub struct LiveCall {
    text: RefCell<String>,
    lineage: Cell<u32>,
    end: RefCell<Option<StreamEvent>>,
    /// Text that a gateway delivered under a previous owner.
    delivered: RefCell<Option<String>>,
    changed: Notify,
}

impl LiveCall {
    /// Returns the text so far.
    pub fn text(&self) -> Ref<'_, String> {
        self.text.borrow()
    }

    /// Returns the lineage of the text: the number of the attempt that began it, or 0 before the
    /// first attempt.
    pub fn lineage(&self) -> u32 {
        self.lineage.get()
    }

    /// Starts an attempt, whose output continues `prefix`.
    pub fn start(&self, lineage: u32, prefix: &str) {
        self.lineage.set(lineage);
        *self.text.borrow_mut() = prefix.to_owned();
        self.changed.notify_waiters();
    }

    /// Appends text.
    pub fn push(&self, text: &str) {
        self.text.borrow_mut().push_str(text);
        self.changed.notify_waiters();
    }

    /// Ends the call. The outcome must be durable on the log.
    pub fn finish(&self, end: StreamEvent) {
        *self.end.borrow_mut() = Some(end);
        self.changed.notify_waiters();
    }

    /// Returns the closing event if the call has ended.
    pub fn end(&self) -> Option<StreamEvent> {
        self.end.borrow().clone()
    }

    /// Records text that a gateway delivered under a previous owner. The longest text is kept.
    pub fn record_delivered(&self, text: &str) {
        let mut delivered = self.delivered.borrow_mut();
        if delivered
            .as_ref()
            .is_none_or(|known| known.len() < text.len())
        {
            *delivered = Some(text.to_owned());
        }
        drop(delivered);
        self.changed.notify_waiters();
    }

    /// Returns the longest text that was delivered under a previous owner, if a gateway reported
    /// one.
    pub fn delivered(&self) -> Option<String> {
        self.delivered.borrow().clone()
    }

    /// Wakes all readers, so that they check whether the call still runs here.
    pub fn wake(&self) {
        self.changed.notify_waiters();
    }

    /// Completes at the next change. Must be created before the state is read, so that no change is
    /// missed.
    pub fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }
}
