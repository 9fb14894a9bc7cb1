//! Group commit: all records queued for one owned partition are sent in one append, which is fenced
//! by the owner's epoch.

use crate::api::{Append, KeyedRecord, LogStore, Partition, Producer, StoreError};
use crate::hedge;
use crate::log_health::LogHealth;
use crate::trimmer::Trimmer;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Producer name shared by all owners, so that their epochs fence each other.
pub const PRODUCER: &str = "owner";
/// Maximum size of one append, in bytes.
const MAX_APPEND_BYTES: usize = 1 << 20;
/// Longest time that deferred records wait for others to share their append.
const LINGER: Duration = Duration::from_millis(400);

/// How soon queued records have to be appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// A caller waits for the result.
    Now,
    /// May wait for the next urgent records, or until the linger time is over.
    Soon,
}

/// Outcome of queued records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The records are durable, and no later owner had fenced this one when they became durable.
    Durable,
    /// Fenced by a later owner. The records may or may not be on the log.
    Lost,
}

/// Called with the outcome, in queue order.
pub type OnOutcome = Box<dyn FnOnce(Outcome)>;

struct Entry {
    records: Vec<KeyedRecord>,
    done: OnOutcome,
}

/// Queue and appends of one owned partition.
pub struct Appender {
    partition: Partition,
    epoch: u64,
    store: Rc<dyn LogStore>,
    health: Rc<LogHealth>,
    /// Deletes the history that the appends leave behind while [`Trimmer::run`] is running.
    pub trimmer: Trimmer,
    queue: RefCell<Vec<Entry>>,
    urgent: Cell<bool>,
    wake: Notify,
    next_sequence: Cell<u64>,
    stopped: Cell<bool>,
}

/// Why [`Appender::run`] returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendEnd {
    /// Fenced by a later owner.
    Fenced,
    /// [`Appender::stop`] was called.
    Stopped,
}

/// Sets the epoch of a partition. Appends of earlier epochs are rejected from then on.
///
/// # Errors
/// Fenced by a later owner, or the call to the log service failed.
pub async fn fence(
    store: &dyn LogStore,
    partition: Partition,
    epoch: u64,
    timeout: Duration,
) -> Result<(), StoreError> {
    let append = Append {
        partition,
        records: Vec::new(),
        producer: Some(Producer {
            name: PRODUCER.to_owned(),
            epoch,
            sequence: 0,
        }),
        expected_end: None,
        timeout,
    };
    store.append(append).await.map(|_| ())
}

impl Appender {
    /// Creates an appender for an epoch that was set by [`fence`].
    pub fn new(
        partition: Partition,
        epoch: u64,
        store: Rc<dyn LogStore>,
        health: Rc<LogHealth>,
    ) -> Self {
        Self {
            trimmer: Trimmer::new(partition.clone(), store.clone()),
            partition,
            epoch,
            store,
            health,
            queue: RefCell::default(),
            urgent: Cell::new(false),
            wake: Notify::new(),
            next_sequence: Cell::new(0),
            stopped: Cell::new(false),
        }
    }

    /// Queues records. `done` is called once these records and all before them are durable. Without
    /// records, it reports whether the epoch is still in force.
    pub fn push(&self, records: Vec<KeyedRecord>, urgency: Urgency, done: OnOutcome) {
        self.queue.borrow_mut().push(Entry { records, done });
        if urgency == Urgency::Now {
            self.urgent.set(true);
        }
        self.wake.notify_one();
    }

    /// Lets [`Self::run`] return once the queue is empty.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.wake.notify_one();
    }

    /// Number of queued entries that are not yet being appended.
    pub fn pending(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Appends until fenced or stopped. `on_append` is called with the duration of each append.
    pub async fn run(&self, on_append: impl Fn(Duration)) -> AppendEnd {
        loop {
            while self.queue.borrow().is_empty() {
                if self.stopped.get() {
                    return AppendEnd::Stopped;
                }
                self.wake.notified().await;
            }
            self.linger().await;
            let batch = self.next_batch();
            let started = Instant::now();
            if self.append(&batch).await.is_err() {
                report(batch, Outcome::Lost);
                self.fail_queue();
                return AppendEnd::Fenced;
            }
            on_append(started.elapsed());
            report(batch, Outcome::Durable);
        }
    }

    fn fail_queue(&self) {
        let rest = self.queue.take();
        report(rest, Outcome::Lost);
    }

    /// Waits for records to share the append, unless some are urgent.
    async fn linger(&self) {
        let until = Instant::now() + LINGER;
        while !self.urgent.get() && !self.stopped.get() {
            if timeout_at(until, self.wake.notified()).await.is_err() {
                break;
            }
        }
        self.urgent.set(false);
    }

    fn next_batch(&self) -> Vec<Entry> {
        let mut queue = self.queue.borrow_mut();
        let mut bytes = 0;
        let mut count = 0;
        for entry in queue.iter() {
            bytes += entry.records.iter().map(size_of_record).sum::<usize>();
            if count > 0 && bytes > MAX_APPEND_BYTES {
                // The remaining entries may include the urgent ones, so they are not delayed again.
                self.urgent.set(true);
                break;
            }
            count += 1;
        }
        queue.drain(..count).collect()
    }

    /// Appends a batch, repeating the call until its outcome is known.
    async fn append(&self, batch: &[Entry]) -> Result<(), StoreError> {
        let records: Vec<KeyedRecord> = batch
            .iter()
            .flat_map(|entry| entry.records.iter().cloned())
            .collect();
        let empty = records.is_empty();
        let bytes = records.iter().map(size_of_record).sum();
        let sequence = self.next_sequence.get();
        let append = Append {
            partition: self.partition.clone(),
            records,
            producer: Some(Producer {
                name: PRODUCER.to_owned(),
                epoch: self.epoch,
                sequence,
            }),
            expected_end: None,
            timeout: Duration::ZERO,
        };
        let appended = hedge::append(self.store.as_ref(), &self.health, append).await?;
        if !empty {
            let end = appended.map(|appended| appended.end);
            self.trimmer.record_append(end, bytes);
            self.next_sequence.set(sequence + 1);
        }
        Ok(())
    }
}

impl Drop for Appender {
    fn drop(&mut self) {
        self.fail_queue();
    }
}

fn size_of_record(record: &KeyedRecord) -> usize {
    record.key.len() + record.value.len()
}

fn report(entries: Vec<Entry>, outcome: Outcome) {
    for entry in entries {
        (entry.done)(outcome);
    }
}
