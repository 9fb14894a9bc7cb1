//! Copying the log to followers, and committing what a majority holds.

use crate::log::Entry;
use crate::message::{Append, AppendReply, Body, Snapshot};
use crate::replica::{Action, Replica, Role};
use fieldhook_model::address::ReplicaId;

/// Least time between two snapshots for the same follower, in election timeouts.
const SNAPSHOT_PAUSE_TIMEOUTS: u64 = 2;

impl Replica {
    /// Sends what is new to every other member.
    pub(crate) fn send_to_all(&mut self) {
        self.follow_members();
        let followers: Vec<ReplicaId> = self.progress.keys().copied().collect();
        for to in followers {
            self.send_append(to);
        }
    }

    /// Sends every member a message, with entries only where some are missing.
    /// Entries that were sent but not acknowledged go out again from here.
    pub(crate) fn send_heartbeats(&mut self) {
        self.follow_members();
        let followers: Vec<ReplicaId> = self.progress.keys().copied().collect();
        for to in followers {
            if let Some(progress) = self.progress.get_mut(&to) {
                progress.rewind();
            }
            self.send_append(to);
        }
    }

    fn send_append(&mut self, to: ReplicaId) {
        let Some(progress) = self.progress.get(&to).copied() else {
            return;
        };
        let previous_index = progress.next - 1;
        let Some(previous_term) = self.log.term_at(previous_index) else {
            self.ask_for_snapshot(to);
            return;
        };
        let entries = self
            .log
            .slice(progress.next, self.settings.entries_per_message);
        if let Some(progress) = self.progress.get_mut(&to) {
            // Sent is taken for received; a heartbeat goes back to what is proven.
            progress.next += entries.len() as u64;
        }
        let append = Append {
            previous_index,
            previous_term,
            entries,
            commit: self.commit,
            stamp_ms: self.now_ms,
        };
        self.send(to, Body::Append(append));
    }

    fn ask_for_snapshot(&mut self, to: ReplicaId) {
        let pause_ms = SNAPSHOT_PAUSE_TIMEOUTS * self.settings.election_ms;
        let now_ms = self.now_ms;
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        if progress
            .snapshot_asked_ms
            .is_none_or(|asked_ms| now_ms >= asked_ms + pause_ms)
        {
            progress.snapshot_asked_ms = Some(now_ms);
            self.actions.push(Action::MakeSnapshot { to });
        }
    }

    pub(crate) fn on_append(&mut self, from: ReplicaId, term: u64, append: Append) {
        let stamp_ms = append.stamp_ms;
        if term < self.term {
            // Tells a leader of an old term that its time is over.
            self.reply(from, false, 0, stamp_ms);
            return;
        }
        self.hear_leader(from);
        if append.previous_index < self.commit {
            self.accept_overlapping(from, append);
            return;
        }
        if self.log.term_at(append.previous_index) != Some(append.previous_term) {
            let hint = self.conflict_hint(append.previous_index);
            self.reply(from, false, hint, stamp_ms);
            return;
        }
        let matched = append.previous_index + append.entries.len() as u64;
        self.store(append.entries);
        self.commit = self.commit.max(append.commit.min(matched));
        self.reply(from, true, matched, stamp_ms);
    }

    /// A late or repeated append that begins before the commit index: what is
    /// committed here matches by definition, only the rest is looked at.
    fn accept_overlapping(&mut self, from: ReplicaId, append: Append) {
        let commit = self.commit;
        let matched = commit.max(append.previous_index + append.entries.len() as u64);
        let rest = append
            .entries
            .into_iter()
            .filter(|entry| entry.index > commit)
            .collect();
        self.store(rest);
        self.commit = self.commit.max(append.commit.min(matched));
        self.reply(from, true, matched, append.stamp_ms);
    }

    fn conflict_hint(&self, previous_index: u64) -> u64 {
        let last_index = self.log.last_index();
        if previous_index > last_index {
            return last_index + 1;
        }
        // Skip the whole conflicting term instead of one entry a message.
        let conflicting = self.log.term_at(previous_index);
        let mut index = previous_index;
        while index > self.commit + 1 && self.log.term_at(index - 1) == conflicting {
            index -= 1;
        }
        index
    }

    fn store(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.log.truncate_from(entry.index),
                None => {}
            }
            self.log.push(entry);
        }
    }

    fn hear_leader(&mut self, from: ReplicaId) {
        if self.role != Role::Follower {
            self.become_follower(self.term, Some(from));
        }
        self.leader = Some(from);
        self.leader_contact_ms = Some(self.now_ms);
        self.reset_election_timer();
    }

    fn reply(&mut self, to: ReplicaId, accepted: bool, index: u64, stamp_ms: u64) {
        self.send(
            to,
            Body::AppendReply(AppendReply {
                accepted,
                index,
                stamp_ms,
            }),
        );
    }

    pub(crate) fn on_append_reply(&mut self, from: ReplicaId, reply: &AppendReply) {
        if self.role != Role::Leader {
            return;
        }
        let last_index = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        if !reply.accepted {
            progress.reject(reply.index, reply.stamp_ms);
            self.send_append(from);
            return;
        }
        progress.accept(reply.index.min(last_index), reply.stamp_ms);
        let behind = progress.next <= last_index;
        if behind {
            self.send_append(from);
        }
        self.advance_commit();
        if let Some((to, _)) = self.transfer_to
            && to == from
        {
            self.advance_transfer(to);
        }
    }

    /// Commits the newest entry of this term that a majority holds.
    pub(crate) fn advance_commit(&mut self) {
        let members = self.members();
        let mut held: Vec<u64> = members
            .voters
            .iter()
            .map(|voter| self.held_by(*voter))
            .collect();
        held.sort_unstable_by(|left, right| right.cmp(left));
        let Some(index) = held.get(members.quorum() - 1).copied() else {
            return;
        };
        if index > self.commit && self.log.term_at(index) == Some(self.term) {
            self.commit = index;
            self.step_down_if_removed();
        }
    }

    fn held_by(&self, voter: ReplicaId) -> u64 {
        if voter == self.id {
            return self.log.last_index();
        }
        self.progress
            .get(&voter)
            .map_or(0, |progress| progress.matched)
    }

    fn step_down_if_removed(&mut self) {
        let (changed_at, members) = self.log.members();
        if changed_at <= self.commit && !members.is_voter(self.id) {
            self.become_follower(self.term, None);
        }
    }

    pub(crate) fn on_snapshot(&mut self, from: ReplicaId, term: u64, snapshot: Snapshot) {
        if term < self.term {
            self.reply(from, false, 0, snapshot.stamp_ms);
            return;
        }
        self.hear_leader(from);
        if snapshot.index > self.commit {
            self.log
                .reset(snapshot.index, snapshot.index_term, snapshot.members);
            self.commit = snapshot.index;
            self.applied = snapshot.index;
            self.actions.push(Action::Install {
                index: snapshot.index,
                state: snapshot.state,
            });
        }
        self.reply(from, true, self.commit, snapshot.stamp_ms);
    }
}
