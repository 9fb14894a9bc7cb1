//! The leader's lease: how long nobody else can have been elected.
//!
//! A follower grants no vote within `election_ms` of hearing from a leader.
//! So until `election_ms` after a majority's newest acknowledged stamp, less
//! the allowed clock drift, no other leader can act. A leader that starts a
//! transfer gives its lease up first, since it invites an election.

use crate::replica::{Replica, Role};

impl Replica {
    /// Whether this replica leads and may answer reads from its own state.
    pub fn holds_lease(&self) -> bool {
        self.holds_lease_at(self.now_ms)
    }

    /// The same at a time of the owner's clock. A process that was frozen must
    /// ask with the present time: the last tick may lie before the freeze.
    pub fn holds_lease_at(&self, now_ms: u64) -> bool {
        self.role == Role::Leader
            && self.transfer_to.is_none()
            && self.term_is_open()
            && now_ms < self.lease_end_ms()
    }

    /// Whether an entry of the current term is committed, so that everything
    /// that earlier leaders committed is known to be committed here.
    pub(crate) fn term_is_open(&self) -> bool {
        self.log.term_at(self.commit) == Some(self.term)
    }

    pub(crate) fn lease_end_ms(&self) -> u64 {
        match self.quorum_contact_ms() {
            Some(contact_ms) => contact_ms + self.settings.election_ms - self.settings.drift_ms,
            None => 0,
        }
    }

    /// The newest time at which a majority, with this replica, was in touch.
    pub(crate) fn quorum_contact_ms(&self) -> Option<u64> {
        let (_, members) = self.log.members();
        let mut contacts: Vec<Option<u64>> = members
            .voters
            .iter()
            .map(|voter| self.contact_ms(*voter))
            .collect();
        contacts.sort_unstable_by(|left, right| right.cmp(left));
        contacts.get(members.quorum() - 1).copied().flatten()
    }

    fn contact_ms(&self, voter: fieldhook_model::address::ReplicaId) -> Option<u64> {
        if voter == self.id {
            return Some(self.now_ms);
        }
        self.progress
            .get(&voter)
            .and_then(|progress| progress.acknowledged_ms)
    }
}
