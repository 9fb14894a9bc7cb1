//! The failure detector: probes members, suspects those that do not answer, and spreads facts.

mod packet;
mod probe;

use crate::fact::{Fact, Member, MemberState, Subject};
use crate::gossip::{GossipQueue, Message, Packet};
use crate::settings::Settings;
use crate::table::FactTable;
use fieldhook_model::address::{Address, ProcessId};
use std::collections::BTreeMap;

/// A packet to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    pub to: Address,
    pub packet: Packet,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    target: Address,
    sequence: u64,
    started_ms: u64,
    indirect_sent: bool,
}

/// A probe that this daemon runs on request of another one (ping-req in SWIM).
#[derive(Clone, Copy, Debug)]
struct IndirectProbe {
    requester: Address,
    requester_sequence: u64,
}

/// Failure detector and gossip of one daemon.
#[derive(Debug)]
pub struct Detector {
    own: Member,
    settings: Settings,
    seeds: Vec<Address>,
    random: fastrand::Rng,
    table: FactTable,
    queue: GossipQueue,
    now_ms: u64,
    next_probe_ms: u64,
    next_sync_ms: u64,
    sequence: u64,
    probe: Option<Probe>,
    /// Members still to be probed in this round, last one first.
    probe_order: Vec<Address>,
    /// Indirect probes that await an answer, by the sequence number of their ping.
    indirect_probes: BTreeMap<u64, IndirectProbe>,
    /// Suspected processes, and since when in milliseconds.
    suspected_ms: BTreeMap<Address, (ProcessId, u64)>,
    /// Processes that are dead or have left, and since when in milliseconds.
    dead_ms: BTreeMap<Address, (ProcessId, u64)>,
    packets_out: Vec<Outgoing>,
}

impl Detector {
    /// Creates a detector that knows only itself and the seed addresses.
    pub fn new(
        id: ProcessId,
        zone: &str,
        seeds: Vec<Address>,
        settings: Settings,
        seed: u64,
    ) -> Self {
        let own = Member {
            id,
            zone: zone.to_owned(),
            state: MemberState::Alive,
            refutation: 0,
        };
        let mut detector = Self {
            own: own.clone(),
            settings,
            seeds,
            random: fastrand::Rng::with_seed(seed),
            table: FactTable::default(),
            queue: GossipQueue::default(),
            now_ms: 0,
            next_probe_ms: 0,
            next_sync_ms: settings.sync_ms,
            sequence: 0,
            probe: None,
            probe_order: Vec::new(),
            indirect_probes: BTreeMap::new(),
            suspected_ms: BTreeMap::new(),
            dead_ms: BTreeMap::new(),
            packets_out: Vec::new(),
        };
        detector.learn(Fact::Member(own));
        detector
    }

    /// Returns all known facts.
    pub fn table(&self) -> &FactTable {
        &self.table
    }

    /// Identity of this daemon's process.
    pub fn id(&self) -> ProcessId {
        self.own.id
    }

    /// How long a process has been considered dead or known to have left, in milliseconds; `None`
    /// if it is neither.
    pub fn dead_for_ms(&self, id: ProcessId) -> Option<u64> {
        let (dead, since_ms) = self.dead_ms.get(&id.address)?;
        (*dead == id).then(|| self.now_ms.saturating_sub(*since_ms))
    }

    /// Applies a fact and spreads it if it is newer than the known one. Returns true if it is
    /// newer. A statement about this process is refuted instead if it is wrong, and false is
    /// returned.
    pub fn learn(&mut self, fact: Fact) -> bool {
        if let Fact::Member(member) = &fact
            && member.id.address == self.own.id.address
            && member.id.incarnation >= self.own.id.incarnation
            && *member != self.own
        {
            return self.refute(&member.clone());
        }
        let subject = fact.subject();
        let state = match &fact {
            Fact::Member(member) => Some((member.id, member.state)),
            _ => None,
        };
        if !self.table.insert(fact.clone()) {
            self.respread_newer(&fact, subject);
            return false;
        }
        self.queue.add(subject);
        if let Some((id, state)) = state {
            self.record_state(id, state);
        }
        true
    }

    /// Spreads the known fact again if a received one is outdated, so that its sender is corrected.
    fn respread_newer(&mut self, outdated: &Fact, subject: Subject) {
        if self
            .table
            .get(&subject)
            .is_some_and(|known| known.replaces(outdated))
        {
            self.queue.add(subject);
        }
    }

    /// Announces that this daemon leaves the group.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Left;
        self.learn(Fact::Member(self.own.clone()));
    }

    fn refute(&mut self, statement: &Member) -> bool {
        if statement.id != self.own.id || self.own.state == MemberState::Left {
            return false;
        }
        if statement.state > MemberState::Alive && statement.refutation >= self.own.refutation {
            self.own.refutation = statement.refutation + 1;
            self.learn(Fact::Member(self.own.clone()));
        }
        false
    }

    fn record_state(&mut self, id: ProcessId, state: MemberState) {
        self.suspected_ms.remove(&id.address);
        self.dead_ms.remove(&id.address);
        match state {
            MemberState::Alive => {}
            MemberState::Suspect => {
                self.suspected_ms.insert(id.address, (id, self.now_ms));
            }
            MemberState::Dead | MemberState::Left => {
                self.dead_ms.insert(id.address, (id, self.now_ms));
            }
        }
    }

    /// Advances the time and returns the packets to send.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Outgoing> {
        // After a pause of this process, answers may have been missed, so no member is suspected
        // because of them.
        if now_ms > self.now_ms + self.settings.suspicion_ms {
            self.reset_timers(now_ms);
        }
        self.now_ms = now_ms;
        self.check_probe();
        self.expire_suspects();
        if now_ms >= self.next_probe_ms {
            self.next_probe_ms = now_ms + self.settings.probe_ms;
            self.start_probe();
        }
        if now_ms >= self.next_sync_ms {
            self.next_sync_ms = now_ms + self.settings.sync_ms;
            self.sync_with_random_member();
        }
        std::mem::take(&mut self.packets_out)
    }

    /// Sends digests to a random member, which answers with the facts that differ.
    fn sync_with_random_member(&mut self) {
        let peers = self.live_peers();
        if let Some(peer) = self.random.choice(&peers) {
            let digests = self.table.digests();
            self.push_packet(*peer, Message::Digests { digests }, Vec::new());
        }
    }

    fn reset_timers(&mut self, now_ms: u64) {
        self.probe = None;
        for (_, since_ms) in self.suspected_ms.values_mut() {
            *since_ms = now_ms;
        }
    }

    fn suspect(&mut self, address: Address) {
        let Some(member) = self.table.member(address) else {
            return;
        };
        if member.state == MemberState::Alive {
            let suspicion = Member {
                state: MemberState::Suspect,
                ..member.clone()
            };
            self.learn(Fact::Member(suspicion));
        }
    }

    fn expire_suspects(&mut self) {
        let limit_ms = self.settings.suspicion_ms;
        let due = |since_ms: u64| self.now_ms >= since_ms + limit_ms;
        let expired: Vec<Address> = self
            .suspected_ms
            .iter()
            .filter(|(_, (_, since_ms))| due(*since_ms))
            .map(|(address, _)| *address)
            .collect();
        for address in expired {
            if let Some(member) = self.table.member(address) {
                let death = Member {
                    state: MemberState::Dead,
                    ..member.clone()
                };
                self.learn(Fact::Member(death));
            }
        }
    }

    fn send(&mut self, to: Address, message: Message) {
        let size = self.table.live().count().max(2);
        let limit = self.settings.retransmit_factor * (usize::BITS - size.leading_zeros());
        let mut facts = self
            .queue
            .take(&self.table, self.settings.max_packet_bytes, limit);
        let own = Fact::Member(self.own.clone());
        if !facts.contains(&own) {
            // The receiver may not know this daemon, or consider it dead, so every packet contains
            // its sender.
            facts.push(own);
        }
        self.push_packet(to, message, facts);
    }

    fn push_packet(&mut self, to: Address, message: Message, facts: Vec<Fact>) {
        let packet = Packet {
            from: self.own.id,
            message,
            facts,
        };
        self.packets_out.push(Outgoing { to, packet });
    }
}
