//! Packets of the detector and the queue of facts that are sent with them.

use crate::fact::{Fact, Subject};
use crate::table::FactTable;
use fieldhook_model::address::{Address, ProcessId};
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;

/// Request or answer in a packet.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Message {
    /// Direct probe.
    Ping {
        /// Repeated in the answer.
        sequence: u64,
    },
    /// Answer to `Ping`, `PingRequest` or `Join`.
    Ack {
        /// Sequence number of the request.
        sequence: u64,
    },
    /// Request for all facts, from a process that knows no member or had considered the receiver
    /// dead.
    Join {
        /// Repeated in the answer.
        sequence: u64,
    },
    /// Facts only: part of the answer to `Join` or `Digests`.
    Facts,
    /// Request for facts that differ from the sender's.
    Digests {
        /// Digests of the sender's facts by bucket: see `FactTable::digests`.
        digests: Vec<u64>,
    },
    /// Request to probe another member and pass its answer on (ping-req in SWIM).
    PingRequest {
        /// Repeated in the answer.
        sequence: u64,
        /// Member to probe.
        target: Address,
    },
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Packet {
    /// Sender.
    pub from: ProcessId,
    /// Request or answer.
    pub message: Message,
    /// Facts that are spread with this packet.
    pub facts: Vec<Fact>,
}

/// Subjects whose newest fact is still being sent, with the number of times it was sent.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    sent: BTreeMap<Subject, u32>,
}

impl GossipQueue {
    /// Queues the newest fact of a subject, and resets the number of times it was sent.
    pub(crate) fn add(&mut self, subject: Subject) {
        self.sent.insert(subject, 0);
    }

    /// Takes facts for one packet, those sent least often first. A fact that was sent `limit` times
    /// is removed from the queue.
    pub(crate) fn take(&mut self, table: &FactTable, bytes: usize, limit: u32) -> Vec<Fact> {
        let mut order: Vec<(u32, Subject)> = self
            .sent
            .iter()
            .map(|(subject, sent)| (*sent, subject.clone()))
            .collect();
        order.sort();
        let mut facts = Vec::new();
        let mut remaining = bytes;
        for (sent, subject) in order {
            let Some(fact) = table.get(&subject) else {
                continue;
            };
            if fact.size() > remaining {
                continue;
            }
            remaining -= fact.size();
            facts.push(fact.clone());
            if sent + 1 >= limit {
                self.sent.remove(&subject);
            } else {
                self.sent.insert(subject, sent + 1);
            }
        }
        facts
    }
}
