//! Relaying one call, through changes of owner, to its closing event.
//!
//! Invariants: the reader gets exactly one closing event; text of two lineages
//! is never joined; `executed: no` is only said where no copy of the message
//! can still run.

use crate::gateway::routing::OwnerSearch;
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

const RETRY_PAUSE: Millis = Millis(25);
const GIVE_UP_RETRY_MS: u64 = 1_000;

/// How following one owner ended.
enum Followed {
    /// With the closing event, which the reader has.
    Closed,
    /// The reader is gone.
    ReaderGone,
    /// The daemon asked does not own the shard, or was lost.
    AskAgain,
}

struct Relay {
    node: Rc<Node>,
    call: CallMessage,
    out: mpsc::Sender<StreamEvent>,
    search: OwnerSearch,
    last_contact: Instant,
    sent_before: bool,
}

/// Relays a call until its closing event or until the reader is gone.
pub async fn relay(node: Rc<Node>, call: CallMessage, out: mpsc::Sender<StreamEvent>) {
    let search = OwnerSearch::new(node.clone(), call.program.shard);
    let mut relay = Relay {
        node,
        call,
        out,
        search,
        last_contact: Instant::now(),
        sent_before: false,
    };
    relay.run().await;
}

impl Relay {
    async fn run(&mut self) {
        let give_up = Duration::from_millis(self.node.settings.limits.give_up_ms);
        while self.last_contact.elapsed() < give_up {
            match self.ask_once().await {
                Followed::Closed | Followed::ReaderGone => return,
                Followed::AskAgain => {}
            }
            if self.out.is_closed() {
                return;
            }
            self.node.metrics.owner_retries.inc();
            sleep(RETRY_PAUSE).await;
        }
        let error = self.gave_up();
        let _ = self.out.send(StreamEvent::Failed(error)).await;
    }

    async fn ask_once(&mut self) -> Followed {
        let Some(owner) = self.search.next() else {
            return Followed::AskAgain;
        };
        self.call.copied = self.sent_before;
        match EventSource::open(&self.node, owner, &self.call).await {
            Ok(source) => self.follow(source).await,
            Err(SendError::NotSent(_)) => Followed::AskAgain,
            Err(_) => {
                self.sent_before = true;
                Followed::AskAgain
            }
        }
    }

    async fn follow(&mut self, mut source: EventSource) -> Followed {
        loop {
            match source.next().await {
                // The message was read and dropped.
                Some(StreamEvent::NotOwner) => return Followed::AskAgain,
                Some(StreamEvent::OwnerLost) => {
                    self.sent_before = true;
                    return Followed::AskAgain;
                }
                Some(event) => {
                    self.last_contact = Instant::now();
                    self.note(&event);
                    let closes = matches!(event, StreamEvent::Done(_) | StreamEvent::Failed(_));
                    if self.out.send(event).await.is_err() {
                        return Followed::ReaderGone;
                    }
                    if closes {
                        return Followed::Closed;
                    }
                }
                None => {
                    self.sent_before = true;
                    return Followed::AskAgain;
                }
            }
        }
    }

    /// Keeps what the reader has, for the next owner to go on from.
    fn note(&mut self, event: &StreamEvent) {
        match event {
            StreamEvent::Delta {
                lineage,
                offset,
                text,
            } => {
                if *offset == 0 {
                    self.call.seen = Some(String::new());
                }
                if let Some(seen) = &mut self.call.seen {
                    seen.push_str(text);
                }
                let offset = offset + text.len() as u64;
                self.call.position = Position {
                    lineage: *lineage,
                    offset,
                };
            }
            StreamEvent::Reset => {
                self.call.seen = None;
                self.call.position = Position::default();
            }
            _ => {}
        }
    }

    fn gave_up(&self) -> CallError {
        let error = CallError::not_run(
            ErrorKind::Unavailable,
            "ask again under the same request key; the program's shard has no owner now",
        );
        let executed = if self.sent_before {
            Executed::Unknown
        } else {
            Executed::No
        };
        error.executed(executed).retry_after(GIVE_UP_RETRY_MS)
    }
}
