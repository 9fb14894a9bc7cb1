//! The operators' API: JSON bodies of the daemon's operator routes.

use crate::labels::Labels;
use serde::{Deserialize, Serialize};

/// Status of a daemon, as the answering daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// IP and port.
    pub address: String,
    /// Zone of the daemon.
    pub zone: String,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
}

/// Status of a shard, as the answering daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// The shard.
    pub shard: u16,
    /// Epoch of the current ownership.
    pub epoch: u64,
    /// IP and port of the owner; absent while the shard has none.
    pub owner: Option<String>,
}

/// Status of an engine, as the answering daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// IP and port.
    pub address: String,
    /// Labels of the platform and of the configuration.
    pub labels: Labels,
    /// Sequences in the running batch.
    pub running: u32,
    /// Sequences in the queue.
    pub waiting: u32,
    /// Tokens in the cache.
    pub cached_tokens: u64,
    /// Whether the engine answered recently.
    pub reachable: bool,
    /// Whether the engine is leaving and gets no new work.
    pub leaving: bool,
}

/// Response to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// IP and port of the answering daemon.
    pub address: String,
    /// Process of the answering daemon: address and incarnation.
    pub process: String,
    /// Version of the configuration in use on this daemon.
    pub config_version: u64,
    /// Commands of the daemon's own shards that are not in the platform's log yet.
    pub commands_waiting: i64,
    /// All known daemons.
    pub daemons: Vec<DaemonStatus>,
    /// All shards.
    pub shards: Vec<ShardStatus>,
    /// All known engines.
    pub engines: Vec<EngineStatus>,
}

/// Response to `GET /v1/config`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Version in use.
    pub version: u64,
    /// Key of the change that made this version.
    pub change_key: String,
    /// Offset after the last applied record of the configuration log.
    pub next_offset: u64,
    /// Text of the document.
    pub document: String,
}

/// Entry of a program in the list of the daemon that owns its shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramSummary {
    /// Identifier.
    pub program: String,
    /// Tenant that the program belongs to.
    pub tenant: String,
    /// `open` or `ended`.
    pub phase: String,
    /// Calls issued.
    pub calls: u64,
    /// Number of the running call, if any.
    pub running_call: Option<u64>,
}

/// Why a machine may or may not serve a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementExplanation {
    /// IP and port of the machine.
    pub machine: String,
    /// Labels of the platform and of the configuration.
    pub labels: Labels,
    /// Whether the rules allow the machine to serve the program.
    pub allowed: bool,
    /// Names of the rules that matched.
    pub rules: Vec<String>,
    /// Priority that the program's calls would have on the machine.
    pub priority: u8,
    /// Whether the machine answered recently and is not leaving.
    pub available: bool,
    /// Expected time to a typical answer, in milliseconds.
    pub expected_ms: u64,
    /// Estimated tokens of the program in the machine's cache.
    pub held_tokens: u64,
}

/// Status of a shard that the answering daemon owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedShardStatus {
    /// The shard.
    pub shard: u16,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Index of the newest command that is durable and applied.
    pub applied: u64,
    /// Commands that are not in the log yet.
    pub waiting: u64,
}
