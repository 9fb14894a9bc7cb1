//! Measures how a daemon's memory grows per idle program and per megabyte of history.

use crate::caller::{CallOutcome, Caller};
use crate::cluster::{Cluster, ClusterConfig};
use crate::report::resident_memory_kb;
use ntex::time::{Millis, sleep};
use serde::Serialize;
use std::error::Error;
use std::path::Path;

const SETTLE_TIME: Millis = Millis(1_500);
const MESSAGE_BYTES: usize = 64 << 10;
const BUDGET: i64 = 1_000_000_000;

/// Results of one run; each of the three daemons keeps a copy of every program.
#[derive(Clone, Debug, Serialize)]
pub struct MemoryReport {
    /// Number of idle programs that were opened.
    pub programs: usize,
    /// Bytes of history added.
    pub history_bytes: usize,
    /// Memory of a daemon at the start, in kilobytes (mean of the three daemons).
    pub empty_kb: f64,
    /// Memory of a daemon with the idle programs, in kilobytes (mean of the three daemons).
    pub idle_kb: f64,
    /// Memory of a daemon with the idle programs and the history, in kilobytes (mean of the three
    /// daemons).
    pub history_kb: f64,
    /// Kilobytes per 1,000 idle programs.
    pub kb_per_1000_programs: f64,
    /// Megabytes of memory per megabyte of history.
    pub per_history_megabyte: f64,
}

/// Measures with the given numbers of idle programs and megabytes of history.
///
/// # Errors
/// The cluster cannot be started or a call fails.
pub async fn measure(
    programs: usize,
    megabytes: usize,
    folder: &Path,
) -> Result<MemoryReport, Box<dyn Error>> {
    let cluster = Cluster::start(ClusterConfig::default(), folder).await?;
    cluster.wait_shards_owned().await?;
    let daemons = cluster.daemon_addresses();
    sleep(SETTLE_TIME).await;
    let empty_kb = mean_memory_kb(&cluster);
    let mut callers = Vec::new();
    for index in 0..programs {
        let key = format!("idle-{index}");
        callers.push(Caller::open(&cluster.client, &daemons, "riga", &key, BUDGET).await?);
    }
    sleep(SETTLE_TIME).await;
    let idle_kb = mean_memory_kb(&cluster);
    let content = "goal ".repeat(MESSAGE_BYTES / 5);
    let messages = (megabytes << 20) / content.len();
    for index in 0..messages {
        let caller_index = index % callers.len();
        let outcome = callers[caller_index].call_model("chat", &content, 1).await;
        if !matches!(outcome, CallOutcome::Answered(_)) {
            return Err(format!("no answer: {outcome:?}").into());
        }
    }
    sleep(SETTLE_TIME).await;
    let history_kb = mean_memory_kb(&cluster);
    let history_bytes = messages * content.len();
    Ok(MemoryReport {
        programs,
        history_bytes,
        empty_kb,
        idle_kb,
        history_kb,
        kb_per_1000_programs: (idle_kb - empty_kb) / programs as f64 * 1e3,
        per_history_megabyte: (history_kb - idle_kb) * 1024.0 / history_bytes as f64,
    })
}

fn mean_memory_kb(cluster: &Cluster) -> f64 {
    let processes = cluster
        .daemons
        .iter()
        .filter_map(|daemon| daemon.process.as_ref());
    let sizes: Vec<u64> = processes
        .map(|process| resident_memory_kb(process.id()))
        .collect();
    sizes.iter().sum::<u64>() as f64 / sizes.len().max(1) as f64
}
