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
const LATEST: usize = 24;
/// Ends at most: a program that ends a turn every 100 ms through an outage of 25 s. Each end asks
/// for a record of its own, which then takes 6 KB.
const MOST: usize = 256;

/// A turn that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Ended {
    turn: String,
    /// The first record that tells of it.
    recorded_by: Option<u64>,
}

/// The ends that are remembered, the oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ends {
    ends: VecDeque<Ended>,
    /// The newest record that is durable.
    durable: u64,
}

impl Ends {
    /// Those that a record of an earlier owner tells of.
    pub fn recorded(turns: &[String]) -> Self {
        let ended = |turn: &String| Ended {
            turn: turn.clone(),
            recorded_by: Some(0),
        };
        Self {
            ends: turns.iter().map(ended).collect(),
            durable: 0,
        }
    }

    /// Whether the end of a turn was told.
    pub fn has(&self, turn: &str) -> bool {
        self.ends.iter().any(|ended| ended.turn == turn)
    }

    /// Takes in an end.
    pub fn remember(&mut self, turn: &str) {
        self.ends.push_back(Ended {
            turn: turn.to_owned(),
            recorded_by: None,
        });
        self.forget();
    }

    /// What the record of this number tells.
    pub fn record(&mut self, number: u64) -> Vec<String> {
        for ended in &mut self.ends {
            ended.recorded_by.get_or_insert(number);
        }
        self.ends.iter().map(|ended| ended.turn.clone()).collect()
    }

    /// Records up to this number are durable.
    pub fn recorded_up_to(&mut self, number: u64) {
        self.durable = number;
        self.forget();
    }

    fn forget(&mut self) {
        while self.ends.len() > LATEST && (self.oldest_is_durable() || self.ends.len() > MOST) {
            self.ends.pop_front();
        }
    }

    fn oldest_is_durable(&self) -> bool {
        let oldest = self.ends.front().and_then(|ended| ended.recorded_by);
        oldest.is_some_and(|number| number <= self.durable)
    }
}
