//! Consensus messages on their way to other daemons.
//!
//! Entries to one peer go in one request at a time; what piles up meanwhile
//! goes in the next. Answers to a request's messages come back in its response.

use crate::node::Node;
use crate::shard::receive_message;
use crate::transport::datagram::{Datagram, send_datagram};
use fieldhook_consensus::Message;
use fieldhook_model::address::{Address, ReplicaId};
use fieldhook_model::ids::ShardId;
use nanoserde::{DeBin, SerBin};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// A consensus message with its group and its ends.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct Envelope {
    /// The shard.
    pub shard: ShardId,
    /// Epoch of the group.
    pub epoch: u64,
    /// Sender.
    pub from: ReplicaId,
    /// Receiver; a process of another incarnation drops the message.
    pub to: ReplicaId,
    /// The message.
    pub message: Message,
}

/// Several messages for one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Batch {
    /// The messages, in order.
    pub envelopes: Vec<Envelope>,
}

#[derive(Default)]
struct Collector {
    peer: Option<Address>,
    answers: Vec<Envelope>,
}

/// Messages that wait for their turn.
#[derive(Default)]
pub struct Outbox {
    waiting: RefCell<BTreeMap<Address, Vec<Envelope>>>,
    busy: RefCell<BTreeSet<Address>>,
    collector: RefCell<Collector>,
}

/// Sends a message the way that suits it.
pub fn post(node: &Rc<Node>, envelope: Envelope) {
    let peer = envelope.to.address;
    {
        let mut collector = node.outbox.collector.borrow_mut();
        if collector.peer == Some(peer) {
            collector.answers.push(envelope);
            return;
        }
    }
    if envelope.message.is_small() {
        send_datagram(
            node,
            peer,
            &Datagram::Consensus(Batch {
                envelopes: vec![envelope],
            }),
        );
        return;
    }
    node.outbox
        .waiting
        .borrow_mut()
        .entry(peer)
        .or_default()
        .push(envelope);
    if node.outbox.busy.borrow_mut().insert(peer) {
        ntex::rt::spawn(flush(node.clone(), peer));
    }
}

async fn flush(node: Rc<Node>, peer: Address) {
    loop {
        let envelopes = node
            .outbox
            .waiting
            .borrow_mut()
            .remove(&peer)
            .unwrap_or_default();
        if envelopes.is_empty() {
            break;
        }
        let batch = Batch { envelopes };
        node.metrics
            .replication_bytes
            .inc_by(batch.serialize_bin().len() as u64);
        let url = node.url(peer, "/internal/consensus");
        // A lost exchange needs no care here: the next heartbeat goes back to
        // what is proven.
        if let Ok(answers) = node
            .client
            .post_binary::<Batch, Batch>(&url, &batch, EXCHANGE_TIMEOUT)
            .await
        {
            receive_batch(&node, answers);
        }
    }
    node.outbox.busy.borrow_mut().remove(&peer);
}

/// Takes messages in.
pub fn receive_batch(node: &Rc<Node>, batch: Batch) {
    for envelope in batch.envelopes {
        receive_message(node, envelope);
    }
}

/// Takes messages in and returns the answers for their sender.
pub fn exchange_batch(node: &Rc<Node>, batch: Batch) -> Batch {
    let peer = batch
        .envelopes
        .first()
        .map(|envelope| envelope.from.address);
    node.outbox.collector.borrow_mut().peer = peer;
    receive_batch(node, batch);
    let collected = std::mem::take(&mut *node.outbox.collector.borrow_mut());
    Batch {
        envelopes: collected.answers,
    }
}
