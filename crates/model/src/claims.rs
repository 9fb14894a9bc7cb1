//! Which group serves a shard: a pure function of the claims stream.
//!
//! The first claim for a shard wins, and its offset gives the group's epoch. A
//! later claim must name the epoch that it replaces, so of two racing claims
//! exactly one counts. Leaders add member sets as they change, so that a reader
//! judges a group's loss by its newest members.

use crate::ids::ShardId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Name of the stream that carries the claims.
pub const CLAIMS_STREAM: &str = "shard-claims";

/// A process as written in a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimedReplica {
    /// IP and port.
    pub address: String,
    /// Incarnation of the process.
    pub incarnation: u64,
}

/// A claim to form a group for a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The shard.
    pub shard: ShardId,
    /// Epoch of the group that is replaced; 0 for a shard never claimed.
    pub replaces: u64,
    /// The new group's voters.
    pub members: Vec<ClaimedReplica>,
}

/// The members of a group after a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The shard.
    pub shard: ShardId,
    /// Epoch of the group.
    pub epoch: u64,
    /// Index of the change in the group's log.
    pub index: u64,
    /// The members.
    pub members: Vec<ClaimedReplica>,
}

/// One record of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimRecord {
    /// New groups.
    Claims(Vec<Claim>),
    /// Members of a group that serves.
    Members(MemberRecord),
}

/// The group that serves a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimedGroup {
    /// Its epoch.
    pub epoch: u64,
    /// Whether former groups served the shard.
    pub has_history: bool,
    /// Index of the newest member set.
    pub index: u64,
    /// Its newest members.
    pub members: Vec<ClaimedReplica>,
}

/// State after folding a prefix of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimTable {
    /// Offset of the next record.
    pub next_offset: u64,
    /// Groups by shard.
    pub groups: BTreeMap<ShardId, ClaimedGroup>,
}

impl ClaimTable {
    /// Folds the record at `offset`; returns the shards whose group is new.
    pub fn fold(&mut self, offset: u64, data: &str) -> Vec<ShardId> {
        if offset != self.next_offset {
            return Vec::new();
        }
        self.next_offset += 1;
        match serde_json::from_str(data) {
            Ok(ClaimRecord::Claims(claims)) => self.fold_claims(offset, claims),
            Ok(ClaimRecord::Members(record)) => {
                self.fold_members(record);
                Vec::new()
            }
            Err(_) => Vec::new(),
        }
    }

    fn fold_claims(&mut self, offset: u64, claims: Vec<Claim>) -> Vec<ShardId> {
        let mut formed = Vec::new();
        for claim in claims {
            let present = self.groups.get(&claim.shard).map_or(0, |group| group.epoch);
            if claim.replaces != present || claim.members.is_empty() {
                continue;
            }
            formed.push(claim.shard);
            let group = ClaimedGroup {
                epoch: offset + 1,
                has_history: present != 0,
                index: 0,
                members: claim.members,
            };
            self.groups.insert(claim.shard, group);
        }
        formed
    }

    fn fold_members(&mut self, record: MemberRecord) {
        let Some(group) = self.groups.get_mut(&record.shard) else {
            return;
        };
        if group.epoch == record.epoch && record.index > group.index {
            group.index = record.index;
            group.members = record.members;
        }
    }
}
