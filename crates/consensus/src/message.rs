//! Messages between the replicas of one group.

use crate::log::Entry;
use crate::members::Members;
use nanoserde::{DeBin, SerBin};

/// Entries, or a heartbeat when there are none.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Append {
    /// Index before the first entry.
    pub previous_index: u64,
    /// Term of that index.
    pub previous_term: u64,
    /// New entries.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: u64,
    /// The leader's clock at sending; echoed, so that an acknowledgement
    /// renews the lease from the moment of sending.
    pub stamp_ms: u64,
}

/// Answer to an append or a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct AppendReply {
    /// Whether the previous entry matched.
    pub accepted: bool,
    /// If accepted, the last index known to match; else the index before
    /// which the leader should try again.
    pub index: u64,
    /// The stamp of the append.
    pub stamp_ms: u64,
}

/// Request for a vote, or for the promise of one.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Vote {
    /// Whether this only asks if a vote would be granted.
    pub pre_vote: bool,
    /// Whether the old leader itself asked for this election, which ends its
    /// lease.
    pub transfer: bool,
    /// Index of the candidate's last entry.
    pub last_index: u64,
    /// Term of the candidate's last entry.
    pub last_term: u64,
}

/// Answer to a vote request.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct VoteReply {
    /// Whether the request was a pre-vote.
    pub pre_vote: bool,
    /// Whether the vote is granted.
    pub granted: bool,
}

/// The state machine at an index, for a replica that is too far behind.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Snapshot {
    /// Last index that the state covers.
    pub index: u64,
    /// Term of that index.
    pub index_term: u64,
    /// Members at that index.
    pub members: Members,
    /// The state, as the owner encoded it.
    pub state: Vec<u8>,
    /// The leader's clock at sending.
    pub stamp_ms: u64,
}

/// Kind of a message.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Body {
    /// Entries or a heartbeat.
    Append(Append),
    /// Answer to `Append` and `Snapshot`.
    AppendReply(AppendReply),
    /// Request for a vote.
    Vote(Vote),
    /// Answer to `Vote`.
    VoteReply(VoteReply),
    /// State for a replica far behind.
    Snapshot(Snapshot),
    /// The leader asks the receiver to take over at once.
    TimeoutNow,
}

/// A message with its sender's term.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Message {
    /// Term of the sender (for a pre-vote, the term it would campaign in).
    pub term: u64,
    /// Content.
    pub body: Body,
}

impl Message {
    /// Whether the message carries no entries or state, so that losing it or
    /// sending it by datagram does no harm.
    pub fn is_small(&self) -> bool {
        match &self.body {
            Body::Append(append) => append.entries.is_empty(),
            Body::Snapshot(_) => false,
            _ => true,
        }
    }
}
