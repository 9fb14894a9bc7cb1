//! Deletes the history of a compacted partition, that is, its superseded records.
//!
//! The storage limit of the service counts every appended record and, separately, the newest record
//! of each key. Owners only read the latter, so the current owner deletes the history as it grows.
//! Late or repeated calls do no harm, because the newest record of each key is always kept
//! (docs/design/room-on-the-log.md).

use crate::api::{LogStore, Partition, StoreError, Trim};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Bytes of history after which it is deleted. Sixteen partitions then hold 16 MB of it, which is
/// 1/25 of the 400 MB that the service stores. At 3 MB appended per second, as in the busiest
/// deployment measured, this makes three calls a second.
pub const MAX_HISTORY_BYTES: usize = 1 << 20;
/// Time limit of a call.
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failed call. Without trimming, storage runs out only after minutes.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Deletes the history of one owned partition.
pub struct Trimmer {
    partition: Partition,
    store: Rc<dyn LogStore>,
    /// Known end offset of the partition.
    end: Cell<u64>,
    /// Bytes appended since the last call.
    untrimmed_bytes: Cell<usize>,
    wake: Notify,
}

impl Trimmer {
    /// Creates a trimmer for a partition whose end is not known yet.
    pub fn new(partition: Partition, store: Rc<dyn LogStore>) -> Self {
        Self {
            partition,
            store,
            end: Cell::new(0),
            untrimmed_bytes: Cell::new(0),
            wake: Notify::new(),
        }
    }

    /// Sets the end up to which the partition was read. How much history earlier owners left is not
    /// known, so it is deleted at once.
    pub fn inherit_history(&self, end: u64) {
        self.advance_end(end);
        if end > 0 {
            self.wake.notify_one();
        }
    }

    /// Records an append of `bytes`. `end` is not known if the answer to the append was lost.
    pub fn record_append(&self, end: Option<u64>, bytes: usize) {
        end.into_iter().for_each(|end| self.advance_end(end));
        self.untrimmed_bytes.set(self.untrimmed_bytes.get() + bytes);
        if self.untrimmed_bytes.get() >= MAX_HISTORY_BYTES {
            self.wake.notify_one();
        }
    }

    fn advance_end(&self, end: u64) {
        self.end.set(self.end.get().max(end));
    }

    /// Deletes history whenever it is due.
    pub async fn run(&self) -> Infallible {
        loop {
            self.wake.notified().await;
            while let Err(error) = self.trim().await {
                tracing::warn!(
                    event = "trim_delayed",
                    topic = self.partition.topic,
                    partition = self.partition.number,
                    %error
                );
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn trim(&self) -> Result<(), StoreError> {
        let before = self.end.get();
        let bytes = self.untrimmed_bytes.take();
        let trim = Trim {
            partition: self.partition.clone(),
            before,
            timeout: TIMEOUT,
        };
        self.store.trim(trim).await?;
        tracing::info!(
            event = "history_trimmed",
            topic = self.partition.topic,
            partition = self.partition.number,
            before,
            bytes
        );
        Ok(())
    }
}
