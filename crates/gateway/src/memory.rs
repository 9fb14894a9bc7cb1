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
pub struct NoRoom;

/// What is held for all peers.
pub struct Memory {
    /// How much may be held, and for how long.
    pub bounds: SlowPeers,
    room: RefCell<BufferMemory>,
    /// Told to those who have to give up what they hold.
    giving_up: RefCell<HashMap<BufferId, Rc<Notify>>>,
    metrics: Rc<Metrics>,
    started: Instant,
}

/// What is held for one peer, until it is dropped.
pub struct Held {
    memory: Rc<Memory>,
    id: BufferId,
    giving_up: Rc<Notify>,
}

impl Memory {
    /// Nothing is held.
    pub fn new(bounds: SlowPeers, metrics: Rc<Metrics>) -> Self {
        Self {
            bounds,
            room: RefCell::new(BufferMemory::new(bounds.held_bytes)),
            giving_up: RefCell::default(),
            metrics,
            started: Instant::now(),
        }
    }

    /// Bytes held.
    pub fn held(&self) -> u64 {
        self.room.borrow().held()
    }

    /// An account that holds nothing yet.
    pub fn open(self: &Rc<Self>, purpose: Purpose) -> Held {
        let id = self.room.borrow_mut().open(purpose, self.now_ms());
        let giving_up = Rc::new(Notify::new());
        self.giving_up.borrow_mut().insert(id, giving_up.clone());
        Held {
            memory: self.clone(),
            id,
            giving_up,
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn tell(&self) {
        self.metrics.held_bytes.set(self.held() as i64);
    }

    fn note(&self, outcome: &str) {
        let counter = &self.metrics.held_outcomes;
        counter.with_label_values(&[outcome]).inc();
    }

    fn give_up(&self, ids: &[BufferId]) {
        for id in ids {
            self.note("given_up");
            if let Some(giving_up) = self.giving_up.borrow().get(id) {
                giving_up.notify_one();
            }
        }
    }
}

impl Held {
    /// So many bytes more are held.
    ///
    /// # Errors
    /// There is no room for them.
    pub fn grow(&self, bytes: usize) -> Result<(), NoRoom> {
        let now_ms = self.memory.now_ms();
        let verdict = self
            .memory
            .room
            .borrow_mut()
            .grow(self.id, bytes as u64, now_ms);
        match verdict {
            GrowResult::Granted => {}
            GrowResult::GrantedByDropping(others) => self.memory.give_up(&others),
            GrowResult::Refused => {
                self.memory.note("refused");
                return Err(NoRoom);
            }
        }
        self.memory.tell();
        Ok(())
    }

    /// The peer took so many of them.
    pub fn shrink(&self, bytes: usize) {
        let now_ms = self.memory.now_ms();
        let mut room = self.memory.room.borrow_mut();
        room.shrink(self.id, bytes as u64, now_ms);
        drop(room);
        self.memory.tell();
    }

    /// From now on the client takes what is held.
    pub fn hand_out(&self) {
        let now_ms = self.memory.now_ms();
        self.memory
            .room
            .borrow_mut()
            .start_delivery(self.id, now_ms);
    }

    /// Ends once this has to be given up for others.
    pub async fn given_up(&self) {
        self.giving_up.notified().await;
    }

    /// The peer has taken nothing for so long that nobody waits for it any more.
    pub fn note_stalled(&self) {
        self.memory.note("stalled");
    }

    /// How much may be held, and for how long.
    pub fn bounds(&self) -> SlowPeers {
        self.memory.bounds
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.memory.room.borrow_mut().close(self.id);
        self.memory.giving_up.borrow_mut().remove(&self.id);
        self.memory.tell();
    }
}
