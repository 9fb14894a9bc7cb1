//! Readers: daemons that read the followed topics from the log for the other daemons of their zone.
//!
//! If every daemon read for itself, the load on the log would grow with the number of daemons times
//! the number of records. So a few daemons of each zone read from the log, and the others ask these
//! (docs/design/fleet.md). Each zone has a fixed number of reader slots. A slot is
//! a record in the topic of claims, which is appended conditionally like a claim, and holds the
//! address of a daemon. It is not a lease: a daemon that is asked but does not hold the slot
//! rejects the request, and a daemon that gets no answer from the holder claims the slot.

use crate::api::KeyedRecord;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Reader slots of a zone. If one reader is lost, the other serves until the slot is claimed again.
pub const SLOTS_PER_ZONE: u8 = 2;

/// Prefix of the keys of slots, followed by the slot number and the zone. These keys are longer
/// than four bytes, which is the length of the keys of partition claims.
const KEY_PREFIX: &[u8] = b"reader/";

/// A reader slot of a zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReaderSlot {
    pub zone: String,
    /// Number of the slot, counted from 0.
    pub number: u8,
}

impl ReaderSlot {
    fn key(&self) -> Vec<u8> {
        let mut key = KEY_PREFIX.to_vec();
        key.push(self.number);
        key.extend_from_slice(self.zone.as_bytes());
        key
    }

    fn from_key(key: &[u8]) -> Option<Self> {
        let (number, zone) = key.strip_prefix(KEY_PREFIX)?.split_first()?;
        Some(Self {
            zone: String::from_utf8(zone.to_vec()).ok()?,
            number: *number,
        })
    }
}

/// Holders of the reader slots, as far as the topic of claims was read.
#[derive(Clone, Debug, Default)]
pub struct Readers {
    slots: BTreeMap<ReaderSlot, (u64, SocketAddr)>,
}

impl Readers {
    /// Creates the record with which the daemon that listens at `address` claims a slot.
    pub fn record(slot: &ReaderSlot, address: SocketAddr) -> KeyedRecord {
        KeyedRecord {
            key: slot.key(),
            value: address.to_string().into_bytes(),
        }
    }

    /// Applies a record of the topic of claims. Returns whether it changes the holder of a slot.
    pub fn apply(&mut self, offset: u64, record: &KeyedRecord) -> bool {
        let Some(slot) = ReaderSlot::from_key(&record.key) else {
            return false;
        };
        let text = std::str::from_utf8(&record.value).ok();
        let Some(address) = text.and_then(|text| text.parse().ok()) else {
            return false;
        };
        let known = self.slots.get(&slot);
        if known.is_some_and(|(known, _)| offset <= *known) {
            return false;
        }
        let previous = self.slots.insert(slot, (offset, address));
        previous.map(|(_, holder)| holder) != Some(address)
    }

    /// Whether no slot is held. Daemons ask readers only if some slot is held.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Whether the daemon at an address is a reader of a zone.
    pub fn is_reader(&self, zone: &str, address: SocketAddr) -> bool {
        self.in_zone(zone).any(|(_, holder)| holder == address)
    }

    /// The held slots of a zone, with their holders.
    pub fn in_zone(&self, zone: &str) -> impl Iterator<Item = (u8, SocketAddr)> {
        let slots = self.slots.iter();
        slots
            .filter(move |(slot, _)| slot.zone == zone)
            .map(|(slot, (_, address))| (slot.number, *address))
    }

    /// Readers of all other zones.
    pub fn outside_zone(&self, zone: &str) -> impl Iterator<Item = SocketAddr> {
        let slots = self.slots.iter();
        slots
            .filter(move |(slot, _)| slot.zone != zone)
            .map(|(_, (_, address))| *address)
    }

    /// Returns a slot of a zone that is not held, or whose holder is lost according to `is_lost`.
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
