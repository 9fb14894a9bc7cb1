//! The archive: committed commands in the platform's log, from which a shard is
//! recovered when all its replicas are lost.
//!
//! A leadership begins with a snapshot and goes on with the commands after it.
//! Records carry epoch and index, so a repeated append is harmless. While the
//! log is down commands wait here; past a limit they are dropped in favour of a
//! new snapshot.

use crate::node::Node;
use crate::platform::log_client;
use crate::shard::ShardHost;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use fieldhook_model::ids::ShardId;
use nanoserde::SerBin;
use ntex::time::{Millis, sleep};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::rc::Rc;

const PAUSE: Millis = Millis(50);
const RETRY: Millis = Millis(500);
/// Bytes of waiting commands after which a snapshot is the shorter way.
const WAITING_LIMIT: usize = 32 << 20;
/// Commands between two snapshots, which bounds what a recovery reads.
const SNAPSHOT_COMMANDS: usize = 2_000;
const BATCH_COMMANDS: usize = 256;

/// One record of a shard's archive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArchiveRecord {
    /// Epoch of the group.
    pub epoch: u64,
    /// First index covered; for a snapshot 1.
    pub from: u64,
    /// Last index covered.
    pub to: u64,
    /// What is covered.
    pub content: ArchiveContent,
}

/// What a record covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ArchiveContent {
    /// The whole state, base64.
    Snapshot(String),
    /// Commands, base64.
    Commands(Vec<String>),
}

/// Where the newest snapshot of a shard stands; a stream of its own, so that a
/// recovery need not read the archive from its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPointer {
    /// Epoch of the snapshot.
    pub epoch: u64,
    /// Index of the snapshot.
    pub index: u64,
    /// Offset of its record.
    pub offset: u64,
}

/// Name of a shard's archive stream.
pub fn archive_stream(shard: ShardId) -> String {
    format!("archive-{shard}")
}

/// Name of the stream of pointers to a shard's snapshots.
pub fn pointer_stream(shard: ShardId) -> String {
    format!("archive-{shard}-snapshots")
}

/// Committed commands on their way to the log.
#[derive(Debug, Default)]
pub struct ArchiveQueue {
    active: bool,
    snapshot_due: bool,
    covered: u64,
    since_snapshot: usize,
    waiting: VecDeque<(u64, Vec<u8>)>,
    waiting_bytes: usize,
}

impl ArchiveQueue {
    /// Begins with a new leadership.
    pub fn begin(&mut self) {
        *self = Self {
            active: true,
            snapshot_due: true,
            ..Self::default()
        };
    }

    /// Ends with the leadership.
    pub fn stop(&mut self) {
        *self = Self::default();
    }

    /// Adds a committed command.
    pub fn push(&mut self, index: u64, command: Vec<u8>) {
        if !self.active {
            return;
        }
        self.waiting_bytes += command.len();
        self.waiting.push_back((index, command));
        self.since_snapshot += 1;
        if self.waiting_bytes > WAITING_LIMIT || self.since_snapshot > SNAPSHOT_COMMANDS {
            self.snapshot_due = true;
        }
        if self.waiting_bytes > WAITING_LIMIT {
            self.waiting.clear();
            self.waiting_bytes = 0;
        }
    }

    /// Committed commands that the log does not have.
    pub fn lag(&self) -> usize {
        self.waiting.len() + usize::from(self.snapshot_due && self.active)
    }

    fn snapshot_taken(&mut self, index: u64) {
        self.snapshot_due = false;
        self.since_snapshot = 0;
        self.covered = index;
        self.drop_until(index);
    }

    fn drop_until(&mut self, index: u64) {
        while self
            .waiting
            .front()
            .is_some_and(|(first, _)| *first <= index)
        {
            if let Some((_, command)) = self.waiting.pop_front() {
                self.waiting_bytes -= command.len();
            }
        }
        self.covered = self.covered.max(index);
    }
}

/// Archives all shards led here, for as long as the process lives.
pub async fn run_archive(node: Rc<Node>) {
    loop {
        for host in node.hosts() {
            if host.leads() && host.archive.borrow().lag() > 0 && !archive_some(&node, &host).await
            {
                sleep(RETRY).await;
                break;
            }
        }
        sleep(PAUSE).await;
    }
}

/// Writes the next record; false if the log did not take it.
async fn archive_some(node: &Rc<Node>, host: &Rc<ShardHost>) -> bool {
    if host.archive.borrow().snapshot_due {
        return archive_snapshot(node, host).await;
    }
    archive_commands(node, host).await
}

async fn archive_snapshot(node: &Rc<Node>, host: &Rc<ShardHost>) -> bool {
    let index = host.applied();
    let state = STANDARD.encode(host.state.borrow().serialize_bin());
    let content = ArchiveContent::Snapshot(state);
    let record = ArchiveRecord {
        epoch: host.epoch,
        from: 1,
        to: index,
        content,
    };
    let Some(offset) = write(node, &archive_stream(host.shard), &record).await else {
        return false;
    };
    let pointer = SnapshotPointer {
        epoch: host.epoch,
        index,
        offset,
    };
    if write(node, &pointer_stream(host.shard), &pointer)
        .await
        .is_none()
    {
        return false;
    }
    host.archive.borrow_mut().snapshot_taken(index);
    true
}

async fn archive_commands(node: &Rc<Node>, host: &Rc<ShardHost>) -> bool {
    let record = {
        let queue = host.archive.borrow();
        let batch: Vec<&(u64, Vec<u8>)> = queue.waiting.iter().take(BATCH_COMMANDS).collect();
        let Some((to, _)) = batch.last() else {
            return true;
        };
        let commands = batch
            .iter()
            .map(|(_, command)| STANDARD.encode(command))
            .collect();
        ArchiveRecord {
            epoch: host.epoch,
            from: queue.covered + 1,
            to: *to,
            content: ArchiveContent::Commands(commands),
        }
    };
    if write(node, &archive_stream(host.shard), &record)
        .await
        .is_none()
    {
        return false;
    }
    host.archive.borrow_mut().drop_until(record.to);
    true
}

async fn write<T: Serialize>(node: &Node, stream: &str, record: &T) -> Option<u64> {
    let text = serde_json::to_string(record).ok()?;
    match log_client::append(node, stream, text).await {
        Ok(offset) => Some(offset),
        Err(error) => {
            tracing::warn!(stream, %error, "archive waits for the platform's log");
            None
        }
    }
}
