//! The caller interface: JSON bodies of `/v1/programs` and its calls.

use crate::error::CallError;
use crate::labels::Labels;
use nanoserde::{DeBin, SerBin};
use serde::{Deserialize, Serialize};

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(deny_unknown_fields)]
pub struct Message {
    /// `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// The text.
    pub content: String,
}

/// Body of `POST /v1/programs`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OpenProgramRequest {
    /// Who pays and shares fairly with others.
    pub tenant: String,
    /// Labels that selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Cost units the program may spend: one per prompt token, one per
    /// generated token and one per server request.
    pub budget: i64,
    /// Time until the program must be over, in milliseconds from now.
    pub deadline_ms: u64,
    /// Makes opening repeatable: the same tenant and key give the same program.
    pub request_key: String,
    /// Highest number of calls; absent for the default.
    #[serde(default)]
    pub max_turns: Option<u32>,
    /// The program that spawns this one as a sub-agent.
    #[serde(default)]
    pub parent: Option<String>,
}

/// Answer to `POST /v1/programs`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OpenProgramResponse {
    /// Identifier for all further requests.
    pub program: String,
}

/// A turn at a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(deny_unknown_fields)]
pub struct ModelCall {
    /// Name of the model.
    pub model: String,
    /// Only the new messages; fieldhook keeps the history.
    pub messages: Vec<Message>,
    /// Most tokens to generate.
    pub max_tokens: u32,
}

/// A request to a tool or application server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(deny_unknown_fields)]
pub struct ServerCall {
    /// Name of the server as labelled in the configuration (`service`).
    pub service: String,
    /// Path at the server.
    pub path: String,
    /// Body to send, as text.
    #[serde(default)]
    pub body: String,
}

/// What a call asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(rename_all = "snake_case")]
pub enum CallSpec {
    /// A turn at a model engine.
    Model(ModelCall),
    /// A request to a server.
    Server(ServerCall),
}

/// Body of `POST /v1/programs/{id}/calls`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRequest {
    /// Place of this call in the program's order, from 1.
    pub call_number: u64,
    /// Key under which this call may be asked again.
    pub request_key: String,
    /// What is asked for.
    pub call: CallSpec,
    /// Whether running it twice does no harm. Model calls default to true,
    /// server calls to false.
    #[serde(default)]
    pub repeatable: Option<bool>,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl CallRequest {
    /// The stated or default repeatability.
    pub fn is_repeatable(&self) -> bool {
        self.repeatable
            .unwrap_or(matches!(self.call, CallSpec::Model(_)))
    }
}

/// Cost and cache use of one answer, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
pub struct Usage {
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens that the engine found in its cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
}

/// A whole answer; also the data of the closing `done` event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
pub struct Answer {
    /// Place of the call in the program's order.
    pub call_number: u64,
    /// The whole text.
    pub content: String,
    /// HTTP status of the server; 200 for model calls.
    pub status: u16,
    /// Engine or server that served the last attempt.
    pub served_by: String,
    /// Attempts that were dispatched.
    pub attempts: u32,
    /// Cost of the last attempt.
    pub usage: Usage,
}

/// One event between the deciding owner, the gateway and the caller.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum StreamEvent {
    /// More text, beginning at a byte offset of the whole answer.
    Delta {
        /// Lineage of the text; see `Attempt::lineage`.
        lineage: u32,
        /// Byte offset of `text` in the answer.
        offset: u64,
        /// The text.
        text: String,
    },
    /// Text sent so far does not belong to the answer: discard it.
    Reset,
    /// Nothing new; the sender is alive.
    KeepAlive,
    /// The whole answer. Nothing follows.
    Done(Answer),
    /// The sender does not own the shard and dropped the call. Nothing follows.
    NotOwner,
    /// The owner was lost on the way: the call may be recorded. Nothing follows.
    OwnerLost,
    /// The call failed or was refused. Nothing follows.
    Failed(CallError),
}

/// Answer to `GET /v1/programs/{id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
pub struct ProgramView {
    /// Identifier.
    pub program: String,
    /// Owner.
    pub tenant: String,
    /// Labels.
    pub labels: Labels,
    /// `open` or `ended`.
    pub phase: String,
    /// Calls issued so far.
    pub calls: u64,
    /// Number of the call that is running, if one is.
    pub running_call: Option<u64>,
    /// Budget of the root program.
    pub budget: u64,
    /// Units spent by the root program and its sub-agents.
    pub spent: u64,
    /// Units reserved for calls under way.
    pub reserved: u64,
    /// Engines that may hold cache for the program.
    pub held_by: Vec<String>,
    /// The conversation.
    pub history: Vec<Message>,
}
