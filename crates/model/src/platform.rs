//! What the platform publishes: machines, engine load, and log records.

use crate::api::{Message, Usage};
use crate::labels::Labels;
use serde::{Deserialize, Serialize};

/// What runs on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineKind {
    /// A model engine.
    Engine,
    /// A tool or application server.
    Server,
    /// A fieldhook daemon.
    Daemon,
}

/// One line of the platform's lagging list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name, unique in the platform.
    pub name: String,
    /// IP and port.
    pub address: String,
    /// What runs there.
    pub kind: MachineKind,
    /// Zone of the machine.
    pub zone: String,
    /// Labels that the platform itself gives (model, service).
    #[serde(default)]
    pub labels: Labels,
    /// Whether the platform has announced that the machine goes away.
    #[serde(default)]
    pub leaving: bool,
}

/// Load that an engine reports, with a lag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Start of the engine process; a new value means an empty cache.
    pub incarnation: u64,
    /// Sequences in the running batch.
    pub running: u32,
    /// Sequences that wait for the batch.
    pub waiting: u32,
    /// Most sequences in a batch.
    pub max_running: u32,
    /// Mean step time in microseconds.
    pub step_us: u64,
    /// Prompt tokens that one step can prefill.
    pub prefill_tokens_per_step: u32,
    /// Cached tokens.
    pub cached_tokens: u64,
    /// Cache size in tokens.
    pub cache_capacity_tokens: u64,
    /// Whether the engine announces its own leave.
    pub leaving: bool,
}

/// One record of a log stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Place in the stream, from 0.
    pub offset: u64,
    /// Payload.
    pub data: String,
}

/// Answer to a read of a log stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// Records from the asked offset on.
    pub records: Vec<LogRecord>,
    /// Offset after the stream's last record.
    pub end: u64,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset that the record got.
    pub offset: u64,
}

/// Body of a request to generate.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Names the stream for resuming and cancelling; a second request with the
    /// same name joins the first.
    pub stream: String,
    /// The program whose cache this is.
    pub program: String,
    /// Name of the model.
    pub model: String,
    /// The whole prompt.
    pub messages: Vec<Message>,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// 0 to 100; higher goes first.
    pub priority: u8,
    /// Whether the last message is the beginning of the answer.
    #[serde(default)]
    pub continues: bool,
}

/// Data of one event of a generated stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GenerateEvent {
    /// New text.
    Text(String),
    /// The stream is complete.
    Done(Usage),
}

/// What a server knows of one request key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// How often it ran.
    pub count: u32,
    /// Its answer.
    pub answer: String,
}

/// Header that carries the request key to servers.
pub const REQUEST_KEY_HEADER: &str = "x-request-key";
