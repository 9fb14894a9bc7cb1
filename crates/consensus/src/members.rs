//! Who belongs to the group, and how that may change.

use fieldhook_model::address::ReplicaId;
use nanoserde::{DeBin, SerBin};

/// Voters and learners of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Members {
    /// Replicas whose acknowledgement and vote count.
    pub voters: Vec<ReplicaId>,
    /// Replicas that receive the log but do not count yet.
    pub learners: Vec<ReplicaId>,
}

/// One step of a membership change. Majorities of the sets before and after
/// one such step always share a replica (Ongaro's thesis, section 4.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum MemberChange {
    /// Send the log to a new replica.
    AddLearner(ReplicaId),
    /// Let a caught-up learner vote.
    Promote(ReplicaId),
    /// Drop a replica.
    Remove(ReplicaId),
}

impl Members {
    /// A group of voters.
    pub fn of_voters(voters: Vec<ReplicaId>) -> Self {
        Self {
            voters,
            learners: Vec::new(),
        }
    }

    /// Smallest number of voters that is a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the replica votes.
    pub fn is_voter(&self, replica: ReplicaId) -> bool {
        self.voters.contains(&replica)
    }

    /// Whether the replica belongs to the group at all.
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.is_voter(replica) || self.learners.contains(&replica)
    }

    /// Everyone except one replica.
    pub fn others(&self, replica: ReplicaId) -> impl Iterator<Item = ReplicaId> + '_ {
        let all = self.voters.iter().chain(&self.learners).copied();
        all.filter(move |member| *member != replica)
    }

    /// The set after a change, or nothing if the change does not apply.
    pub fn after(&self, change: MemberChange) -> Option<Self> {
        let mut next = self.clone();
        match change {
            MemberChange::AddLearner(replica) => {
                if self.contains(replica) {
                    return None;
                }
                next.learners.push(replica);
            }
            MemberChange::Promote(replica) => {
                let place = self.learners.iter().position(|item| *item == replica)?;
                next.learners.remove(place);
                next.voters.push(replica);
            }
            MemberChange::Remove(replica) => {
                if !self.contains(replica) || self.voters == [replica] {
                    return None;
                }
                next.voters.retain(|item| *item != replica);
                next.learners.retain(|item| *item != replica);
            }
        }
        Some(next)
    }
}
