//! Partitions of compacted topics, as the platform's log keeps them.

use fieldhook_log::api::{
    Append, Appended, KeyedRecord, NewestPage, Partition, Producer, ReadBatch, StoreError,
};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Answers of a writer's latest appends that are given again.
const REMEMBERED_ANSWERS: usize = 5;
/// Records of one page.
const PAGE_RECORDS: usize = 500;

#[derive(Default)]
struct Writer {
    epoch: u64,
    next_sequence: Option<u64>,
    answers: VecDeque<(u64, Appended)>,
}

#[derive(Default)]
struct PartitionLog {
    first: u64,
    records: VecDeque<KeyedRecord>,
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
    writers: HashMap<String, Writer>,
}

/// All partitions.
#[derive(Default)]
pub struct LogCore {
    partitions: HashMap<(String, u32), PartitionLog>,
    /// Bytes that are kept in all, history and newest records; without bound if there is none.
    room: Option<usize>,
}

impl LogCore {
    fn partition(&mut self, partition: &Partition) -> &mut PartitionLog {
        let key = (partition.topic.clone(), partition.number);
        self.partitions.entry(key).or_default()
    }

    /// Takes no records once so many bytes are kept.
    pub fn set_storage_limit(&mut self, bytes: usize) {
        self.room = Some(bytes);
    }

    /// Bytes kept in all: the history, and the newest record of each key once more.
    pub fn stored_bytes(&self) -> usize {
        self.partitions
            .values()
            .map(PartitionLog::stored_bytes)
            .sum()
    }

    /// Appends all records or none.
    ///
    /// # Errors
    /// The fence, the sequence, the condition or a want of room forbids it.
    pub fn append(&mut self, append: &Append) -> Result<Appended, StoreError> {
        let is_full = self.room.is_some_and(|room| self.stored_bytes() >= room);
        self.partition(&append.partition).append(append, is_full)
    }

    /// Drops the history of a partition before an offset; the newest of each key stays.
    pub fn trim(&mut self, partition: &Partition, before: u64) {
        self.partition(partition).trim(before);
    }

    /// Reads from an offset on.
    ///
    /// # Errors
    /// The records are gone.
    pub fn read(&mut self, partition: &Partition, from: u64) -> Result<ReadBatch, StoreError> {
        self.partition(partition).read(from)
    }

    /// A page of the newest records by key.
    pub fn newest(&mut self, partition: &Partition, after: Option<&[u8]>) -> NewestPage {
        self.partition(partition).page(after)
    }

    /// Drops the history of all partitions; the newest of each key stays.
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
            && let Some(answer) = self.admit(producer, append.records.is_empty())?
        {
            return Ok(answer);
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
            self.remember(producer, appended, append.records.is_empty());
        }
        Ok(appended)
    }

    /// Checks the fence and the sequence; gives the first answer of a repeat again.
    fn admit(&mut self, producer: &Producer, empty: bool) -> Result<Option<Appended>, StoreError> {
        let writer = self.writers.entry(producer.name.clone()).or_default();
        if producer.epoch < writer.epoch {
            return Err(StoreError::Fenced);
        }
        if producer.epoch > writer.epoch {
            *writer = Writer {
                epoch: producer.epoch,
                ..Writer::default()
            };
        }
        if empty {
            return Ok(None);
        }
        let known = writer
            .answers
            .iter()
            .find(|(sequence, _)| *sequence == producer.sequence);
        if let Some((_, answer)) = known {
            return Ok(Some(*answer));
        }
        match writer.next_sequence {
            Some(wanted) if wanted != producer.sequence => Err(StoreError::Sequence(wanted)),
            _ => Ok(None),
        }
    }

    fn push(&mut self, records: &[KeyedRecord]) -> Appended {
        let offset = self.end();
        for record in records {
            let at = self.end();
            if record.value.is_empty() {
                self.newest.remove(&record.key);
            } else {
                self.newest
                    .insert(record.key.clone(), (at, record.value.clone()));
            }
            self.records.push_back(record.clone());
        }
        Appended {
            offset,
            end: self.end(),
        }
    }

    fn remember(&mut self, producer: &Producer, appended: Appended, empty: bool) {
        let Some(writer) = self.writers.get_mut(&producer.name) else {
            return;
        };
        if empty {
            return;
        }
        writer.next_sequence = Some(producer.sequence + 1);
        writer.answers.push_back((producer.sequence, appended));
        if writer.answers.len() > REMEMBERED_ANSWERS {
            writer.answers.pop_front();
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

    fn page(&self, after: Option<&[u8]>) -> NewestPage {
        let rest = self
            .newest
            .iter()
            .filter(|(key, _)| after.is_none_or(|after| key.as_slice() > after));
        let mut records: Vec<(u64, KeyedRecord)> = rest
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
