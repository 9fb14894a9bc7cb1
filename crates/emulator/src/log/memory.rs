//! In-process log for tests: any number of clients share one log, and faults are injected per
//! client.

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

/// Fault injected into the calls of a client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFault {
    /// Calls succeed.
    #[default]
    None,
    /// Calls fail immediately and have no effect; reads that are already waiting fail when the log
    /// next changes.
    Down,
    /// Calls are rejected immediately and have no effect, as by an overloaded service;
    /// reads that are already waiting continue.
    Busy,
    /// The connection is reset and the call has no effect, but the caller cannot know that.
    Reset,
    /// Calls get no response and have no effect.
    Silent,
    /// Appends take effect, but get no response.
    ResponseLost,
    /// Appends get no response and take effect after this time.
    AppliedLate(Duration),
    /// Every call takes this long.
    Slow(Duration),
}

/// A log that is shared by several clients.
#[derive(Default)]
pub struct SharedLog {
    /// State of the log.
    pub core: RefCell<LogCore>,
    /// Wakes waiting reads after an append.
    changed: Notify,
}

/// A client of a shared log.
pub struct MemoryLog {
    log: Rc<SharedLog>,
    fault: Cell<LogFault>,
    /// Partition that the fault is limited to; `None` for all partitions.
    faulty_partition: RefCell<Option<Partition>>,
    /// Increases when connections are stalled. Reads that began with a lower value get no
    /// response.
    stall_count: Cell<u64>,
    /// Number of calls made so far.
    pub calls: Cell<u64>,
}

impl MemoryLog {
    /// Creates a client without faults.
    pub fn new(log: Rc<SharedLog>) -> Self {
        Self {
            log,
            fault: Cell::default(),
            faulty_partition: RefCell::default(),
            stall_count: Cell::new(0),
            calls: Cell::new(0),
        }
    }

    /// Sets the fault for all partitions.
    pub fn set_fault(&self, fault: LogFault) {
        self.faulty_partition.take();
        self.fault.set(fault);
    }

    /// Sets the fault for one partition and removes it for all others.
    pub fn set_partition_fault(&self, partition: Partition, fault: LogFault) {
        self.faulty_partition.replace(Some(partition));
        self.fault.set(fault);
    }

    /// Stalls all open connections: waiting reads get no response, later calls are not
    /// affected.
    pub fn stall_connections(&self) {
        self.stall_count.set(self.stall_count.get() + 1);
        self.log.changed.notify_waiters();
    }

    fn fault_of(&self, partition: &Partition) -> LogFault {
        match &*self.faulty_partition.borrow() {
            Some(faulty_partition) if faulty_partition != partition => LogFault::None,
            _ => self.fault.get(),
        }
    }

    /// Counts a call and applies the fault before the call takes effect.
    async fn begin_call(&self, partition: &Partition, limit: Duration) -> Result<(), StoreError> {
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

    /// Applies a fault that was set while a read was waiting.
    async fn check_waiting_read(
        &self,
        partition: &Partition,
        limit: Duration,
    ) -> Result<(), StoreError> {
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
        self.begin_call(&append.partition, append.timeout).await?;
        let fault = self.fault_of(&append.partition);
        if let LogFault::AppliedLate(delay) = fault {
            let log = self.log.clone();
            let late_append = append.clone();
            ntex::rt::spawn(async move {
                sleep(delay).await;
                let _ = log.core.borrow_mut().append(&late_append);
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
        let stall_count = self.stall_count.get();
        self.begin_call(&partition, limit).await?;
        let wait_deadline = Instant::now() + wait;
        let call_deadline = Instant::now() + limit;
        loop {
            if self.stall_count.get() != stall_count {
                sleep_until(call_deadline).await;
                return Err(StoreError::Unknown);
            }
            let changed = self.log.changed.notified();
            // A fault also applies to reads that were already waiting when it was set.
            self.check_waiting_read(&partition, limit).await?;
            let batch = self.log.core.borrow_mut().read(&partition, from)?;
            if !batch.records.is_empty() || timeout_at(wait_deadline, changed).await.is_err() {
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
        self.begin_call(&partition, limit).await?;
        Ok(self
            .log
            .core
            .borrow_mut()
            .newest(&partition, after.as_deref()))
    }

    async fn trim_call(&self, trim: Trim) -> Result<(), StoreError> {
        self.begin_call(&trim.partition, trim.timeout).await?;
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
