//! The failure detector: whom to probe, whom to suspect, what to pass on.

mod packet;
mod probe;

use crate::fact::{Fact, Member, MemberState, Subject};
use crate::gossip::{Packet, Question, Queue};
use crate::settings::Settings;
use crate::table::FactTable;
use fieldhook_model::address::{Address, ProcessId};
use std::collections::BTreeMap;

/// A packet to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Where to.
    pub to: Address,
    /// The packet.
    pub packet: Packet,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    target: Address,
    sequence: u64,
    started_ms: u64,
    helpers_asked: bool,
}

#[derive(Clone, Copy, Debug)]
struct Errand {
    asker: Address,
    asker_sequence: u64,
}

/// Failure detector and gossip of one daemon.
#[derive(Debug)]
pub struct Detector {
    own: Member,
    settings: Settings,
    seeds: Vec<Address>,
    random: fastrand::Rng,
    table: FactTable,
    queue: Queue,
    now_ms: u64,
    next_probe_ms: u64,
    next_sync_ms: u64,
    sequence: u64,
    probe: Option<Probe>,
    round: Vec<Address>,
    errands: BTreeMap<u64, Errand>,
    suspected_ms: BTreeMap<Address, (ProcessId, u64)>,
    dead_ms: BTreeMap<Address, (ProcessId, u64)>,
    packets_out: Vec<Outgoing>,
}

impl Detector {
    /// A detector that knows only itself and the addresses to start from.
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
            queue: Queue::default(),
            now_ms: 0,
            next_probe_ms: 0,
            next_sync_ms: settings.sync_ms,
            sequence: 0,
            probe: None,
            round: Vec::new(),
            errands: BTreeMap::new(),
            suspected_ms: BTreeMap::new(),
            dead_ms: BTreeMap::new(),
            packets_out: Vec::new(),
        };
        detector.learn(Fact::Member(own));
        detector
    }

    /// What is known.
    pub fn table(&self) -> &FactTable {
        &self.table
    }

    /// This daemon.
    pub fn id(&self) -> ProcessId {
        self.own.id
    }

    /// How long a daemon has been held dead or gone here, in milliseconds.
    pub fn dead_for_ms(&self, id: ProcessId) -> Option<u64> {
        let (dead, since_ms) = self.dead_ms.get(&id.address)?;
        (*dead == id).then(|| self.now_ms.saturating_sub(*since_ms))
    }

    /// Takes a fact from this daemon or a full exchange, and passes it on if
    /// it is news. True if it was news.
    pub fn learn(&mut self, fact: Fact) -> bool {
        if let Fact::Member(member) = &fact
            && member.id.address == self.own.id.address
            && member.id.incarnation >= self.own.id.incarnation
            && *member != self.own
        {
            return self.object_to(&member.clone());
        }
        let subject = fact.subject();
        let state = match &fact {
            Fact::Member(member) => Some((member.id, member.state)),
            _ => None,
        };
        if !self.table.insert(fact.clone()) {
            self.correct(&fact, subject);
            return false;
        }
        self.queue.add(subject);
        if let Some((id, state)) = state {
            self.note_state(id, state);
        }
        true
    }

    /// Whoever says something outdated is told better.
    fn correct(&mut self, outdated: &Fact, subject: Subject) {
        if self
            .table
            .get(&subject)
            .is_some_and(|known| known.replaces(outdated))
        {
            self.queue.add(subject);
        }
    }

    /// Says that this daemon goes.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Left;
        self.learn(Fact::Member(self.own.clone()));
    }

    fn object_to(&mut self, claim: &Member) -> bool {
        if claim.id != self.own.id || self.own.state == MemberState::Left {
            return false;
        }
        if claim.state > MemberState::Alive && claim.refutation >= self.own.refutation {
            self.own.refutation = claim.refutation + 1;
            self.learn(Fact::Member(self.own.clone()));
        }
        false
    }

    fn note_state(&mut self, id: ProcessId, state: MemberState) {
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

    /// Lets time pass.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Outgoing> {
        // After a pause of its own the detector has missed answers: it must not
        // blame others for that.
        if now_ms > self.now_ms + self.settings.suspicion_ms {
            self.forgive(now_ms);
        }
        self.now_ms = now_ms;
        self.follow_probe();
        self.bury_suspects();
        if now_ms >= self.next_probe_ms {
            self.next_probe_ms = now_ms + self.settings.probe_ms;
            self.start_probe();
        }
        if now_ms >= self.next_sync_ms {
            self.next_sync_ms = now_ms + self.settings.sync_ms;
            self.compare();
        }
        std::mem::take(&mut self.packets_out)
    }

    /// Asks a random member for what differs there.
    fn compare(&mut self) {
        let others = self.others();
        if let Some(peer) = self.random.choice(&others) {
            let digests = self.table.digests();
            self.push_packet(*peer, Question::Digests { digests }, Vec::new());
        }
    }

    fn forgive(&mut self, now_ms: u64) {
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

    fn bury_suspects(&mut self) {
        let limit_ms = self.settings.suspicion_ms;
        let due = |since_ms: u64| self.now_ms >= since_ms + limit_ms;
        let buried: Vec<Address> = self
            .suspected_ms
            .iter()
            .filter(|(_, (_, since_ms))| due(*since_ms))
            .map(|(address, _)| *address)
            .collect();
        for address in buried {
            if let Some(member) = self.table.member(address) {
                let death = Member {
                    state: MemberState::Dead,
                    ..member.clone()
                };
                self.learn(Fact::Member(death));
            }
        }
    }

    fn send(&mut self, to: Address, question: Question) {
        let size = self.table.live().count().max(2);
        let limit = self.settings.retransmit_factor * (usize::BITS - size.leading_zeros());
        let mut facts = self
            .queue
            .take(&self.table, self.settings.max_packet_bytes, limit);
        let own = Fact::Member(self.own.clone());
        if !facts.contains(&own) {
            // The receiver may never have heard of this daemon, or may hold it
            // dead: every packet introduces its sender.
            facts.push(own);
        }
        self.push_packet(to, question, facts);
    }

    fn push_packet(&mut self, to: Address, question: Question, facts: Vec<Fact>) {
        let packet = Packet {
            from: self.own.id,
            question,
            facts,
        };
        self.packets_out.push(Outgoing { to, packet });
    }
}
