//! What the process tests share.

use fieldhook_bench::audit::{audit, time_to_release};
use fieldhook_bench::cluster::{Cluster, ClusterConfig};
use fieldhook_bench::load::{Load, LoadStats, Workload};
use ntex::time::{Millis, sleep};
use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

static TEST_LOCK: Mutex<()> = Mutex::new(());
pub const RUN_LIMIT: Duration = Duration::from_secs(100);
const RELEASE_LIMIT: Duration = Duration::from_secs(10);

/// Runs a test on the runtime of the clients, with the machine to itself.
pub fn run<F: Future<Output = ()> + 'static>(test: F) {
    let _alone = TEST_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    ntex::rt::System::build()
        .build(ntex::rt::DefaultRuntime)
        .block_on(test);
}

pub fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

pub async fn start(name: &str, config: ClusterConfig) -> Cluster {
    Cluster::start(config, &folder(name))
        .await
        .expect("the cluster starts")
}

pub fn start_load(cluster: &Cluster, workload: &Workload) -> Load {
    Load::start(&cluster.client, &cluster.gateways(), workload)
}

/// Waits for the load's end and checks everything.
pub async fn finish_and_check(cluster: &Cluster, load: &Load, workload: &Workload) -> LoadStats {
    assert!(load.wait(RUN_LIMIT).await, "programs did not end in time");
    let stats = load.take_stats();
    let violations = audit(cluster, &stats, &workload.service).await;
    assert!(violations.is_empty(), "violations: {violations:#?}");
    assert_eq!(stats.finished, workload.programs as u64);
    let released = time_to_release(cluster, &stats.programs, RELEASE_LIMIT).await;
    assert!(released.is_some(), "engines hold memory for ended programs");
    eprintln!(
        "answered {} refused {} asked again {} broken {} longest pause {} ms",
        stats.answered,
        stats.refused.len(),
        stats.retries,
        stats.interruptions,
        stats.pauses.max() / 1_000,
    );
    stats
}

pub async fn sleep_ms(ms: u32) {
    sleep(Millis(ms)).await;
}

pub fn metric(text: &str, name: &str) -> f64 {
    let line = text
        .lines()
        .find(|line| line.starts_with(name) && !line.starts_with('#'));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
        .unwrap_or(0.0)
}

pub async fn commands_waiting(cluster: &Cluster) -> f64 {
    let mut lag = 0.0;
    for daemon in &cluster.daemons {
        if let Some(response) = cluster.get(&daemon.address, "/metrics").await {
            lag += metric(&response.body, "fieldhook_commands_waiting");
        }
    }
    lag
}

/// Requests that an engine has taken so far: its newest cache event counts them.
pub async fn accepted_requests(cluster: &Cluster, engine: &str) -> u64 {
    let response = cluster
        .get(engine, "/control/generated")
        .await
        .expect("engine answers");
    response.body.trim().parse().expect("a number")
}
