//! Recovering a re-formed group's state from survivors and the archive.

use crate::node::Node;
use crate::platform::archive::{
    ArchiveContent, ArchiveRecord, SnapshotPointer, archive_stream, pointer_stream,
};
use crate::platform::log_client;
use crate::sequencer::take_over;
use crate::shard::{ShardHost, propose};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use fieldhook_consensus::Payload;
use fieldhook_http::SendError;
use fieldhook_model::ids::ShardId;
use fieldhook_program::{Command, ShardState, TimedCommand};
use nanoserde::{DeBin, SerBin};
use ntex::time::{Millis, sleep};
use std::rc::Rc;
use std::time::Duration;

const PAUSE: Millis = Millis(100);
const SURVIVOR_TIMEOUT: Duration = Duration::from_secs(10);

/// A state and how far it reaches; greater reaches further.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Recovered {
    /// Epoch of the group it comes from.
    pub epoch: u64,
    /// Last index it covers.
    pub index: u64,
    /// The state.
    pub state: ShardState,
}

/// What a daemon holds of a shard from a former epoch.
#[derive(Clone, Debug, Default, SerBin, DeBin)]
pub struct SurvivorReply {
    /// The state, if there is one.
    pub found: Option<Recovered>,
}

/// Recovers the groups led here that have a history.
pub async fn run_recovery(node: Rc<Node>) {
    loop {
        for host in node.hosts() {
            if host.must_restore() {
                restore(&node, &host).await;
            }
        }
        sleep(PAUSE).await;
    }
}

async fn restore(node: &Rc<Node>, host: &Rc<ShardHost>) {
    let archived = match read_archive(node, host.shard).await {
        Ok(archived) => archived,
        Err(error) => {
            tracing::warn!(shard = host.shard, %error, "recovery waits for the platform's log");
            return;
        }
    };
    let survivors = ask_survivors(node, host.shard).await;
    let all = survivors.into_iter().chain(archived);
    let best = all
        .filter(|found| found.epoch < host.epoch)
        .max_by_key(|found| (found.epoch, found.index))
        .unwrap_or_default();
    tracing::info!(
        shard = host.shard,
        epoch = best.epoch,
        index = best.index,
        programs = best.state.programs.len(),
        "recovers shard"
    );
    let state = best.state.serialize_bin();
    if propose(node, host, Command::Restore { state })
        .await
        .is_ok()
    {
        take_over(node, host);
    }
}

async fn read_archive(node: &Node, shard: ShardId) -> Result<Option<Recovered>, SendError> {
    let pointers = log_client::read_to_end(node, &pointer_stream(shard), 0).await?;
    let newest = pointers
        .iter()
        .filter_map(|text| serde_json::from_str::<SnapshotPointer>(text).ok())
        .max_by_key(|pointer| (pointer.epoch, pointer.index));
    let Some(newest) = newest else {
        return Ok(None);
    };
    let texts = log_client::read_to_end(node, &archive_stream(shard), newest.offset).await?;
    let records: Vec<ArchiveRecord> = texts
        .iter()
        .filter_map(|text| serde_json::from_str(text).ok())
        .collect();
    Ok(fold_archive(&records))
}

/// Puts a state together from archive records: the furthest snapshot, then the
/// commands of its epoch that follow without a gap.
pub fn fold_archive(records: &[ArchiveRecord]) -> Option<Recovered> {
    let snapshots = records.iter().filter_map(decode_snapshot);
    let mut recovered = snapshots.max_by_key(|found| (found.epoch, found.index))?;
    let mut rest: Vec<&ArchiveRecord> = records
        .iter()
        .filter(|record| record.epoch == recovered.epoch)
        .collect();
    rest.sort_by_key(|record| record.to);
    for record in rest {
        if let ArchiveContent::Commands(commands) = &record.content
            && record.from <= recovered.index + 1
            && record.to > recovered.index
        {
            // Repeated batches begin at the same index; a batch is all or nothing.
            apply_commands(&mut recovered.state, commands);
            recovered.index = record.to;
        }
    }
    Some(recovered)
}

fn decode_snapshot(record: &ArchiveRecord) -> Option<Recovered> {
    let ArchiveContent::Snapshot(text) = &record.content else {
        return None;
    };
    let bytes = STANDARD.decode(text).ok()?;
    let state = ShardState::deserialize_bin(&bytes).ok()?;
    Some(Recovered {
        epoch: record.epoch,
        index: record.to,
        state,
    })
}

fn apply_commands(state: &mut ShardState, commands: &[String]) {
    for text in commands {
        let bytes = STANDARD.decode(text).unwrap_or_default();
        if let Ok(command) = TimedCommand::deserialize_bin(&bytes) {
            state.apply(command);
        }
    }
}

async fn ask_survivors(node: &Rc<Node>, shard: ShardId) -> Vec<Recovered> {
    let peers: Vec<_> = {
        let detector = node.detector.borrow();
        detector.table().live().map(|member| member.id).collect()
    };
    let mut found: Vec<Recovered> = survivor(node, shard).found.into_iter().collect();
    for peer in peers.into_iter().filter(|peer| *peer != node.id) {
        let url = node.url(peer.address, "/internal/survivor");
        let reply = node
            .client
            .post_binary::<u16, SurvivorReply>(&url, &shard, SURVIVOR_TIMEOUT)
            .await;
        found.extend(reply.ok().and_then(|reply| reply.found));
    }
    found
}

/// What this daemon holds of a shard from a former epoch: its state with the
/// entries that were not known to be committed, since some may have been.
pub fn survivor(node: &Node, shard: ShardId) -> SurvivorReply {
    let retired = node.retired.borrow().get(&shard).cloned();
    let Some(host) = retired else {
        return SurvivorReply::default();
    };
    let mut state = host.state.borrow().clone();
    let core = host.core.borrow();
    for entry in core.uncommitted() {
        if let Payload::Command(bytes) = &entry.payload
            && let Ok(command) = TimedCommand::deserialize_bin(bytes)
        {
            state.apply(command);
        }
    }
    let index = core.last_entry().1;
    SurvivorReply {
        found: Some(Recovered {
            epoch: host.epoch,
            index,
            state,
        }),
    }
}
