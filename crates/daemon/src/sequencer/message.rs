//! Messages from gateways to owners of shards.

use fieldhook_model::api::{CallSpec, ProgramView};
use fieldhook_model::error::CallError;
use fieldhook_model::ids::ProgramId;
use fieldhook_program::{EndReason, OpenProgram};
use nanoserde::{DeBin, SerBin};

/// Position of a reader in the output of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Position {
    /// Lineage of the text that the reader has.
    pub lineage: u32,
    /// Length of that text in bytes.
    pub offset: u64,
}

/// Request to run a call, or to follow it if it is already recorded.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct CallMessage {
    /// The program.
    pub program: ProgramId,
    /// Number of the call in its program.
    pub call_number: u64,
    /// Request key of the caller.
    pub request_key: String,
    /// What to run.
    pub spec: CallSpec,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Position of the reader.
    pub position: Position,
    /// The text that the reader has, if the gateway relayed all of it.
    pub delivered: Option<String>,
    /// Whether an earlier copy of this message may still arrive at some daemon.
    pub has_earlier_copy: bool,
}

/// Any other request of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum CommandMessage {
    /// Open a program.
    Open(OpenProgram),
    /// End a program.
    End {
        /// The program.
        program: ProgramId,
        /// Reason that is recorded.
        reason: EndReason,
    },
    /// Show a program.
    View(ProgramId),
}

impl CommandMessage {
    /// Returns the program that the message concerns.
    pub fn program(&self) -> ProgramId {
        match self {
            Self::Open(open) => open.program,
            Self::End { program, .. } | Self::View(program) => *program,
        }
    }
}

/// Reply to a [`CommandMessage`].
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum CommandReply {
    /// The command was executed, now or earlier.
    Done,
    /// The requested program.
    View(ProgramView),
    /// The command was refused or failed.
    Failed(CallError),
    /// This daemon does not own the shard.
    NotOwner,
}
