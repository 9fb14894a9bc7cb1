//! Opens, ends and shows programs on behalf of gateways.

use crate::node::Node;
use crate::sequencer::message::{CommandMessage, CommandReply};
use crate::shard::{ProposeError, ShardHost};
use fieldhook_program::{Command, Reply};
use std::rc::Rc;

/// Executes a command as owner of the program's shard.
pub async fn serve_command(node: &Rc<Node>, message: CommandMessage) -> CommandReply {
    let Some(host) = node.shard(message.program().shard) else {
        return CommandReply::NotOwner;
    };
    match message {
        CommandMessage::Open(open) => commit(&host, Command::OpenProgram(open)).await,
        CommandMessage::End { program, reason } => {
            commit(&host, Command::EndProgram { program, reason }).await
        }
        CommandMessage::View(_) if !host.confirm_ownership().await => CommandReply::NotOwner,
        CommandMessage::View(program) => match host.state.borrow().view(program) {
            Ok(view) => CommandReply::View(view),
            Err(error) => CommandReply::Failed(error),
        },
    }
}

async fn commit(host: &Rc<ShardHost>, command: Command) -> CommandReply {
    match host.propose(command).await {
        Ok(Reply::Refused(error)) => CommandReply::Failed(error),
        // Also covers ending a program that does not exist, which is not an error.
        Ok(_) => CommandReply::Done,
        // Opening and ending are idempotent, so the gateway repeats them with the next owner.
        Err(ProposeError::NotOwner | ProposeError::OwnershipLost) => CommandReply::NotOwner,
    }
}
