//! Table of partition owners.
//!
//! A grant is a promise of an owner to a client, such as tokens that a turn may deliver (see the
//! ledger crate). The next owner needs to know all grants, so they are recorded in the log.
//!
//! A compacted topic holds the newest claim of each partition. A claim is appended on the condition
//! that the topic ends where its writer has read to, so two concurrent claims can't both succeed.
//! The offset of a claim gives the epoch that fences every earlier owner.

use crate::api::KeyedRecord;
use nanoserde::{DeBin, SerBin};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Binary form of a claim or a release.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
struct ClaimRecord {
    address: String,
    incarnation: u64,
    /// Set in a handover, that is, a release after all grants of the owner were recorded: see
    /// [`PreviousOwner::HandedOver`].
    handover_uncertainty_ms: Option<u64>,
}

/// State in which the owner before a claim left the partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousOwner {
    /// There was none.
    None,
    /// It released the partition after everything that it had granted was durable.
    HandedOver {
        /// For this many milliseconds after the release, there may be unrecorded grants of owners
        /// before it.
        uncertainty_ms: u64,
    },
    /// It was replaced, or released the partition while some of its grants were not yet recorded.
    Lost,
}

/// The newest claim of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Address at which the owner listens for other daemons; `None` after a release.
    pub address: Option<SocketAddr>,
    /// Incarnation of the owner's process.
    pub incarnation: u64,
    /// Epoch that fences every earlier owner.
    pub epoch: u64,
    /// The owner before this claim, as far as this daemon knows. It is exact for claims of this
    /// daemon, because they are appended only where the topic was read to its end.
    pub previous_owner: PreviousOwner,
    /// Set in a handover: how long the successor has to expect unrecorded grants of earlier
    /// owners, in milliseconds.
    pub handover_uncertainty_ms: Option<u64>,
}

/// The newest claim of each partition.
#[derive(Debug, Default)]
pub struct Ownership {
    claims: HashMap<u32, Claim>,
    end: u64,
    is_loaded: bool,
}

impl Ownership {
    /// Creates the record that claims a partition.
    pub fn claim_record(partition: u32, address: SocketAddr, incarnation: u64) -> KeyedRecord {
        Self::record(
            partition,
            &ClaimRecord {
                address: address.to_string(),
                incarnation,
                handover_uncertainty_ms: None,
            },
        )
    }

    /// Creates the record that releases a partition, as a handover if `handover_uncertainty_ms` is
    /// set.
    pub fn release_record(
        partition: u32,
        incarnation: u64,
        handover_uncertainty_ms: Option<u64>,
    ) -> KeyedRecord {
        Self::record(
            partition,
            &ClaimRecord {
                address: String::new(),
                incarnation,
                handover_uncertainty_ms,
            },
        )
    }

    fn record(partition: u32, record: &ClaimRecord) -> KeyedRecord {
        KeyedRecord {
            key: partition.to_be_bytes().to_vec(),
            value: record.serialize_bin(),
        }
    }

    /// Applies a record of the topic. Returns the partition if its claim is newer than the known
    /// one.
    pub fn apply(&mut self, offset: u64, record: &KeyedRecord) -> Option<u32> {
        self.end = self.end.max(offset + 1);
        let key: [u8; 4] = record.key.as_slice().try_into().ok()?;
        let partition = u32::from_be_bytes(key);
        let decoded = ClaimRecord::deserialize_bin(&record.value).ok()?;
        let previous = self.claims.get(&partition).copied();
        let claim = Claim {
            address: decoded.address.parse().ok(),
            incarnation: decoded.incarnation,
            epoch: offset + 1,
            previous_owner: match previous.map(|previous| previous.handover_uncertainty_ms) {
                None => PreviousOwner::None,
                Some(Some(uncertainty_ms)) => PreviousOwner::HandedOver { uncertainty_ms },
                Some(None) => PreviousOwner::Lost,
            },
            handover_uncertainty_ms: decoded.handover_uncertainty_ms,
        };
        if Some(claim.epoch) <= previous.map(|previous| previous.epoch) {
            return None;
        }
        self.claims.insert(partition, claim);
        Some(partition)
    }

    /// Applies a claim that another daemon reported. Returns whether it is newer than the known
    /// one.
    pub fn learn(&mut self, partition: u32, claim: Claim) -> bool {
        let previous = self.claims.get(&partition).map_or(0, |claim| claim.epoch);
        let is_new = claim.epoch > previous;
        if is_new {
            self.claims.insert(partition, claim);
        }
        is_new
    }

    /// Addresses of all owners, without duplicates.
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

    /// Records that the topic was read up to `end`.
    pub fn mark_read_to(&mut self, end: u64) {
        self.end = self.end.max(end);
        self.is_loaded = true;
    }

    /// Whether the topic has been read.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Known end of the topic.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Returns the newest claim of a partition.
    pub fn claim(&self, partition: u32) -> Option<Claim> {
        self.claims.get(&partition).copied()
    }

    /// Counts the partitions whose newest claim meets a condition.
    pub fn count(&self, condition: impl Fn(&Claim) -> bool) -> usize {
        self.claims
            .values()
            .filter(|claim| condition(claim))
            .count()
    }
}
