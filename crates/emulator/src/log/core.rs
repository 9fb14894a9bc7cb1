//! In-memory model of the log service: partitions of compacted topics.

use fieldhook_log::api::{
    Append, Appended, KeyedRecord, NewestPage, Partition, Producer, ReadBatch, StoreError,
};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Number of results per producer that are kept to answer repeated appends.
const RETAINED_RESULTS: usize = 5;
/// Status with which the service refuses an append whose record is too large.
const STATUS_TOO_LARGE: u16 = 413;
/// Maximum number of records in a page of newest records.
const PAGE_RECORDS: usize = 500;

/// State of one producer name in a partition.
#[derive(Default)]
struct ProducerState {
    epoch: u64,
    next_sequence: Option<u64>,
    /// Sequence numbers and results of the latest appends, oldest first.
    results: VecDeque<(u64, Appended)>,
}

/// Records of one partition.
#[derive(Default)]
struct PartitionLog {
    /// Offset of the first record of the history.
    first: u64,
    records: VecDeque<KeyedRecord>,
    /// Offset and value of the newest record of each key.
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
    producers: HashMap<String, ProducerState>,
}

/// The partitions of all topics.
#[derive(Default)]
pub struct LogCore {
    partitions: HashMap<(String, u32), PartitionLog>,
    /// Maximum number of stored bytes, see [`LogCore::stored_bytes`]; unlimited if `None`.
    storage_limit: Option<usize>,
    /// Maximum size of a record in bytes; unlimited if `None`.
    record_limit: Option<usize>,
}

impl LogCore {
    fn partition(&mut self, partition: &Partition) -> &mut PartitionLog {
        let key = (partition.topic.clone(), partition.number);
        self.partitions.entry(key).or_default()
    }

    /// Rejects records while at least this many bytes are stored.
    pub fn set_storage_limit(&mut self, bytes: usize) {
        self.storage_limit = Some(bytes);
    }

    /// Rejects appends with a record of more than this size.
    pub fn set_record_limit(&mut self, bytes: usize) {
        self.record_limit = Some(bytes);
    }

    /// Number of stored bytes. The newest record of each key counts in addition to the history.
    pub fn stored_bytes(&self) -> usize {
        self.partitions
            .values()
            .map(PartitionLog::stored_bytes)
            .sum()
    }

    /// Appends all records or none of them.
    ///
    /// # Errors
    /// The producer is fenced, its sequence number is out of order, the expected end does not
    /// match, the storage limit is reached, or a record is too large.
    pub fn append(&mut self, append: &Append) -> Result<Appended, StoreError> {
        let size = |record: &KeyedRecord| record.key.len() + record.value.len();
        let largest = append.records.iter().map(size).max();
        if self.record_limit.is_some_and(|limit| largest > Some(limit)) {
            return Err(StoreError::Refused(STATUS_TOO_LARGE));
        }
        let is_full = self
            .storage_limit
            .is_some_and(|limit| self.stored_bytes() >= limit);
        self.partition(&append.partition).append(append, is_full)
    }

    /// Drops the history of a partition before an offset. The newest record of each key is kept.
    pub fn trim(&mut self, partition: &Partition, before: u64) {
        self.partition(partition).trim(before);
    }

    /// Reads the history of a partition, starting at an offset.
    ///
    /// # Errors
    /// The history no longer contains the offset.
    pub fn read(&mut self, partition: &Partition, from: u64) -> Result<ReadBatch, StoreError> {
        self.partition(partition).read(from)
    }

    /// Returns a page of the newest records, ordered by key, starting after the key `after`.
    pub fn newest(&mut self, partition: &Partition, after: Option<&[u8]>) -> NewestPage {
        self.partition(partition).newest_page(after)
    }

    /// Drops the history of all partitions. The newest record of each key is kept.
    pub fn drop_history(&mut self) {
        for partition in self.partitions.values_mut() {
            partition.first = partition.end();
            partition.records.clear();
        }
    }
}

impl PartitionLog {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn stored_bytes(&self) -> usize {
        let history = self.records.iter();
        let history = history.map(|record| record.key.len() + record.value.len());
        let newest = self.newest.iter();
        let newest = newest.map(|(key, (_, value))| key.len() + value.len());
        history.sum::<usize>() + newest.sum::<usize>()
    }

    fn trim(&mut self, before: u64) {
        while self.first < before && self.records.pop_front().is_some() {
            self.first += 1;
        }
    }

    fn append(&mut self, append: &Append, is_full: bool) -> Result<Appended, StoreError> {
        if let Some(producer) = &append.producer
            && let Some(result) = self.check_producer(producer, append.records.is_empty())?
        {
            return Ok(result);
        }
        if let Some(expected) = append.expected_end
            && expected != self.end()
        {
            return Err(StoreError::Moved(self.end()));
        }
        if is_full && !append.records.is_empty() {
            return Err(StoreError::Full);
        }
        let appended = self.push(&append.records);
        if let Some(producer) = &append.producer {
            self.record_result(producer, appended, append.records.is_empty());
        }
        Ok(appended)
    }

    /// Checks the epoch and the sequence number. Returns the original result if the append is a
    /// repeat.
    fn check_producer(
        &mut self,
        producer: &Producer,
        empty: bool,
    ) -> Result<Option<Appended>, StoreError> {
        let state = self.producers.entry(producer.name.clone()).or_default();
        if producer.epoch < state.epoch {
            return Err(StoreError::Fenced);
        }
        if producer.epoch > state.epoch {
            *state = ProducerState {
                epoch: producer.epoch,
                ..ProducerState::default()
            };
        }
        if empty {
            return Ok(None);
        }
        let repeated = state
            .results
            .iter()
            .find(|(sequence, _)| *sequence == producer.sequence);
        if let Some((_, result)) = repeated {
            return Ok(Some(*result));
        }
        match state.next_sequence {
            Some(expected) if expected != producer.sequence => Err(StoreError::Sequence(expected)),
            _ => Ok(None),
        }
    }

    fn push(&mut self, records: &[KeyedRecord]) -> Appended {
        let offset = self.end();
        for record in records {
            let record_offset = self.end();
            if record.value.is_empty() {
                self.newest.remove(&record.key);
            } else {
                self.newest
                    .insert(record.key.clone(), (record_offset, record.value.clone()));
            }
            self.records.push_back(record.clone());
        }
        Appended {
            offset,
            end: self.end(),
        }
    }

    fn record_result(&mut self, producer: &Producer, appended: Appended, empty: bool) {
        let Some(state) = self.producers.get_mut(&producer.name) else {
            return;
        };
        if empty {
            return;
        }
        state.next_sequence = Some(producer.sequence + 1);
        state.results.push_back((producer.sequence, appended));
        if state.results.len() > RETAINED_RESULTS {
            state.results.pop_front();
        }
    }

    fn read(&self, from: u64) -> Result<ReadBatch, StoreError> {
        if from < self.first {
            return Err(StoreError::Gone(self.first));
        }
        let skipped = (from - self.first) as usize;
        let records: Vec<(u64, KeyedRecord)> = self
            .records
            .iter()
            .skip(skipped)
            .enumerate()
            .map(|(index, record)| (from + index as u64, record.clone()))
            .collect();
        Ok(ReadBatch {
            end: self.end(),
            next: from + records.len() as u64,
            records,
            age_ms: 0,
        })
    }

    fn newest_page(&self, after: Option<&[u8]>) -> NewestPage {
        let remaining = self
            .newest
            .iter()
            .filter(|(key, _)| after.is_none_or(|after| key.as_slice() > after));
        let mut records: Vec<(u64, KeyedRecord)> = remaining
            .take(PAGE_RECORDS + 1)
            .map(|(key, (offset, value))| {
                let record = KeyedRecord {
                    key: key.clone(),
                    value: value.clone(),
                };
                (*offset, record)
            })
            .collect();
        let more = records.len() > PAGE_RECORDS;
        records.truncate(PAGE_RECORDS);
        let last = records.last().map(|(_, record)| record.key.clone());
        NewestPage {
            more_after: last.filter(|_| more),
            records,
            end: self.end(),
            age_ms: 0,
        }
    }
}
