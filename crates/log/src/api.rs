//! Calls to the log service.

use futures_util::future::LocalBoxFuture;
use std::fmt;
use std::time::Duration;

/// Where records are appended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Partition {
    /// Name of the topic.
    pub topic: String,
    /// Number of the partition.
    pub number: u32,
}

/// A keyed record; an empty value deletes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key.
    pub key: Vec<u8>,
    /// Value.
    pub value: Vec<u8>,
}

/// Fence and order of a writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Producer {
    /// Name of the writer.
    pub name: String,
    /// Writers of lower epochs are refused from now on.
    pub epoch: u64,
    /// Rises by one with each append of the epoch; repeats are recognized by it.
    pub sequence: u64,
}

/// An append: all records or none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    /// Where.
    pub partition: Partition,
    /// What; with none, only the epoch is set.
    pub records: Vec<KeyedRecord>,
    /// Writer, where the append is fenced.
    pub producer: Option<Producer>,
    /// Append only if the partition ends at this offset.
    pub expected_end: Option<u64>,
    /// How long to wait for the answer.
    pub timeout: Duration,
}

/// Drops the history of a compacted partition; the newest record of each key stays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trim {
    /// Where.
    pub partition: Partition,
    /// What was appended before this offset is dropped.
    pub before: u64,
    /// How long to wait for the answer.
    pub timeout: Duration,
}

/// Place of appended records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the first.
    pub offset: u64,
    /// End of the partition afterwards.
    pub end: u64,
}

/// Records read from an offset on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadBatch {
    /// End of the partition.
    pub end: u64,
    /// Records, with the offset of each.
    pub records: Vec<(u64, KeyedRecord)>,
    /// Where to read on.
    pub next: u64,
    /// How old this is, in milliseconds: 0 from the log itself.
    pub age_ms: u64,
}

/// Newest records of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewestPage {
    /// Records, with the offset of each.
    pub records: Vec<(u64, KeyedRecord)>,
    /// Continue after this key.
    pub more_after: Option<Vec<u8>>,
    /// End of the partition.
    pub end: u64,
    /// How old this is, in milliseconds: 0 from the log itself.
    pub age_ms: u64,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// Nothing was done; the service is busy or cannot be reached.
    NotDone,
    /// Nothing was done; the service has no room for more records.
    Full,
    /// No answer; it may have been done, or may be done later.
    Unknown,
    /// A higher epoch is in force.
    Fenced,
    /// The sequence does not follow the last; this one is wanted.
    Sequence(u64),
    /// The partition does not end where it was expected to.
    Moved(u64),
    /// The records were removed; the first one kept is this.
    Gone(u64),
    /// The service does not take the call.
    Refused(u16),
    /// The answer cannot be read.
    Unreadable,
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotDone => write!(formatter, "not done; repeat the call"),
            Self::Full => write!(formatter, "no room; repeat it once records were deleted"),
            Self::Unknown => write!(formatter, "no answer; repeat it with the same sequence"),
            Self::Fenced => write!(formatter, "fenced; give up the partition"),
            Self::Sequence(wanted) => write!(formatter, "sequence {wanted} is wanted"),
            Self::Moved(end) => write!(formatter, "ends at {end}; read up to there first"),
            Self::Gone(first) => write!(formatter, "gone; read the newest, then from {first} on"),
            Self::Refused(status) => write!(formatter, "refused with {status}; check the call"),
            Self::Unreadable => write!(formatter, "unreadable answer; check its version"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The log service.
pub trait LogStore {
    /// Appends records.
    fn append(&self, append: Append) -> LocalBoxFuture<'_, Result<Appended, StoreError>>;

    /// Reads a compacted partition from an offset on; waits up to `wait` for the
    /// first record.
    fn read(
        &self,
        partition: Partition,
        from: u64,
        wait: Duration,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<ReadBatch, StoreError>>;

    /// A page of the newest records of each key.
    fn newest(
        &self,
        partition: Partition,
        after: Option<Vec<u8>>,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<NewestPage, StoreError>>;

    /// Drops history.
    fn trim(&self, trim: Trim) -> LocalBoxFuture<'_, Result<(), StoreError>>;
}
