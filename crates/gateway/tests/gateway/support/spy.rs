//! A client of the log that remembers what passed through it: what a daemon keeps for others
//! it appends, and what it takes over it reads.

use fieldhook_emulator::log::memory::MemoryLog;
use fieldhook_log::api::{
    Append, Appended, KeyedRecord, LogStore, NewestPage, Partition, ReadBatch, StoreError, Trim,
};
use futures_util::future::LocalBoxFuture;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// A client of the log that remembers the records that passed through it.
pub struct Spy {
    inner: Rc<MemoryLog>,
    passed: RefCell<Vec<KeyedRecord>>,
}

impl Spy {
    pub fn new(inner: Rc<MemoryLog>) -> Self {
        Self {
            inner,
            passed: RefCell::default(),
        }
    }

    /// Whether a record that holds this text passed.
    pub fn has_record_with(&self, text: &str) -> bool {
        let holds = |value: &[u8]| {
            value
                .windows(text.len())
                .any(|part| part == text.as_bytes())
        };
        let passed = self.passed.borrow();
        passed.iter().any(|record| holds(&record.value))
    }

    /// Bytes of the largest record that passed.
    pub fn largest(&self) -> usize {
        let passed = self.passed.borrow();
        let sizes = passed.iter().map(|record| record.value.len());
        sizes.max().unwrap_or_default()
    }

    fn note<'a>(&self, records: impl Iterator<Item = &'a KeyedRecord>) {
        self.passed.borrow_mut().extend(records.cloned());
    }
}

impl LogStore for Spy {
    fn append(&self, append: Append) -> LocalBoxFuture<'_, Result<Appended, StoreError>> {
        self.note(append.records.iter());
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
            self.note(batch.records.iter().map(|(_, record)| record));
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
            self.note(page.records.iter().map(|(_, record)| record));
            Ok(page)
        })
    }

    fn trim(&self, trim: Trim) -> LocalBoxFuture<'_, Result<(), StoreError>> {
        self.inner.trim(trim)
    }
}
