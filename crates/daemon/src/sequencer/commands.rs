//! Opening, ending and showing programs.

use crate::node::Node;
use crate::sequencer::message::{CommandMessage, CommandReply};
use crate::shard::{ShardHost, Unsettled, propose};
use fieldhook_program::{Command, Reply};
use std::rc::Rc;

/// Carries out a message at the leader.
pub async fn serve_command(node: &Rc<Node>, message: CommandMessage) -> CommandReply {
    let Some(host) = node.shard(message.program().shard) else {
        return CommandReply::NotLeader(None);
    };
    if !host.leads() {
        return CommandReply::NotLeader(host.leader());
    }
    match message {
        CommandMessage::Open(open) => commit(node, &host, Command::Open(open)).await,
        CommandMessage::End { program, reason } => {
            commit(node, &host, Command::End { program, reason }).await
        }
        CommandMessage::View(program) => match host.state.borrow().view(program) {
            Ok(view) => CommandReply::View(view),
            Err(error) => CommandReply::Failed(error),
        },
    }
}

async fn commit(node: &Rc<Node>, host: &Rc<ShardHost>, command: Command) -> CommandReply {
    match propose(node, host, command).await {
        Ok(Reply::Refused(error)) => CommandReply::Failed(error),
        // Ending a program that is not recorded leaves nothing to end.
        Ok(_) => CommandReply::Done,
        // Opening and ending are repeatable: the gateway asks the next leader.
        Err(Unsettled::NotLeader(leader)) => CommandReply::NotLeader(leader),
        Err(Unsettled::Lost) => CommandReply::NotLeader(None),
    }
}
