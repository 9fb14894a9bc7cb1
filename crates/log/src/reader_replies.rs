//! Replies of several readers to one request for records.

/// What the readers that were asked for records replied, as long as none returned records.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReaderReplies {
    history_start: Option<u64>,
    has_failure: bool,
}

impl ReaderReplies {
    /// Records that a reader keeps only records from `first` on.
    pub fn record_gone(&mut self, first: u64) {
        self.history_start = Some(first);
    }

    /// Records that a reader did not reply, or that its reply cannot be used.
    pub fn record_failure(&mut self) {
        self.has_failure = true;
    }

    /// Returns the offset from which records are kept, or `None` if the log may still have the
    /// requested ones. A reader that has just started keeps fewer records than the log, so its
    /// reply counts only if all readers gave it.
    pub fn history_start(&self) -> Option<u64> {
        self.history_start.filter(|_| !self.has_failure)
    }
}
