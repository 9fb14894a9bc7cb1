//! A group of three daemons under virtual time, with the oracle's checks.

use fieldhook_consensus::{
    Action, Candidates, Entry, Input, Members, Message, Payload, Replica, Role, Settings,
    plan_change,
};
use fieldhook_model::address::{Address, ReplicaId};
use std::collections::{BTreeMap, BTreeSet};

const NODES: usize = 3;
const TICK_MS: u64 = 20;

struct Node {
    replica: Replica,
    applied: Vec<Entry>,
    frozen_until_ms: u64,
    cut: bool,
    /// Whether this process once belonged to the group; a joining one does not.
    incarnation: u64,
}

struct InFlight {
    due_ms: u64,
    order: u64,
    from: ReplicaId,
    to: ReplicaId,
    message: Message,
}

pub struct Simulation {
    nodes: Vec<Node>,
    network: Vec<InFlight>,
    cut_links: BTreeSet<(Address, Address)>,
    now_ms: u64,
    order: u64,
    random: fastrand::Rng,
    pub loss_percent: u8,
    agreed: BTreeMap<u64, Entry>,
    leaders: BTreeMap<u64, ReplicaId>,
    next_command: u64,
    pending: BTreeMap<(u64, u64), u64>,
    acknowledged: BTreeSet<u64>,
}

fn address(node: usize) -> Address {
    format!("127.0.0.{}:7000", node + 1).parse().unwrap()
}

fn replica_id(node: usize, incarnation: u64) -> ReplicaId {
    ReplicaId {
        address: address(node),
        incarnation,
    }
}

fn settings() -> Settings {
    Settings {
        retained_entries: 4,
        ..Settings::default()
    }
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let members = Members::of_voters((0..NODES).map(|node| replica_id(node, 1)).collect());
        let nodes = (0..NODES)
            .map(|node| {
                let id = replica_id(node, 1);
                let replica = Replica::new(id, members.clone(), settings(), 0, random.u64(..));
                Node {
                    replica,
                    applied: Vec::new(),
                    frozen_until_ms: 0,
                    cut: false,
                    incarnation: 1,
                }
            })
            .collect();
        Self {
            nodes,
            network: Vec::new(),
            cut_links: BTreeSet::new(),
            now_ms: 0,
            order: 0,
            random,
            loss_percent: 0,
            agreed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            next_command: 0,
            pending: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
        }
    }

    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    pub fn run(&mut self, span_ms: u64) {
        let end_ms = self.now_ms + span_ms;
        while self.now_ms < end_ms {
            self.now_ms += 1;
            self.deliver_due();
            if self.now_ms.is_multiple_of(TICK_MS) {
                self.tick_all();
                self.check_leases();
            }
        }
    }

    fn tick_all(&mut self) {
        for node in 0..NODES {
            if self.is_running(node) {
                let actions = self.nodes[node].replica.step(Input::Tick {
                    now_ms: self.now_ms,
                });
                self.carry_out(node, actions);
                self.reconcile(node);
            }
        }
    }

    fn is_running(&self, node: usize) -> bool {
        self.nodes[node].frozen_until_ms <= self.now_ms
    }

    fn deliver_due(&mut self) {
        let now_ms = self.now_ms;
        let (mut due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|item| item.due_ms <= now_ms);
        self.network = later;
        due.sort_by_key(|item| (item.due_ms, item.order));
        for item in due {
            self.deliver(item);
        }
    }

    fn deliver(&mut self, mut item: InFlight) {
        let found = (0..NODES).find(|node| self.nodes[*node].replica.id() == item.to);
        let Some(node) = found else { return };
        if self.nodes[node].cut {
            return;
        }
        if !self.is_running(node) {
            // A frozen machine's kernel keeps the message until it wakes.
            item.due_ms = self.nodes[node].frozen_until_ms + 1;
            self.network.push(item);
            return;
        }
        let input = Input::Receive {
            now_ms: self.now_ms,
            from: item.from,
            message: item.message,
        };
        let actions = self.nodes[node].replica.step(input);
        self.carry_out(node, actions);
    }

    fn carry_out(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.post(node, to, message),
                Action::Apply(entry) => self.apply(node, entry),
                Action::Install { index, state } => self.install(node, index, &state),
                Action::MakeSnapshot { to } => self.make_snapshot(node, to),
                Action::Elected { term } => self.check_one_leader(node, term),
                Action::Deposed => {}
            }
        }
    }

    fn post(&mut self, node: usize, to: ReplicaId, message: Message) {
        let link = (address(node), to.address);
        if self.nodes[node].cut || self.cut_links.contains(&link) {
            return;
        }
        if self.random.u8(0..100) < self.loss_percent {
            return;
        }
        let copies = if self.random.u8(0..100) < 5 { 2 } else { 1 };
        for _ in 0..copies {
            self.order += 1;
            let late = self.random.u8(0..100) < 5;
            let delay_ms = if late {
                self.random.u64(1..900)
            } else {
                self.random.u64(1..6)
            };
            self.network.push(InFlight {
                due_ms: self.now_ms + delay_ms,
                order: self.order,
                from: self.nodes[node].replica.id(),
                to,
                message: message.clone(),
            });
        }
    }

    /// The heart of the oracle: one entry per index, for everyone and for ever.
    fn apply(&mut self, node: usize, entry: Entry) {
        let agreed = self
            .agreed
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        assert_eq!(
            *agreed, entry,
            "two replicas applied different entries at one index"
        );
        assert_eq!(
            self.nodes[node].applied.len() as u64 + 1,
            entry.index,
            "gap in applied entries"
        );
        if let Some(command) = self.pending.remove(&(entry.index, entry.term)) {
            self.acknowledged.insert(command);
        }
        self.nodes[node].applied.push(entry);
    }

    fn install(&mut self, node: usize, index: u64, state: &[u8]) {
        let entries: Vec<Entry> = nanoserde::DeBin::deserialize_bin(state).unwrap();
        assert_eq!(entries.len() as u64, index);
        for entry in &entries {
            assert_eq!(
                self.agreed.get(&entry.index),
                Some(entry),
                "snapshot differs from the log"
            );
        }
        self.nodes[node].applied = entries;
    }

    fn make_snapshot(&mut self, node: usize, to: ReplicaId) {
        let state = nanoserde::SerBin::serialize_bin(&self.nodes[node].applied);
        let index = self.nodes[node].applied.len() as u64;
        let input = Input::SnapshotMade { to, index, state };
        let actions = self.nodes[node].replica.step(input);
        self.carry_out(node, actions);
    }

    fn check_one_leader(&mut self, node: usize, term: u64) {
        let id = self.nodes[node].replica.id();
        let leader = *self.leaders.entry(term).or_insert(id);
        assert_eq!(leader, id, "two leaders in term {term}");
    }

    fn check_leases(&self) {
        let holders: Vec<ReplicaId> = (0..NODES)
            .filter(|node| self.is_running(*node) && self.nodes[*node].replica.holds_lease())
            .map(|node| self.nodes[node].replica.id())
            .collect();
        assert!(holders.len() <= 1, "leases of {holders:?} overlap");
    }

    /// What the daemon does with the same planner: replaced processes are gone.
    fn reconcile(&mut self, node: usize) {
        let current: Vec<ReplicaId> = (0..NODES)
            .map(|other| replica_id(other, self.nodes[other].incarnation))
            .collect();
        let replica = &mut self.nodes[node].replica;
        let members = replica.members().clone();
        let all = members.voters.iter().chain(&members.learners);
        let gone = all
            .filter(|member| !current.contains(member))
            .copied()
            .collect();
        let candidates = Candidates {
            gone,
            joining: current,
            size: NODES,
        };
        if let Some(change) = plan_change(replica, &candidates)
            && let Ok(actions) = replica.propose_change(change)
        {
            self.carry_out(node, actions);
        }
    }

    pub fn propose(&mut self, node: u8) {
        let node = usize::from(node) % NODES;
        self.next_command += 1;
        let command = self.next_command;
        let bytes = command.to_le_bytes().to_vec();
        let replica = &mut self.nodes[node].replica;
        let term = replica.term();
        if let Ok((index, actions)) = replica.propose(bytes) {
            self.pending.insert((index, term), command);
            self.carry_out(node, actions);
        }
    }

    pub fn propose_to_leader(&mut self) {
        if let Some(node) = self.leader() {
            self.propose(node as u8);
        }
    }

    fn leader(&self) -> Option<usize> {
        (0..NODES).find(|node| self.nodes[*node].replica.role() == Role::Leader)
    }

    pub fn cut(&mut self, node: u8) {
        self.nodes[usize::from(node) % NODES].cut = true;
    }

    /// Cuts the link between two machines that both still reach the third.
    pub fn cut_link(&mut self, left: u8, right: u8) {
        let left = address(usize::from(left) % NODES);
        let right = address(usize::from(right) % NODES);
        self.cut_links.insert((left, right));
        self.cut_links.insert((right, left));
    }

    pub fn heal(&mut self) {
        self.cut_links.clear();
        self.loss_percent = 0;
        for node in &mut self.nodes {
            node.cut = false;
        }
    }

    pub fn freeze(&mut self, node: u8, span_ms: u64) {
        self.nodes[usize::from(node) % NODES].frozen_until_ms = self.now_ms + span_ms;
    }

    /// Kills a process and starts a new one at its address, if the group can
    /// bear it: a lost majority is the business of re-forming, not of this test.
    pub fn replace(&mut self, node: u8) {
        let node = usize::from(node) % NODES;
        if !self.bears_loss_of(node) {
            return;
        }
        let incarnation = self.nodes[node].incarnation + 1;
        let id = replica_id(node, incarnation);
        let seed = self.random.u64(..);
        let replica = Replica::new(id, Members::default(), settings(), self.now_ms, seed);
        self.nodes[node] = Node {
            replica,
            applied: Vec::new(),
            frozen_until_ms: 0,
            cut: false,
            incarnation,
        };
    }

    /// Whether every member set that may be in force keeps a live majority.
    fn bears_loss_of(&self, node: usize) -> bool {
        self.nodes.iter().all(|holder| {
            let members = holder.replica.members();
            let survivors = members.voters.iter().filter(|voter| {
                (0..NODES).any(|other| other != node && self.nodes[other].replica.id() == **voter)
            });
            members.voters.is_empty() || survivors.count() >= members.quorum()
        })
    }

    pub fn transfer(&mut self, node: u8, to: u8) {
        let node = usize::from(node) % NODES;
        let to = self.nodes[usize::from(to) % NODES].replica.id();
        if let Ok(actions) = self.nodes[node].replica.transfer(to) {
            self.carry_out(node, actions);
        }
    }

    /// Faults end: the group must commit again and hold all that was acknowledged.
    pub fn settle(&mut self) {
        self.heal();
        for node in &mut self.nodes {
            node.frozen_until_ms = 0;
        }
        let before = self.next_command;
        for _ in 0..60 {
            self.run(500);
            self.propose_to_leader();
            if self
                .acknowledged
                .iter()
                .next_back()
                .is_some_and(|command| *command > before)
            {
                break;
            }
        }
        self.run(1000);
        let newest = self.acknowledged.iter().next_back();
        assert!(
            newest.is_some_and(|command| *command > before),
            "no progress after the faults"
        );
        self.check_acknowledged();
    }

    fn check_acknowledged(&self) {
        let commands: BTreeSet<Vec<u8>> = self
            .agreed
            .values()
            .filter_map(|entry| match &entry.payload {
                Payload::Command(bytes) => Some(bytes.clone()),
                _ => None,
            })
            .collect();
        for command in &self.acknowledged {
            assert!(
                commands.contains(command.to_le_bytes().as_slice()),
                "lost command {command}"
            );
        }
    }
}
