//! A call that runs under this owner: its text so far and its end.

use fieldhook_model::api::StreamEvent;
use std::cell::{Cell, Ref, RefCell};
use tokio::sync::Notify;

/// A call that runs under this owner. Any number of readers follow it; the
/// text is kept whole, so that a reader can begin at any offset.
#[derive(Debug, Default)]
pub struct LiveCall {
    text: RefCell<String>,
    lineage: Cell<u32>,
    end: RefCell<Option<StreamEvent>>,
    /// Text that a gateway had already passed on under a former owner.
    delivered: RefCell<Option<String>>,
    changed: Notify,
}

impl LiveCall {
    /// The text so far.
    pub fn text(&self) -> Ref<'_, String> {
        self.text.borrow()
    }

    /// Which attempt the text descends from.
    pub fn lineage(&self) -> u32 {
        self.lineage.get()
    }

    /// Starts an attempt with the text that it continues.
    pub fn start(&self, lineage: u32, prefix: &str) {
        self.lineage.set(lineage);
        *self.text.borrow_mut() = prefix.to_owned();
        self.changed.notify_waiters();
    }

    /// Adds text.
    pub fn push(&self, text: &str) {
        self.text.borrow_mut().push_str(text);
        self.changed.notify_waiters();
    }

    /// Ends the call; the event must be committed.
    pub fn finish(&self, end: StreamEvent) {
        *self.end.borrow_mut() = Some(end);
        self.changed.notify_waiters();
    }

    /// The closing event, once there is one.
    pub fn end(&self) -> Option<StreamEvent> {
        self.end.borrow().clone()
    }

    /// Notes text that was already passed on under a former owner.
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

    /// The longest text that was passed on under a former owner, if a gateway
    /// has asked again.
    pub fn delivered(&self) -> Option<String> {
        self.delivered.borrow().clone()
    }

    /// Wakes all readers, to look where the call runs now.
    pub fn wake(&self) {
        self.changed.notify_waiters();
    }

    /// Resolves at the next change; must be created before the state is read.
    pub fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }
}
