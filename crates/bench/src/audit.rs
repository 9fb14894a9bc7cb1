//! Checking from outside what must always hold, after a run.

use crate::cluster::Cluster;
use crate::load::{ServerOutcome, Tally};
use fieldhook_model::platform::Execution;
use ntex::time::{Millis, sleep};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const PAUSE: Millis = Millis(50);

/// Everything that did not hold, in words; empty if all held.
pub async fn audit(cluster: &Cluster, tally: &Tally, service: &str) -> Vec<String> {
    let mut broken = audit_answers(tally);
    let executions = executions(cluster, service).await;
    broken.extend(audit_executions(tally, &executions));
    broken
}

/// What the callers themselves noticed.
pub fn audit_answers(tally: &Tally) -> Vec<String> {
    let mut broken: Vec<String> = tally
        .violations
        .iter()
        .map(|violation| format!("whole answer: {violation}"))
        .collect();
    broken.extend(
        tally
            .wrong_histories
            .iter()
            .map(|id| format!("history of {id} differs")),
    );
    broken.extend(
        tally
            .overspent
            .iter()
            .map(|id| format!("{id} spent beyond its budget")),
    );
    broken.extend(
        tally
            .no_answer
            .iter()
            .map(|cause| format!("no final answer: {cause}")),
    );
    broken
}

/// What ran at the servers against what callers were told.
pub fn audit_executions(tally: &Tally, executions: &BTreeMap<String, u32>) -> Vec<String> {
    let mut broken = Vec::new();
    for (key, count) in executions {
        if *count > 1 {
            broken.push(format!("{key} is not repeatable and ran {count} times"));
        }
    }
    for (key, outcome) in &tally.server_outcomes {
        let ran = executions.get(key).copied().unwrap_or(0) > 0;
        match outcome {
            ServerOutcome::Answered if !ran => broken.push(format!("{key} answered but not run")),
            ServerOutcome::NotRun if ran => {
                broken.push(format!("{key} refused as not run, but ran"))
            }
            _ => {}
        }
    }
    broken
}

/// How often each key ran at the servers of a service.
pub async fn executions(cluster: &Cluster, service: &str) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for server in cluster.servers(service) {
        let Some(reply) = cluster.get(&server, "/v1/executions").await else {
            continue;
        };
        let seen: BTreeMap<String, Execution> =
            serde_json::from_str(&reply.body).unwrap_or_default();
        for (key, execution) in seen {
            *counts.entry(key).or_insert(0) += execution.count;
        }
    }
    counts
}

/// Time until engines hold nothing for the ended programs; nothing if they
/// still do after the limit.
pub async fn time_to_release(
    cluster: &Cluster,
    programs: &[String],
    limit: Duration,
) -> Option<Duration> {
    let begun = Instant::now();
    let ended: BTreeSet<&String> = programs.iter().collect();
    while begun.elapsed() < limit {
        let held = programs_held(cluster).await;
        if !held.iter().any(|program| ended.contains(program)) {
            return Some(begun.elapsed());
        }
        sleep(PAUSE).await;
    }
    None
}

async fn programs_held(cluster: &Cluster) -> BTreeSet<String> {
    let mut held = BTreeSet::new();
    for engine in cluster.engines() {
        let Some(reply) = cluster.get(&engine, "/v1/programs").await else {
            continue;
        };
        let programs: BTreeMap<String, u64> = serde_json::from_str(&reply.body).unwrap_or_default();
        held.extend(programs.into_keys());
    }
    held
}
