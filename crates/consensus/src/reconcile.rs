//! Which membership change a leader should make next, so that a group regains
//! its size after replicas were lost or restarted.

use crate::members::MemberChange;
use crate::replica::{Replica, Role};
use fieldhook_model::address::ReplicaId;

/// What the leader's machine knows of other daemons.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    /// Replicas that are known to be gone for good, or silent for so long that
    /// a new replica is worth its cost.
    pub gone: Vec<ReplicaId>,
    /// Live daemons that could join, the best first.
    pub joining: Vec<ReplicaId>,
    /// Wanted number of voters.
    pub size: usize,
}

/// The next change, if one is needed. A lost voter is only removed once its
/// replacement has caught up, and the replacement votes right after that, so
/// the group is never smaller than it must be.
pub fn plan_change(replica: &Replica, candidates: &Candidates) -> Option<MemberChange> {
    if replica.role() != Role::Leader {
        return None;
    }
    let members = replica.members();
    let is_gone = |member: &&ReplicaId| candidates.gone.contains(*member);
    if let Some(learner) = members.learners.iter().find(is_gone) {
        return Some(MemberChange::Remove(*learner));
    }
    let gone_voter = members.voters.iter().find(is_gone).copied();
    let live_voters = members.voters.len() - members.voters.iter().filter(is_gone).count();
    if let Some(learner) = members.learners.first() {
        return plan_learner(replica, *learner, gone_voter, live_voters, candidates.size);
    }
    if live_voters < candidates.size {
        let joining = candidates
            .joining
            .iter()
            .find(|joining| !members.contains(**joining));
        return joining.copied().map(MemberChange::AddLearner);
    }
    gone_voter
        .map(MemberChange::Remove)
        .or_else(|| surplus(replica, candidates.size))
}

fn plan_learner(
    replica: &Replica,
    learner: ReplicaId,
    gone_voter: Option<ReplicaId>,
    live_voters: usize,
    size: usize,
) -> Option<MemberChange> {
    if live_voters >= size {
        return Some(MemberChange::Remove(learner));
    }
    if !replica.is_caught_up(learner) {
        return None;
    }
    Some(gone_voter.map_or(MemberChange::Promote(learner), MemberChange::Remove))
}

fn surplus(replica: &Replica, size: usize) -> Option<MemberChange> {
    let members = replica.members();
    if members.voters.len() <= size {
        return None;
    }
    members
        .others(replica.id())
        .last()
        .map(MemberChange::Remove)
}
