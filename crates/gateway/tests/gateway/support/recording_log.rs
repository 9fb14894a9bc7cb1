//! A client of the log that keeps a copy of all records that a daemon appends or reads.

use fieldhook_emulator::log::memory::MemoryLog;
use fieldhook_log::api::{
    Append, Appended, KeyedRecord, LogStore, NewestPage, Partition, ReadBatch, StoreError, Trim,
};
use futures_util::future::LocalBoxFuture;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// A client of the log that keeps a copy of the records that pass through it.
pub struct RecordingLog {
    inner: Rc<MemoryLog>,
    records: RefCell<Vec<KeyedRecord>>,
}

impl RecordingLog {
    pub fn new(inner: Rc<MemoryLog>) -> Self {
        Self {
            inner,
            records: RefCell::default(),
        }
    }

    /// Returns whether a record that contains this text has passed through.
    pub fn has_record_with(&self, text: &str) -> bool {
        let contains = |value: &[u8]| {
            value
                .windows(text.len())
                .any(|part| part == text.as_bytes())
        };
        let records = self.records.borrow();
        records.iter().any(|record| contains(&record.value))
    }

    /// Returns the size of the largest record that has passed through, in bytes.
    pub fn largest(&self) -> usize {
        let records = self.records.borrow();
        let sizes = records.iter().map(|record| record.value.len());
        sizes.max().unwrap_or_default()
    }

    fn record<'a>(&self, records: impl Iterator<Item = &'a KeyedRecord>) {
        self.records.borrow_mut().extend(records.cloned());
    }
}

impl LogStore for RecordingLog {
    fn append(&self, append: Append) -> LocalBoxFuture<'_, Result<Appended, StoreError>> {
        self.record(append.records.iter());
        self.inner.append(append)
    }

    fn read(
        &self,
        partition: Partition,
        from: u64,
        wait: Duration,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<ReadBatch, StoreError>> {
        Box::pin(async move {
            let batch = self.inner.read(partition, from, wait, timeout).await?;
            self.record(batch.records.iter().map(|(_, record)| record));
            Ok(batch)
        })
    }

    fn newest(
        &self,
        partition: Partition,
        after: Option<Vec<u8>>,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<NewestPage, StoreError>> {
        Box::pin(async move {
            let page = self.inner.newest(partition, after, timeout).await?;
            self.record(page.records.iter().map(|(_, record)| record));
            Ok(page)
        })
    }

    fn trim(&self, trim: Trim) -> LocalBoxFuture<'_, Result<(), StoreError>> {
        self.inner.trim(trim)
    }
}
