//! Helpers for the process tests.

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

/// Runs a test on the ntex runtime while no other process test is running.
pub fn run_exclusively<F: Future<Output = ()> + 'static>(test: F) {
    let _guard = TEST_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    ntex::rt::System::build()
        .build(ntex::rt::DefaultRuntime)
        .block_on(test);
}

pub fn empty_folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

pub async fn start(name: &str, config: ClusterConfig) -> Cluster {
    Cluster::start(config, &empty_folder(name))
        .await
        .expect("the cluster starts")
}

pub fn start_load(cluster: &Cluster, workload: &Workload) -> Load {
    Load::start(&cluster.client, &cluster.daemon_addresses(), workload)
}

/// Waits until the load has finished, then checks the guarantees and that the engines release
/// the cache of the ended programs.
pub async fn finish_and_check(cluster: &Cluster, load: &Load, workload: &Workload) -> LoadStats {
    assert!(load.wait(RUN_LIMIT).await, "programs did not end in time");
    let stats = load.take_stats();
    let violations = audit(cluster, &stats, &workload.service).await;
    assert!(violations.is_empty(), "violations: {violations:#?}");
    assert_eq!(stats.finished, workload.programs as u64);
    let released = time_to_release(cluster, &stats.programs, RELEASE_LIMIT).await;
    assert!(
        released.is_some(),
        "engines still have tokens cached for ended programs"
    );
    eprintln!(
        "answered {} refused {} retries {} interruptions {} longest pause {} ms",
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

/// Returns the value of the first metric whose line starts with a name; 0 if there is none.
pub fn metric(text: &str, name: &str) -> f64 {
    let line = text
        .lines()
        .find(|line| line.starts_with(name) && !line.starts_with('#'));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
        .unwrap_or(0.0)
}

/// Returns the sum of the metric `fieldhook_commands_waiting` over all daemons that respond.
pub async fn commands_waiting(cluster: &Cluster) -> f64 {
    let mut waiting = 0.0;
    for daemon in &cluster.daemons {
        if let Some(response) = cluster.get(&daemon.address, "/metrics").await {
            waiting += metric(&response.body, "fieldhook_commands_waiting");
        }
    }
    waiting
}

/// Returns the number of generate requests that an engine has accepted so far.
pub async fn accepted_requests(cluster: &Cluster, engine: &str) -> u64 {
    let response = cluster
        .get(engine, "/control/generated")
        .await
        .expect("the engine responds");
    response.body.trim().parse().expect("the body is a number")
}
