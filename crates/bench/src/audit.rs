//! Checking from outside what must always hold, after a run.

use crate::cluster::Cluster;
use crate::load::{LoadStats, ServerOutcome};
use fieldhook_model::platform::Execution;
use ntex::time::{Millis, sleep};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const POLL_INTERVAL: Millis = Millis(50);
/// A server whose record cannot be read in so many tries makes the audit fail.
const MAX_READ_ATTEMPTS: usize = 20;

/// Everything that did not hold, in words; empty if all held.
pub async fn audit(cluster: &Cluster, stats: &LoadStats, service: &str) -> Vec<String> {
    let mut violations = check_callers(stats);
    match executions(cluster, service).await {
        Ok(executions) => violations.extend(check_executions(stats, &executions)),
        Err(server) => violations.push(format!("what ran at {server} could not be read")),
    }
    violations
}

/// What the callers themselves noticed.
pub fn check_callers(stats: &LoadStats) -> Vec<String> {
    let mut violations: Vec<String> = stats
        .violations
        .iter()
        .map(|violation| format!("whole answer: {violation}"))
        .collect();
    violations.extend(
        stats
            .history_mismatches
            .iter()
            .map(|id| format!("history of {id} differs")),
    );
    violations.extend(
        stats
            .over_budget
            .iter()
            .map(|id| format!("{id} spent beyond its budget")),
    );
    violations.extend(
        stats
            .unanswered
            .iter()
            .map(|cause| format!("no final answer: {cause}")),
    );
    violations
}

/// What ran at the servers against what callers were told.
pub fn check_executions(stats: &LoadStats, executions: &BTreeMap<String, u32>) -> Vec<String> {
    let mut violations = Vec::new();
    for (key, count) in executions {
        if *count > 1 {
            violations.push(format!("{key} is not repeatable and ran {count} times"));
        }
    }
    for (key, outcome) in &stats.server_outcomes {
        let ran = executions.get(key).copied().unwrap_or(0) > 0;
        match outcome {
            ServerOutcome::Answered if !ran => {
                violations.push(format!("{key} answered but not run"))
            }
            ServerOutcome::NotRun if ran => {
                violations.push(format!("{key} refused as not run, but ran"))
            }
            _ => {}
        }
    }
    violations
}

/// How often each key ran at the servers of a service.
///
/// # Errors
/// A server whose record could not be read: without it nothing can be said of what ran.
pub async fn executions(cluster: &Cluster, service: &str) -> Result<BTreeMap<String, u32>, String> {
    let mut counts = BTreeMap::new();
    for server in cluster.servers(service) {
        let executions = executions_of(cluster, &server).await.ok_or(server)?;
        for (key, execution) in executions {
            *counts.entry(key).or_insert(0) += execution.count;
        }
    }
    Ok(counts)
}

async fn executions_of(cluster: &Cluster, server: &str) -> Option<BTreeMap<String, Execution>> {
    for _ in 0..MAX_READ_ATTEMPTS {
        if let Some(response) = cluster.get(server, "/v1/executions").await
            && let Ok(executions) = serde_json::from_str(&response.body)
        {
            return Some(executions);
        }
        sleep(POLL_INTERVAL).await;
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
    let started = Instant::now();
    let ended: BTreeSet<&String> = programs.iter().collect();
    while started.elapsed() < limit {
        let held = programs_with_cache(cluster).await;
        if !held.iter().any(|program| ended.contains(program)) {
            return Some(started.elapsed());
        }
        sleep(POLL_INTERVAL).await;
    }
    None
}

async fn programs_with_cache(cluster: &Cluster) -> BTreeSet<String> {
    let mut held = BTreeSet::new();
    for engine in cluster.engines() {
        let Some(response) = cluster.get(&engine, "/v1/programs").await else {
            continue;
        };
        let programs: BTreeMap<String, u64> =
            serde_json::from_str(&response.body).unwrap_or_default();
        held.extend(programs.into_keys());
    }
    held
}
