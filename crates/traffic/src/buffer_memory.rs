//! Limits the memory that one daemon uses for data that slow peers have not read yet.
//!
//! Responses for a client that does not read, and requests for a server that does not read, are
//! buffered in the daemon's memory. A few such peers can fill the memory of a small machine, and
//! when the daemon is killed for that, all its other clients lose their connections. All buffers
//! are therefore counted against one limit. When it is reached, the response whose client has
//! read nothing for the longest time is dropped first. While every client reads something, new
//! data is refused.

use std::collections::HashMap;

/// A client that has read nothing for this long, in milliseconds, is stalled, and its response may
/// be dropped to free memory. A client that reads at all does so in every round trip. The
/// farthest clients have round trips of tens of milliseconds, and a lost packet is sent again
/// within a second.
pub const STALLED_MS: u64 = 1_500;

/// Identifies the buffer of one peer.
pub type BufferId = u64;

/// Purpose of a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request that is being received or sent to a server, or a response that is being received.
    /// It is never dropped, because the request may be running.
    InProgress,
    /// A response that is being sent to its client.
    Delivery,
}

/// Result of a request for more memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrowResult {
    /// The bytes are counted.
    Granted,
    /// The bytes are counted, and these buffers have to be dropped for them.
    GrantedByEvicting(Vec<BufferId>),
    /// The limit is reached, and no buffers can be dropped. Nothing is counted.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Buffer {
    purpose: Purpose,
    bytes: u64,
    /// When the peer last read something.
    last_read_ms: u64,
}

/// Counts the memory of all buffers of a daemon against a limit, in bytes.
#[derive(Clone, Debug)]
pub struct BufferMemory {
    limit: u64,
    used: u64,
    buffers: HashMap<BufferId, Buffer>,
    next_id: BufferId,
}

impl BufferMemory {
    /// Creates an empty count with a limit in bytes.
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            used: 0,
            buffers: HashMap::new(),
            next_id: 0,
        }
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Returns the limit in bytes.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Adds an empty buffer.
    pub fn open(&mut self, purpose: Purpose, now_ms: u64) -> BufferId {
        let id = self.next_id;
        self.next_id += 1;
        let buffer = Buffer {
            purpose,
            bytes: 0,
            last_read_ms: now_ms,
        };
        self.buffers.insert(id, buffer);
        id
    }

    /// Removes a buffer and frees its memory.
    pub fn close(&mut self, id: BufferId) {
        if let Some(buffer) = self.buffers.remove(&id) {
            self.used -= buffer.bytes;
        }
    }

    /// Requests more memory for a buffer.
    pub fn grow(&mut self, id: BufferId, bytes: u64, now_ms: u64) -> GrowResult {
        if !self.buffers.contains_key(&id) {
            return GrowResult::Refused;
        }
        let needed = (self.used + bytes).saturating_sub(self.limit);
        let Some(dropped) = self.select_stalled(id, needed, now_ms) else {
            return GrowResult::Refused;
        };
        for other in &dropped {
            self.close(*other);
        }
        if let Some(buffer) = self.buffers.get_mut(&id) {
            buffer.bytes += bytes;
            self.used += bytes;
        }
        match dropped.is_empty() {
            true => GrowResult::Granted,
            false => GrowResult::GrantedByEvicting(dropped),
        }
    }

    /// Records that the buffered response is being sent to its client from now on.
    pub fn start_delivery(&mut self, id: BufferId, now_ms: u64) {
        if let Some(buffer) = self.buffers.get_mut(&id) {
            buffer.purpose = Purpose::Delivery;
            buffer.last_read_ms = now_ms;
        }
    }

    /// Records that the peer has read some of the bytes.
    pub fn shrink(&mut self, id: BufferId, bytes: u64, now_ms: u64) {
        if let Some(buffer) = self.buffers.get_mut(&id) {
            let read = bytes.min(buffer.bytes);
            buffer.bytes -= read;
            buffer.last_read_ms = now_ms;
            self.used -= read;
        }
    }

    /// Returns responses of stalled clients, the longest stalled first, that together hold at least
    /// the needed bytes. Returns `None` if there are not enough of them.
    fn select_stalled(&self, except: BufferId, needed: u64, now_ms: u64) -> Option<Vec<BufferId>> {
        if needed == 0 {
            return Some(Vec::new());
        }
        let mut stalled: Vec<(u64, BufferId, u64)> = self
            .buffers
            .iter()
            .filter(|(id, buffer)| **id != except && buffer.is_stalled(now_ms))
            .map(|(id, buffer)| (buffer.last_read_ms, *id, buffer.bytes))
            .collect();
        stalled.sort_unstable();
        let mut dropped = Vec::new();
        let mut found = 0;
        for (_, id, bytes) in stalled {
            dropped.push(id);
            found += bytes;
            if found >= needed {
                return Some(dropped);
            }
        }
        None
    }
}

impl Buffer {
    fn is_stalled(&self, now_ms: u64) -> bool {
        let is_delivery = self.purpose == Purpose::Delivery && self.bytes > 0;
        is_delivery && now_ms >= self.last_read_ms + STALLED_MS
    }
}
