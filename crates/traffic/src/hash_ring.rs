//! A hash ring of servers, ordered by a hash of their identities.
//!
//! All daemons compute the same order without communication. Daemons that start at the same
//! position select the same servers, and an added or removed server changes few of these
//! selections.

use crate::directory::ServerEntry;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Included, Unbounded};
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64;

/// Position on the ring and identity of the server. Two servers may share a position.
type RingKey = (u64, Rc<str>);

/// Returns the position of an identity on the ring.
pub fn ring_position(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

fn first_key(position: u64) -> RingKey {
    (position, Rc::from(""))
}

/// A range of positions on the ring. Both ends are included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HashRange {
    first: u64,
    last: u64,
}

impl HashRange {
    /// The whole ring.
    pub const FULL: Self = Self {
        first: 0,
        last: u64::MAX,
    };

    /// Returns the range at `index` of `count` ranges of equal length.
    pub fn nth_of(index: u32, count: u32) -> Self {
        let count = u128::from(count.max(1));
        let start_of = |index: u128| ((index << 64) / count) as u64;
        let index = u128::from(index) % count;
        let last = match index + 1 == count {
            true => u64::MAX,
            false => start_of(index + 1) - 1,
        };
        Self {
            first: start_of(index),
            last,
        }
    }

    /// Whether the range contains a position.
    pub fn contains(self, position: u64) -> bool {
        (self.first..=self.last).contains(&position)
    }

    /// Maps a number to a position in the range.
    fn position_of(self, number: u64) -> u64 {
        match (self.last - self.first).checked_add(1) {
            Some(length) => self.first + number % length,
            None => number,
        }
    }
}

/// Servers ordered by their position.
#[derive(Debug, Default)]
pub struct HashRing {
    servers: BTreeMap<RingKey, Rc<ServerEntry>>,
}

impl HashRing {
    /// Adds a server, or replaces the entry with the same identity.
    pub fn insert(&mut self, server: Rc<ServerEntry>) {
        let key = (ring_position(&server.id), Rc::from(server.id.as_str()));
        self.servers.insert(key, server);
    }

    /// Removes the server with the given identity.
    pub fn remove(&mut self, id: &str) {
        self.servers.remove(&(ring_position(id), Rc::from(id)));
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there are no servers.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Iterates over the servers of a range, once each. The iteration starts at the position that
    /// `number` maps to and wraps around at the end of the range.
    pub fn iter_from(
        &self,
        range: HashRange,
        number: u64,
    ) -> impl Iterator<Item = &Rc<ServerEntry>> {
        let start = range.position_of(number);
        let end = match range.last.checked_add(1) {
            Some(after) => Excluded(first_key(after)),
            None => Unbounded,
        };
        let later = self.servers.range((Included(first_key(start)), end));
        let earlier = Included(first_key(range.first))..Excluded(first_key(start));
        let earlier = self.servers.range((earlier.start, earlier.end));
        later.chain(earlier).map(|(_, server)| server)
    }
}
