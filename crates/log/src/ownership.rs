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
    /// Of a release after which nothing is left unsaid: see [`PreviousOwner::Settled`].
    settled_doubt_ms: Option<u64>,
}

/// What the owner before a claim may have left unsaid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousOwner {
    /// There was none.
    None,
    /// It gave the partition up after all that it had granted was durable.
    Settled {
        /// For this long after it, something that owners before it had left unsaid may
        /// still come up, in milliseconds.
        doubt_ms: u64,
    },
    /// It was replaced, or gave the partition up with something unsaid.
    Lost,
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
    /// The owner before, as far as this daemon knows. Certain for its own claims: they are
    /// appended only where the topic was read to its end.
    pub previous_owner: PreviousOwner,
    /// Of a settled release: what its successor has to doubt, and for how long.
    pub settled_doubt_ms: Option<u64>,
}

/// The newest claim of each partition.
#[derive(Debug, Default)]
pub struct Ownership {
    claims: HashMap<u32, Claim>,
    end: u64,
    is_loaded: bool,
}

impl Ownership {
    /// The record of a claim.
    pub fn claim_record(partition: u32, address: SocketAddr, incarnation: u64) -> KeyedRecord {
        Self::record(
            partition,
            &ClaimRecord {
                address: address.to_string(),
                incarnation,
                settled_doubt_ms: None,
            },
        )
    }

    /// The record that gives a partition up, settled or not.
    pub fn release_record(
        partition: u32,
        incarnation: u64,
        settled_doubt_ms: Option<u64>,
    ) -> KeyedRecord {
        Self::record(
            partition,
            &ClaimRecord {
                address: String::new(),
                incarnation,
                settled_doubt_ms,
            },
        )
    }

    fn record(partition: u32, record: &ClaimRecord) -> KeyedRecord {
        KeyedRecord {
            key: partition.to_be_bytes().to_vec(),
            value: record.serialize_bin(),
        }
    }

    /// Takes in a record; tells the partition if its claim is new.
    pub fn apply(&mut self, offset: u64, record: &KeyedRecord) -> Option<u32> {
        self.end = self.end.max(offset + 1);
        let key: [u8; 4] = record.key.as_slice().try_into().ok()?;
        let partition = u32::from_be_bytes(key);
        let said = ClaimRecord::deserialize_bin(&record.value).ok()?;
        let former = self.claims.get(&partition).copied();
        let claim = Claim {
            address: said.address.parse().ok(),
            incarnation: said.incarnation,
            epoch: offset + 1,
            previous_owner: match former.map(|former| former.settled_doubt_ms) {
                None => PreviousOwner::None,
                Some(Some(doubt_ms)) => PreviousOwner::Settled { doubt_ms },
                Some(None) => PreviousOwner::Lost,
            },
            settled_doubt_ms: said.settled_doubt_ms,
        };
        if Some(claim.epoch) <= former.map(|former| former.epoch) {
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
    pub fn mark_read_to(&mut self, end: u64) {
        self.end = self.end.max(end);
        self.is_loaded = true;
    }

    /// Whether the topic was read at all.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
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
