//! Group commit: all records that wait for one owned partition go out in one
//! append, fenced by the owner's epoch.

use crate::api::{Append, KeyedRecord, LogStore, Partition, Producer, StoreError};
use crate::hedge;
use crate::log_health::LogHealth;
use crate::trimmer::Trimmer;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Writer's name; all owners share it, so that epochs fence each other.
pub const PRODUCER: &str = "owner";
/// Bytes of one append at most.
const MOST_BYTES: usize = 1 << 20;
/// Longest time that records wait for others to share their append.
const SHARE_WAIT: Duration = Duration::from_millis(400);

/// How soon queued records have to go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Somebody waits for them.
    Now,
    /// They go out with the next urgent ones, or after a while by themselves.
    Soon,
}

/// What became of queued records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// They are durable, and the fence held when they became so.
    Durable,
    /// A later owner is in force; they may or may not be on the log.
    Lost,
}

/// Told of the outcome, in the order of the queue.
pub type OnOutcome = Box<dyn FnOnce(Outcome)>;

struct Entry {
    records: Vec<KeyedRecord>,
    done: OnOutcome,
}

/// Queue of one owned partition.
pub struct Appender {
    partition: Partition,
    epoch: u64,
    store: Rc<dyn LogStore>,
    health: Rc<LogHealth>,
    /// Drops the history that the appends leave, where it is [run](Trimmer::run).
    pub trimmer: Trimmer,
    queue: RefCell<Vec<Entry>>,
    urgent: Cell<bool>,
    wake: Notify,
    next_sequence: Cell<u64>,
    stopped: Cell<bool>,
}

/// Why an appender ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendEnd {
    /// A later owner is in force.
    Fenced,
    /// It was told to stop.
    Stopped,
}

/// Sets an epoch on a partition: from then on no earlier owner's append is taken.
///
/// # Errors
/// A later owner is in force, or the service did not do it.
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
    /// An appender of an epoch that was set by [`fence`].
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

    /// Queues records; `done` hears of them once they and all before are durable.
    /// Without records, it hears whether the fence still holds.
    pub fn push(&self, records: Vec<KeyedRecord>, urgency: Urgency, done: OnOutcome) {
        self.queue.borrow_mut().push(Entry { records, done });
        if urgency == Urgency::Now {
            self.urgent.set(true);
        }
        self.wake.notify_one();
    }

    /// Ends [`Self::run`] once the queue is empty.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.wake.notify_one();
    }

    /// Records that are queued and not yet on their way.
    pub fn pending(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Appends until fenced or stopped. `took` hears how long each append took.
    pub async fn run(&self, took: impl Fn(Duration)) -> AppendEnd {
        loop {
            while self.queue.borrow().is_empty() {
                if self.stopped.get() {
                    return AppendEnd::Stopped;
                }
                self.wake.notified().await;
            }
            self.wait_for_company().await;
            let batch = self.next_batch();
            let started = Instant::now();
            if self.append(&batch).await.is_err() {
                finish(batch, Outcome::Lost);
                self.lose_queue();
                return AppendEnd::Fenced;
            }
            took(started.elapsed());
            finish(batch, Outcome::Durable);
        }
    }

    fn lose_queue(&self) {
        let rest = self.queue.take();
        finish(rest, Outcome::Lost);
    }

    /// Waits for records that share the append, unless some are urgent.
    async fn wait_for_company(&self) {
        let until = Instant::now() + SHARE_WAIT;
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
            if count > 0 && bytes > MOST_BYTES {
                // What is left is as urgent as what goes.
                self.urgent.set(true);
                break;
            }
            count += 1;
        }
        queue.drain(..count).collect()
    }

    /// Appends a batch until its outcome is known.
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
        self.lose_queue();
    }
}

fn size_of_record(record: &KeyedRecord) -> usize {
    record.key.len() + record.value.len()
}

fn finish(entries: Vec<Entry>, outcome: Outcome) {
    for entry in entries {
        (entry.done)(outcome);
    }
}
