//! Evacuations: zones whose servers receive no requests until the operator ends the evacuation.
//!
//! The operator writes evacuations as records to a topic of the log, which daemons follow in the
//! same way as the topic of the configuration. Reads may be stale, a listing may be older than a
//! record, and a daemon that cannot read the log receives records from other daemons. Each record
//! therefore has a revision, its offset in the topic, and a record or listing that is older than
//! the known one is ignored.

use std::collections::BTreeMap;
use std::rc::Rc;

/// State of a zone according to its newest record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The zone's servers receive no requests.
    Evacuated,
    /// The zone is in service: it was never evacuated, or its evacuation has ended.
    Open,
}

/// The newest known record of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Name of the zone.
    pub zone: Rc<str>,
    /// State that the record sets.
    pub state: State,
    /// Offset of the record in the operator's topic. A higher revision replaces a lower one.
    pub revision: u64,
    /// When this daemon learned of the state, in milliseconds of its own clock.
    pub since_ms: u64,
}

/// The newest known records of all zones.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    records: BTreeMap<Rc<str>, Record>,
    /// All records before this offset are covered by a listing.
    listed_until: u64,
}

impl Evacuations {
    /// Applies a record. Returns true if it changes whether the zone is evacuated.
    pub fn apply(&mut self, zone: &str, state: State, revision: u64, now_ms: u64) -> bool {
        let known = self.records.get(zone);
        let is_stale = known.is_some_and(|known| known.revision >= revision);
        if is_stale || revision < self.listed_until {
            return false;
        }
        let previous = known.map_or(State::Open, |known| known.state);
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
        previous != state
    }

    /// Applies a listing of the evacuated zones that was read when the topic ended at offset
    /// `end`. The evacuation of a zone that is not listed ended before `end`. Returns the zones
    /// whose evacuation is ended by this call.
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
        self.listed_until = self.listed_until.max(end);
        opened
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated_since_ms(zone).is_some()
    }

    /// Since when this daemon knows that a zone is evacuated, if it is.
    pub fn evacuated_since_ms(&self, zone: &str) -> Option<u64> {
        let record = self.records.get(zone)?;
        (record.state == State::Evacuated).then_some(record.since_ms)
    }

    /// Since when this daemon knows that the evacuation of a zone has ended, if it has.
    pub fn opened_since_ms(&self, zone: &str) -> Option<u64> {
        let record = self.records.get(zone)?;
        (record.state == State::Open).then_some(record.since_ms)
    }

    /// Iterates over the records of evacuated zones.
    pub fn evacuated(&self) -> impl Iterator<Item = &Record> {
        self.records()
            .filter(|record| record.state == State::Evacuated)
    }

    /// Iterates over the records of all zones. Daemons that cannot read the topic receive them
    /// from this one.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }
}
