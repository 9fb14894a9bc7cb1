//! One shard owned here: its state, its commands on their way to the log, and the
//! calls that run under this owner.

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

/// Time since the log last took an append or a check under this epoch, up to which
/// an owner acts without asking again. A process that was frozen is past it.
const CONFIRMATION_VALID_FOR: Duration = Duration::from_millis(400);

/// A command whose fate this daemon cannot tell, or that was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// Not taken: this daemon does not own the shard. It never happened.
    NotOwner,
    /// Taken, but the shard was lost before the log had it: it may yet stand there.
    OwnershipLost,
}

/// One shard owned here.
pub struct ShardHost {
    /// The shard.
    pub shard: ShardId,
    /// Epoch of this ownership.
    pub epoch: u64,
    /// The state after the last durable command.
    pub state: RefCell<ShardState>,
    /// Calls that run under this owner.
    pub live: RefCell<BTreeMap<(ProgramId, u64), Rc<LiveCall>>>,
    /// Resolves waits for the end of any call.
    pub call_ended: Notify,
    /// Whether new calls are held back for a hand-over.
    pub handing_over: Cell<bool>,
    /// Releases of engine memory under way.
    pub releasing: RefCell<BTreeSet<(ProgramId, String)>>,
    /// Records on their way to the log.
    pub appender: Rc<Appender>,
    next_index: Cell<u64>,
    applied: Cell<u64>,
    snapshot: RefCell<Snapshot>,
    lost: Cell<bool>,
    confirmed_at: Cell<Instant>,
    clock_updated_at: Cell<Instant>,
}

impl ShardHost {
    /// A shard that was just read from the log, after its fence was set.
    pub fn new(shard: ShardId, epoch: u64, recovered: Recovered, appender: Rc<Appender>) -> Self {
        Self {
            shard,
            epoch,
            state: RefCell::new(recovered.state),
            live: RefCell::default(),
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

    /// Whether this daemon still owns the shard, as far as it knows.
    pub fn is_owned(&self) -> bool {
        !self.lost.get()
    }

    /// Whether this daemon still owns the shard, asked of the log if the last answer
    /// is not recent. In an outage of the log nobody else can have taken it, but that
    /// cannot be seen from here: the question waits.
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

    /// Index of the last applied command.
    pub fn applied(&self) -> u64 {
        self.applied.get()
    }

    /// Commands that the log does not have yet.
    pub fn pending_commands(&self) -> u64 {
        self.next_index.get() - 1 - self.applied.get()
    }

    /// The shard's clock: that of the last command, carried on by this machine.
    pub fn shard_now_ms(&self) -> u64 {
        let elapsed = self.clock_updated_at.get().elapsed().as_millis() as u64;
        self.state.borrow().clock_ms + elapsed
    }

    /// Sends a command to the log and applies it once it is durable, in order.
    ///
    /// # Errors
    /// Not taken here, or the shard was lost before it was durable.
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

    /// Appends a snapshot of what changed, now and then. Commands that are already
    /// queued stand behind it and have greater indexes.
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

    /// Gives up everything that only an owner may do.
    pub fn mark_lost(&self) {
        self.lost.set(true);
        for live in std::mem::take(&mut *self.live.borrow_mut()).values() {
            live.wake();
        }
        self.appender.stop();
        self.handing_over.set(false);
        self.call_ended.notify_waiters();
    }

    /// The running call, if it runs under this owner.
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
