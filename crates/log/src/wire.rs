//! Binary form of the calls to the log service, as used between daemons and the emulator of the log
//! service.

use crate::api::{
    Append, Appended, KeyedRecord, NewestPage, Partition, Producer, ReadBatch, StoreError, Trim,
};
use nanoserde::{DeBin, SerBin};
use std::time::Duration;

/// A call to the log service.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum StoreCall {
    /// See [`LogStore::append`](crate::api::LogStore::append).
    Append(AppendCall),
    /// See [`LogStore::read`](crate::api::LogStore::read).
    Read(ReadCall),
    /// See [`LogStore::newest`](crate::api::LogStore::newest).
    Newest(NewestCall),
    /// See [`LogStore::trim`](crate::api::LogStore::trim).
    Trim(TrimCall),
}

impl StoreCall {
    /// Number of the partition that is called.
    pub fn partition(&self) -> u32 {
        match self {
            Self::Append(call) => call.partition,
            Self::Read(call) => call.partition,
            Self::Newest(call) => call.partition,
            Self::Trim(call) => call.partition,
        }
    }
}

/// Binary form of [`Append`].
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct AppendCall {
    pub topic: String,
    /// Number of the partition.
    pub partition: u32,
    /// Records to append.
    pub records: Vec<WireRecord>,
    /// Producer name; `None` for an unfenced append.
    pub producer: Option<String>,
    /// Epoch of the producer.
    pub epoch: u64,
    /// Sequence number of the append.
    pub sequence: u64,
    /// Append only if the partition ends at this offset.
    pub expected_end: Option<u64>,
}

/// A read from an offset.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ReadCall {
    pub topic: String,
    /// Number of the partition.
    pub partition: u32,
    /// First offset to read.
    pub from: u64,
    /// How long to wait for the first record, in milliseconds.
    pub wait_ms: u64,
}

/// A request for a page of the newest records.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct NewestCall {
    pub topic: String,
    /// Number of the partition.
    pub partition: u32,
    /// Key after which the page starts; `None` for the first page.
    pub after: Option<Vec<u8>>,
}

/// Binary form of [`Trim`].
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct TrimCall {
    pub topic: String,
    /// Number of the partition.
    pub partition: u32,
    /// Superseded records with a lower offset are deleted.
    pub before: u64,
}

/// Binary form of [`KeyedRecord`], with its offset in replies.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct WireRecord {
    /// 0 in appends.
    pub offset: u64,
    pub key: Vec<u8>,
    pub value: Vec<u8>,
}

/// A reply of the log service. Failures correspond to [`StoreError`].
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum StoreReply {
    /// Offset of the first appended record, and end of the partition.
    Appended(u64, u64),
    /// Records, end of the partition, and offset to continue reading from.
    Records(Vec<WireRecord>, u64, u64),
    /// Records, key after which the next page starts, and end of the partition.
    Newest(Vec<WireRecord>, Option<Vec<u8>>, u64),
    /// The history was deleted.
    Trimmed,
    /// See [`StoreError::Fenced`].
    Fenced,
    /// See [`StoreError::Sequence`].
    Sequence(u64),
    /// See [`StoreError::Moved`].
    Moved(u64),
    /// See [`StoreError::Gone`].
    Gone(u64),
    /// See [`StoreError::NotDone`].
    NotDone,
}

impl From<&Append> for AppendCall {
    fn from(append: &Append) -> Self {
        let producer = append.producer.as_ref();
        Self {
            topic: append.partition.topic.clone(),
            partition: append.partition.number,
            records: append
                .records
                .iter()
                .map(|record| to_wire(0, record))
                .collect(),
            producer: producer.map(|producer| producer.name.clone()),
            epoch: producer.map_or(0, |producer| producer.epoch),
            sequence: producer.map_or(0, |producer| producer.sequence),
            expected_end: append.expected_end,
        }
    }
}

impl From<AppendCall> for Append {
    fn from(call: AppendCall) -> Self {
        let (epoch, sequence) = (call.epoch, call.sequence);
        Self {
            partition: Partition {
                topic: call.topic,
                number: call.partition,
            },
            records: call
                .records
                .into_iter()
                .map(|record| from_wire(record).1)
                .collect(),
            producer: call.producer.map(|name| Producer {
                name,
                epoch,
                sequence,
            }),
            expected_end: call.expected_end,
            timeout: Duration::ZERO,
        }
    }
}

impl From<&Trim> for TrimCall {
    fn from(trim: &Trim) -> Self {
        Self {
            topic: trim.partition.topic.clone(),
            partition: trim.partition.number,
            before: trim.before,
        }
    }
}

fn to_wire(offset: u64, record: &KeyedRecord) -> WireRecord {
    WireRecord {
        offset,
        key: record.key.clone(),
        value: record.value.clone(),
    }
}

fn from_wire(record: WireRecord) -> (u64, KeyedRecord) {
    let keyed = KeyedRecord {
        key: record.key,
        value: record.value,
    };
    (record.offset, keyed)
}

fn to_wire_all(records: &[(u64, KeyedRecord)]) -> Vec<WireRecord> {
    records
        .iter()
        .map(|(offset, record)| to_wire(*offset, record))
        .collect()
}

impl From<StoreError> for StoreReply {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Fenced => Self::Fenced,
            StoreError::Sequence(expected) => Self::Sequence(expected),
            StoreError::Moved(end) => Self::Moved(end),
            StoreError::Gone(first) => Self::Gone(first),
            _ => Self::NotDone,
        }
    }
}

impl From<Appended> for StoreReply {
    fn from(appended: Appended) -> Self {
        Self::Appended(appended.offset, appended.end)
    }
}

impl From<ReadBatch> for StoreReply {
    fn from(batch: ReadBatch) -> Self {
        Self::Records(to_wire_all(&batch.records), batch.end, batch.next)
    }
}

impl From<NewestPage> for StoreReply {
    fn from(page: NewestPage) -> Self {
        Self::Newest(to_wire_all(&page.records), page.more_after, page.end)
    }
}

impl StoreReply {
    fn into_error(self) -> StoreError {
        match self {
            Self::Fenced => StoreError::Fenced,
            Self::Sequence(expected) => StoreError::Sequence(expected),
            Self::Moved(end) => StoreError::Moved(end),
            Self::Gone(first) => StoreError::Gone(first),
            Self::NotDone => StoreError::NotDone,
            _ => StoreError::Unreadable,
        }
    }

    /// Decodes the reply to an append.
    ///
    /// # Errors
    /// The failure that the reply reports, or [`StoreError::Unreadable`] for a reply to another
    /// call.
    pub fn appended(self) -> Result<Appended, StoreError> {
        match self {
            Self::Appended(offset, end) => Ok(Appended { offset, end }),
            other => Err(other.into_error()),
        }
    }

    /// Decodes the reply to a read.
    ///
    /// # Errors
    /// The failure that the reply reports, or [`StoreError::Unreadable`] for a reply to another
    /// call.
    pub fn batch(self) -> Result<ReadBatch, StoreError> {
        match self {
            Self::Records(records, end, next) => Ok(ReadBatch {
                end,
                records: records.into_iter().map(from_wire).collect(),
                next,
                age_ms: 0,
            }),
            other => Err(other.into_error()),
        }
    }

    /// Decodes the reply to a trim.
    ///
    /// # Errors
    /// The failure that the reply reports, or [`StoreError::Unreadable`] for a reply to another
    /// call.
    pub fn trimmed(self) -> Result<(), StoreError> {
        match self {
            Self::Trimmed => Ok(()),
            other => Err(other.into_error()),
        }
    }

    /// Decodes the reply to a request for a page.
    ///
    /// # Errors
    /// The failure that the reply reports, or [`StoreError::Unreadable`] for a reply to another
    /// call.
    pub fn page(self) -> Result<NewestPage, StoreError> {
        match self {
            Self::Newest(records, more_after, end) => Ok(NewestPage {
                records: records.into_iter().map(from_wire).collect(),
                more_after,
                end,
                age_ms: 0,
            }),
            other => Err(other.into_error()),
        }
    }
}
