//! Checking from outside what must always hold, after a run.

use crate::cluster::Cluster;
use crate::load::{ServerOutcome, Tally};
use fieldhook_model::platform::Execution;
use ntex::time::{Millis, sleep};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const PAUSE: Millis = Millis(50);
/// A server whose record cannot be read in so many tries makes the audit fail.
const READ_TRIES: usize = 20;

/// Everything that did not hold, in words; empty if all held.
pub async fn audit(cluster: &Cluster, tally: &Tally, service: &str) -> Vec<String> {
    let mut broken = audit_answers(tally);
    match executions(cluster, service).await {
        Ok(executions) => broken.extend(audit_executions(tally, &executions)),
        Err(unread) => broken.push(format!("what ran at {unread} could not be read")),
    }
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
///
/// # Errors
/// A server whose record could not be read: without it nothing can be said of what ran.
pub async fn executions(cluster: &Cluster, service: &str) -> Result<BTreeMap<String, u32>, String> {
    let mut counts = BTreeMap::new();
    for server in cluster.servers(service) {
        let seen = executions_of(cluster, &server).await.ok_or(server)?;
        for (key, execution) in seen {
            *counts.entry(key).or_insert(0) += execution.count;
        }
    }
    Ok(counts)
}

async fn executions_of(cluster: &Cluster, server: &str) -> Option<BTreeMap<String, Execution>> {
    for _ in 0..READ_TRIES {
        if let Some(reply) = cluster.get(server, "/v1/executions").await
            && let Ok(seen) = serde_json::from_str(&reply.body)
        {
            return Some(seen);
        }
        sleep(PAUSE).await;
    }
    None
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
