//! Binary form of the calls, spoken by the product's own stand-in of the service.

use crate::api::{
    Append, Appended, KeyedRecord, NewestPage, Partition, Producer, ReadBatch, StoreError, Trim,
};
use nanoserde::{DeBin, SerBin};
use std::time::Duration;

/// A call.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum StoreCall {
    /// Append records.
    Append(AppendCall),
    /// Read from an offset on.
    Read(ReadCall),
    /// A page of the newest records.
    Newest(NewestCall),
    /// Drop history.
    Trim(TrimCall),
}

impl StoreCall {
    /// Number of the partition that the call is about.
    pub fn partition(&self) -> u32 {
        match self {
            Self::Append(call) => call.partition,
            Self::Read(call) => call.partition,
            Self::Newest(call) => call.partition,
            Self::Trim(call) => call.partition,
        }
    }
}

/// An append.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct AppendCall {
    /// Topic.
    pub topic: String,
    /// Partition.
    pub partition: u32,
    /// Keys and values.
    pub records: Vec<WireRecord>,
    /// Writer's name, where the append is fenced.
    pub producer: Option<String>,
    /// Its epoch.
    pub epoch: u64,
    /// Its sequence.
    pub sequence: u64,
    /// Append only if the partition ends here.
    pub expected_end: Option<u64>,
}

/// A read.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct ReadCall {
    /// Topic.
    pub topic: String,
    /// Partition.
    pub partition: u32,
    /// First offset.
    pub from: u64,
    /// How long to wait for a record, in milliseconds.
    pub wait_ms: u64,
}

/// A page.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct NewestCall {
    /// Topic.
    pub topic: String,
    /// Partition.
    pub partition: u32,
    /// Continue after this key.
    pub after: Option<Vec<u8>>,
}

/// A dropping of history.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct TrimCall {
    /// Topic.
    pub topic: String,
    /// Partition.
    pub partition: u32,
    /// What was appended before this offset is dropped.
    pub before: u64,
}

/// A keyed record, with its offset in answers.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct WireRecord {
    /// Offset; 0 in appends.
    pub offset: u64,
    /// Key.
    pub key: Vec<u8>,
    /// Value.
    pub value: Vec<u8>,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum StoreReply {
    /// Appended from this offset to this end.
    Appended(u64, u64),
    /// Records, the end, and where to read on.
    Records(Vec<WireRecord>, u64, u64),
    /// Records, the key to continue after, and the end.
    Newest(Vec<WireRecord>, Option<Vec<u8>>, u64),
    /// History was dropped.
    Trimmed,
    /// A higher epoch is in force.
    Fenced,
    /// This sequence is wanted.
    Sequence(u64),
    /// The partition ends here.
    Moved(u64),
    /// The records before this offset are gone.
    Gone(u64),
    /// Nothing was done.
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
                .map(|record| wire(0, record))
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
                .map(|record| keyed(record).1)
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

fn wire(offset: u64, record: &KeyedRecord) -> WireRecord {
    WireRecord {
        offset,
        key: record.key.clone(),
        value: record.value.clone(),
    }
}

fn keyed(record: WireRecord) -> (u64, KeyedRecord) {
    let keyed = KeyedRecord {
        key: record.key,
        value: record.value,
    };
    (record.offset, keyed)
}

fn wire_all(records: &[(u64, KeyedRecord)]) -> Vec<WireRecord> {
    records
        .iter()
        .map(|(offset, record)| wire(*offset, record))
        .collect()
}

impl From<StoreError> for StoreReply {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Fenced => Self::Fenced,
            StoreError::Sequence(wanted) => Self::Sequence(wanted),
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
        Self::Records(wire_all(&batch.records), batch.end, batch.next)
    }
}

impl From<NewestPage> for StoreReply {
    fn from(page: NewestPage) -> Self {
        Self::Newest(wire_all(&page.records), page.more_after, page.end)
    }
}

impl StoreReply {
    fn failure(self) -> StoreError {
        match self {
            Self::Fenced => StoreError::Fenced,
            Self::Sequence(wanted) => StoreError::Sequence(wanted),
            Self::Moved(end) => StoreError::Moved(end),
            Self::Gone(first) => StoreError::Gone(first),
            Self::NotDone => StoreError::NotDone,
            _ => StoreError::Unreadable,
        }
    }

    /// The answer to an append.
    ///
    /// # Errors
    /// It failed.
    pub fn appended(self) -> Result<Appended, StoreError> {
        match self {
            Self::Appended(offset, end) => Ok(Appended { offset, end }),
            other => Err(other.failure()),
        }
    }

    /// The answer to a read.
    ///
    /// # Errors
    /// It failed.
    pub fn batch(self) -> Result<ReadBatch, StoreError> {
        match self {
            Self::Records(records, end, next) => Ok(ReadBatch {
                end,
                records: records.into_iter().map(keyed).collect(),
                next,
                age_ms: 0,
            }),
            other => Err(other.failure()),
        }
    }

    /// The answer to a dropping of history.
    ///
    /// # Errors
    /// It failed.
    pub fn trimmed(self) -> Result<(), StoreError> {
        match self {
            Self::Trimmed => Ok(()),
            other => Err(other.failure()),
        }
    }

    /// The answer to a question for the newest records.
    ///
    /// # Errors
    /// It failed.
    pub fn page(self) -> Result<NewestPage, StoreError> {
        match self {
            Self::Newest(records, more_after, end) => Ok(NewestPage {
                records: records.into_iter().map(keyed).collect(),
                more_after,
                end,
                age_ms: 0,
            }),
            other => Err(other.failure()),
        }
    }
}
