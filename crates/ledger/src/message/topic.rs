//! Followed topics, read through readers.

use nanoserde::{DeBin, SerBin};

/// Asks a reader of a followed topic for records from an offset on.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct FollowTopic {
    /// Name of the topic.
    pub topic: String,
    /// First offset to return.
    pub from_offset: u64,
    /// How long to wait for a record, in milliseconds.
    pub wait_ms: u64,
}

/// Asks a reader of a followed topic for the newest record of each key.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ListTopic {
    /// Name of the topic.
    pub topic: String,
    /// Last key of the previous page; `None` for the first page.
    pub after_key: Option<Vec<u8>>,
}

/// Records of a followed topic, as known to a reader.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct TopicRecords {
    /// The records, encoded.
    pub packed: Vec<u8>,
    /// End offset of the topic.
    pub end_offset: u64,
    /// Offset from which to continue, in the reply to [`FollowTopic`].
    pub next_offset: u64,
    /// Last key of this page, in the reply to [`ListTopic`], if more pages follow.
    pub more_after: Option<Vec<u8>>,
    /// Time since the log confirmed that these records are complete, in milliseconds.
    pub age_ms: u64,
}
