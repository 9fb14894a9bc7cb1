//! Group commit: all records that wait go out in one append.

use crate::metrics::Metrics;
use crate::store::api::{Append, KeyedRecord, LogStore, Partition, Producer, StoreError};
use fieldhook_ledger::message::LedgerReply;
use fieldhook_ledger::record::Record;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep, timeout_at};

/// Topic of programs and turns.
pub const LEDGER_TOPIC: &str = "keyed.fieldhook-ledger";
/// Writer's name; all owners share it, so that epochs fence each other.
pub const PRODUCER: &str = "ledger";
/// Bytes of one append at most.
const MOST_BYTES: usize = 1 << 20;
const FIRST_TIMEOUT: Duration = Duration::from_millis(150);
const LONGEST_TIMEOUT: Duration = Duration::from_millis(1_500);
const FIRST_PAUSE: Duration = Duration::from_millis(15);
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

/// An answer that is due once what is queued before it is durable.
pub struct Waiter {
    /// Where the answer goes.
    pub sender: mpsc::UnboundedSender<LedgerReply>,
    /// The answer.
    pub reply: LedgerReply,
}

/// Records and answers of one request.
#[derive(Default)]
struct Entry {
    records: Vec<Record>,
    waiter: Option<Waiter>,
}

/// How soon queued records have to go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Somebody waits for them.
    Now,
    /// They go out with the next urgent ones, or after a while by themselves.
    Soon,
}

/// Longest time that records wait for others to share their append.
const SHARE_WAIT: Duration = Duration::from_millis(120);

/// Queue of one owned partition.
pub struct Appender {
    partition: u32,
    epoch: u64,
    store: Rc<dyn LogStore>,
    metrics: Rc<Metrics>,
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

impl Appender {
    /// An appender of an epoch that was set already.
    pub fn new(partition: u32, epoch: u64, store: Rc<dyn LogStore>, metrics: Rc<Metrics>) -> Self {
        Self {
            partition,
            epoch,
            store,
            metrics,
            queue: RefCell::default(),
            urgent: Cell::new(false),
            wake: Notify::new(),
            next_sequence: Cell::new(0),
            stopped: Cell::new(false),
        }
    }

    /// Queues records; `waiter` is answered once they and all before are durable.
    /// Without records, it is answered once the fence is known to hold.
    pub fn push(&self, records: Vec<Record>, waiter: Option<Waiter>, urgency: Urgency) {
        self.queue.borrow_mut().push(Entry { records, waiter });
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

    /// Appends until fenced or stopped. `appended` hears of each durable record.
    pub async fn run(&self, appended: impl Fn(&Record)) -> AppendEnd {
        loop {
            while self.queue.borrow().is_empty() {
                if self.stopped.get() {
                    return AppendEnd::Stopped;
                }
                self.wake.notified().await;
            }
            self.wait_for_company().await;
            let batch = self.next_batch();
            if self.append(&batch).await.is_err() {
                answer_all(batch, Some(&LedgerReply::NotOwner));
                answer_all(self.queue.take(), Some(&LedgerReply::NotOwner));
                return AppendEnd::Fenced;
            }
            for record in batch.iter().flat_map(|entry| &entry.records) {
                appended(record);
            }
            answer_all(batch, None);
        }
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
                break;
            }
            count += 1;
        }
        queue.drain(..count).collect()
    }

    /// Appends a batch, again and again until the outcome is known: the sequence
    /// makes repeats harmless.
    async fn append(&self, batch: &[Entry]) -> Result<(), StoreError> {
        let records: Vec<KeyedRecord> = batch
            .iter()
            .flat_map(|entry| &entry.records)
            .map(|record| KeyedRecord {
                key: record.key(),
                value: record.value(),
            })
            .collect();
        let empty = records.is_empty();
        let mut append = Append {
            partition: Partition {
                topic: LEDGER_TOPIC.to_owned(),
                number: self.partition,
            },
            records,
            producer: Some(Producer {
                name: PRODUCER.to_owned(),
                epoch: self.epoch,
                sequence: self.next_sequence.get(),
            }),
            expected_end: None,
            timeout: FIRST_TIMEOUT,
        };
        let started = Instant::now();
        let mut pause = FIRST_PAUSE;
        let mut failures = 0_u32;
        loop {
            match self.store.append(append.clone()).await {
                Ok(_) => break,
                Err(StoreError::Fenced) => return Err(StoreError::Fenced),
                Err(StoreError::Sequence(wanted)) if wanted == self.next_sequence.get() + 1 => {
                    break;
                }
                Err(error) => {
                    failures += 1;
                    if failures == 1 {
                        tracing::warn!(event = "append_repeated", partition = self.partition,
                            epoch = self.epoch, sequence = self.next_sequence.get(), %error);
                    }
                    if error == StoreError::Unknown {
                        append.timeout = (append.timeout * 2).min(LONGEST_TIMEOUT);
                    }
                }
            }
            sleep(pause.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
        if !empty {
            self.next_sequence.set(self.next_sequence.get() + 1);
        }
        self.metrics
            .append_seconds
            .observe(started.elapsed().as_secs_f64());
        Ok(())
    }
}

fn size_of_record(record: &Record) -> usize {
    record.key().len() + record.value().len()
}

fn answer_all(entries: Vec<Entry>, instead: Option<&LedgerReply>) {
    for waiter in entries.into_iter().filter_map(|entry| entry.waiter) {
        let reply = instead.cloned().unwrap_or(waiter.reply);
        let _ = waiter.sender.send(reply);
    }
}
