//! Claiming shards on the platform's log, and forming the groups that win.

use crate::node::Node;
use crate::platform::log_client;
use crate::shard::form_group;
use fieldhook_membership::{FactTable, MemberState};
use fieldhook_model::address::ReplicaId;
use fieldhook_model::claims::{
    CLAIMS_STREAM, Claim, ClaimRecord, ClaimedGroup, ClaimedReplica, MemberRecord,
};
use fieldhook_model::ids::ShardId;
use ntex::time::{Millis, sleep};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

const READ_WAIT_MS: u64 = 500;
const RETRY: Millis = Millis(200);
/// Time for daemons that start together to hear of each other.
const SETTLE_MS: u64 = 1_000;
/// Time after which a group is formed with fewer daemons than it should have.
const PATIENCE_MS: u64 = 10_000;
/// Time for which the log must have been up before a group is replaced, so
/// that its leader has had the time to record its newest members.
const LOG_UP: Duration = Duration::from_secs(3);
const MEMBERS_PAUSE: Millis = Millis(500);

fn claimed(id: ReplicaId) -> ClaimedReplica {
    ClaimedReplica {
        address: id.address.to_string(),
        incarnation: id.incarnation,
    }
}

fn replica(claimed: &ClaimedReplica) -> Option<ReplicaId> {
    let address = claimed.address.parse().ok()?;
    Some(ReplicaId {
        address,
        incarnation: claimed.incarnation,
    })
}

/// Follows the claims, forms this daemon's groups, and claims what is free.
pub async fn run_claims(node: Rc<Node>) {
    let mut up_since: Option<Instant> = None;
    loop {
        let from = node.claims.borrow().next_offset;
        let Ok(page) = log_client::read(&node, CLAIMS_STREAM, from, READ_WAIT_MS).await else {
            up_since = None;
            sleep(RETRY).await;
            continue;
        };
        let up_for = up_since.get_or_insert_with(Instant::now).elapsed();
        for record in &page.records {
            let formed = node.claims.borrow_mut().fold(record.offset, &record.data);
            for shard in formed {
                take_part(&node, shard);
            }
        }
        let caught_up = node.claims.borrow().next_offset >= page.end;
        if caught_up {
            claim_free_shards(&node, up_for).await;
        }
    }
}

fn take_part(node: &Rc<Node>, shard: ShardId) {
    let Some(group) = node.claims.borrow().groups.get(&shard).cloned() else {
        return;
    };
    let members: Vec<ReplicaId> = group.members.iter().filter_map(replica).collect();
    if members.contains(&node.id) {
        tracing::info!(shard, epoch = group.epoch, "forms group");
        form_group(node, shard, group.epoch, members, group.has_history);
    } else if node
        .shard(shard)
        .is_some_and(|host| host.epoch < group.epoch)
    {
        crate::shard::retire_host(node, shard);
    }
}

async fn claim_free_shards(node: &Rc<Node>, log_up_for: Duration) {
    let claims = {
        let detector = node.detector.borrow();
        let table = detector.table();
        if !may_claim(node, table) {
            return;
        }
        let free = free_shards(node, table, log_up_for);
        plan_claims(node, table, free)
    };
    if claims.is_empty() {
        return;
    }
    tracing::info!(shards = claims.len(), "claims shards");
    if let Ok(text) = serde_json::to_string(&ClaimRecord::Claims(claims)) {
        // A lost answer needs no care: the stream says what happened.
        let _ = log_client::append(node, CLAIMS_STREAM, text).await;
    }
}

/// One daemon claims for all, to spare the log a race: the live one with the
/// lowest address. Racing claims would still have one winner.
fn may_claim(node: &Node, table: &FactTable) -> bool {
    let alive: Vec<ReplicaId> = live_replicas(table);
    let enough = alive.len() >= node.settings.replicas || node.now_ms() > PATIENCE_MS;
    enough && node.now_ms() > SETTLE_MS && alive.iter().min() == Some(&node.id)
}

fn live_replicas(table: &FactTable) -> Vec<ReplicaId> {
    let alive = table
        .members()
        .filter(|member| member.state == MemberState::Alive);
    alive.map(|member| member.id).collect()
}

fn free_shards(node: &Node, table: &FactTable, log_up_for: Duration) -> Vec<(ShardId, u64)> {
    let claims = node.claims.borrow();
    (0..node.settings.shards)
        .filter_map(|shard| match claims.groups.get(&shard) {
            None => Some((shard, 0)),
            Some(group) if log_up_for >= LOG_UP && is_lost(table, shard, group) => {
                Some((shard, group.epoch))
            }
            Some(_) => None,
        })
        .collect()
}

/// Whether a majority of a group's newest known members is surely gone. Mere
/// silence is no evidence: a cut-off majority may still be serving.
fn is_lost(table: &FactTable, shard: ShardId, group: &ClaimedGroup) -> bool {
    let recorded: Vec<ReplicaId> = group.members.iter().filter_map(replica).collect();
    let members = match table.route(shard) {
        Some(route) if route.epoch == group.epoch && route.index >= group.index => &route.members,
        _ => &recorded,
    };
    let gone = members
        .iter()
        .filter(|id| table.is_surely_gone(**id))
        .count();
    let quorum = members.len() / 2 + 1;
    members.len() - gone < quorum
}

fn plan_claims(node: &Node, table: &FactTable, free: Vec<(ShardId, u64)>) -> Vec<Claim> {
    let mut by_zone: BTreeMap<&str, Vec<ReplicaId>> = BTreeMap::new();
    for member in table
        .members()
        .filter(|member| member.state == MemberState::Alive)
    {
        by_zone.entry(&member.zone).or_default().push(member.id);
    }
    let zones: Vec<Vec<ReplicaId>> = by_zone.into_values().collect();
    free.into_iter()
        .map(|(shard, replaces)| {
            let members = spread(&zones, usize::from(shard), node.settings.replicas);
            Claim {
                shard,
                replaces,
                members: members.into_iter().map(claimed).collect(),
            }
        })
        .collect()
}

/// Chooses replicas zone by zone; the shard's number turns the start, so that
/// shards spread evenly over zones and over the daemons of a zone.
fn spread(zones: &[Vec<ReplicaId>], turn: usize, size: usize) -> Vec<ReplicaId> {
    let mut chosen = Vec::new();
    let deepest = zones.iter().map(Vec::len).max().unwrap_or(0);
    for layer in 0..deepest {
        for step in 0..zones.len() {
            let zone = &zones[(turn + step) % zones.len()];
            let round = turn / zones.len();
            let candidate = zone.get(layer).map(|_| zone[(round + layer) % zone.len()]);
            if let Some(candidate) = candidate
                && chosen.len() < size
                && !chosen.contains(&candidate)
            {
                chosen.push(candidate);
            }
        }
    }
    chosen
}

/// Records the members of the groups led here whenever they change.
pub async fn run_member_records(node: Rc<Node>) {
    loop {
        for host in node.hosts() {
            if host.leads() {
                record_members(&node, &host).await;
            }
        }
        sleep(MEMBERS_PAUSE).await;
    }
}

async fn record_members(node: &Rc<Node>, host: &Rc<crate::shard::ShardHost>) {
    let record = {
        let core = host.core.borrow();
        let members = core.members();
        let all = members.voters.iter().chain(&members.learners);
        let present: Vec<ClaimedReplica> = all.map(|id| claimed(*id)).collect();
        let claims = node.claims.borrow();
        let known = claims.groups.get(&host.shard);
        if known.is_none_or(|group| group.epoch != host.epoch || group.members == present) {
            return;
        }
        let index = core.commit_index();
        MemberRecord {
            shard: host.shard,
            epoch: host.epoch,
            index,
            members: present,
        }
    };
    if let Ok(text) = serde_json::to_string(&ClaimRecord::Members(record)) {
        let _ = log_client::append(node, CLAIMS_STREAM, text).await;
    }
}
