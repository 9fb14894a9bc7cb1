//! Checks of the guarantees after a run, by what callers and servers observed: answers are correct,
//! budgets are kept, and requests that are not repeatable run at most once.

use crate::cluster::Cluster;
use crate::load::{LoadStats, ServerOutcome};
use fieldhook_model::platform::Execution;
use ntex::time::{Millis, sleep};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const POLL_INTERVAL: Millis = Millis(50);
/// Number of attempts to read the executions of a server; if all fail, the audit reports a violation.
const MAX_READ_ATTEMPTS: usize = 20;

/// Returns a description of each violated guarantee; empty if there are none.
pub async fn audit(cluster: &Cluster, stats: &LoadStats, service: &str) -> Vec<String> {
    let mut violations = check_callers(stats);
    match executions(cluster, service).await {
        Ok(executions) => violations.extend(check_executions(stats, &executions)),
        Err(server) => violations.push(format!("cannot read the executions of server {server}")),
    }
    violations
}

/// Returns the violations that the callers detected.
pub fn check_callers(stats: &LoadStats) -> Vec<String> {
    let mut violations: Vec<String> = stats
        .violations
        .iter()
        .map(|violation| format!("incorrect answer: {violation}"))
        .collect();
    violations.extend(
        stats
            .history_mismatches
            .iter()
            .map(|id| format!("history of {id} differs from the caller's copy")),
    );
    violations.extend(
        stats
            .over_budget
            .iter()
            .map(|id| format!("{id} exceeded its budget")),
    );
    violations.extend(
        stats
            .unanswered
            .iter()
            .map(|cause| format!("no final response: {cause}")),
    );
    violations
}

/// Compares the executions at the servers with the outcomes reported to the callers.
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
                violations.push(format!("{key} was answered but did not run"))
            }
            ServerOutcome::NotRun if ran => {
                violations.push(format!("{key} was refused as not run, but ran"))
            }
            _ => {}
        }
    }
    violations
}

/// Returns how often each request key was executed by the servers of a service.
///
/// # Errors
/// The address of a server whose executions cannot be read; without them the counts would be
/// incomplete.
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

/// Waits until no engine has tokens cached for the given programs and returns the time this
/// took; `None` if it exceeds the limit.
pub async fn time_to_release(
    cluster: &Cluster,
    programs: &[String],
    limit: Duration,
) -> Option<Duration> {
    let started = Instant::now();
    let ended: BTreeSet<&String> = programs.iter().collect();
    while started.elapsed() < limit {
        let cached = programs_with_cache(cluster).await;
        if !cached.iter().any(|program| ended.contains(program)) {
            return Some(started.elapsed());
        }
        sleep(POLL_INTERVAL).await;
    }
    None
}

async fn programs_with_cache(cluster: &Cluster) -> BTreeSet<String> {
    let mut cached = BTreeSet::new();
    for engine in cluster.engines() {
        let Some(response) = cluster.get(&engine, "/v1/programs").await else {
            continue;
        };
        let programs: BTreeMap<String, u64> =
            serde_json::from_str(&response.body).unwrap_or_default();
        cached.extend(programs.into_keys());
    }
    cached
}
