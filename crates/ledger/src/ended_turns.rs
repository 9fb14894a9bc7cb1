//! Ends of turns that the owner of a program remembers.
//!
//! The end of a turn is told in rounds until a record of it is durable, and its question may come
//! after it, for as long as a cut lasts. An end that was forgotten by then counts anew with each
//! round, or its turn is opened for nobody. So an end is remembered until a durable record tells
//! of it, whatever their number: with a number alone (24) eight rounds of 25 ends counted 11,250
//! tokens of 1,250 used (`tests/told_in_rounds.rs`). The latest are remembered beyond that, since
//! one that is on its way may come once more.

use std::collections::VecDeque;

/// Ends that are remembered in any case: several times what one program asks for side by side.
const MIN_REMEMBERED: usize = 24;
/// Ends at most: a program that ends a turn every 100 ms through an outage of 25 s. Each end asks
/// for a record of its own, which then takes 6 KB.
const MAX_REMEMBERED: usize = 256;

/// A turn that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
struct EndedTurn {
    reservation_id: String,
    /// The first record that tells of it.
    first_record: Option<u64>,
}

/// The ends that are remembered, the oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndedTurns {
    turns: VecDeque<EndedTurn>,
    /// The newest record that is durable.
    durable_record: u64,
}

impl EndedTurns {
    /// Those that a record of an earlier owner tells of.
    pub fn from_record(turns: &[String]) -> Self {
        let ended = |turn: &String| EndedTurn {
            reservation_id: turn.clone(),
            first_record: Some(0),
        };
        Self {
            turns: turns.iter().map(ended).collect(),
            durable_record: 0,
        }
    }

    /// Whether the end of a turn was told.
    pub fn contains(&self, turn: &str) -> bool {
        self.turns.iter().any(|ended| ended.reservation_id == turn)
    }

    /// Takes in an end.
    pub fn insert(&mut self, turn: &str) {
        self.turns.push_back(EndedTurn {
            reservation_id: turn.to_owned(),
            first_record: None,
        });
        self.prune();
    }

    /// What the record of this number tells.
    pub fn record_ids(&mut self, number: u64) -> Vec<String> {
        for ended in &mut self.turns {
            ended.first_record.get_or_insert(number);
        }
        self.turns
            .iter()
            .map(|ended| ended.reservation_id.clone())
            .collect()
    }

    /// Records up to this number are durable.
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
