//! Dropping the history of a compacted partition.
//!
//! The service counts against its room all that was appended and, beside it, the newest record
//! of each key. Owners read the latter alone, so the owner in force drops the former as it grows.
//! Late or repeated calls do no harm: the newest of each key is kept whatever is dropped
//! (docs/design/room-on-the-log.md).

use crate::api::{LogStore, Partition, StoreError, Trim};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Bytes of history after which it is dropped. Sixteen partitions then hold 16 MB of it, a part in
/// twenty-five of the 400 MB that the service takes; at the 3 MB a second that the busiest
/// deployment measured appends, this makes three calls a second.
pub const MAX_HISTORY_BYTES: usize = 1 << 20;
/// Time for a call.
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a call that failed: room is short only minutes after the last one that did not.
const PAUSE: Duration = Duration::from_secs(1);

/// Drops the history of one owned partition.
pub struct Trimmer {
    partition: Partition,
    store: Rc<dyn LogStore>,
    /// What was appended ends here, as far as known.
    end: Cell<u64>,
    /// Bytes appended since the last call.
    bytes: Cell<usize>,
    wake: Notify,
}

impl Trimmer {
    /// A trimmer of a partition of which nothing is known yet.
    pub fn new(partition: Partition, store: Rc<dyn LogStore>) -> Self {
        Self {
            partition,
            store,
            end: Cell::new(0),
            bytes: Cell::new(0),
            wake: Notify::new(),
        }
    }

    /// The partition was read up to here: how much history earlier owners left is not known, so
    /// what there is, is dropped at once.
    pub fn inherit_history(&self, end: u64) {
        self.note_end(end);
        if end > 0 {
            self.wake.notify_one();
        }
    }

    /// So many bytes were appended; their end is not known where the answer was lost.
    pub fn record_append(&self, end: Option<u64>, bytes: usize) {
        end.into_iter().for_each(|end| self.note_end(end));
        self.bytes.set(self.bytes.get() + bytes);
        if self.bytes.get() >= MAX_HISTORY_BYTES {
            self.wake.notify_one();
        }
    }

    fn note_end(&self, end: u64) {
        self.end.set(self.end.get().max(end));
    }

    /// Drops history whenever it is due.
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
                sleep(PAUSE).await;
            }
        }
    }

    async fn trim(&self) -> Result<(), StoreError> {
        let before = self.end.get();
        let bytes = self.bytes.take();
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
