//! One replica of a shard: the consensus core, the state machine, and those
//! who wait for a commit.

use crate::platform::archive::ArchiveQueue;
use crate::shard::live_call::LiveCall;
use fieldhook_consensus::{Members, Replica, Role, Settings};
use fieldhook_model::address::ReplicaId;
use fieldhook_model::ids::{ProgramId, ShardId};
use fieldhook_program::{Command, Reply, ShardState, TimedCommand};
use nanoserde::SerBin;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::{Notify, oneshot};

/// A proposal whose fate this daemon cannot tell, or that was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsettled {
    /// Not taken: this replica does not lead. It never happened.
    NotLeader(Option<ReplicaId>),
    /// Taken, but leadership was lost before it committed: it may yet happen.
    Lost,
}

struct Waiter {
    term: u64,
    done: oneshot::Sender<Reply>,
}

/// One replica of a shard.
pub struct ShardHost {
    /// The shard.
    pub shard: ShardId,
    /// Epoch of the group.
    pub epoch: u64,
    /// The consensus core.
    pub core: RefCell<Replica>,
    /// The state machine.
    pub state: RefCell<ShardState>,
    /// Committed commands that the platform's log does not have yet.
    pub archive: RefCell<ArchiveQueue>,
    /// Calls that run under this leader.
    pub live: RefCell<BTreeMap<(ProgramId, u64), Rc<LiveCall>>>,
    /// Resolves waits for the end of any call.
    pub call_ended: Notify,
    /// Whether new calls are held back for a hand-over.
    pub holding: Cell<bool>,
    /// Releases of engine memory under way.
    pub releasing: RefCell<BTreeSet<(ProgramId, String)>>,
    waiters: RefCell<BTreeMap<u64, Waiter>>,
    applied: Cell<u64>,
    needs_restore: Cell<bool>,
    clock_read: Cell<Instant>,
    created: Instant,
    created_ms: u64,
}

impl ShardHost {
    /// A replica of a newly formed or joined group. `needs_restore` says that
    /// the shard has a history from former epochs.
    pub fn new(
        shard: ShardId,
        epoch: u64,
        id: ReplicaId,
        members: Members,
        needs_restore: bool,
        settings: Settings,
        now_ms: u64,
    ) -> Self {
        let core = Replica::new(id, members, settings, now_ms, fastrand::u64(..));
        Self {
            shard,
            epoch,
            core: RefCell::new(core),
            state: RefCell::default(),
            archive: RefCell::default(),
            live: RefCell::default(),
            call_ended: Notify::new(),
            holding: Cell::new(false),
            releasing: RefCell::default(),
            waiters: RefCell::default(),
            applied: Cell::new(0),
            needs_restore: Cell::new(needs_restore),
            clock_read: Cell::new(Instant::now()),
            created: Instant::now(),
            created_ms: now_ms,
        }
    }

    /// Whether this replica leads and its reads are up to date.
    pub fn leads(&self) -> bool {
        !self.needs_restore.get() && self.core.borrow().holds_lease_at(self.now_ms())
    }

    /// Whether this replica leads but must first recover the former state.
    pub fn must_restore(&self) -> bool {
        self.needs_restore.get() && self.core.borrow().holds_lease_at(self.now_ms())
    }

    fn now_ms(&self) -> u64 {
        self.created_ms + self.age_ms()
    }

    /// Whether this replica leads at all.
    pub fn is_leader(&self) -> bool {
        self.core.borrow().role() == Role::Leader
    }

    /// The leader as far as known here.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.core.borrow().leader()
    }

    /// Index of the last applied entry.
    pub fn applied(&self) -> u64 {
        self.applied.get()
    }

    /// How long this replica has existed, in milliseconds.
    pub fn age_ms(&self) -> u64 {
        self.created.elapsed().as_millis() as u64
    }

    /// The shard's clock: that of the last command, carried on by this machine.
    pub fn shard_now_ms(&self) -> u64 {
        let elapsed = self.clock_read.get().elapsed().as_millis() as u64;
        self.state.borrow().clock_ms + elapsed
    }

    /// Encodes a command with the leader's time.
    pub fn timed(&self, command: Command) -> Vec<u8> {
        TimedCommand {
            at_ms: self.shard_now_ms(),
            command,
        }
        .serialize_bin()
    }

    /// Waits for an entry of this term at this index.
    pub fn wait_for(&self, index: u64, term: u64) -> oneshot::Receiver<Reply> {
        let (done, committed) = oneshot::channel();
        self.waiters
            .borrow_mut()
            .insert(index, Waiter { term, done });
        committed
    }

    /// Applies a command and tells who waits for it.
    pub fn apply(&self, index: u64, term: u64, command: Option<TimedCommand>) {
        self.applied.set(index);
        let Some(command) = command else { return };
        let before_ms = self.state.borrow().clock_ms;
        let reply = self.state.borrow_mut().apply(command);
        if self.state.borrow().clock_ms > before_ms {
            self.clock_read.set(Instant::now());
        }
        self.needs_restore.set(false);
        if let Some(waiter) = self.waiters.borrow_mut().remove(&index)
            && waiter.term == term
        {
            let _ = waiter.done.send(reply);
        }
    }

    /// Takes over a whole state.
    pub fn install(&self, index: u64, state: ShardState) {
        *self.state.borrow_mut() = state;
        self.applied.set(index);
        self.needs_restore.set(false);
        self.clock_read.set(Instant::now());
    }

    /// Gives up everything that only a leader may do.
    pub fn depose(&self) {
        self.waiters.borrow_mut().clear();
        for live in std::mem::take(&mut *self.live.borrow_mut()).values() {
            live.wake();
        }
        self.archive.borrow_mut().stop();
        self.holding.set(false);
        self.call_ended.notify_waiters();
    }

    /// The running call, if it runs under this leader.
    pub fn live_call(&self, program: ProgramId, number: u64) -> Option<Rc<LiveCall>> {
        self.live.borrow().get(&(program, number)).cloned()
    }

    /// Registers a call that starts to run here.
    pub fn start_live(&self, program: ProgramId, number: u64) -> Rc<LiveCall> {
        let live = Rc::new(LiveCall::default());
        self.live
            .borrow_mut()
            .insert((program, number), live.clone());
        live
    }

    /// Forgets a call that has ended; its record is in the state.
    pub fn end_live(&self, program: ProgramId, number: u64) {
        self.live.borrow_mut().remove(&(program, number));
        self.call_ended.notify_waiters();
    }
}
