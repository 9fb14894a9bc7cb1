//! What operators see: answers of the daemon's operator routes.

use crate::labels::Labels;
use serde::{Deserialize, Serialize};

/// One daemon, as another sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// IP and port.
    pub address: String,
    /// Zone.
    pub zone: String,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
}

/// One shard, as a daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// The shard.
    pub shard: u16,
    /// Epoch of its ownership.
    pub epoch: u64,
    /// IP and port of its owner; none while it is released.
    pub owner: Option<String>,
}

/// One engine, as a daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// IP and port.
    pub address: String,
    /// Its labels.
    pub labels: Labels,
    /// Sequences in its batch.
    pub running: u32,
    /// Sequences in its queue.
    pub waiting: u32,
    /// Cached tokens.
    pub cached_tokens: u64,
    /// Whether it answered lately.
    pub reachable: bool,
    /// Whether it gets no new work.
    pub leaving: bool,
}

/// Answer to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The daemon that answers.
    pub address: String,
    /// Its process: address and incarnation.
    pub process: String,
    /// Version of the configuration in force there.
    pub config_version: u64,
    /// Commands of shards owned there that the platform's log does not have yet.
    pub commands_waiting: i64,
    /// All daemons.
    pub daemons: Vec<DaemonStatus>,
    /// All shards.
    pub shards: Vec<ShardStatus>,
    /// All engines.
    pub engines: Vec<EngineStatus>,
}

/// Answer to `GET /v1/config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Version in force.
    pub version: u64,
    /// Key of the change that made it.
    pub change_key: String,
    /// Offset after the last folded record of the log.
    pub next_offset: u64,
    /// The document.
    pub document: String,
}

/// One program in the list of a daemon that owns its shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramSummary {
    /// Identifier.
    pub program: String,
    /// Owner.
    pub tenant: String,
    /// `open` or `ended`.
    pub phase: String,
    /// Calls issued.
    pub calls: u64,
    /// Number of the call that runs, if one does.
    pub running_call: Option<u64>,
}

/// Why a machine may or may not serve a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementExplanation {
    /// IP and port of the machine.
    pub machine: String,
    /// Its labels.
    pub labels: Labels,
    /// Whether the rules allow it.
    pub allowed: bool,
    /// Rules that matched.
    pub rules: Vec<String>,
    /// Priority that the work would have.
    pub priority: u8,
    /// Whether it answered lately and is not leaving.
    pub available: bool,
    /// Expected time until a typical answer is there, in milliseconds.
    pub expected_ms: u64,
    /// Tokens of the program that it is thought to hold.
    pub held_tokens: u64,
}

/// One shard owned by the daemon that answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedShardStatus {
    /// The shard.
    pub shard: u16,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Index of the newest durable and applied command.
    pub applied: u64,
    /// Commands that the log does not have yet.
    pub waiting: u64,
}
