//! Who reads the followed topics for the other daemons of its zone.
//!
//! What every daemon reads by itself grows with daemons times records, and the log has one rate
//! for all of them together. So a few daemons of each zone read the log, and the others ask
//! these (docs/design/fleet.md). Each zone has a fixed number of places for readers. A place is
//! a record of the topic of claims, taken with a conditional append as a claim is; it says where
//! a daemon listens, and is no lease: whoever is asked at a place that it does not hold says so,
//! and whoever finds nobody at a place takes it.

use crate::api::KeyedRecord;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Places of a zone. One reader may be lost at any moment, and another serves until its place
/// is taken again.
pub const SLOTS_PER_ZONE: u8 = 2;

/// Beginning of the keys of places; the number and the zone follow. The key of a partition's
/// claim has four bytes, and this alone has more.
const KEY: &[u8] = b"reader/";

/// One place of a zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReaderSlot {
    /// Zone.
    pub zone: String,
    /// Number of the place, from 0.
    pub number: u8,
}

impl ReaderSlot {
    fn key(&self) -> Vec<u8> {
        let mut key = KEY.to_vec();
        key.push(self.number);
        key.extend_from_slice(self.zone.as_bytes());
        key
    }

    fn from_key(key: &[u8]) -> Option<Self> {
        let (number, zone) = key.strip_prefix(KEY)?.split_first()?;
        Some(Self {
            zone: String::from_utf8(zone.to_vec()).ok()?,
            number: *number,
        })
    }
}

/// The places that are taken, as far as the topic of claims was read.
#[derive(Clone, Debug, Default)]
pub struct Readers {
    places: BTreeMap<ReaderSlot, (u64, SocketAddr)>,
}

impl Readers {
    /// The record by which whoever listens at an address takes a place.
    pub fn record(place: &ReaderSlot, address: SocketAddr) -> KeyedRecord {
        KeyedRecord {
            key: place.key(),
            value: address.to_string().into_bytes(),
        }
    }

    /// Takes in a record of the topic of claims; true if it changes who holds a place.
    pub fn apply(&mut self, offset: u64, record: &KeyedRecord) -> bool {
        let Some(place) = ReaderSlot::from_key(&record.key) else {
            return false;
        };
        let said = std::str::from_utf8(&record.value).ok();
        let Some(address) = said.and_then(|said| said.parse().ok()) else {
            return false;
        };
        let known = self.places.get(&place);
        if known.is_some_and(|(known, _)| offset <= *known) {
            return false;
        }
        let former = self.places.insert(place, (offset, address));
        former.map(|(_, former)| former) != Some(address)
    }

    /// Whether any place is taken: daemons read through readers here.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether a daemon that listens at an address reads for a zone.
    pub fn is_reader(&self, zone: &str, address: SocketAddr) -> bool {
        self.in_zone(zone).any(|(_, holder)| holder == address)
    }

    /// The places of a zone that are taken, and by whom.
    pub fn in_zone(&self, zone: &str) -> impl Iterator<Item = (u8, SocketAddr)> {
        let places = self.places.iter();
        places
            .filter(move |(place, _)| place.zone == zone)
            .map(|(place, (_, address))| (place.number, *address))
    }

    /// Readers of all other zones.
    pub fn outside_zone(&self, zone: &str) -> impl Iterator<Item = SocketAddr> {
        let places = self.places.iter();
        places
            .filter(move |(place, _)| place.zone != zone)
            .map(|(_, (_, address))| *address)
    }

    /// A place of a zone that nobody holds, or whose holder does not answer as `is_lost` says.
    pub fn vacant_slot(
        &self,
        zone: &str,
        is_lost: &dyn Fn(SocketAddr) -> bool,
    ) -> Option<ReaderSlot> {
        let held: BTreeMap<u8, SocketAddr> = self.in_zone(zone).collect();
        let is_vacant = |number: &u8| held.get(number).is_none_or(|holder| is_lost(*holder));
        Some(ReaderSlot {
            zone: zone.to_owned(),
            number: (0..SLOTS_PER_ZONE).find(is_vacant)?,
        })
    }
}
