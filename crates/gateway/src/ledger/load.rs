//! Reading a claimed partition from the log.
//!
//! What was read stays read: a page that fails is asked for again with more time, and
//! nothing begins anew. A machine with a narrow link could otherwise read the same first
//! page for ever (docs/incidents/stuck-load.md).

use fieldhook_ledger::partition::Partition;
use fieldhook_ledger::record::Record;
use fieldhook_log::api::{LogStore, Partition as Place, StoreError};
use fieldhook_log::appender::fence;
use std::time::Duration;

/// Time for the fence, and for a page at first.
const FIRST_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a page at most.
const LONGEST_TIMEOUT: Duration = Duration::from_secs(8);

/// A partition that is being read.
pub struct Load {
    place: Place,
    epoch: u64,
    fenced: bool,
    timeout: Duration,
    state: Partition,
    after: Option<Vec<u8>>,
    end: u64,
}

/// A partition that was read whole.
pub struct Loaded {
    /// What it holds.
    pub state: Partition,
    /// Where it ends, by its offsets.
    pub end: u64,
}

impl Load {
    /// Nothing was read yet; records go into `state`.
    pub fn new(place: Place, epoch: u64, state: Partition) -> Self {
        Self {
            place,
            epoch,
            fenced: false,
            timeout: FIRST_TIMEOUT,
            state,
            after: None,
            end: 0,
        }
    }

    /// Does the next thing; gives the partition once it is read whole. Earlier owners are
    /// fenced before anything is read: in this order nothing that one of them had
    /// acknowledged can be missed.
    ///
    /// # Errors
    /// [`StoreError::Fenced`] where a later owner is in force; after any other error the
    /// step may be repeated.
    pub async fn step(&mut self, store: &dyn LogStore) -> Result<Option<Loaded>, StoreError> {
        let result = match self.fenced {
            false => self.fence(store).await,
            true => self.page(store).await,
        };
        if result.is_err() {
            self.timeout = (self.timeout * 2).min(LONGEST_TIMEOUT);
        }
        result
    }

    async fn fence(&mut self, store: &dyn LogStore) -> Result<Option<Loaded>, StoreError> {
        fence(store, self.place.clone(), self.epoch, self.timeout).await?;
        self.fenced = true;
        Ok(None)
    }

    async fn page(&mut self, store: &dyn LogStore) -> Result<Option<Loaded>, StoreError> {
        let page = store
            .newest(self.place.clone(), self.after.clone(), self.timeout)
            .await?;
        for (_, record) in &page.records {
            match Record::read(&record.key, &record.value) {
                Ok(record) => self.state.load(record),
                Err(_) => {
                    tracing::error!(event = "record_unreadable", partition = self.place.number);
                }
            }
        }
        self.after = page.more_after;
        self.end = page.end;
        if self.after.is_some() {
            return Ok(None);
        }
        self.state.finish_loading();
        Ok(Some(Loaded {
            state: std::mem::take(&mut self.state),
            end: self.end,
        }))
    }
}
