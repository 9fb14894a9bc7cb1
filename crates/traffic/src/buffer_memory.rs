//! The memory that one daemon spends on peers that are slow to read.
//!
//! What came for a client that does not read, and what goes to a server that does not read,
//! lies in this daemon's memory meanwhile. A few such peers fill a small machine, and a daemon
//! that is killed for it takes all of its other clients with it. So everything that is held is
//! counted against one bound. Where that is reached, the answer is given up first whose client
//! has taken nothing for the longest time; while every client takes something, what would come
//! new is turned away.

use std::collections::HashMap;

/// Without a byte taken for this long, in milliseconds, a client may lose its answer to the need
/// of others. One that reads at all takes something in each round trip; the farthest are tens of
/// milliseconds away, and a packet lost on the way comes again within a second.
pub const STALLED_MS: u64 = 1_500;

/// Identity of what is held for one peer.
pub type BufferId = u64;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request on its way to a server, or an answer that still comes from one: never given up
    /// halfway, since it may be running.
    Incoming,
    /// An answer that its client takes.
    Outgoing,
}

/// Whether more bytes may be held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrowResult {
    /// They are counted.
    Granted,
    /// They are counted, and these are given up for them.
    GrantedByDropping(Vec<BufferId>),
    /// There is no room, and nobody to take it from: nothing is counted.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Holding {
    purpose: Purpose,
    bytes: u64,
    /// When the peer took something last.
    taken_ms: u64,
}

/// What a daemon holds, in bytes, and how much it may.
#[derive(Clone, Debug)]
pub struct BufferMemory {
    limit: u64,
    held: u64,
    holdings: HashMap<BufferId, Holding>,
    next: BufferId,
}

impl BufferMemory {
    /// Room for so many bytes.
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            held: 0,
            holdings: HashMap::new(),
            next: 0,
        }
    }

    /// Bytes held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Bytes that may be held.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Opens an account that holds nothing yet.
    pub fn open(&mut self, purpose: Purpose, now_ms: u64) -> BufferId {
        let id = self.next;
        self.next += 1;
        let holding = Holding {
            purpose,
            bytes: 0,
            taken_ms: now_ms,
        };
        self.holdings.insert(id, holding);
        id
    }

    /// Closes an account with all that it holds.
    pub fn close(&mut self, id: BufferId) {
        if let Some(holding) = self.holdings.remove(&id) {
            self.held -= holding.bytes;
        }
    }

    /// More bytes are to be held.
    pub fn grow(&mut self, id: BufferId, bytes: u64, now_ms: u64) -> GrowResult {
        if !self.holdings.contains_key(&id) {
            return GrowResult::Refused;
        }
        let missing = (self.held + bytes).saturating_sub(self.limit);
        let Some(given_up) = self.stalled(id, missing, now_ms) else {
            return GrowResult::Refused;
        };
        for other in &given_up {
            self.close(*other);
        }
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.bytes += bytes;
            self.held += bytes;
        }
        match given_up.is_empty() {
            true => GrowResult::Granted,
            false => GrowResult::GrantedByDropping(given_up),
        }
    }

    /// From now on the client takes what is held.
    pub fn start_delivery(&mut self, id: BufferId, now_ms: u64) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.purpose = Purpose::Outgoing;
            holding.taken_ms = now_ms;
        }
    }

    /// The peer took so many of the bytes.
    pub fn shrink(&mut self, id: BufferId, bytes: u64, now_ms: u64) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            let taken = bytes.min(holding.bytes);
            holding.bytes -= taken;
            holding.taken_ms = now_ms;
            self.held -= taken;
        }
    }

    /// Answers whose clients take nothing, the longest first, that together hold what is missing.
    fn stalled(&self, except: BufferId, missing: u64, now_ms: u64) -> Option<Vec<BufferId>> {
        if missing == 0 {
            return Some(Vec::new());
        }
        let mut stalled: Vec<(u64, BufferId, u64)> = self
            .holdings
            .iter()
            .filter(|(id, holding)| **id != except && holding.is_stalled(now_ms))
            .map(|(id, holding)| (holding.taken_ms, *id, holding.bytes))
            .collect();
        stalled.sort_unstable();
        let mut given_up = Vec::new();
        let mut found = 0;
        for (_, id, bytes) in stalled {
            given_up.push(id);
            found += bytes;
            if found >= missing {
                return Some(given_up);
            }
        }
        None
    }
}

impl Holding {
    fn is_stalled(&self, now_ms: u64) -> bool {
        let is_outgoing = self.purpose == Purpose::Outgoing && self.bytes > 0;
        is_outgoing && now_ms >= self.taken_ms + STALLED_MS
    }
}
