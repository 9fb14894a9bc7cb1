//! Sends commands (open, end and show a program) to the owner of the program.

use crate::gateway::owner_lookup::OwnerLookup;
use crate::node::Node;
use crate::sequencer::{CommandMessage, CommandReply, serve_command};
use fieldhook_http::SendError;
use fieldhook_model::api::ProgramView;
use fieldhook_model::error::{CallError, ErrorKind, Executed};
use ntex::time::{Millis, sleep};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout of one request to the owner.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Pause between two attempts to reach the owner.
const RETRY_INTERVAL: Millis = Millis(25);
/// Retry delay suggested to the caller if no owner responded in time.
const RETRY_AFTER_MS: u64 = 1_000;

/// Sends a command to the owner of the program, and repeats it when the owner changes. All commands
/// are idempotent, so one without a response is repeated as well. Returns the program if it was
/// requested.
///
/// # Errors
/// The owner refused the command, or no owner responded in time.
pub async fn send_command(
    node: &Rc<Node>,
    message: CommandMessage,
) -> Result<Option<ProgramView>, CallError> {
    let lookup = OwnerLookup::new(node.clone(), message.program().shard);
    let started = Instant::now();
    let give_up = Duration::from_millis(node.settings.limits.give_up_ms);
    let mut may_have_arrived = false;
    while started.elapsed() < give_up {
        if let Some(owner) = lookup.current_owner() {
            let reply = if owner == node.id.address {
                Ok(serve_command(node, message.clone()).await)
            } else {
                let url = node.url(owner, "/internal/command");
                node.client
                    .post_binary(&url, &message, COMMAND_TIMEOUT)
                    .await
            };
            match reply {
                Ok(CommandReply::Done) => return Ok(None),
                Ok(CommandReply::View(view)) => return Ok(Some(view)),
                Ok(CommandReply::Failed(error)) => return Err(error),
                Ok(CommandReply::NotOwner) => {}
                Err(SendError::NotSent(_)) => {}
                Err(_) => may_have_arrived = true,
            }
        }
        node.metrics.owner_retries.inc();
        sleep(RETRY_INTERVAL).await;
    }
    let executed = if may_have_arrived {
        Executed::Unknown
    } else {
        Executed::No
    };
    Err(CallError::not_run(
        ErrorKind::Unavailable,
        "retry; no owner of the program's shard responded in time",
    )
    .executed(executed)
    .retry_after(RETRY_AFTER_MS))
}
