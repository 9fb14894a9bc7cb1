//! A shard that this daemon owns: its state, its commands that are being appended to the log, and
//! its running calls.

use crate::shard::live_call::LiveCall;
use crate::shard::storage::{Recovered, SNAPSHOT_COMMANDS, Snapshot, command_record};
use fieldhook_log::appender::{Appender, Outcome, Urgency};
use fieldhook_model::ids::{ProgramId, ShardId};
use fieldhook_program::{Command, Reply, ShardState, TimedCommand};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, oneshot};

/// How long an owner relies on the last append or check that the log accepted under its epoch. A
/// process that was paused for longer than this asks the log again before it acts.
const CONFIRMATION_VALID_FOR: Duration = Duration::from_millis(400);

/// Why a command was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This daemon does not own the shard. The command was not sent to the log.
    NotOwner,
    /// The shard was lost before the append was acknowledged. The command may be on the log.
    OwnershipLost,
}

/// A shard that this daemon owns.
pub struct ShardHost {
    /// Number of the shard.
    pub shard: ShardId,
    /// Epoch of this ownership.
    pub epoch: u64,
    /// The state after the last durable command.
    pub state: RefCell<ShardState>,
    /// Running calls, by program and call number.
    pub live_calls: RefCell<BTreeMap<(ProgramId, u64), Rc<LiveCall>>>,
    /// Notified when a call ends, or when the shard is lost.
    pub call_ended: Notify,
    /// Whether the shard is being handed over. New calls are then answered with `NotOwner`.
    pub handing_over: Cell<bool>,
    /// Releases of engine cache in progress, by program and engine.
    pub releasing: RefCell<BTreeSet<(ProgramId, String)>>,
    /// Appends records to the log under this epoch.
    pub appender: Rc<Appender>,
    next_index: Cell<u64>,
    applied: Cell<u64>,
    snapshot: RefCell<Snapshot>,
    lost: Cell<bool>,
    confirmed_at: Cell<Instant>,
    clock_updated_at: Cell<Instant>,
}

impl ShardHost {
    /// Creates a shard from the state recovered from the log. Previous owners must have been fenced
    /// before the log was read.
    pub fn new(shard: ShardId, epoch: u64, recovered: Recovered, appender: Rc<Appender>) -> Self {
        Self {
            shard,
            epoch,
            state: RefCell::new(recovered.state),
            live_calls: RefCell::default(),
            call_ended: Notify::new(),
            handing_over: Cell::new(false),
            releasing: RefCell::default(),
            appender,
            next_index: Cell::new(recovered.index + 1),
            applied: Cell::new(recovered.index),
            snapshot: RefCell::new(recovered.snapshot),
            lost: Cell::new(false),
            confirmed_at: Cell::new(Instant::now()),
            clock_updated_at: Cell::new(Instant::now()),
        }
    }

    /// Whether this daemon still owns the shard as far as it knows. Does not ask the log.
    pub fn is_owned(&self) -> bool {
        !self.lost.get()
    }

    /// Confirms that this daemon still owns the shard. Asks the log unless the last confirmation is
    /// recent. During an outage of the log no other daemon can claim the shard, but an outage
    /// cannot be distinguished from being cut off, so this waits for the log.
    pub async fn confirm_ownership(&self) -> bool {
        if self.lost.get() {
            return false;
        }
        if self.confirmed_at.get().elapsed() < CONFIRMATION_VALID_FOR {
            return true;
        }
        let (sender, outcome) = oneshot::channel();
        let done = move |outcome| {
            let _ = sender.send(outcome);
        };
        self.appender.push(Vec::new(), Urgency::Now, Box::new(done));
        let confirmed = matches!(outcome.await, Ok(Outcome::Durable)) && !self.lost.get();
        if confirmed {
            self.confirmed_at.set(Instant::now());
        }
        confirmed
    }

    /// Returns the index of the last applied command.
    pub fn applied(&self) -> u64 {
        self.applied.get()
    }

    /// Returns the number of commands that are not durable on the log yet.
    pub fn pending_commands(&self) -> u64 {
        self.next_index.get() - 1 - self.applied.get()
    }

    /// Returns the time of the shard in milliseconds: the time of the last command plus the time
    /// elapsed since then on this machine.
    pub fn shard_now_ms(&self) -> u64 {
        let elapsed = self.clock_updated_at.get().elapsed().as_millis() as u64;
        self.state.borrow().clock_ms + elapsed
    }

    /// Appends a command to the log and applies it once it is durable. Commands are applied in
    /// order.
    ///
    /// # Errors
    /// This daemon does not own the shard, or lost it before the append was acknowledged.
    pub async fn propose(self: &Rc<Self>, command: Command) -> Result<Reply, ProposeError> {
        if self.lost.get() {
            return Err(ProposeError::NotOwner);
        }
        let command = TimedCommand {
            at_ms: self.shard_now_ms(),
            command,
        };
        let index = self.next_index.get();
        self.next_index.set(index + 1);
        let record = command_record(index, &command);
        let (sender, reply) = oneshot::channel();
        let host = self.clone();
        let done = move |outcome| {
            if outcome == Outcome::Durable {
                let _ = sender.send(host.apply(index, command));
            }
        };
        self.appender
            .push(vec![record], Urgency::Now, Box::new(done));
        let reply = reply.await.map_err(|_| ProposeError::OwnershipLost)?;
        self.snapshot_if_due();
        Ok(reply)
    }

    fn apply(&self, index: u64, command: TimedCommand) -> Reply {
        self.applied.set(index);
        self.confirmed_at.set(Instant::now());
        let before_ms = self.state.borrow().clock_ms;
        let reply = self.state.borrow_mut().apply(command);
        if self.state.borrow().clock_ms > before_ms {
            self.clock_updated_at.set(Instant::now());
        }
        reply
    }

    /// Appends a snapshot of the changes if enough commands were applied since the last one.
    /// Commands that are already queued were not applied yet and are not covered by it.
    fn snapshot_if_due(&self) {
        let index = self.applied.get();
        let covered = self.snapshot.borrow().index;
        if self.lost.get() || index < covered + SNAPSHOT_COMMANDS {
            return;
        }
        let (records, snapshot) = self.snapshot.borrow().advance(&self.state.borrow(), index);
        *self.snapshot.borrow_mut() = snapshot;
        self.appender
            .push(records, Urgency::Soon, Box::new(|_outcome| {}));
    }

    /// Marks the shard as lost: stops appending, and wakes all readers and waiting calls.
    pub fn mark_lost(&self) {
        self.lost.set(true);
        for live in std::mem::take(&mut *self.live_calls.borrow_mut()).values() {
            live.wake();
        }
        self.appender.stop();
        self.handing_over.set(false);
        self.call_ended.notify_waiters();
    }

    /// Returns a call if it is running here.
    pub fn live_call(&self, program: ProgramId, number: u64) -> Option<Rc<LiveCall>> {
        self.live_calls.borrow().get(&(program, number)).cloned()
    }

    /// Registers a call that starts running here.
    pub fn add_live_call(&self, program: ProgramId, number: u64) -> Rc<LiveCall> {
        let live = Rc::new(LiveCall::default());
        self.live_calls
            .borrow_mut()
            .insert((program, number), live.clone());
        live
    }

    /// Removes a call that has ended. Its outcome is part of the shard's state.
    pub fn remove_live_call(&self, program: ProgramId, number: u64) {
        self.live_calls.borrow_mut().remove(&(program, number));
        self.call_ended.notify_waiters();
    }
}
