//! Running a scenario: start, load, faults in time, checks, report.

use crate::audit::{audit, time_to_release};
use crate::cluster::{Cluster, EngineShape, ProcessError, Signal};
use crate::load::Load;
use crate::report::{FaultNote, Summary, WorkloadSummary, write_report};
use crate::scenario::{FaultKind, FaultSpec, Scenario};
use fieldhook_emulator::faults::FaultPlan;
use ntex::time::{Millis, sleep};
use std::error::Error;
use std::path::Path;
use std::time::{Duration, Instant};

const RUN_LIMIT: Duration = Duration::from_secs(600);
const RELEASE_LIMIT: Duration = Duration::from_secs(20);
const STOP_LIMIT: Duration = Duration::from_secs(60);
const PROGRESS: Duration = Duration::from_secs(5);
const CHECK: Millis = Millis(20);
const LOST_ANSWERS: u32 = 4;
const SLOW_LOG_MS: u64 = 800;

/// Runs a scenario and writes its report; true if nothing was violated.
///
/// # Errors
/// The cluster cannot be started, or the report cannot be written.
pub async fn run(scenario: &Scenario, folder: &Path) -> Result<bool, Box<dyn Error>> {
    fastrand::seed(scenario.seed);
    let mut cluster = Cluster::start(scenario.shape(), &folder.join("cluster")).await?;
    cluster.wait_whole().await?;
    let gateways = cluster.gateways();
    let begun = Instant::now();
    let loads: Vec<Load> = scenario
        .workload
        .iter()
        .map(|spec| Load::start(&cluster.client, &gateways, &spec.workload()))
        .collect();
    let faults = cause_faults(&mut cluster, &scenario.fault, begun).await?;
    wait_for_end(&loads, begun).await;
    let mut summary = Summary::new(&scenario.name, scenario.seed, begun.elapsed(), faults);
    for (spec, load) in scenario.workload.iter().zip(&loads) {
        let over = load.is_over();
        let tally = load.take_tally();
        summary
            .violations
            .extend(audit(&cluster, &tally, &spec.service).await);
        if !over {
            summary
                .violations
                .push(format!("{}: programs did not end in time", spec.name));
        }
        match time_to_release(&cluster, &tally.programs, RELEASE_LIMIT).await {
            Some(span) => summary.release_ms = summary.release_ms.max(span.as_millis() as u64),
            None => summary
                .violations
                .push("engines hold memory for ended programs".to_owned()),
        }
        summary
            .workloads
            .push(WorkloadSummary::new(&spec.name, &tally));
    }
    summary.read_daemons(&cluster).await;
    write_report(&summary, folder)?;
    Ok(summary.violations.is_empty())
}

async fn wait_for_end(loads: &[Load], begun: Instant) {
    let mut said = Instant::now();
    while !loads.iter().all(Load::is_over) && begun.elapsed() < RUN_LIMIT {
        if said.elapsed() > PROGRESS {
            said = Instant::now();
            let answered: u64 = loads.iter().map(|load| load.tally.borrow().answered).sum();
            println!(
                "{:>5.0} s  {answered} calls answered",
                begun.elapsed().as_secs_f64()
            );
        }
        sleep(CHECK).await;
    }
}

async fn cause_faults(
    cluster: &mut Cluster,
    faults: &[FaultSpec],
    begun: Instant,
) -> Result<Vec<FaultNote>, ProcessError> {
    let mut notes = Vec::new();
    for fault in faults {
        while begun.elapsed() < Duration::from_millis(fault.at_ms) {
            sleep(CHECK).await;
        }
        println!(
            "{:>5.1} s  {:?} {}",
            begun.elapsed().as_secs_f64(),
            fault.kind,
            fault.target
        );
        let at_ms = begun.elapsed().as_millis() as u64;
        cause(cluster, fault).await?;
        notes.push(FaultNote {
            at_ms,
            kind: format!("{:?}", fault.kind),
            target: fault.target,
        });
    }
    Ok(notes)
}

async fn cause(cluster: &mut Cluster, fault: &FaultSpec) -> Result<(), ProcessError> {
    let span = Millis(fault.for_ms as u32);
    match fault.kind {
        FaultKind::KillDaemon => {
            cluster.kill_daemon(fault.target);
            sleep(span).await;
            cluster.start_daemon(fault.target)?;
            cluster.wait_whole().await
        }
        FaultKind::StopDaemon => {
            cluster.signal_daemon(fault.target, Signal::Terminate);
            if let Some(mut process) = cluster.daemons[fault.target].process.take() {
                process.wait(STOP_LIMIT).await;
            }
            cluster.start_daemon(fault.target)?;
            cluster.wait_whole().await
        }
        FaultKind::FreezeDaemon => {
            cluster.signal_daemon(fault.target, Signal::Stop);
            sleep(span).await;
            cluster.signal_daemon(fault.target, Signal::Continue);
            Ok(())
        }
        FaultKind::KillEngine => kill_engine(cluster, fault.target, span).await,
        FaultKind::LogDown => {
            fault_log(
                cluster,
                FaultPlan {
                    down: true,
                    ..FaultPlan::default()
                },
                span,
            )
            .await;
            Ok(())
        }
        FaultKind::LogSlow => {
            let slow = FaultPlan {
                slow_ms: SLOW_LOG_MS,
                ..FaultPlan::default()
            };
            fault_log(cluster, slow, span).await;
            Ok(())
        }
        FaultKind::LoseServerAnswers => {
            let lose = FaultPlan {
                lose_answers: LOST_ANSWERS,
                ..FaultPlan::default()
            };
            for (service, _) in cluster.shape.services.clone() {
                for server in cluster.servers(&service) {
                    cluster.set_faults(&server, &lose).await;
                }
            }
            Ok(())
        }
    }
}

async fn fault_log(cluster: &Cluster, plan: FaultPlan, span: Millis) {
    cluster.set_faults(&cluster.log, &plan).await;
    sleep(span).await;
    cluster
        .set_faults(&cluster.log, &FaultPlan::default())
        .await;
}

async fn kill_engine(
    cluster: &mut Cluster,
    target: usize,
    span: Millis,
) -> Result<(), ProcessError> {
    let address = cluster.engines()[target].clone();
    let shape: EngineShape = cluster.shape.engines[target].clone();
    if let Some(process) = cluster.stand_ins.get_mut(&address) {
        process.kill();
    }
    sleep(span).await;
    cluster.start_engine(&address, &shape)
}
