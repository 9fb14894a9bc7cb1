//! Messages between daemons and the platform: the list of machines, engine load, the
//! log, generation on engines, and requests to servers.

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

/// An entry of the platform's list of machines. The list lags behind the machines'
/// actual state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name, unique on the platform.
    pub name: String,
    /// IP and port.
    pub address: String,
    /// What runs on the machine.
    pub kind: MachineKind,
    /// Zone of the machine.
    pub zone: String,
    /// Labels that the platform sets, such as `model` and `service`.
    #[serde(default)]
    pub labels: Labels,
    /// Whether the platform announced that the machine is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Load that an engine reports. Reports lag behind the actual load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Start of the engine process; a new value means an empty cache.
    pub incarnation: u64,
    /// Sequences in the running batch.
    pub running: u32,
    /// Sequences that wait for a slot in the batch.
    pub waiting: u32,
    /// Maximum number of sequences in a batch.
    pub max_running: u32,
    /// Mean step time in microseconds.
    pub step_us: u64,
    /// Prompt tokens that can be prefilled per step.
    pub prefill_tokens_per_step: u32,
    /// Tokens in the cache.
    pub cached_tokens: u64,
    /// Capacity of the cache in tokens.
    pub cache_capacity_tokens: u64,
    /// Whether the engine itself announces that it is leaving.
    pub leaving: bool,
}

/// A record of a log stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position in the stream, from 0.
    pub offset: u64,
    /// Payload.
    pub data: String,
}

/// Response to a read of a log stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// Records from the requested offset on.
    pub records: Vec<LogRecord>,
    /// Offset after the stream's last record.
    pub end: u64,
}

/// Response to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the appended record.
    pub offset: u64,
}

/// Body of a request to generate text on an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Name of the stream of generated text, by which it is resumed and cancelled.
    /// A second request with the same name joins the first.
    pub stream: String,
    /// Program to which the cached prompt belongs.
    pub program: String,
    /// Name of the model.
    pub model: String,
    /// The whole prompt.
    pub messages: Vec<Message>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Priority from 0 to 100; higher is served first.
    pub priority: u8,
    /// Whether the last message is the beginning of the answer, to be continued.
    #[serde(default)]
    pub continues: bool,
}

/// Data of an event of a stream of generated text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GenerateEvent {
    /// New text.
    Text(String),
    /// The stream is complete.
    Done(Usage),
}

/// Executions of a request key on a server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Number of executions.
    pub count: u32,
    /// Answer to the request.
    pub answer: String,
}

/// Name of the header that carries the request key to servers.
pub const REQUEST_KEY_HEADER: &str = "x-request-key";
