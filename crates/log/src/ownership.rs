//! The table of owners.
//!
//! A compacted topic holds the newest claim of each partition. A claim is appended
//! only where the topic ends, so two claims never both succeed unseen, and its
//! offset gives the epoch that fences every earlier owner.

use crate::api::KeyedRecord;
use nanoserde::{DeBin, SerBin};
use std::collections::HashMap;
use std::net::SocketAddr;

/// What a claim says.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
struct ClaimRecord {
    address: String,
    incarnation: u64,
}

/// A claim in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Where the owner listens for other daemons; `None` once it was released.
    pub address: Option<SocketAddr>,
    /// Life of the owner's process.
    pub incarnation: u64,
    /// Fences every earlier owner.
    pub epoch: u64,
    /// Somebody had claimed the partition before, as far as this daemon knows. Certain
    /// for its own claims: they are appended only where the topic was read to its end.
    pub has_former: bool,
}

/// The newest claim of each partition.
#[derive(Debug, Default)]
pub struct Ownership {
    claims: HashMap<u32, Claim>,
    end: u64,
    known: bool,
}

impl Ownership {
    /// The record of a claim; without an address it releases the partition.
    pub fn record(partition: u32, address: Option<SocketAddr>, incarnation: u64) -> KeyedRecord {
        let address = address
            .map(|address| address.to_string())
            .unwrap_or_default();
        KeyedRecord {
            key: partition.to_be_bytes().to_vec(),
            value: ClaimRecord {
                address,
                incarnation,
            }
            .serialize_bin(),
        }
    }

    /// Takes in a record; tells the partition if its claim is new.
    pub fn take(&mut self, offset: u64, record: &KeyedRecord) -> Option<u32> {
        self.end = self.end.max(offset + 1);
        let key: [u8; 4] = record.key.as_slice().try_into().ok()?;
        let partition = u32::from_be_bytes(key);
        let said = ClaimRecord::deserialize_bin(&record.value).ok()?;
        let former = self.claims.get(&partition).map(|claim| claim.epoch);
        let claim = Claim {
            address: said.address.parse().ok(),
            incarnation: said.incarnation,
            epoch: offset + 1,
            has_former: former.is_some(),
        };
        if Some(claim.epoch) <= former {
            return None;
        }
        self.claims.insert(partition, claim);
        Some(partition)
    }

    /// Takes in a claim that another daemon told; true if it is new.
    pub fn learn(&mut self, partition: u32, claim: Claim) -> bool {
        let former = self.claims.get(&partition).map_or(0, |claim| claim.epoch);
        let is_new = claim.epoch > former;
        if is_new {
            self.claims.insert(partition, claim);
        }
        is_new
    }

    /// Where the owners listen, each once.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self
            .claims
            .values()
            .filter_map(|claim| claim.address)
            .collect();
        addresses.sort();
        addresses.dedup();
        addresses
    }

    /// The topic was read up to here.
    pub fn read_to(&mut self, end: u64) {
        self.end = self.end.max(end);
        self.known = true;
    }

    /// Whether the topic was read at all.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Where the topic ends, as far as known.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// The claim in force.
    pub fn claim(&self, partition: u32) -> Option<Claim> {
        self.claims.get(&partition).copied()
    }

    /// Partitions whose newest claim meets a condition.
    pub fn count(&self, condition: impl Fn(&Claim) -> bool) -> usize {
        self.claims
            .values()
            .filter(|claim| condition(claim))
            .count()
    }
}
