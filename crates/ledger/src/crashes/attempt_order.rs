//! The order in which the attempts of a request were granted and broke, as reported to its owner.
//!
//! Attempts that ran side by side may have met the same process, whose end counts once. Of two
//! attempts one after another each has met a process of its own, even under the same identity: the
//! entry of the later process may not have been known yet. The next owner does not know the order.

use std::collections::HashMap;

/// Positions in the order of the reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Span {
    granted: u64,
    broke: u64,
}

impl Span {
    /// Whether two attempts ran side by side.
    pub(super) fn overlaps(self, other: Self) -> bool {
        self.granted < other.broke && other.granted < self.broke
    }
}

/// Positions of the attempts whose outcome is open, and of those that servers ended.
#[derive(Clone, Debug, Default)]
pub(super) struct AttemptOrder {
    last: u64,
    /// 0 for those that were not granted, which may have begun at any time before.
    granted: HashMap<u64, u64>,
    broke: HashMap<u64, u64>,
    /// Attempts under which the counted servers ended, in the order of the record. `None` if an
    /// earlier owner counted the server.
    ended: Vec<Option<Span>>,
}

impl AttemptOrder {
    fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// An attempt was granted.
    pub(super) fn grant(&mut self, attempt: u64) {
        let position = self.next();
        self.granted.insert(attempt, position);
    }

    /// Whether an attempt has broken, and it is open what became of its server.
    pub(super) fn has_broken(&self, attempt: u64) -> bool {
        self.broke.contains_key(&attempt)
    }

    /// An attempt broke or was abandoned, unless that is known already.
    pub(super) fn break_off(&mut self, attempt: u64) {
        self.granted.entry(attempt).or_default();
        let position = self.next();
        self.broke.entry(attempt).or_insert(position);
    }

    /// An attempt that is over goes on at its process, which was alive until now.
    pub(super) fn detach(&mut self, attempt: u64) {
        self.broke.remove(&attempt);
        if !self.knows(attempt) {
            self.grant(attempt);
        }
    }

    /// Whether an attempt was reported to this owner.
    pub(super) fn knows(&self, attempt: u64) -> bool {
        self.granted.contains_key(&attempt)
    }

    /// Forgets an attempt whose outcome is known. Returns its span; one that was not granted may
    /// have begun at any time before.
    pub(super) fn take(&mut self, attempt: u64) -> Span {
        let granted = self.granted.remove(&attempt).unwrap_or_default();
        let broke = self.broke.remove(&attempt);
        Span {
            granted,
            broke: broke.unwrap_or(self.last + 1),
        }
    }

    /// Forgets all attempts that hold no place.
    pub(super) fn retain(&mut self, holds_place: impl Fn(u64) -> bool) {
        self.granted.retain(|attempt, _| holds_place(*attempt));
        self.broke.retain(|attempt, _| holds_place(*attempt));
    }

    /// Span of the attempt under which the counted server at an index ended, if this owner counted
    /// it.
    pub(super) fn ended(&self, index: usize) -> Option<Span> {
        self.ended.get(index).copied().flatten()
    }

    /// The server at an index was counted for an attempt.
    pub(super) fn set_ended(&mut self, index: usize, span: Span) {
        self.ended.resize(index, None);
        self.ended.push(Some(span));
    }

    /// Forgets the servers that ended.
    pub(super) fn clear_ended(&mut self) {
        self.ended.clear();
    }
}
