//! The part of the log that a replica holds in memory.

use crate::members::Members;
use nanoserde::{DeBin, SerBin};
use std::collections::VecDeque;

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Payload {
    /// Nothing; the first entry of every leader's term.
    Noop,
    /// A command for the state machine.
    Command(Vec<u8>),
    /// The members from this entry on.
    Members(Members),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Entry {
    /// Place in the log, from 1.
    pub index: u64,
    /// Term of the leader that wrote it.
    pub term: u64,
    /// Content.
    pub payload: Payload,
}

/// Entries after a compacted prefix.
#[derive(Debug)]
pub(crate) struct Log {
    prefix_index: u64,
    prefix_term: u64,
    prefix_members: Members,
    entries: VecDeque<Entry>,
}

impl Log {
    pub(crate) fn new(members: Members) -> Self {
        Self {
            prefix_index: 0,
            prefix_term: 0,
            prefix_members: members,
            entries: VecDeque::new(),
        }
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.prefix_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.prefix_term, |entry| entry.term)
    }

    /// Term of an entry, if it is known here.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.prefix_index {
            return Some(self.prefix_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let place = index.checked_sub(self.prefix_index + 1)?;
        self.entries.get(place as usize)
    }

    /// First index that is still here as an entry.
    pub(crate) fn first_index(&self) -> u64 {
        self.prefix_index + 1
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Drops the entry at `index` and all after it.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.prefix_index + 1);
        self.entries.truncate(keep as usize);
    }

    pub(crate) fn slice(&self, from: u64, most: usize) -> Vec<Entry> {
        let skip = from.saturating_sub(self.prefix_index + 1) as usize;
        self.entries.iter().skip(skip).take(most).cloned().collect()
    }

    /// Members in force: those of the newest membership entry, committed or
    /// not, as the algorithm asks.
    pub(crate) fn members(&self) -> (u64, &Members) {
        let newest = self
            .entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Members(members) => Some((entry.index, members)),
                _ => None,
            });
        newest.unwrap_or((self.prefix_index, &self.prefix_members))
    }

    /// Members in force at an index that is held here.
    pub(crate) fn members_at(&self, index: u64) -> &Members {
        let held = self
            .entries
            .iter()
            .rev()
            .filter(|entry| entry.index <= index);
        let newest = held.filter_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members),
            _ => None,
        });
        newest.into_iter().next().unwrap_or(&self.prefix_members)
    }

    /// Forgets entries up to `index`, which must be applied.
    pub(crate) fn compact(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        self.prefix_members = self.members_at(index).clone();
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.index <= index)
        {
            self.entries.pop_front();
        }
        self.prefix_index = index;
        self.prefix_term = term;
    }

    /// Replaces everything by a snapshot's position.
    pub(crate) fn reset(&mut self, index: u64, term: u64, members: Members) {
        self.prefix_index = index;
        self.prefix_term = term;
        self.prefix_members = members;
        self.entries.clear();
    }
}
