//! Loads a claimed partition from the log.
//!
//! A page that fails is requested again with a longer timeout, and pages that were read are kept.
//! If every failure restarted the load, a machine with little bandwidth could read the same first
//! page forever (docs/incidents/stuck-load.md).

use fieldhook_ledger::partition::Partition;
use fieldhook_ledger::record::Record;
use fieldhook_log::api::{LogStore, Partition as LogPartition, StoreError};
use fieldhook_log::appender::fence;
use std::time::Duration;

/// Timeout of the fencing append and first timeout of a page.
const INITIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest timeout of a page.
const MAX_TIMEOUT: Duration = Duration::from_secs(8);

/// Loads one partition step by step.
pub struct PartitionLoader {
    log_partition: LogPartition,
    epoch: u64,
    fenced: bool,
    timeout: Duration,
    state: Partition,
    after: Option<Vec<u8>>,
    end: u64,
}

/// A partition that was loaded completely.
pub struct LoadedPartition {
    /// Its turns and programs.
    pub state: Partition,
    /// End offset of the log partition.
    pub end: u64,
}

impl PartitionLoader {
    /// Creates a loader that has read nothing yet; records are added to `state`.
    pub fn new(log_partition: LogPartition, epoch: u64, state: Partition) -> Self {
        Self {
            log_partition,
            epoch,
            fenced: false,
            timeout: INITIAL_TIMEOUT,
            state,
            after: None,
            end: 0,
        }
    }

    /// Performs the next step; returns the partition once it is loaded completely. Earlier owners
    /// are fenced before anything is read, so that no record acknowledged by an earlier owner can
    /// be missed.
    ///
    /// # Errors
    /// [`StoreError::Fenced`] if a later owner has fenced this one. After any other error the step
    /// may be repeated.
    pub async fn step(
        &mut self,
        store: &dyn LogStore,
    ) -> Result<Option<LoadedPartition>, StoreError> {
        let result = match self.fenced {
            false => self.fence(store).await,
            true => self.load_page(store).await,
        };
        if result.is_err() {
            self.timeout = (self.timeout * 2).min(MAX_TIMEOUT);
        }
        result
    }

    async fn fence(&mut self, store: &dyn LogStore) -> Result<Option<LoadedPartition>, StoreError> {
        fence(store, self.log_partition.clone(), self.epoch, self.timeout).await?;
        self.fenced = true;
        Ok(None)
    }

    async fn load_page(
        &mut self,
        store: &dyn LogStore,
    ) -> Result<Option<LoadedPartition>, StoreError> {
        let page = store
            .newest(self.log_partition.clone(), self.after.clone(), self.timeout)
            .await?;
        for (_, record) in &page.records {
            match Record::decode(&record.key, &record.value) {
                Ok(record) => self.state.load(record),
                Err(_) => {
                    tracing::error!(
                        event = "record_unreadable",
                        partition = self.log_partition.number
                    );
                }
            }
        }
        self.after = page.more_after;
        self.end = page.end;
        if self.after.is_some() {
            return Ok(None);
        }
        self.state.finish_loading();
        Ok(Some(LoadedPartition {
            state: std::mem::take(&mut self.state),
            end: self.end,
        }))
    }
}
