//! Feeding the consensus cores and carrying out what they ask.

use crate::node::Node;
use crate::sequencer::take_over;
use crate::shard::host::{ShardHost, Unsettled};
use crate::shard::manage::announce_route;
use crate::transport::{Envelope, post};
use fieldhook_consensus::{Action, Entry, Input, Members, Payload, ProposeError};
use fieldhook_program::{Command, Reply, ShardState, TimedCommand};
use nanoserde::{DeBin, SerBin};
use ntex::time::{Millis, sleep};
use std::rc::Rc;

const TICK: Millis = Millis(20);

/// Ticks all replicas for as long as the process lives.
pub async fn run_shards(node: Rc<Node>) {
    loop {
        let now_ms = node.now_ms();
        for host in node.hosts() {
            let actions = host.core.borrow_mut().step(Input::Tick { now_ms });
            carry_out(&node, &host, actions);
        }
        sleep(TICK).await;
    }
}

/// Takes a message of a group in. A first message from a leader makes this
/// daemon a learner of the group.
pub fn receive_message(node: &Rc<Node>, envelope: Envelope) {
    if envelope.to != node.id {
        return;
    }
    let host = match node.shard(envelope.shard) {
        Some(host) if host.epoch == envelope.epoch => host,
        Some(host) if host.epoch > envelope.epoch => return,
        _ => match join(node, &envelope) {
            Some(host) => host,
            None => return,
        },
    };
    let input = Input::Receive {
        now_ms: node.now_ms(),
        from: envelope.from,
        message: envelope.message,
    };
    let actions = host.core.borrow_mut().step(input);
    carry_out(node, &host, actions);
}

fn join(node: &Rc<Node>, envelope: &Envelope) -> Option<Rc<ShardHost>> {
    use fieldhook_consensus::Body;
    if !matches!(envelope.message.body, Body::Append(_) | Body::Snapshot(_)) {
        return None;
    }
    crate::shard::manage::retire_host(node, envelope.shard);
    let host = Rc::new(ShardHost::new(
        envelope.shard,
        envelope.epoch,
        node.id,
        Members::default(),
        false,
        node.settings.consensus_core(),
        node.now_ms(),
    ));
    node.shards
        .borrow_mut()
        .insert(envelope.shard, host.clone());
    Some(host)
}

/// Carries out what a core asks, in order.
pub fn carry_out(node: &Rc<Node>, host: &Rc<ShardHost>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Send { to, message } => post(
                node,
                Envelope {
                    shard: host.shard,
                    epoch: host.epoch,
                    from: node.id,
                    to,
                    message,
                },
            ),
            Action::Apply(entry) => apply(node, host, entry),
            Action::Install { index, state } => install(host, index, &state),
            Action::MakeSnapshot { to } => make_snapshot(node, host, to),
            Action::Elected { term } => {
                tracing::info!(shard = host.shard, epoch = host.epoch, term, "leads shard");
                host.archive.borrow_mut().begin();
            }
            Action::Deposed => {
                tracing::info!(
                    shard = host.shard,
                    epoch = host.epoch,
                    "no longer leads shard"
                );
                host.depose();
            }
        }
    }
}

fn apply(node: &Rc<Node>, host: &Rc<ShardHost>, entry: Entry) {
    let led_term = host.core.borrow().term() == entry.term && host.is_leader();
    match entry.payload {
        Payload::Command(bytes) => {
            // A command that does not decode was written by another version; all
            // replicas skip it alike.
            let command = TimedCommand::deserialize_bin(&bytes).ok();
            host.apply(entry.index, entry.term, command);
            host.archive.borrow_mut().push(entry.index, bytes);
        }
        Payload::Noop => {
            host.apply(entry.index, entry.term, None);
            if led_term {
                announce_route(node, host);
                take_over(node, host);
            }
        }
        Payload::Members(_) => {
            host.apply(entry.index, entry.term, None);
            if led_term {
                announce_route(node, host);
            }
        }
    }
}

fn install(host: &Rc<ShardHost>, index: u64, state: &[u8]) {
    match ShardState::deserialize_bin(state) {
        Ok(state) => host.install(index, state),
        Err(error) => tracing::error!(%error, "snapshot does not decode; upgrade this daemon"),
    }
}

fn make_snapshot(node: &Rc<Node>, host: &Rc<ShardHost>, to: fieldhook_model::address::ReplicaId) {
    let state = host.state.borrow().serialize_bin();
    let input = Input::SnapshotMade {
        to,
        index: host.applied(),
        state,
    };
    let actions = host.core.borrow_mut().step(input);
    carry_out(node, host, actions);
}

/// Replicates a command and returns what applying it said.
///
/// # Errors
/// Not taken here, or leadership was lost before it committed.
pub async fn propose(
    node: &Rc<Node>,
    host: &Rc<ShardHost>,
    command: Command,
) -> Result<Reply, Unsettled> {
    let bytes = host.timed(command);
    let term = host.core.borrow().term();
    let proposed = host.core.borrow_mut().propose(bytes);
    let (index, actions) = match proposed {
        Ok(proposed) => proposed,
        Err(ProposeError::NotLeader(leader)) => return Err(Unsettled::NotLeader(leader)),
        Err(_) => return Err(Unsettled::NotLeader(None)),
    };
    let committed = host.wait_for(index, term);
    carry_out(node, host, actions);
    committed.await.map_err(|_| Unsettled::Lost)
}
