//! Loads and drops shards according to the claims on the log, and claims shards whose owner is
//! gone.

use crate::node::Node;
use crate::sequencer::resume_calls;
use crate::shard::host::ShardHost;
use crate::shard::storage::{SHARDS_TOPIC, recover};
use fieldhook_log::api::{Partition, StoreError};
use fieldhook_log::appender::{AppendEnd, Appender, fence};
use fieldhook_log::ownership::Claim;
use fieldhook_membership::MemberState;
use fieldhook_model::address::ProcessId;
use fieldhook_model::ids::ShardId;
use ntex::time::{Millis, sleep};
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const CLAIM_CHECK_INTERVAL: Millis = Millis(100);
const LOAD_TIMEOUT: Duration = Duration::from_secs(2);
const LOAD_RETRY_DELAY: Millis = Millis(50);

/// Returns the process that holds a claim, or `None` if the claim was released.
pub fn owner_of(claim: &Claim) -> Option<ProcessId> {
    let address = claim.address?.to_string().parse().ok()?;
    Some(ProcessId {
        address,
        incarnation: claim.incarnation,
    })
}

/// Returns the log partition that stores a shard.
fn log_partition(shard: ShardId) -> Partition {
    Partition {
        topic: SHARDS_TOPIC.to_owned(),
        number: u32::from(shard),
    }
}

/// Applies the newest claim on a shard: drops the shard if another process holds the claim, and
/// loads it if this one does.
pub fn apply_claim(node: &Rc<Node>, shard: ShardId) {
    let Some(claim) = node.claims.claim(u32::from(shard)) else {
        return;
    };
    let held_epoch = node.shard(shard).map(|host| host.epoch);
    let is_mine = node.claims.is_mine(&claim);
    if held_epoch.is_some() && held_epoch != Some(claim.epoch) {
        tracing::info!(event = "shard_lost", shard, epoch = claim.epoch, owner = ?claim.address);
        drop_shard(node, shard);
    }
    if is_mine && held_epoch != Some(claim.epoch) && !node.claims.has_stopped_claiming() {
        ntex::rt::spawn(load_and_serve(node.clone(), shard, claim.epoch));
    }
}

fn drop_shard(node: &Node, shard: ShardId) {
    if let Some(host) = node.shards.borrow_mut().remove(&shard) {
        host.mark_lost();
    }
}

fn is_current_claim(node: &Node, shard: ShardId, epoch: u64) -> bool {
    let claim = node.claims.claim(u32::from(shard));
    claim.is_some_and(|claim| claim.epoch == epoch)
}

/// Loads a claimed shard from the log and serves it until it is lost.
async fn load_and_serve(node: Rc<Node>, shard: ShardId, epoch: u64) {
    let records = loop {
        if !is_current_claim(&node, shard, epoch) {
            return;
        }
        match load(&node, shard, epoch).await {
            Ok(records) => break records,
            Err(StoreError::Fenced) => return,
            Err(_) => sleep(LOAD_RETRY_DELAY).await,
        }
    };
    let recovered = recover(&records);
    tracing::info!(
        event = "shard_owned",
        shard,
        epoch,
        index = recovered.index,
        programs = recovered.state.programs.len()
    );
    let appender = Rc::new(Appender::new(
        log_partition(shard),
        epoch,
        node.store.clone(),
        node.log_health.clone(),
    ));
    let host = Rc::new(ShardHost::new(shard, epoch, recovered, appender.clone()));
    if !is_current_claim(&node, shard, epoch) {
        return;
    }
    node.shards.borrow_mut().insert(shard, host.clone());
    node.claims.changed.notify_waiters();
    resume_calls(&node, &host);
    let end = appender.run(|_took| {}).await;
    host.mark_lost();
    if end == AppendEnd::Fenced {
        tracing::info!(event = "shard_fenced", shard, epoch);
        let is_current = node.shard(shard).is_some_and(|held| held.epoch == epoch);
        if is_current {
            node.shards.borrow_mut().remove(&shard);
        }
        let _ = node.claims.refresh().await;
    }
}

/// Fences previous owners, then reads the newest record of each key. In this order, no record that
/// a previous owner has acknowledged can be missed.
async fn load(
    node: &Node,
    shard: ShardId,
    epoch: u64,
) -> Result<Vec<fieldhook_log::api::KeyedRecord>, StoreError> {
    let store = node.store.as_ref();
    fence(store, log_partition(shard), epoch, LOAD_TIMEOUT).await?;
    let mut records = Vec::new();
    let mut after = None;
    loop {
        let page = store
            .newest(log_partition(shard), after, LOAD_TIMEOUT)
            .await?;
        records.extend(page.records.into_iter().map(|(_, record)| record));
        after = page.more_after;
        if after.is_none() {
            return Ok(records);
        }
    }
}

/// Periodically claims shards whose owner is gone, and updates the metrics of owned shards.
pub async fn run_claiming(node: Rc<Node>) {
    loop {
        for shard in 0..node.settings.shards {
            let claim = node.claims.claim(u32::from(shard));
            let Some(claim) = claim.filter(|claim| is_owner_gone(&node, claim)) else {
                continue;
            };
            if is_designated_claimant(&node, shard) {
                let epoch = Some(claim.epoch);
                if let Err(error) = node.claims.take_over(u32::from(shard), epoch).await {
                    tracing::debug!(event = "claim_failed", shard, ?error);
                }
            }
        }
        update_metrics(&node);
        sleep(CLAIM_CHECK_INTERVAL).await;
    }
}

/// Whether the owner that holds a claim is considered dead by the failure detector, or is known to
/// have ended. A false positive only costs a move of the shard, because the log fences the previous
/// owner.
fn is_owner_gone(node: &Node, claim: &Claim) -> bool {
    let Some(owner) = owner_of(claim) else {
        return false;
    };
    let detector = node.detector.borrow();
    let table = detector.table();
    let dead = table
        .member(owner.address)
        .is_some_and(|member| member.id == owner && member.state >= MemberState::Dead);
    dead || table.is_confirmed_gone(owner)
}

/// Whether this daemon should claim a shard whose owner is gone. Rendezvous hashing selects one of
/// the live daemons, to avoid concurrent claims. If the daemons disagree, one of their claims wins.
fn is_designated_claimant(node: &Node, shard: ShardId) -> bool {
    let detector = node.detector.borrow();
    let live = detector
        .table()
        .members()
        .filter(|member| member.state == MemberState::Alive);
    let weight =
        |id: &ProcessId| xxh3_64_with_seed(id.address.to_string().as_bytes(), u64::from(shard));
    live.map(|member| member.id).max_by_key(weight) == Some(node.id)
}

fn update_metrics(node: &Node) {
    let hosts = node.hosts();
    let programs: usize = hosts
        .iter()
        .map(|host| host.state.borrow().programs.len())
        .sum();
    let waiting: u64 = hosts.iter().map(|host| host.pending_commands()).sum();
    node.metrics.shards_owned.set(hosts.len() as i64);
    node.metrics.programs.set(programs as i64);
    node.metrics.commands_waiting.set(waiting as i64);
}
