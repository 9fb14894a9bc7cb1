//! Forming groups, keeping them at size, and letting go of replicas that no
//! longer belong to one.

use crate::node::Node;
use crate::shard::drive::carry_out;
use crate::shard::host::ShardHost;
use fieldhook_consensus::{Candidates, Members, plan_change};
use fieldhook_membership::{Fact, FactTable, MemberState, ShardRoute};
use fieldhook_model::address::ReplicaId;
use fieldhook_model::ids::ShardId;
use ntex::time::{Millis, sleep};
use std::collections::BTreeMap;
use std::rc::Rc;

const MANAGE: Millis = Millis(200);
/// Silence after which a replica asks whether it still belongs to its group.
const ORPHAN_MS: u64 = 5_000;

/// Starts this daemon's replica of a group that a claim names it in.
pub fn form_group(
    node: &Rc<Node>,
    shard: ShardId,
    epoch: u64,
    members: Vec<ReplicaId>,
    has_history: bool,
) {
    if node.shard(shard).is_some_and(|host| host.epoch >= epoch) {
        return;
    }
    retire_host(node, shard);
    let host = ShardHost::new(
        shard,
        epoch,
        node.id,
        Members::of_voters(members),
        has_history,
        node.settings.consensus_core(),
        node.now_ms(),
    );
    node.shards.borrow_mut().insert(shard, Rc::new(host));
}

/// Takes a replica out of service; its state stays readable for recovery.
pub fn retire_host(node: &Node, shard: ShardId) {
    if let Some(host) = node.shards.borrow_mut().remove(&shard) {
        host.depose();
        node.retired.borrow_mut().insert(shard, host);
    }
}

/// Tells the others who leads a shard.
pub fn announce_route(node: &Node, host: &ShardHost) {
    let core = host.core.borrow();
    let members = core.members();
    let route = ShardRoute {
        shard: host.shard,
        epoch: host.epoch,
        term: core.term(),
        index: core.commit_index(),
        leader: node.id,
        members: members
            .voters
            .iter()
            .chain(&members.learners)
            .copied()
            .collect(),
    };
    node.announce(Fact::Route(route));
}

/// Keeps the groups that this daemon leads at size, and drops its replicas
/// that were removed from theirs.
pub async fn run_management(node: Rc<Node>) {
    loop {
        for host in node.hosts() {
            if host.leads() {
                reconcile(&node, &host);
            } else if is_orphan(&node, &host) {
                tracing::info!(shard = host.shard, "replica was removed from its group");
                node.shards.borrow_mut().remove(&host.shard);
            }
        }
        update_metrics(&node);
        sleep(MANAGE).await;
    }
}

fn reconcile(node: &Rc<Node>, host: &Rc<ShardHost>) {
    let candidates = candidates(node, host);
    let change = plan_change(&host.core.borrow(), &candidates);
    let Some(change) = change else { return };
    let proposed = host.core.borrow_mut().propose_change(change);
    if let Ok(actions) = proposed {
        tracing::info!(shard = host.shard, ?change, "changes members");
        carry_out(node, host, actions);
    }
}

fn candidates(node: &Node, host: &ShardHost) -> Candidates {
    let detector = node.detector.borrow();
    let table = detector.table();
    let core = host.core.borrow();
    let members = core.members();
    let replace_after_ms = node.settings.membership.replace_after_ms;
    let is_gone = |id: &ReplicaId| {
        table.is_surely_gone(*id)
            || detector
                .dead_for_ms(*id)
                .is_some_and(|dead_ms| dead_ms >= replace_after_ms)
    };
    let all = members.voters.iter().chain(&members.learners);
    let gone: Vec<ReplicaId> = all.filter(|id| is_gone(id)).copied().collect();
    let stay: Vec<ReplicaId> = members
        .voters
        .iter()
        .filter(|id| !gone.contains(id))
        .copied()
        .collect();
    Candidates {
        joining: rank_joining(table, &stay),
        gone,
        size: node.settings.replicas,
    }
}

/// Daemons that could join, best first: from zones without a replica, then
/// with the fewest replicas.
fn rank_joining(table: &FactTable, stay: &[ReplicaId]) -> Vec<ReplicaId> {
    let zone_of = |id: &ReplicaId| table.member(id.address).map(|member| member.zone.clone());
    let taken: Vec<String> = stay.iter().filter_map(zone_of).collect();
    let mut replicas: BTreeMap<ReplicaId, usize> = BTreeMap::new();
    for member in table.routes().flat_map(|route| &route.members) {
        *replicas.entry(*member).or_insert(0) += 1;
    }
    let mut joining: Vec<(bool, usize, ReplicaId)> = table
        .members()
        .filter(|member| member.state == MemberState::Alive && !stay.contains(&member.id))
        .map(|member| {
            let load = replicas.get(&member.id).copied().unwrap_or(0);
            (taken.contains(&member.zone), load, member.id)
        })
        .collect();
    joining.sort();
    joining.into_iter().map(|(_, _, id)| id).collect()
}

/// A removed replica is not told so: it hears no leader any more, while the
/// others know a newer member list without it.
fn is_orphan(node: &Node, host: &ShardHost) -> bool {
    let core = host.core.borrow();
    let heard_ms = core.leader_contact_ms().unwrap_or(0);
    if host.age_ms() < ORPHAN_MS || node.now_ms() < heard_ms + ORPHAN_MS {
        return false;
    }
    let detector = node.detector.borrow();
    detector.table().route(host.shard).is_some_and(|route| {
        let newer = route.epoch > host.epoch
            || (route.epoch == host.epoch && route.index > core.commit_index());
        newer && !route.members.contains(&node.id)
    })
}

fn update_metrics(node: &Node) {
    let hosts = node.hosts();
    let led = hosts.iter().filter(|host| host.leads()).count();
    let programs: usize = hosts
        .iter()
        .map(|host| host.state.borrow().programs.len())
        .sum();
    let lag: usize = hosts.iter().map(|host| host.archive.borrow().lag()).sum();
    let missing: usize = hosts
        .iter()
        .filter(|host| host.leads())
        .map(|host| missing_voters(node, host))
        .sum();
    node.metrics.missing_voters.set(missing as i64);
    node.metrics.shards_led.set(led as i64);
    node.metrics.replicas.set(hosts.len() as i64);
    node.metrics.programs.set(programs as i64);
    node.metrics.archive_lag.set(lag as i64);
}

fn missing_voters(node: &Node, host: &ShardHost) -> usize {
    let detector = node.detector.borrow();
    let core = host.core.borrow();
    let voters = core.members().voters.iter();
    let present = voters
        .filter(|id| !detector.table().is_surely_gone(**id))
        .count();
    node.settings.replicas.saturating_sub(present)
}
