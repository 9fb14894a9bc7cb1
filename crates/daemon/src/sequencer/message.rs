//! What gateways ask of owners.

use fieldhook_model::api::{CallSpec, ProgramView};
use fieldhook_model::error::CallError;
use fieldhook_model::ids::ProgramId;
use fieldhook_program::{EndReason, Open};
use nanoserde::{DeBin, SerBin};

/// How much of an answer a reader has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Position {
    /// Lineage of the text it has.
    pub lineage: u32,
    /// Bytes it has.
    pub offset: u64,
}

/// A call, on behalf of a caller.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct CallMessage {
    /// The program.
    pub program: ProgramId,
    /// Place in its order.
    pub call_number: u64,
    /// The caller's key.
    pub request_key: String,
    /// What is asked.
    pub spec: CallSpec,
    /// Whether it may run again.
    pub repeatable: bool,
    /// What the reader has of the answer.
    pub position: Position,
    /// The text that the reader has, where the gateway holds it whole.
    pub delivered: Option<String>,
    /// Whether an earlier copy of this message may still arrive somewhere.
    pub has_earlier_copy: bool,
}

/// Anything else a gateway asks.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum CommandMessage {
    /// Open a program.
    Open(Open),
    /// End a program.
    End {
        /// The program.
        program: ProgramId,
        /// Why.
        reason: EndReason,
    },
    /// Show a program.
    View(ProgramId),
}

impl CommandMessage {
    /// The program that the message is about.
    pub fn program(&self) -> ProgramId {
        match self {
            Self::Open(open) => open.program,
            Self::End { program, .. } | Self::View(program) => *program,
        }
    }
}

/// Answer to a `CommandMessage`.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum CommandReply {
    /// Done, or it was done before.
    Done,
    /// The program.
    View(ProgramView),
    /// Refused or failed.
    Failed(CallError),
    /// This daemon does not own the shard.
    NotOwner,
}
