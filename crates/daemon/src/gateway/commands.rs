//! Opening, ending and showing programs at their owner.

use crate::gateway::routing::OwnerSearch;
use crate::node::Node;
use crate::sequencer::{CommandMessage, CommandReply, serve_command};
use fieldhook_http::SendError;
use fieldhook_model::api::ProgramView;
use fieldhook_model::error::{CallError, ErrorKind, Executed};
use ntex::time::{Millis, sleep};
use std::rc::Rc;
use std::time::{Duration, Instant};

const ASK_TIMEOUT: Duration = Duration::from_millis(2_000);
const RETRY_PAUSE: Millis = Millis(25);
const GIVE_UP_RETRY_MS: u64 = 1_000;

/// Asks the owner, through changes of owner. All these messages are
/// repeatable, so an unanswered one is simply asked again.
///
/// # Errors
/// The owner's refusal, or that none answered in time.
pub async fn ask_owner(
    node: &Rc<Node>,
    message: CommandMessage,
) -> Result<Option<ProgramView>, CallError> {
    let search = OwnerSearch::new(node.clone(), message.program().shard);
    let begun = Instant::now();
    let give_up = Duration::from_millis(node.settings.limits.give_up_ms);
    let mut sent = false;
    while begun.elapsed() < give_up {
        if let Some(owner) = search.next() {
            let reply = if owner == node.id.address {
                Ok(serve_command(node, message.clone()).await)
            } else {
                let url = node.url(owner, "/internal/command");
                node.client.post_binary(&url, &message, ASK_TIMEOUT).await
            };
            match reply {
                Ok(CommandReply::Done) => return Ok(None),
                Ok(CommandReply::View(view)) => return Ok(Some(view)),
                Ok(CommandReply::Failed(error)) => return Err(error),
                Ok(CommandReply::NotOwner) => {}
                Err(SendError::NotSent(_)) => {}
                Err(_) => sent = true,
            }
        }
        node.metrics.owner_retries.inc();
        sleep(RETRY_PAUSE).await;
    }
    let executed = if sent {
        Executed::Unknown
    } else {
        Executed::No
    };
    Err(CallError::not_run(
        ErrorKind::Unavailable,
        "ask again; the program's shard has no owner now",
    )
    .executed(executed)
    .retry_after(GIVE_UP_RETRY_MS))
}
