//! Servers in an order that all daemons know alike, without a word to each other: by a hash of
//! their identities. A part of them that is drawn from a place of this order is the same
//! wherever it is drawn, and what comes or goes changes few such parts.

use crate::directory::ServerEntry;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Included, Unbounded};
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64;

/// A place in the order, and the identity there: two may share a place.
type Position = (u64, Rc<str>);

/// Place of an identity in the order.
pub fn ring_position(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

fn begin(place: u64) -> Position {
    (place, Rc::from(""))
}

/// A part of the order, from one place to another, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HashRange {
    first: u64,
    last: u64,
}

impl HashRange {
    /// All of it.
    pub const FULL: Self = Self {
        first: 0,
        last: u64::MAX,
    };

    /// One of so many parts of the same length.
    pub fn nth_of(index: u32, count: u32) -> Self {
        let count = u128::from(count.max(1));
        let border = |index: u128| ((index << 64) / count) as u64;
        let index = u128::from(index) % count;
        let last = match index + 1 == count {
            true => u64::MAX,
            false => border(index + 1) - 1,
        };
        Self {
            first: border(index),
            last,
        }
    }

    /// Whether a place lies in it.
    pub fn contains(self, place: u64) -> bool {
        (self.first..=self.last).contains(&place)
    }

    /// The place in it that a number stands for.
    fn at(self, number: u64) -> u64 {
        match (self.last - self.first).checked_add(1) {
            Some(length) => self.first + number % length,
            None => number,
        }
    }
}

/// Servers in that order.
#[derive(Debug, Default)]
pub struct HashRing {
    servers: BTreeMap<Position, Rc<ServerEntry>>,
}

impl HashRing {
    /// Puts a server in its place.
    pub fn insert(&mut self, server: Rc<ServerEntry>) {
        let position = (ring_position(&server.id), Rc::from(server.id.as_str()));
        self.servers.insert(position, server);
    }

    /// Takes an identity out.
    pub fn remove(&mut self, id: &str) {
        self.servers.remove(&(ring_position(id), Rc::from(id)));
    }

    /// Number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Servers of an arc, once each, from the place on that a number stands for.
    pub fn iter_from(&self, arc: HashRange, number: u64) -> impl Iterator<Item = &Rc<ServerEntry>> {
        let start = arc.at(number);
        let end = match arc.last.checked_add(1) {
            Some(behind) => Excluded(begin(behind)),
            None => Unbounded,
        };
        let later = self.servers.range((Included(begin(start)), end));
        let earlier = Included(begin(arc.first))..Excluded(begin(start));
        let earlier = self.servers.range((earlier.start, earlier.end));
        later.chain(earlier).map(|(_, server)| server)
    }
}
