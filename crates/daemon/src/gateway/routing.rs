//! Where the leader of a shard probably is.

use crate::node::Node;
use fieldhook_membership::MemberState;
use fieldhook_model::address::{Address, ReplicaId};
use fieldhook_model::ids::ShardId;
use std::rc::Rc;

/// Where to ask for a shard's leader, best guess first, changing as guesses fail.
pub struct LeaderSearch {
    node: Rc<Node>,
    shard: ShardId,
    hint: Option<Address>,
    turn: usize,
}

impl LeaderSearch {
    /// Starts from what this daemon knows.
    pub fn new(node: Rc<Node>, shard: ShardId) -> Self {
        Self {
            node,
            shard,
            hint: None,
            turn: 0,
        }
    }

    /// Whom to ask next: this daemon if it leads, a hint, the known leader, or
    /// the members in turn.
    pub fn next(&mut self) -> Option<Address> {
        if self.node.shard(self.shard).is_some_and(|host| host.leads()) {
            return Some(self.node.id.address);
        }
        if let Some(hint) = self.hint.take() {
            return Some(hint);
        }
        let candidates = self.candidates();
        let candidate = candidates.get(self.turn % candidates.len().max(1)).copied();
        self.turn += 1;
        candidate
    }

    /// Takes the word of someone who said that another leads.
    pub fn take_hint(&mut self, leader: Option<ReplicaId>) {
        let own = self.node.id.address;
        self.hint = leader
            .map(|leader| leader.address)
            .filter(|address| *address != own);
    }

    fn candidates(&self) -> Vec<Address> {
        let detector = self.node.detector.borrow();
        let table = detector.table();
        let Some(route) = table.route(self.shard) else {
            return Vec::new();
        };
        let is_up = |id: &ReplicaId| {
            let member = table.member(id.address);
            member.is_some_and(|member| member.id == *id && member.state < MemberState::Dead)
        };
        let mut candidates = vec![route.leader];
        candidates.extend(route.members.iter().filter(|id| **id != route.leader));
        let mut live: Vec<ReplicaId> = candidates.into_iter().filter(is_up).collect();
        if let Some(known) = self.node.shard(self.shard).and_then(|host| host.leader()) {
            live.retain(|id| *id != known);
            live.insert(0, known);
        }
        live.into_iter()
            .map(|id| id.address)
            .filter(|item| *item != self.node.id.address)
            .collect()
    }
}
