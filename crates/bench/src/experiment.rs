//! Runs a scenario: starts the cluster and the load, injects the faults on schedule, checks
//! the guarantees, and writes the report.

use crate::audit::{audit, time_to_release};
use crate::cluster::{Cluster, EngineConfig, ProcessError, Signal};
use crate::load::Load;
use crate::report::{InjectedFault, Summary, WorkloadSummary, write_report};
use crate::scenario::{FaultKind, FaultSpec, Scenario};
use fieldhook_emulator::faults::FaultPlan;
use ntex::time::{Millis, sleep};
use std::error::Error;
use std::path::Path;
use std::time::{Duration, Instant};

const RUN_LIMIT: Duration = Duration::from_secs(600);
const RELEASE_LIMIT: Duration = Duration::from_secs(20);
const STOP_LIMIT: Duration = Duration::from_secs(60);
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Millis = Millis(20);
const LOST_ANSWERS: u32 = 4;
const SLOW_LOG_MS: u64 = 800;

/// Runs a scenario and writes its report; returns whether all guarantees held.
///
/// # Errors
/// The cluster cannot be started, or the report cannot be written.
pub async fn run(scenario: &Scenario, folder: &Path) -> Result<bool, Box<dyn Error>> {
    fastrand::seed(scenario.seed);
    let mut cluster = Cluster::start(scenario.cluster_config(), &folder.join("cluster")).await?;
    cluster.wait_shards_owned().await?;
    let daemons = cluster.daemon_addresses();
    let started = Instant::now();
    let loads: Vec<Load> = scenario
        .workload
        .iter()
        .map(|spec| Load::start(&cluster.client, &daemons, &spec.workload()))
        .collect();
    let faults = inject_faults(&mut cluster, &scenario.fault, started).await?;
    wait_for_end(&loads, started).await;
    let mut summary = Summary::new(&scenario.name, scenario.seed, started.elapsed(), faults);
    for (spec, load) in scenario.workload.iter().zip(&loads) {
        let finished = load.is_finished();
        let stats = load.take_stats();
        summary
            .violations
            .extend(audit(&cluster, &stats, &spec.service).await);
        if !finished {
            summary
                .violations
                .push(format!("{}: programs did not end in time", spec.name));
        }
        match time_to_release(&cluster, &stats.programs, RELEASE_LIMIT).await {
            Some(duration) => {
                summary.release_ms = summary.release_ms.max(duration.as_millis() as u64)
            }
            None => summary
                .violations
                .push("engines still have tokens cached for ended programs".to_owned()),
        }
        summary
            .workloads
            .push(WorkloadSummary::new(&spec.name, &stats));
    }
    summary.add_daemons(&cluster).await;
    write_report(&summary, folder)?;
    Ok(summary.violations.is_empty())
}

async fn wait_for_end(loads: &[Load], started: Instant) {
    let mut last_progress = Instant::now();
    while !loads.iter().all(Load::is_finished) && started.elapsed() < RUN_LIMIT {
        if last_progress.elapsed() > PROGRESS_INTERVAL {
            last_progress = Instant::now();
            let answered: u64 = loads.iter().map(|load| load.stats.borrow().answered).sum();
            println!(
                "{:>5.0} s  {answered} calls answered",
                started.elapsed().as_secs_f64()
            );
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn inject_faults(
    cluster: &mut Cluster,
    faults: &[FaultSpec],
    started: Instant,
) -> Result<Vec<InjectedFault>, ProcessError> {
    let mut injected = Vec::new();
    for fault in faults {
        while started.elapsed() < Duration::from_millis(fault.at_ms) {
            sleep(POLL_INTERVAL).await;
        }
        println!(
            "{:>5.1} s  {:?} {}",
            started.elapsed().as_secs_f64(),
            fault.kind,
            fault.target
        );
        let at_ms = started.elapsed().as_millis() as u64;
        inject_fault(cluster, fault).await?;
        injected.push(InjectedFault {
            at_ms,
            kind: format!("{:?}", fault.kind),
            target: fault.target,
        });
    }
    Ok(injected)
}

async fn inject_fault(cluster: &mut Cluster, fault: &FaultSpec) -> Result<(), ProcessError> {
    let duration = Millis(fault.for_ms as u32);
    match fault.kind {
        FaultKind::KillDaemon => {
            cluster.kill_daemon(fault.target);
            sleep(duration).await;
            cluster.start_daemon(fault.target)?;
            cluster.wait_shards_owned().await
        }
        FaultKind::StopDaemon => {
            cluster.signal_daemon(fault.target, Signal::Terminate);
            if let Some(mut process) = cluster.daemons[fault.target].process.take() {
                process.wait(STOP_LIMIT).await;
            }
            cluster.start_daemon(fault.target)?;
            cluster.wait_shards_owned().await
        }
        FaultKind::FreezeDaemon => {
            cluster.signal_daemon(fault.target, Signal::Stop);
            sleep(duration).await;
            cluster.signal_daemon(fault.target, Signal::Continue);
            Ok(())
        }
        FaultKind::KillEngine => kill_and_restart_engine(cluster, fault.target, duration).await,
        FaultKind::LogDown => {
            inject_log_fault(
                cluster,
                FaultPlan {
                    down: true,
                    ..FaultPlan::default()
                },
                duration,
            )
            .await;
            Ok(())
        }
        FaultKind::LogSlow => {
            let slow = FaultPlan {
                slow_ms: SLOW_LOG_MS,
                ..FaultPlan::default()
            };
            inject_log_fault(cluster, slow, duration).await;
            Ok(())
        }
        FaultKind::LoseServerAnswers => {
            let lose = FaultPlan {
                lose_answers: LOST_ANSWERS,
                ..FaultPlan::default()
            };
            for (service, _) in cluster.config.services.clone() {
                for server in cluster.servers(&service) {
                    cluster.set_faults(&server, &lose).await;
                }
            }
            Ok(())
        }
    }
}

async fn inject_log_fault(cluster: &Cluster, plan: FaultPlan, duration: Millis) {
    cluster.set_faults(&cluster.log, &plan).await;
    sleep(duration).await;
    cluster
        .set_faults(&cluster.log, &FaultPlan::default())
        .await;
}

async fn kill_and_restart_engine(
    cluster: &mut Cluster,
    target: usize,
    duration: Millis,
) -> Result<(), ProcessError> {
    let address = cluster.engines()[target].clone();
    let config: EngineConfig = cluster.config.engines[target].clone();
    if let Some(process) = cluster.emulators.get_mut(&address) {
        process.kill();
    }
    sleep(duration).await;
    cluster.start_engine(&address, &config)
}
