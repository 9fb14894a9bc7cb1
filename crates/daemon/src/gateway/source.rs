//! Receives the events of a call from its owner, which may be this daemon or another one.

use crate::node::Node;
use crate::sequencer::{CallMessage, serve_call};
use fieldhook_http::SendError;
use fieldhook_model::address::Address;
use fieldhook_model::api::StreamEvent;
use futures_util::StreamExt;
use nanoserde::{DeBin, SerBin};
use ntex::client::ClientResponse;
use ntex::http::Method;
use ntex::time::timeout;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum number of events of a call that are buffered for a slow reader.
pub const EVENT_BACKLOG: usize = 64;
/// Time without an event after which an owner is considered lost. Owners send keep-alive events
/// more often.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Size of the length prefix of a frame.
const LENGTH_BYTES: usize = 4;

/// Source of the events of a call.
pub enum EventSource {
    /// This daemon owns the shard.
    Local(mpsc::Receiver<StreamEvent>),
    /// Another daemon owns the shard.
    Remote(Box<FrameReader>),
}

/// Decodes the frames of a response from another daemon.
pub struct FrameReader {
    response: ClientResponse,
    pending: Vec<u8>,
}

/// Encodes an event as a frame: its length as a little-endian `u32`, then its binary encoding.
pub fn encode_frame(event: &StreamEvent) -> Vec<u8> {
    let body = event.serialize_bin();
    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
    frame.extend(body);
    frame
}

impl EventSource {
    /// Sends the call to the daemon at an address.
    ///
    /// # Errors
    /// The daemon did not respond with events. The error tells whether the message may have
    /// arrived.
    pub async fn open(
        node: &Rc<Node>,
        owner: Address,
        call: &CallMessage,
    ) -> Result<Self, SendError> {
        if owner == node.id.address {
            let (out, events) = mpsc::channel(EVENT_BACKLOG);
            ntex::rt::spawn(serve_call(node.clone(), call.clone(), out));
            return Ok(Self::Local(events));
        }
        let url = node.url(owner, "/internal/call");
        let body = call.serialize_bin();
        let response = node
            .client
            .send(Method::POST, &url, &[], body, OWNER_TIMEOUT)
            .await?;
        if !response.status().is_success() {
            return Err(SendError::Unknown(format!("status {}", response.status())));
        }
        Ok(Self::Remote(Box::new(FrameReader {
            response,
            pending: Vec::new(),
        })))
    }

    /// Returns the next event, or `None` if the connection ended or no event arrived within
    /// [`OWNER_TIMEOUT`].
    pub async fn next(&mut self) -> Option<StreamEvent> {
        let next = async {
            match self {
                Self::Local(events) => events.recv().await,
                Self::Remote(reader) => reader.next().await,
            }
        };
        timeout(OWNER_TIMEOUT, next).await.unwrap_or(None)
    }
}

impl FrameReader {
    async fn next(&mut self) -> Option<StreamEvent> {
        loop {
            if let Some(event) = self.take_frame() {
                return StreamEvent::deserialize_bin(&event).ok();
            }
            let chunk = self.response.next().await?.ok()?;
            self.pending.extend_from_slice(&chunk);
        }
    }

    fn take_frame(&mut self) -> Option<Vec<u8>> {
        let length: [u8; LENGTH_BYTES] = self.pending.get(..LENGTH_BYTES)?.try_into().ok()?;
        let end = LENGTH_BYTES + u32::from_le_bytes(length) as usize;
        if self.pending.len() < end {
            return None;
        }
        let frame: Vec<u8> = self.pending.drain(..end).collect();
        Some(frame[LENGTH_BYTES..].to_vec())
    }
}
