//! Evacuations whose servers get nothing for now, by the operator's word.
//!
//! The operator's records are followed like the configuration. A read may be stale, a
//! listing may come from before a record, and a daemon that the log refuses learns from
//! others; so each record counts by its revision, the offset at which it stands in its
//! topic, and nothing older than what is known changes anything.

use std::collections::BTreeMap;
use std::rc::Rc;

/// What the newest record of a zone says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Its servers get nothing.
    Evacuated,
    /// It takes part again.
    Open,
}

/// The newest that is known of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The zone.
    pub zone: Rc<str>,
    /// What it says.
    pub state: State,
    /// Its place in the operator's topic; a higher one goes before.
    pub revision: u64,
    /// When this daemon learned it, in milliseconds of its own clock.
    pub since_ms: u64,
}

/// What is known of all zones.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    records: BTreeMap<Rc<str>, Record>,
    /// All that the topic held before this offset is known.
    listed_to: u64,
}

impl Evacuations {
    /// Takes in a record. True if it changes whether the zone is evacuated.
    pub fn apply(&mut self, zone: &str, state: State, revision: u64, now_ms: u64) -> bool {
        let known = self.records.get(zone);
        let is_stale = known.is_some_and(|known| known.revision >= revision);
        if is_stale || revision < self.listed_to {
            return false;
        }
        let former = known.map_or(State::Open, |known| known.state);
        let since_ms = match known {
            Some(known) if known.state == state => known.since_ms,
            _ => now_ms,
        };
        let zone: Rc<str> = Rc::from(zone);
        let record = Record {
            zone: zone.clone(),
            state,
            revision,
            since_ms,
        };
        self.records.insert(zone, record);
        former != state
    }

    /// Takes in which zones a listing names as evacuated that was read where the topic ended
    /// at `end`; a zone that it does not name was opened before that. Returns the zones that
    /// this opens.
    pub fn apply_listing(&mut self, listed: &[&str], end: u64, now_ms: u64) -> Vec<Rc<str>> {
        let Some(newest) = end.checked_sub(1) else {
            return Vec::new();
        };
        let missing: Vec<Rc<str>> = self
            .evacuated()
            .filter(|record| !listed.contains(&&*record.zone))
            .map(|record| record.zone.clone())
            .collect();
        let opened = missing
            .into_iter()
            .filter(|zone| self.apply(zone, State::Open, newest, now_ms))
            .collect();
        self.listed_to = self.listed_to.max(end);
        opened
    }

    /// Whether servers of a zone get nothing.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated_since_ms(zone).is_some()
    }

    /// Since when this daemon knows that servers of a zone get nothing.
    pub fn evacuated_since_ms(&self, zone: &str) -> Option<u64> {
        let record = self.records.get(zone)?;
        (record.state == State::Evacuated).then_some(record.since_ms)
    }

    /// Since when this daemon knows that a zone that was evacuated takes part again.
    pub fn opened_since_ms(&self, zone: &str) -> Option<u64> {
        let record = self.records.get(zone)?;
        (record.state == State::Open).then_some(record.since_ms)
    }

    /// Evacuations that are evacuated.
    pub fn evacuated(&self) -> impl Iterator<Item = &Record> {
        self.records()
            .filter(|record| record.state == State::Evacuated)
    }

    /// All that is known, for daemons that cannot read it themselves.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }
}
