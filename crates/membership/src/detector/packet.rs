//! Packets of other daemons, and the answers to them.

use super::{Detector, Errand, Outgoing, Probe};
use crate::fact::{Fact, MemberState};
use crate::gossip::{Packet, Question};
use fieldhook_model::address::{Address, ProcessId};

impl Detector {
    /// Takes a packet.
    pub fn receive(&mut self, packet: Packet) -> Vec<Outgoing> {
        for fact in packet.facts {
            self.learn(fact);
        }
        let from = packet.from.address;
        match packet.question {
            Question::Ping { sequence } => {
                self.tell_if_mistaken(packet.from);
                self.send(from, Question::Ack { sequence });
            }
            Question::Join { sequence } => {
                self.tell_if_mistaken(packet.from);
                self.send(from, Question::Ack { sequence });
                self.tell(from, self.table.all());
            }
            Question::Facts => {}
            Question::Digests { digests } => {
                let differing = self.table.differing(&digests);
                self.tell(from, differing);
            }
            Question::Ack { sequence } => self.take_answer(sequence),
            Question::PingRequest { sequence, target } => {
                self.sequence += 1;
                self.errands.insert(
                    self.sequence,
                    Errand {
                        asker: from,
                        asker_sequence: sequence,
                    },
                );
                self.send(
                    target,
                    Question::Ping {
                        sequence: self.sequence,
                    },
                );
            }
        }
        std::mem::take(&mut self.packets_out)
    }

    /// Sends facts, in as many packets as they need.
    fn tell(&mut self, to: Address, told: Vec<Fact>) {
        let mut facts = Vec::new();
        let mut size = 0;
        for fact in told {
            if size + fact.size() > self.settings.max_packet_bytes {
                self.push_packet(to, Question::Facts, std::mem::take(&mut facts));
                size = 0;
            }
            size += fact.size();
            facts.push(fact);
        }
        if !facts.is_empty() {
            self.push_packet(to, Question::Facts, facts);
        }
    }

    /// A sender that is held dead here must hear of it, or it never objects.
    fn tell_if_mistaken(&mut self, from: ProcessId) {
        let Some(member) = self.table.member(from.address) else {
            return;
        };
        if member.id == from && member.state > MemberState::Alive {
            let subject = Fact::Member(member.clone()).subject();
            self.queue.add(subject);
        }
    }

    fn take_answer(&mut self, sequence: u64) {
        if let Some(errand) = self.errands.remove(&sequence) {
            self.send(
                errand.asker,
                Question::Ack {
                    sequence: errand.asker_sequence,
                },
            );
            return;
        }
        let answered = |probe: &Probe| probe.sequence == sequence;
        if self.probe.as_ref().is_some_and(answered) {
            self.probe = None;
        }
    }
}
