//! The callers' API: JSON bodies of `/v1/programs` and its calls.

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
    /// Text of the message.
    pub content: String,
}

/// Body of `POST /v1/programs`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OpenProgramRequest {
    /// Tenant to which the program's cost and share of capacity are attributed.
    pub tenant: String,
    /// Labels that selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Cost units that the program may spend: one per prompt token, one per
    /// generated token and one per server request.
    pub budget: i64,
    /// Deadline of the program, in milliseconds from now.
    pub deadline_ms: u64,
    /// Idempotency key: the same tenant and key give the same program.
    pub request_key: String,
    /// Maximum number of calls; the default applies if absent.
    #[serde(default)]
    pub max_turns: Option<u32>,
    /// Identifier of the program that spawns this one as a sub-agent.
    #[serde(default)]
    pub parent: Option<String>,
}

/// Response to `POST /v1/programs`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OpenProgramResponse {
    /// Identifier of the program, for all further requests.
    pub program: String,
}

/// A turn of a conversation, served by a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(deny_unknown_fields)]
pub struct ModelCall {
    /// Name of the model.
    pub model: String,
    /// New messages of this turn; fieldhook keeps the history.
    pub messages: Vec<Message>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// A request to a tool or application server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(deny_unknown_fields)]
pub struct ServerCall {
    /// Name of the service; servers that offer it have it as label `service`.
    pub service: String,
    /// Path of the request to the server.
    pub path: String,
    /// Body of the request to the server, as text.
    #[serde(default)]
    pub body: String,
}

/// Content of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
#[serde(rename_all = "snake_case")]
pub enum CallSpec {
    /// A turn served by a model engine.
    Model(ModelCall),
    /// A request to a tool or application server.
    Server(ServerCall),
}

/// Body of `POST /v1/programs/{id}/calls`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRequest {
    /// Position in the program's sequence of calls, from 1.
    pub call_number: u64,
    /// Idempotency key: repeating the request under it doesn't make a new call.
    pub request_key: String,
    /// What the caller asks for.
    pub call: CallSpec,
    /// Whether the call may run more than once. The default is true for model
    /// calls and false for server calls.
    #[serde(default)]
    pub repeatable: Option<bool>,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl CallRequest {
    /// Returns whether the call may run more than once, by request or by default.
    pub fn is_repeatable(&self) -> bool {
        self.repeatable
            .unwrap_or(matches!(self.call, CallSpec::Model(_)))
    }
}

/// Token usage of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
pub struct Usage {
    /// Tokens in the whole prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens that the engine found in its cache.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
}

/// The complete answer to a call; also the data of a stream's final `done` event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
pub struct Answer {
    /// Position of the call in the program's sequence.
    pub call_number: u64,
    /// Complete text of the answer.
    pub content: String,
    /// HTTP status of the server; 200 for model calls.
    pub status: u16,
    /// Address of the engine or server that served the last attempt.
    pub served_by: String,
    /// Number of attempts dispatched.
    pub attempts: u32,
    /// Token usage of the last attempt.
    pub usage: Usage,
}

/// An event of a call's stream, from the shard's owner through the gateway to the
/// caller.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum StreamEvent {
    /// More text of the answer.
    Delta {
        /// Number of the attempt that began the text; see `Attempt::lineage` in the
        /// program crate.
        lineage: u32,
        /// Byte offset of `text` in the complete answer.
        offset: u64,
        /// The text.
        text: String,
    },
    /// The text sent so far is not part of the answer; the receiver discards it.
    Reset,
    /// The sender is alive but has no new text.
    KeepAlive,
    /// The complete answer. Ends the stream.
    Done(Answer),
    /// The sender does not own the shard and dropped the call. Ends the stream. Not
    /// passed on to the caller.
    NotOwner,
    /// The sender lost the shard; the call may have been recorded. Ends the stream.
    /// Not passed on to the caller.
    OwnerLost,
    /// The call failed or was refused. Ends the stream.
    Failed(CallError),
}

/// Response to `GET /v1/programs/{id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, SerBin, DeBin)]
pub struct ProgramView {
    /// Identifier.
    pub program: String,
    /// Tenant that the program belongs to.
    pub tenant: String,
    /// Labels that selectors match.
    pub labels: Labels,
    /// `open` or `ended`.
    pub phase: String,
    /// Calls issued so far.
    pub calls: u64,
    /// Number of the running call, if any.
    pub running_call: Option<u64>,
    /// Budget of the root program.
    pub budget: u64,
    /// Cost units spent by the root program and its sub-agents.
    pub spent: u64,
    /// Cost units reserved for running calls.
    pub reserved: u64,
    /// Addresses of engines that may hold cache for the program.
    pub held_by: Vec<String>,
    /// The conversation so far.
    pub history: Vec<Message>,
}
