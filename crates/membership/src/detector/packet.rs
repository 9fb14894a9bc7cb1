//! Handling of received packets.

use super::{Detector, IndirectProbe, Outgoing, Probe};
use crate::fact::{Fact, MemberState};
use crate::gossip::{Message, Packet};
use fieldhook_model::address::{Address, ProcessId};

impl Detector {
    /// Handles a received packet and returns the packets to send.
    pub fn receive(&mut self, packet: Packet) -> Vec<Outgoing> {
        for fact in packet.facts {
            self.learn(fact);
        }
        let from = packet.from.address;
        match packet.message {
            Message::Ping { sequence } => {
                self.queue_if_not_alive(packet.from);
                self.send(from, Message::Ack { sequence });
            }
            Message::Join { sequence } => {
                self.queue_if_not_alive(packet.from);
                self.send(from, Message::Ack { sequence });
                self.send_facts(from, self.table.all());
            }
            Message::Facts => {}
            Message::Digests { digests } => {
                let differing = self.table.differing(&digests);
                self.send_facts(from, differing);
            }
            Message::Ack { sequence } => self.handle_ack(sequence),
            Message::PingRequest { sequence, target } => {
                self.sequence += 1;
                self.indirect_probes.insert(
                    self.sequence,
                    IndirectProbe {
                        requester: from,
                        requester_sequence: sequence,
                    },
                );
                self.send(
                    target,
                    Message::Ping {
                        sequence: self.sequence,
                    },
                );
            }
        }
        std::mem::take(&mut self.packets_out)
    }

    /// Sends facts in as many packets as they need.
    fn send_facts(&mut self, to: Address, all: Vec<Fact>) {
        let mut facts = Vec::new();
        let mut size = 0;
        for fact in all {
            if size + fact.size() > self.settings.max_packet_bytes {
                self.push_packet(to, Message::Facts, std::mem::take(&mut facts));
                size = 0;
            }
            size += fact.size();
            facts.push(fact);
        }
        if !facts.is_empty() {
            self.push_packet(to, Message::Facts, facts);
        }
    }

    /// Queues the state of a sender that is suspected or considered dead here, so that the sender
    /// can refute that.
    fn queue_if_not_alive(&mut self, from: ProcessId) {
        let Some(member) = self.table.member(from.address) else {
            return;
        };
        if member.id == from && member.state > MemberState::Alive {
            let subject = Fact::Member(member.clone()).subject();
            self.queue.add(subject);
        }
    }

    fn handle_ack(&mut self, sequence: u64) {
        if let Some(probe) = self.indirect_probes.remove(&sequence) {
            self.send(
                probe.requester,
                Message::Ack {
                    sequence: probe.requester_sequence,
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
