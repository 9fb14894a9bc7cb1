//! Messages between daemons: consensus entries over HTTP, heartbeats, votes
//! and membership by datagram.

mod datagram;
mod outbox;

pub use datagram::{Datagram, run_datagrams};
pub use outbox::{Batch, Envelope, Outbox, exchange_batch, post, receive_batch};
