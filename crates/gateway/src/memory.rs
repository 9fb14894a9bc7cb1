//! The memory that this daemon spends on peers that are slow to read: see
//! [`fieldhook_traffic::buffer_memory`] for what gives way where it is used up.

use crate::metrics::Metrics;
use crate::settings::SlowPeers;
use fieldhook_traffic::buffer_memory::{BufferId, BufferMemory, GrowResult, Purpose};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// More would be held than may be; come back once slow peers have taken theirs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryExhausted;

/// What is held for all peers.
pub struct Memory {
    /// How much may be held, and for how long.
    pub bounds: SlowPeers,
    room: RefCell<BufferMemory>,
    /// Told to those who have to give up what they hold.
    evicted: RefCell<HashMap<BufferId, Rc<Notify>>>,
    metrics: Rc<Metrics>,
    started: Instant,
}

/// What is held for one peer, until it is dropped.
pub struct MemoryAccount {
    memory: Rc<Memory>,
    id: BufferId,
    evicted: Rc<Notify>,
}

impl Memory {
    /// Nothing is held.
    pub fn new(bounds: SlowPeers, metrics: Rc<Metrics>) -> Self {
        Self {
            bounds,
            room: RefCell::new(BufferMemory::new(bounds.held_bytes)),
            evicted: RefCell::default(),
            metrics,
            started: Instant::now(),
        }
    }

    /// Bytes held.
    pub fn held(&self) -> u64 {
        self.room.borrow().held()
    }

    /// An account that holds nothing yet.
    pub fn open(self: &Rc<Self>, purpose: Purpose) -> MemoryAccount {
        let id = self.room.borrow_mut().open(purpose, self.now_ms());
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
        self.metrics.held_bytes.set(self.held() as i64);
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
    /// So many bytes more are held.
    ///
    /// # Errors
    /// There is no room for them.
    pub fn grow(&self, bytes: usize) -> Result<(), MemoryExhausted> {
        let now_ms = self.memory.now_ms();
        let verdict = self
            .memory
            .room
            .borrow_mut()
            .grow(self.id, bytes as u64, now_ms);
        match verdict {
            GrowResult::Granted => {}
            GrowResult::GrantedByDropping(others) => self.memory.evict(&others),
            GrowResult::Refused => {
                self.memory.count_outcome("refused");
                return Err(MemoryExhausted);
            }
        }
        self.memory.update_gauge();
        Ok(())
    }

    /// The peer took so many of them.
    pub fn shrink(&self, bytes: usize) {
        let now_ms = self.memory.now_ms();
        let mut room = self.memory.room.borrow_mut();
        room.shrink(self.id, bytes as u64, now_ms);
        drop(room);
        self.memory.update_gauge();
    }

    /// From now on the client takes what is held.
    pub fn start_delivery(&self) {
        let now_ms = self.memory.now_ms();
        self.memory
            .room
            .borrow_mut()
            .start_delivery(self.id, now_ms);
    }

    /// Ends once this has to be given up for others.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// The peer has taken nothing for so long that nobody waits for it any more.
    pub fn record_stall(&self) {
        self.memory.count_outcome("stalled");
    }

    /// How much may be held, and for how long.
    pub fn bounds(&self) -> SlowPeers {
        self.memory.bounds
    }
}

impl Drop for MemoryAccount {
    fn drop(&mut self) {
        self.memory.room.borrow_mut().close(self.id);
        self.memory.evicted.borrow_mut().remove(&self.id);
        self.memory.update_gauge();
    }
}
