//! One replica of a group: its state, its inputs and its actions.
//!
//! Invariants: the term never falls; at most one vote per term; `commit`
//! never falls; entries up to `commit` never change.

use crate::log::{Entry, Log, Payload};
use crate::members::{MemberChange, Members};
use crate::message::{Body, Message, Snapshot};
use crate::progress::Progress;
use crate::settings::Settings;
use fieldhook_model::address::ReplicaId;
use std::collections::{BTreeMap, BTreeSet};

/// What a replica does in the current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would win an election.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// What the owner feeds in.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick {
        /// Monotonic clock of this machine.
        now_ms: u64,
    },
    /// A message arrived.
    Receive {
        /// Monotonic clock of this machine. A process that wakes from a freeze
        /// finds old messages; by the clock of its last tick it would promise
        /// their leader less time than that leader's lease counts on.
        now_ms: u64,
        /// Who sent it.
        from: ReplicaId,
        /// The message.
        message: Message,
    },
    /// The owner encoded the state that `Action::MakeSnapshot` asked for.
    SnapshotMade {
        /// For whom.
        to: ReplicaId,
        /// Index up to which the state is applied.
        index: u64,
        /// The encoded state.
        state: Vec<u8>,
    },
}

/// What the owner must do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send {
        /// To whom.
        to: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Apply a committed entry to the state machine.
    Apply(Entry),
    /// Replace the state machine by this state.
    Install {
        /// Index that the state covers.
        index: u64,
        /// The state.
        state: Vec<u8>,
    },
    /// Encode the state machine and answer with `Input::SnapshotMade`.
    MakeSnapshot {
        /// For whom.
        to: ReplicaId,
    },
    /// This replica became leader of the term.
    Elected {
        /// The term.
        term: u64,
    },
    /// This replica no longer leads; answers still owed are unknown here.
    Deposed,
}

/// Why a proposal is not taken. Nothing has been appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica does not lead; try the one named, if any.
    NotLeader(Option<ReplicaId>),
    /// Leadership is being handed over; try again shortly.
    Transferring,
    /// Another membership change is not committed yet; try again later.
    ChangeInProgress,
    /// The change does not apply to the present members.
    InvalidChange,
}

/// One replica of one group.
#[derive(Debug)]
pub struct Replica {
    pub(crate) id: ReplicaId,
    pub(crate) settings: Settings,
    pub(crate) random: fastrand::Rng,
    pub(crate) now_ms: u64,
    pub(crate) role: Role,
    pub(crate) term: u64,
    pub(crate) voted_for: Option<ReplicaId>,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) leader_contact_ms: Option<u64>,
    pub(crate) election_due_ms: u64,
    pub(crate) heartbeat_due_ms: u64,
    pub(crate) led_since_ms: u64,
    pub(crate) votes: BTreeSet<ReplicaId>,
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    pub(crate) transfer_to: Option<(ReplicaId, u64)>,
    pub(crate) log: Log,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) actions: Vec<Action>,
}

impl Replica {
    /// A replica with an empty log. A joining learner starts with empty
    /// members and learns them from the leader.
    pub fn new(
        id: ReplicaId,
        members: Members,
        settings: Settings,
        now_ms: u64,
        seed: u64,
    ) -> Self {
        let mut replica = Self {
            id,
            settings,
            random: fastrand::Rng::with_seed(seed),
            now_ms,
            role: Role::Follower,
            term: 0,
            voted_for: None,
            leader: None,
            leader_contact_ms: None,
            election_due_ms: 0,
            heartbeat_due_ms: 0,
            led_since_ms: 0,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            transfer_to: None,
            log: Log::new(members),
            commit: 0,
            applied: 0,
            actions: Vec::new(),
        };
        replica.reset_election_timer();
        replica
    }

    /// Takes one input and returns what must be done.
    pub fn step(&mut self, input: Input) -> Vec<Action> {
        match input {
            Input::Tick { now_ms } => self.tick(now_ms),
            Input::Receive {
                now_ms,
                from,
                message,
            } => {
                self.tick(now_ms);
                self.receive(from, message);
            }
            Input::SnapshotMade { to, index, state } => self.send_snapshot(to, index, state),
        }
        self.apply_committed();
        std::mem::take(&mut self.actions)
    }

    /// Appends a command; it counts once it comes back as `Action::Apply`.
    ///
    /// # Errors
    /// This replica does not lead or hands its leadership over.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<(u64, Vec<Action>), ProposeError> {
        self.check_can_propose()?;
        Ok(self.append_and_send(Payload::Command(command)))
    }

    /// Proposes one membership change.
    ///
    /// # Errors
    /// As for commands; also while another change is under way, before this
    /// leader has committed an entry of its own term (without which the change
    /// could overlap one of a former leader), or if the change does not apply.
    pub fn propose_change(&mut self, change: MemberChange) -> Result<Vec<Action>, ProposeError> {
        self.check_can_propose()?;
        let (changed_at, members) = self.log.members();
        if changed_at > self.commit || !self.term_is_open() {
            return Err(ProposeError::ChangeInProgress);
        }
        let next = members.after(change).ok_or(ProposeError::InvalidChange)?;
        if let MemberChange::Promote(replica) = change
            && !self.is_caught_up(replica)
        {
            return Err(ProposeError::InvalidChange);
        }
        Ok(self.append_and_send(Payload::Members(next)).1)
    }

    /// Hands leadership to a voter; no proposals are taken meanwhile.
    ///
    /// # Errors
    /// This replica does not lead, or `to` is no other voter.
    pub fn transfer(&mut self, to: ReplicaId) -> Result<Vec<Action>, ProposeError> {
        self.check_can_propose()?;
        if to == self.id || !self.members().is_voter(to) {
            return Err(ProposeError::InvalidChange);
        }
        self.transfer_to = Some((to, self.now_ms + self.settings.election_ms));
        self.advance_transfer(to);
        Ok(std::mem::take(&mut self.actions))
    }

    fn check_can_propose(&self) -> Result<(), ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader(self.leader));
        }
        if self.transfer_to.is_some() {
            return Err(ProposeError::Transferring);
        }
        Ok(())
    }

    fn append_and_send(&mut self, payload: Payload) -> (u64, Vec<Action>) {
        let index = self.append_own(payload);
        self.send_to_all();
        self.advance_commit();
        self.apply_committed();
        (index, std::mem::take(&mut self.actions))
    }

    pub(crate) fn append_own(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index() + 1;
        self.log.push(Entry {
            index,
            term: self.term,
            payload,
        });
        index
    }

    fn tick(&mut self, now_ms: u64) {
        let pause_ms = now_ms.saturating_sub(self.now_ms);
        self.now_ms = now_ms;
        if self.role == Role::Leader {
            self.tick_leader(pause_ms);
        } else if now_ms >= self.election_due_ms {
            self.start_pre_vote();
        }
    }

    fn tick_leader(&mut self, pause_ms: u64) {
        // A process that was frozen for as long as its lease may have been
        // replaced meanwhile: it must not act before it has asked again.
        let paused = pause_ms + self.settings.drift_ms >= self.settings.election_ms;
        if paused || self.lost_quorum() {
            self.become_follower(self.term, None);
            return;
        }
        if let Some((_, until_ms)) = self.transfer_to
            && self.now_ms >= until_ms
        {
            // The invitation may still arrive, and the election it starts ends
            // this lease unseen: this leader cannot simply go on.
            self.become_follower(self.term, None);
            return;
        }
        if self.now_ms >= self.heartbeat_due_ms {
            self.heartbeat_due_ms = self.now_ms + self.settings.heartbeat_ms;
            self.send_heartbeats();
        }
    }

    fn lost_quorum(&self) -> bool {
        let contact_ms = self.quorum_contact_ms().unwrap_or(0).max(self.led_since_ms);
        self.now_ms > contact_ms + 2 * self.settings.election_ms
    }

    fn receive(&mut self, from: ReplicaId, message: Message) {
        if message.term > self.term && !self.ignores_higher_term(&message) {
            let leader =
                matches!(message.body, Body::Append(_) | Body::Snapshot(_)).then_some(from);
            self.become_follower(message.term, leader);
        }
        match message.body {
            Body::Vote(vote) => self.on_vote(from, message.term, &vote),
            Body::VoteReply(reply) => self.on_vote_reply(from, message.term, &reply),
            Body::Append(append) => self.on_append(from, message.term, append),
            Body::AppendReply(reply) if message.term == self.term => {
                self.on_append_reply(from, &reply);
            }
            Body::AppendReply(_) => {}
            Body::Snapshot(snapshot) => self.on_snapshot(from, message.term, snapshot),
            Body::TimeoutNow => self.on_timeout_now(message.term),
        }
    }

    /// Pre-votes do not raise terms, and a candidate that a live leader would
    /// outlast must not depose it (Ongaro's thesis, section 4.2.3).
    fn ignores_higher_term(&self, message: &Message) -> bool {
        match &message.body {
            Body::Vote(vote) => vote.pre_vote || (!vote.transfer && self.hears_leader()),
            Body::VoteReply(reply) => reply.pre_vote && reply.granted,
            _ => false,
        }
    }

    /// Whether a leader has been heard within the shortest election timeout.
    pub(crate) fn hears_leader(&self) -> bool {
        if self.role == Role::Leader {
            return self.now_ms < self.lease_end_ms();
        }
        let heard_ms = self.leader_contact_ms;
        heard_ms.is_some_and(|heard_ms| self.now_ms < heard_ms + self.settings.election_ms)
    }

    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>) {
        if self.role == Role::Leader {
            self.actions.push(Action::Deposed);
        }
        if term > self.term {
            self.term = term;
            self.voted_for = None;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.transfer_to = None;
        self.votes.clear();
        self.progress.clear();
        self.reset_election_timer();
    }

    pub(crate) fn reset_election_timer(&mut self) {
        let extra_ms = self.random.u64(0..=self.settings.election_ms);
        self.election_due_ms = self.now_ms + self.settings.election_ms + extra_ms;
    }

    pub(crate) fn send(&mut self, to: ReplicaId, body: Body) {
        let message = Message {
            term: self.term,
            body,
        };
        self.actions.push(Action::Send { to, message });
    }

    fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else {
                break;
            };
            self.applied += 1;
            self.actions.push(Action::Apply(entry));
        }
        let retained = self.settings.retained_entries;
        if self.applied > self.log.first_index() + 2 * retained {
            self.log.compact(self.applied - retained);
        }
    }

    fn send_snapshot(&mut self, to: ReplicaId, index: u64, state: Vec<u8>) {
        if self.role != Role::Leader || !self.progress.contains_key(&to) {
            return;
        }
        // The owner may have applied less than this replica has committed,
        // never less than what compaction left.
        let Some(index_term) = self.log.term_at(index) else {
            return;
        };
        let members = self.log.members_at(index).clone();
        let stamp_ms = self.now_ms;
        self.send(
            to,
            Body::Snapshot(Snapshot {
                index,
                index_term,
                members,
                state,
                stamp_ms,
            }),
        );
    }

    /// This replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Role in the current term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Leader of the current term, as far as known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Members in force.
    pub fn members(&self) -> &Members {
        self.log.members().1
    }

    /// Index of the newest committed entry.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Term and index of the last entry, by which survivors are compared.
    pub fn last_entry(&self) -> (u64, u64) {
        (self.log.last_term(), self.log.last_index())
    }

    /// Entries after the commit index, which a survivor of a lost group hands
    /// over because some of them may have been committed.
    pub fn uncommitted(&self) -> Vec<Entry> {
        self.log.slice(self.commit + 1, usize::MAX)
    }

    /// When a leader was last heard, on this machine's clock.
    pub fn leader_contact_ms(&self) -> Option<u64> {
        self.leader_contact_ms
    }

    /// Followers with the highest index that each is known to hold.
    pub fn matched(&self) -> Vec<(ReplicaId, u64)> {
        self.progress
            .iter()
            .map(|(follower, progress)| (*follower, progress.matched))
            .collect()
    }

    /// Whether a follower is so close to the leader that it may vote.
    pub fn is_caught_up(&self, replica: ReplicaId) -> bool {
        let progress = self.progress.get(&replica);
        progress.is_some_and(|progress| progress.matched >= self.commit && self.commit > 0)
    }
}
