//! Packets of the detector and the queue of facts that ride on them.

use crate::fact::{Fact, Subject};
use crate::table::FactTable;
use fieldhook_model::address::{Address, ProcessId};
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;

/// What a packet asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Question {
    /// Are you there?
    Ping {
        /// Matches the answer to the question.
        sequence: u64,
    },
    /// I am here.
    Ack {
        /// Sequence of the ping.
        sequence: u64,
    },
    /// I know nobody, or had taken you for dead: tell me everything.
    Join {
        /// Matches the answer to the question.
        sequence: u64,
    },
    /// No question: part of the answer to `Join` or `Compare`.
    Facts,
    /// Which of my facts are outdated? Digests of all facts, by bucket.
    Digests {
        /// See `FactTable::digests`.
        digests: Vec<u64>,
    },
    /// Please ping another and pass its answer on.
    PingRequest {
        /// Sequence of the asker.
        sequence: u64,
        /// Whom to ping.
        target: Address,
    },
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Packet {
    /// Sender.
    pub from: ProcessId,
    /// Question or answer.
    pub question: Question,
    /// Facts in passing.
    pub facts: Vec<Fact>,
}

/// Subjects whose newest fact still has to be passed on.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    sent: BTreeMap<Subject, u32>,
}

impl Queue {
    /// Starts passing on the newest fact of a subject.
    pub(crate) fn add(&mut self, subject: Subject) {
        self.sent.insert(subject, 0);
    }

    /// Takes facts for one packet, those sent least often first; a fact that
    /// was sent `limit` times is dropped from the queue.
    pub(crate) fn take(&mut self, table: &FactTable, bytes: usize, limit: u32) -> Vec<Fact> {
        let mut order: Vec<(u32, Subject)> = self
            .sent
            .iter()
            .map(|(subject, sent)| (*sent, subject.clone()))
            .collect();
        order.sort();
        let mut facts = Vec::new();
        let mut room = bytes;
        for (sent, subject) in order {
            let Some(fact) = table.get(&subject) else {
                continue;
            };
            if fact.size() > room {
                continue;
            }
            room -= fact.size();
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
