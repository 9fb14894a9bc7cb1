//! Limits the memory for data buffered for peers that read slowly.
//! [`fieldhook_traffic::buffer_memory`] decides which buffers are evicted when the limit is reached.

use crate::metrics::Metrics;
use crate::settings::SlowPeers;
use fieldhook_traffic::buffer_memory::{BufferId, BufferMemory, GrowResult, Purpose};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The memory for buffered data is exhausted. The request may be retried once slow peers have read
/// theirs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryExhausted;

/// The memory for data buffered for all peers.
pub struct Memory {
    /// Size and time limits.
    pub limits: SlowPeers,
    buffers: RefCell<BufferMemory>,
    /// Notified when the buffer of an account is evicted.
    evicted: RefCell<HashMap<BufferId, Rc<Notify>>>,
    metrics: Rc<Metrics>,
    started: Instant,
}

/// The account of the memory that the buffer of one peer uses. Dropping it releases the memory.
pub struct MemoryAccount {
    memory: Rc<Memory>,
    id: BufferId,
    evicted: Rc<Notify>,
}

impl Memory {
    /// Creates the memory with nothing buffered.
    pub fn new(limits: SlowPeers, metrics: Rc<Metrics>) -> Self {
        Self {
            limits,
            buffers: RefCell::new(BufferMemory::new(limits.held_bytes)),
            evicted: RefCell::default(),
            metrics,
            started: Instant::now(),
        }
    }

    /// Returns the number of buffered bytes.
    pub fn used_bytes(&self) -> u64 {
        self.buffers.borrow().used()
    }

    /// Opens an empty account.
    pub fn open(self: &Rc<Self>, purpose: Purpose) -> MemoryAccount {
        let id = self.buffers.borrow_mut().open(purpose, self.now_ms());
        let evicted = Rc::new(Notify::new());
        self.evicted.borrow_mut().insert(id, evicted.clone());
        MemoryAccount {
            memory: self.clone(),
            id,
            evicted,
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn update_gauge(&self) {
        self.metrics.held_bytes.set(self.used_bytes() as i64);
    }

    fn count_outcome(&self, outcome: &str) {
        let counter = &self.metrics.held_outcomes;
        counter.with_label_values(&[outcome]).inc();
    }

    fn evict(&self, ids: &[BufferId]) {
        for id in ids {
            self.count_outcome("given_up");
            if let Some(evicted) = self.evicted.borrow().get(id) {
                evicted.notify_one();
            }
        }
    }
}

impl MemoryAccount {
    /// Adds bytes to the account. Other accounts may be evicted for them.
    ///
    /// # Errors
    /// The memory is exhausted.
    pub fn grow(&self, bytes: usize) -> Result<(), MemoryExhausted> {
        let now_ms = self.memory.now_ms();
        let result = self
            .memory
            .buffers
            .borrow_mut()
            .grow(self.id, bytes as u64, now_ms);
        match result {
            GrowResult::Granted => {}
            GrowResult::GrantedByEvicting(others) => self.memory.evict(&others),
            GrowResult::Refused => {
                self.memory.count_outcome("refused");
                return Err(MemoryExhausted);
            }
        }
        self.memory.update_gauge();
        Ok(())
    }

    /// Removes bytes that the peer has read.
    pub fn shrink(&self, bytes: usize) {
        let now_ms = self.memory.now_ms();
        let mut buffers = self.memory.buffers.borrow_mut();
        buffers.shrink(self.id, bytes as u64, now_ms);
        drop(buffers);
        self.memory.update_gauge();
    }

    /// Changes the number of bytes in the account from `before` to `now`.
    ///
    /// # Errors
    /// The memory is exhausted.
    pub fn resize(&self, before: usize, now: usize) -> Result<(), MemoryExhausted> {
        match now.checked_sub(before) {
            Some(0) => Ok(()),
            Some(more) => self.grow(more),
            None => {
                self.shrink(before - now);
                Ok(())
            }
        }
    }

    /// Marks the start of the delivery of the buffered data to the client.
    pub fn start_delivery(&self) {
        let now_ms = self.memory.now_ms();
        self.memory
            .buffers
            .borrow_mut()
            .start_delivery(self.id, now_ms);
    }

    /// Waits until this account is evicted in favor of others.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Counts a peer that was disconnected because it read nothing for too long.
    pub fn record_stall(&self) {
        self.memory.count_outcome("stalled");
    }

    /// Size and time limits.
    pub fn limits(&self) -> SlowPeers {
        self.memory.limits
    }
}

impl Drop for MemoryAccount {
    fn drop(&mut self) {
        self.memory.buffers.borrow_mut().close(self.id);
        self.memory.evicted.borrow_mut().remove(&self.id);
        self.memory.update_gauge();
    }
}
