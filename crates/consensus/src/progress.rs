//! What a leader knows of one follower.

/// What a leader knows of one follower.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Next index to send.
    pub(crate) next: u64,
    /// Highest index known to be replicated there.
    pub(crate) matched: u64,
    /// Largest stamp that came back: the follower was in touch at that time.
    pub(crate) acknowledged_ms: Option<u64>,
    /// When a snapshot was last asked for, so that it is not made anew for
    /// every heartbeat.
    pub(crate) snapshot_asked_ms: Option<u64>,
}

impl Progress {
    pub(crate) fn new(next: u64) -> Self {
        Self {
            next,
            matched: 0,
            acknowledged_ms: None,
            snapshot_asked_ms: None,
        }
    }

    /// Takes in an answer that matched up to `index`.
    pub(crate) fn accept(&mut self, index: u64, stamp_ms: u64) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        self.touch(stamp_ms);
        self.snapshot_asked_ms = None;
    }

    /// Takes in an answer that did not match; `hint` is where to try next.
    pub(crate) fn reject(&mut self, hint: u64, stamp_ms: u64) {
        // A late rejection must not undo what a newer answer proved.
        self.next = hint.max(self.matched + 1).min(self.next);
        self.touch(stamp_ms);
    }

    /// Goes back to what is proven, so that lost entries are sent again. Before
    /// the first answer nothing is proven, and the follower's rejection will
    /// say where to begin; going back to the start would cost a snapshot.
    pub(crate) fn rewind(&mut self) {
        if self.matched > 0 {
            self.next = self.matched + 1;
        }
    }

    fn touch(&mut self, stamp_ms: u64) {
        self.acknowledged_ms = Some(self.acknowledged_ms.unwrap_or(0).max(stamp_ms));
    }
}
