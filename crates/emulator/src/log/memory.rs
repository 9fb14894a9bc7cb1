//! The log core in the process of a test: many clients of one log, with faults that
//! can be set for each client.

use super::core::LogCore;
use fieldhook_log::api::{
    Append, Appended, LogStore, NewestPage, Partition, ReadBatch, StoreError, Trim,
};
use futures_util::future::LocalBoxFuture;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// What goes wrong with calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFault {
    /// Nothing.
    #[default]
    None,
    /// Calls fail at once, without effect.
    Down,
    /// Calls are refused at once, without effect: the service has no room.
    Busy,
    /// The connection is reset before the call has its effect, but the caller
    /// cannot know that.
    Reset,
    /// Calls are not answered and have no effect.
    Silent,
    /// Appends have their effect and are not answered.
    ResponseLost,
    /// Appends are not answered and have their effect after this time.
    AppliedLate(Duration),
    /// Every call takes this long.
    Slow(Duration),
}

/// One log with the news of its changes.
#[derive(Default)]
pub struct SharedLog {
    /// The log.
    pub core: RefCell<LogCore>,
    changed: Notify,
}

/// One client of a shared log.
pub struct MemoryLog {
    log: Rc<SharedLog>,
    fault: Cell<LogFault>,
    /// Where the fault holds; everywhere if there is none.
    faulty: RefCell<Option<Partition>>,
    /// Rises when connections fall silent: calls of an earlier one are never answered.
    connections: Cell<u64>,
    /// Calls made so far.
    pub calls: Cell<u64>,
}

impl MemoryLog {
    /// A client without faults.
    pub fn new(log: Rc<SharedLog>) -> Self {
        Self {
            log,
            fault: Cell::default(),
            faulty: RefCell::default(),
            connections: Cell::new(0),
            calls: Cell::new(0),
        }
    }

    /// Sets what goes wrong from now on, everywhere.
    pub fn set_fault(&self, fault: LogFault) {
        self.faulty.take();
        self.fault.set(fault);
    }

    /// Sets what goes wrong from now on with one partition; the others work.
    pub fn set_partition_fault(&self, partition: Partition, fault: LogFault) {
        self.faulty.replace(Some(partition));
        self.fault.set(fault);
    }

    /// All connections fall silent: the calls that wait are never answered, new ones work.
    pub fn stall_connections(&self) {
        self.connections.set(self.connections.get() + 1);
        self.log.changed.notify_waiters();
    }

    fn fault_of(&self, partition: &Partition) -> LogFault {
        match &*self.faulty.borrow() {
            Some(faulty) if faulty != partition => LogFault::None,
            _ => self.fault.get(),
        }
    }

    async fn begin(&self, partition: &Partition, limit: Duration) -> Result<(), StoreError> {
        self.calls.set(self.calls.get() + 1);
        match self.fault_of(partition) {
            LogFault::Down | LogFault::Busy => Err(StoreError::NotDone),
            LogFault::Reset => Err(StoreError::Unknown),
            LogFault::Silent => {
                sleep(limit).await;
                Err(StoreError::Unknown)
            }
            LogFault::Slow(time) if time > limit => {
                sleep(limit).await;
                Err(StoreError::Unknown)
            }
            LogFault::Slow(time) => {
                sleep(time).await;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    async fn begin_again(&self, partition: &Partition, limit: Duration) -> Result<(), StoreError> {
        match self.fault_of(partition) {
            LogFault::Down | LogFault::Reset => Err(StoreError::Unknown),
            LogFault::Silent => {
                sleep(limit).await;
                Err(StoreError::Unknown)
            }
            _ => Ok(()),
        }
    }

    async fn append_call(&self, append: Append) -> Result<Appended, StoreError> {
        self.begin(&append.partition, append.timeout).await?;
        let fault = self.fault_of(&append.partition);
        if let LogFault::AppliedLate(delay) = fault {
            let log = self.log.clone();
            let late = append.clone();
            ntex::rt::spawn(async move {
                sleep(delay).await;
                let _ = log.core.borrow_mut().append(&late);
                log.changed.notify_waiters();
            });
            sleep(append.timeout).await;
            return Err(StoreError::Unknown);
        }
        let appended = self.log.core.borrow_mut().append(&append);
        self.log.changed.notify_waiters();
        if fault == LogFault::ResponseLost {
            sleep(append.timeout).await;
            return Err(StoreError::Unknown);
        }
        appended
    }

    async fn read_call(
        &self,
        partition: Partition,
        from: u64,
        wait: Duration,
        limit: Duration,
    ) -> Result<ReadBatch, StoreError> {
        let connection = self.connections.get();
        self.begin(&partition, limit).await?;
        let until = Instant::now() + wait;
        let given_up = Instant::now() + limit;
        loop {
            if self.connections.get() != connection {
                sleep_until(given_up).await;
                return Err(StoreError::Unknown);
            }
            let changed = self.log.changed.notified();
            // A read that was waiting when the fault came is not answered either.
            self.begin_again(&partition, limit).await?;
            let batch = self.log.core.borrow_mut().read(&partition, from)?;
            if !batch.records.is_empty() || timeout_at(until, changed).await.is_err() {
                return Ok(batch);
            }
        }
    }

    async fn newest_call(
        &self,
        partition: Partition,
        after: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<NewestPage, StoreError> {
        self.begin(&partition, limit).await?;
        Ok(self
            .log
            .core
            .borrow_mut()
            .newest(&partition, after.as_deref()))
    }

    async fn trim_call(&self, trim: Trim) -> Result<(), StoreError> {
        self.begin(&trim.partition, trim.timeout).await?;
        let mut core = self.log.core.borrow_mut();
        core.trim(&trim.partition, trim.before);
        Ok(())
    }
}

impl LogStore for MemoryLog {
    fn append(&self, append: Append) -> LocalBoxFuture<'_, Result<Appended, StoreError>> {
        Box::pin(self.append_call(append))
    }

    fn read(
        &self,
        partition: Partition,
        from: u64,
        wait: Duration,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<ReadBatch, StoreError>> {
        Box::pin(self.read_call(partition, from, wait, timeout))
    }

    fn newest(
        &self,
        partition: Partition,
        after: Option<Vec<u8>>,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<NewestPage, StoreError>> {
        Box::pin(self.newest_call(partition, after, timeout))
    }

    fn trim(&self, trim: Trim) -> LocalBoxFuture<'_, Result<(), StoreError>> {
        Box::pin(self.trim_call(trim))
    }
}
