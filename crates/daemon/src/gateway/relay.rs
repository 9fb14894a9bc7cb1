//! Relays the events of a call from its owner to the reader, even if the owner changes.
//!
//! Invariants:
//!
//! - The reader gets exactly one closing event.
//! - Text of different lineages is never concatenated.
//! - `executed: no` is reported only if no copy of the message can still be executed.

use crate::gateway::owner_lookup::OwnerLookup;
use crate::gateway::source::EventSource;
use crate::node::Node;
use crate::sequencer::{CallMessage, Position};
use fieldhook_http::SendError;
use fieldhook_model::api::StreamEvent;
use fieldhook_model::error::{CallError, ErrorKind, Executed};
use ntex::time::{Millis, sleep};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Pause between two attempts to reach the owner.
const RETRY_INTERVAL: Millis = Millis(25);
/// Retry delay suggested to the caller if no owner responded in time.
const RETRY_AFTER_MS: u64 = 1_000;

/// How following the events of an owner ended.
enum FollowEnd {
    /// The closing event was sent to the reader.
    Closed,
    /// The reader closed its channel.
    ReaderGone,
    /// The daemon does not own the shard, or the connection to it was lost.
    Retry,
}

struct Relay {
    node: Rc<Node>,
    call: CallMessage,
    out: mpsc::Sender<StreamEvent>,
    lookup: OwnerLookup,
    last_contact: Instant,
    /// Whether a copy of the message may have arrived at an owner.
    may_have_arrived: bool,
}

/// Relays a call until its closing event, or until the reader is gone.
pub async fn relay(node: Rc<Node>, call: CallMessage, out: mpsc::Sender<StreamEvent>) {
    let lookup = OwnerLookup::new(node.clone(), call.program.shard);
    let mut relay = Relay {
        node,
        call,
        out,
        lookup,
        last_contact: Instant::now(),
        may_have_arrived: false,
    };
    relay.run().await;
}

impl Relay {
    async fn run(&mut self) {
        let give_up = Duration::from_millis(self.node.settings.limits.give_up_ms);
        while self.last_contact.elapsed() < give_up {
            match self.try_owner().await {
                FollowEnd::Closed | FollowEnd::ReaderGone => return,
                FollowEnd::Retry => {}
            }
            if self.out.is_closed() {
                return;
            }
            self.node.metrics.owner_retries.inc();
            sleep(RETRY_INTERVAL).await;
        }
        let error = self.no_owner_error();
        let _ = self.out.send(StreamEvent::Failed(error)).await;
    }

    async fn try_owner(&mut self) -> FollowEnd {
        let Some(owner) = self.lookup.current_owner() else {
            return FollowEnd::Retry;
        };
        self.call.has_earlier_copy = self.may_have_arrived;
        match EventSource::open(&self.node, owner, &self.call).await {
            Ok(source) => self.follow(source).await,
            Err(SendError::NotSent(_)) => FollowEnd::Retry,
            Err(_) => {
                self.may_have_arrived = true;
                FollowEnd::Retry
            }
        }
    }

    async fn follow(&mut self, mut source: EventSource) -> FollowEnd {
        loop {
            match source.next().await {
                // The daemon received the message and discarded it.
                Some(StreamEvent::NotOwner) => return FollowEnd::Retry,
                Some(StreamEvent::OwnerLost) => {
                    self.may_have_arrived = true;
                    return FollowEnd::Retry;
                }
                Some(event) => {
                    self.last_contact = Instant::now();
                    self.record_progress(&event);
                    let closes = matches!(event, StreamEvent::Done(_) | StreamEvent::Failed(_));
                    if self.out.send(event).await.is_err() {
                        return FollowEnd::ReaderGone;
                    }
                    if closes {
                        return FollowEnd::Closed;
                    }
                }
                None => {
                    self.may_have_arrived = true;
                    return FollowEnd::Retry;
                }
            }
        }
    }

    /// Records what the reader has received, so that the next owner can continue from there.
    fn record_progress(&mut self, event: &StreamEvent) {
        match event {
            StreamEvent::Delta {
                lineage,
                offset,
                text,
            } => {
                if *offset == 0 {
                    self.call.delivered = Some(String::new());
                }
                if let Some(delivered) = &mut self.call.delivered {
                    delivered.push_str(text);
                }
                let offset = offset + text.len() as u64;
                self.call.position = Position {
                    lineage: *lineage,
                    offset,
                };
            }
            StreamEvent::Reset => {
                self.call.delivered = None;
                self.call.position = Position::default();
            }
            _ => {}
        }
    }

    fn no_owner_error(&self) -> CallError {
        let error = CallError::not_run(
            ErrorKind::Unavailable,
            "retry with the same request key; no owner of the program's shard responded in time",
        );
        let executed = if self.may_have_arrived {
            Executed::Unknown
        } else {
            Executed::No
        };
        error.executed(executed).retry_after(RETRY_AFTER_MS)
    }
}
