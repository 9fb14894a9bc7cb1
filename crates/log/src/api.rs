//! Types and the [`LogStore`] trait for calls to the log service.

use futures_util::future::LocalBoxFuture;
use std::fmt;
use std::time::Duration;

/// One partition of a topic of the log service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Partition {
    pub topic: String,
    pub number: u32,
}

/// A keyed record of a compacted topic. An empty value deletes the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    pub key: Vec<u8>,
    pub value: Vec<u8>,
}

/// Identifies the writer of a fenced append and its position in the sequence of appends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Producer {
    /// Producer name. Epochs fence only producers of the same name.
    pub name: String,
    /// Appends with a lower epoch are rejected once this epoch was seen.
    pub epoch: u64,
    /// Increases by one with each append of the epoch, so that the service recognizes repeats.
    pub sequence: u64,
}

/// An atomic append: either all records are appended or none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    pub partition: Partition,
    /// Records to append. An empty list only sets the epoch of the producer.
    pub records: Vec<KeyedRecord>,
    /// Producer of a fenced append; `None` for an unfenced one.
    pub producer: Option<Producer>,
    /// Append only if the partition ends at this offset.
    pub expected_end: Option<u64>,
    /// Time limit of the call.
    pub timeout: Duration,
}

/// Deletes the history of a compacted partition. The newest record of each key is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trim {
    pub partition: Partition,
    /// Superseded records with a lower offset are deleted.
    pub before: u64,
    /// Time limit of the call.
    pub timeout: Duration,
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the first appended record.
    pub offset: u64,
    /// End offset of the partition after the append.
    pub end: u64,
}

/// Result of a read from an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadBatch {
    /// End offset of the partition.
    pub end: u64,
    /// Records with their offsets, in order.
    pub records: Vec<(u64, KeyedRecord)>,
    /// Offset to continue reading from.
    pub next: u64,
    /// Age of this data in milliseconds; 0 if it comes from the log itself.
    pub age_ms: u64,
}

/// One page of the newest record of each key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewestPage {
    /// Records with their offsets.
    pub records: Vec<(u64, KeyedRecord)>,
    /// Key after which the next page starts; `None` on the last page.
    pub more_after: Option<Vec<u8>>,
    /// End offset of the partition.
    pub end: u64,
    /// Age of this data in milliseconds; 0 if it comes from the log itself.
    pub age_ms: u64,
}

/// Why a call to the log service failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The call had no effect: the service is busy or unreachable.
    NotDone,
    /// The call had no effect: the service has no space for more records.
    Full,
    /// No answer was received. The call may have taken effect or may still do so.
    Unknown,
    /// The partition has a higher epoch, set by a later owner.
    Fenced,
    /// The sequence number does not follow the previous one; the value is the expected number.
    Sequence(u64),
    /// The partition does not end at the expected offset; the value is its actual end.
    Moved(u64),
    /// The requested records were deleted; the value is the first offset still kept.
    Gone(u64),
    /// The service rejected the call with this HTTP status.
    Refused(u16),
    /// The answer could not be decoded.
    Unreadable,
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotDone => write!(
                formatter,
                "not applied: the service is busy or unreachable; retry"
            ),
            Self::Full => write!(formatter, "no space left; retry after records were deleted"),
            Self::Unknown => write!(formatter, "no answer; retry with the same sequence number"),
            Self::Fenced => write!(formatter, "fenced by a higher epoch; give up the partition"),
            Self::Sequence(expected) => write!(formatter, "sequence number {expected} expected"),
            Self::Moved(end) => {
                write!(formatter, "partition ends at {end}; read up to there first")
            }
            Self::Gone(first) => write!(
                formatter,
                "records deleted; list the newest, then read from {first}"
            ),
            Self::Refused(status) => write!(
                formatter,
                "rejected with status {status}; check the request"
            ),
            Self::Unreadable => write!(
                formatter,
                "answer cannot be decoded; check the service version"
            ),
        }
    }
}

impl std::error::Error for StoreError {}

/// The log service: compacted, keyed topics with fenced and conditional appends.
pub trait LogStore {
    /// Appends records atomically.
    fn append(&self, append: Append) -> LocalBoxFuture<'_, Result<Appended, StoreError>>;

    /// Reads a compacted partition from an offset on. Waits up to `wait` for the first record.
    fn read(
        &self,
        partition: Partition,
        from: u64,
        wait: Duration,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<ReadBatch, StoreError>>;

    /// Returns one page of a listing, which contains the newest record of each key.
    fn newest(
        &self,
        partition: Partition,
        after: Option<Vec<u8>>,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<NewestPage, StoreError>>;

    /// Deletes superseded records.
    fn trim(&self, trim: Trim) -> LocalBoxFuture<'_, Result<(), StoreError>>;
}
