//! Ended turns of one program, remembered to detect duplicate and late messages.
//!
//! Gateways report the end of a turn repeatedly until a record of it is durable, and the request to
//! open a turn may arrive after its end, delayed by a network partition. If an end were forgotten
//! by then, each repetition would be counted again, and a late request would reserve tokens that
//! are never released. An end is therefore remembered until a durable record contains it, up to
//! `MAX_REMEMBERED`. When only 24 ends were remembered, a test that reports 25 ends eight times
//! counted 11,250 tokens instead of 1,250 (`tests/repeated_ends.rs`). The newest `MIN_REMEMBERED`
//! ends are remembered even longer, because messages about them may still be in flight.

use std::collections::VecDeque;

/// Number of ends that are always remembered: several times the number of turns that one program
/// runs in parallel.
const MIN_REMEMBERED: usize = 24;
/// Maximum number of remembered ends: a program that ends a turn every 100 ms during an outage of
/// 25 s. Each end appends a record of the program, which takes 6 KB at this size.
const MAX_REMEMBERED: usize = 256;

/// An ended turn.
#[derive(Clone, Debug, PartialEq, Eq)]
struct EndedTurn {
    reservation_id: String,
    /// Number of the first record that contains it.
    first_record: Option<u64>,
}

/// The remembered ends, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndedTurns {
    turns: VecDeque<EndedTurn>,
    /// Number of the newest durable record.
    durable_record: u64,
}

impl EndedTurns {
    /// Restores the ends from the record of a previous owner.
    pub fn from_record(reservation_ids: &[String]) -> Self {
        let ended = |id: &String| EndedTurn {
            reservation_id: id.clone(),
            first_record: Some(0),
        };
        Self {
            turns: reservation_ids.iter().map(ended).collect(),
            durable_record: 0,
        }
    }

    /// Whether the turn has ended.
    pub fn contains(&self, reservation_id: &str) -> bool {
        self.turns
            .iter()
            .any(|ended| ended.reservation_id == reservation_id)
    }

    /// Remembers the end of a turn.
    pub fn insert(&mut self, reservation_id: &str) {
        self.turns.push_back(EndedTurn {
            reservation_id: reservation_id.to_owned(),
            first_record: None,
        });
        self.prune();
    }

    /// Reservation ids to write into the record with this number.
    pub fn record_ids(&mut self, number: u64) -> Vec<String> {
        for ended in &mut self.turns {
            ended.first_record.get_or_insert(number);
        }
        self.turns
            .iter()
            .map(|ended| ended.reservation_id.clone())
            .collect()
    }

    /// All records up to this number are durable.
    pub fn mark_durable(&mut self, number: u64) {
        self.durable_record = number;
        self.prune();
    }

    fn prune(&mut self) {
        while self.turns.len() > MIN_REMEMBERED
            && (self.oldest_is_durable() || self.turns.len() > MAX_REMEMBERED)
        {
            self.turns.pop_front();
        }
    }

    fn oldest_is_durable(&self) -> bool {
        let oldest = self.turns.front().and_then(|ended| ended.first_record);
        oldest.is_some_and(|number| number <= self.durable_record)
    }
}
