//! Elections: pre-vote, vote, and the orderly transfer of leadership.

use crate::log::Payload;
use crate::message::{Body, Message, Vote, VoteReply};
use crate::progress::Progress;
use crate::replica::{Action, Replica, Role};
use fieldhook_model::address::ReplicaId;

impl Replica {
    /// Asks whether an election would succeed, without raising the term, so
    /// that a replica that was cut off disturbs nobody when it returns.
    pub(crate) fn start_pre_vote(&mut self) {
        self.reset_election_timer();
        if !self.members().is_voter(self.id) {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes.clear();
        self.votes.insert(self.id);
        self.ask_for_votes(true, false);
        self.count_votes();
    }

    fn start_election(&mut self, transfer: bool) {
        self.term += 1;
        self.role = Role::Candidate;
        self.voted_for = Some(self.id);
        self.leader = None;
        self.votes.clear();
        self.votes.insert(self.id);
        self.reset_election_timer();
        self.ask_for_votes(false, transfer);
        self.count_votes();
    }

    fn ask_for_votes(&mut self, pre_vote: bool, transfer: bool) {
        let term = if pre_vote { self.term + 1 } else { self.term };
        let vote = Vote {
            pre_vote,
            transfer,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let voters = self.members().voters.clone();
        for to in voters.into_iter().filter(|voter| *voter != self.id) {
            let message = Message {
                term,
                body: Body::Vote(vote.clone()),
            };
            self.actions.push(Action::Send { to, message });
        }
    }

    pub(crate) fn on_vote(&mut self, from: ReplicaId, term: u64, vote: &Vote) {
        let granted = self.may_grant(from, term, vote);
        if granted && !vote.pre_vote {
            self.voted_for = Some(from);
            self.role = Role::Follower;
            self.reset_election_timer();
        }
        let reply_term = if granted { term } else { self.term };
        let body = Body::VoteReply(VoteReply {
            pre_vote: vote.pre_vote,
            granted,
        });
        self.actions.push(Action::Send {
            to: from,
            message: Message {
                term: reply_term,
                body,
            },
        });
    }

    fn may_grant(&self, from: ReplicaId, term: u64, vote: &Vote) -> bool {
        let candidate_log = (vote.last_term, vote.last_index);
        let own_log = (self.log.last_term(), self.log.last_index());
        if candidate_log < own_log || (!vote.transfer && self.hears_leader()) {
            return false;
        }
        if vote.pre_vote {
            return term > self.term;
        }
        let free = self.voted_for.is_none() || self.voted_for == Some(from);
        term == self.term && free
    }

    pub(crate) fn on_vote_reply(&mut self, from: ReplicaId, term: u64, reply: &VoteReply) {
        let (wanted_role, wanted_term) = if reply.pre_vote {
            (Role::PreCandidate, self.term + 1)
        } else {
            (Role::Candidate, self.term)
        };
        if reply.granted && self.role == wanted_role && term == wanted_term {
            self.votes.insert(from);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let members = self.members();
        let granted = self
            .votes
            .iter()
            .filter(|voter| members.is_voter(**voter))
            .count();
        if granted < members.quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(false),
            Role::Candidate => self.become_leader(),
            Role::Follower | Role::Leader => {}
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.led_since_ms = self.now_ms;
        self.heartbeat_due_ms = self.now_ms + self.settings.heartbeat_ms;
        self.progress.clear();
        self.actions.push(Action::Elected { term: self.term });
        // Entries of former terms count only together with one of this term
        // (Raft, section 5.4.2).
        self.append_own(Payload::Noop);
        self.follow_members();
        self.send_to_all();
        self.advance_commit();
    }

    /// Keeps one progress record for each other member.
    pub(crate) fn follow_members(&mut self) {
        let members = self.members().clone();
        self.progress
            .retain(|replica, _| members.contains(*replica));
        let next = self.log.last_index().max(1);
        for replica in members.others(self.id) {
            self.progress
                .entry(replica)
                .or_insert_with(|| Progress::new(next));
        }
    }

    pub(crate) fn on_timeout_now(&mut self, term: u64) {
        if term == self.term && self.role != Role::Leader && self.members().is_voter(self.id) {
            self.start_election(true);
        }
    }

    /// Tells the chosen successor to campaign once it has the whole log.
    pub(crate) fn advance_transfer(&mut self, to: ReplicaId) {
        let last_index = self.log.last_index();
        if self
            .progress
            .get(&to)
            .is_some_and(|progress| progress.matched == last_index)
        {
            self.send(to, Body::TimeoutNow);
        }
    }
}
