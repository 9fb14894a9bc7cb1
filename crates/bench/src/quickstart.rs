//! The quickstart: starts a cluster on loopback, publishes a configuration, holds a short
//! checkout conversation, and ends it.

use crate::caller::{CallOutcome, Caller};
use crate::cluster::{Cluster, ClusterConfig};
use fieldhook_model::api::Answer;
use fieldhook_model::config_log::{CONFIG_STREAM, ConfigChange};
use ntex::http::Method;
use ntex::time::{Millis, sleep};
use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);
const BUDGET: i64 = 100_000;
const MAX_CHECKS: u32 = 100;
const CHECK_INTERVAL: Millis = Millis(50);

/// The configuration that the quickstart publishes.
pub const CONFIGURATION: &str = include_str!("../../../scenarios/quickstart-config.toml");

type QuickstartResult<T> = Result<T, Box<dyn Error>>;

/// Runs the quickstart; with `keep` the processes are left running.
///
/// # Errors
/// A step failed; the later ones are not run.
pub async fn run(keep: bool, folder: &Path) -> QuickstartResult<()> {
    println!("Starting log, machine list, 3 engines, 2 servers and 3 daemons in 3 zones ...");
    let cluster = Cluster::start(ClusterConfig::default(), folder).await?;
    publish(&cluster).await?;
    run_conversation(&cluster).await?;
    if keep {
        print_instructions(&cluster);
        cluster.detach();
    } else {
        println!("Stopping everything that was started.");
    }
    Ok(())
}

async fn publish(cluster: &Cluster) -> QuickstartResult<()> {
    let change = ConfigChange {
        based_on: 0,
        change_key: "quickstart".to_owned(),
        author: "quickstart".to_owned(),
        document: CONFIGURATION.to_owned(),
    };
    let url = format!("http://{}/v1/streams/{CONFIG_STREAM}", cluster.log);
    let body = serde_json::to_vec(&change)?;
    cluster
        .client
        .fetch(Method::POST, &url, &[], body, TIMEOUT)
        .await?;
    for daemon in &cluster.daemons {
        wait_for_version(cluster, &daemon.address, 1).await?;
    }
    println!("Configuration version 1 is applied on all daemons.");
    Ok(())
}

/// Waits until a daemon has applied a configuration version.
///
/// # Errors
/// The daemon has not applied it in time.
pub async fn wait_for_version(
    cluster: &Cluster,
    daemon: &str,
    version: u64,
) -> QuickstartResult<()> {
    for _ in 0..MAX_CHECKS {
        if let Some(response) = cluster.get(daemon, "/v1/config").await {
            let config: serde_json::Value = serde_json::from_str(&response.body)?;
            if config["version"].as_u64() >= Some(version) {
                return Ok(());
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
    Err(format!("{daemon} did not apply configuration version {version} in time").into())
}

async fn run_conversation(cluster: &Cluster) -> QuickstartResult<()> {
    let daemons = cluster.daemon_addresses();
    let mut caller =
        Caller::open(&cluster.client, &daemons, "tambak", "checkout-1", BUDGET).await?;
    println!("Program {} is open.\n", caller.program);
    run_turn(
        &mut caller,
        "May I pay the 900 ringgit phone in instalments?",
    )
    .await?;
    let limit = require_answer(caller.call_server("limits", "limit/shopper-7", true).await)?;
    println!("tool  limits       {}: {}", limit.served_by, limit.content);
    run_turn(
        &mut caller,
        "The limit look-up says 1200 ringgit. Which plans are there?",
    )
    .await?;
    run_turn(&mut caller, "I take three instalments.").await?;
    let plan = require_answer(caller.call_server("instalments", "plans", false).await)?;
    println!(
        "tool  instalments  {}: {} (not repeatable)",
        plan.served_by, plan.content
    );
    run_turn(&mut caller, "The plan is created. Please confirm it.").await?;
    if let Some(violation) = caller.violations.first() {
        return Err(format!("incorrect answer: {violation}").into());
    }
    let executions = execution_counts(cluster, "instalments").await?;
    println!("\nThe instalment plan was created {executions:?} time(s).");
    if executions != [1] {
        return Err("the request that is not repeatable did not run exactly once".into());
    }
    end_program(cluster, &mut caller).await
}

async fn run_turn(caller: &mut Caller, text: &str) -> QuickstartResult<()> {
    println!("user  {text}");
    let answer = require_answer(caller.call_model("chat", text, 12).await)?;
    println!(
        "model {}\n      served by {}, {} of {} prompt tokens cached, first token after {:.1} ms",
        answer.content,
        answer.served_by,
        answer.usage.cached_tokens,
        answer.usage.prompt_tokens,
        caller.times.first_token.unwrap_or_default().as_secs_f64() * 1e3,
    );
    Ok(())
}

fn require_answer(outcome: CallOutcome) -> QuickstartResult<Answer> {
    match outcome {
        CallOutcome::Answered(answer) => Ok(answer),
        other => Err(format!("no answer: {other:?}").into()),
    }
}

/// Returns the execution counts of all request keys at the servers of a service.
///
/// # Errors
/// A server does not respond.
pub async fn execution_counts(cluster: &Cluster, service: &str) -> QuickstartResult<Vec<u64>> {
    let mut counts = Vec::new();
    for server in cluster.servers(service) {
        let response = cluster
            .get(&server, "/v1/executions")
            .await
            .ok_or("a server does not respond")?;
        let executions: BTreeMap<String, serde_json::Value> = serde_json::from_str(&response.body)?;
        counts.extend(
            executions
                .values()
                .filter_map(|execution| execution["count"].as_u64()),
        );
    }
    Ok(counts)
}

async fn end_program(cluster: &Cluster, caller: &mut Caller) -> QuickstartResult<()> {
    let tokens = cached_tokens(cluster, &caller.program).await;
    println!("Before the program ends, engines have {tokens} tokens cached for it.");
    if !caller.end_program().await {
        return Err("the program's end was not acknowledged".into());
    }
    for _ in 0..MAX_CHECKS {
        if cached_tokens(cluster, &caller.program).await == 0 {
            println!("After its end, they have 0.");
            return Ok(());
        }
        sleep(CHECK_INTERVAL).await;
    }
    Err("engines still have tokens cached for the ended program".into())
}

/// Returns the number of tokens that all engines together have cached for a program.
pub async fn cached_tokens(cluster: &Cluster, program: &str) -> u64 {
    let mut sum = 0;
    for engine in cluster.engines() {
        let Some(response) = cluster.get(&engine, "/v1/programs").await else {
            continue;
        };
        let cached: BTreeMap<String, u64> =
            serde_json::from_str(&response.body).unwrap_or_default();
        sum += cached.get(program).copied().unwrap_or(0);
    }
    sum
}

fn print_instructions(cluster: &Cluster) {
    let ids: Vec<String> = cluster.process_ids().iter().map(u32::to_string).collect();
    println!("\nThe cluster is left running. Daemons:");
    for daemon in &cluster.daemons {
        println!("  http://{} in zone {}", daemon.address, daemon.zone);
    }
    println!(
        "Platform log: {}; logs and settings: {}",
        cluster.log,
        cluster.folder.display()
    );
    println!("Send requests to it as described in docs/API.md, for example:");
    println!("  curl -s http://{}/v1/status", cluster.daemons[0].address);
    println!("Stop it with:\n  kill {}", ids.join(" "));
}
