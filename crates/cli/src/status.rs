//! The `status` and `shards` commands.

use crate::connection::Connection;
use crate::error::ClientError;
use crate::output::{OutputFormat, print};
use fieldhook_model::operator::{DaemonStatus, EngineStatus, ShardStatus};

/// Shows daemons, the configuration version, commands waiting for the log, and engines.
pub async fn show_status(connection: &Connection) -> Result<(), ClientError> {
    let status = connection.status().await?;
    if connection.format == OutputFormat::Json {
        print(OutputFormat::Json, &status, &[], &[]);
        return Ok(());
    }
    println!("asked          {}", status.address);
    println!("configuration  version {}", status.config_version);
    println!(
        "log            {} commands waiting",
        status.commands_waiting
    );
    println!(
        "shards         {} with a known owner\n",
        status.shards.len()
    );
    let daemons: Vec<Vec<String>> = status.daemons.iter().map(daemon_row).collect();
    print(
        OutputFormat::Table,
        &status.daemons,
        &["DAEMON", "ZONE", "STATE"],
        &daemons,
    );
    println!();
    print_engines(connection, &status.engines);
    Ok(())
}

fn daemon_row(daemon: &DaemonStatus) -> Vec<String> {
    vec![
        daemon.address.clone(),
        daemon.zone.clone(),
        daemon.state.clone(),
    ]
}

/// Prints a table or a JSON list of engines.
pub fn print_engines(connection: &Connection, engines: &[EngineStatus]) {
    let header = [
        "ENGINE", "NAME", "MODEL", "ZONE", "RUNNING", "WAITING", "CACHED", "STATE",
    ];
    let rows: Vec<Vec<String>> = engines.iter().map(engine_row).collect();
    print(connection.format, &engines, &header, &rows);
}

fn engine_row(engine: &EngineStatus) -> Vec<String> {
    let label = |name: &str| engine.labels.get(name).cloned().unwrap_or_default();
    let state = match (engine.reachable, engine.leaving) {
        (_, true) => "leaving",
        (true, false) => "serving",
        (false, false) => "unreachable",
    };
    vec![
        engine.address.clone(),
        label("name"),
        label("model"),
        label("zone"),
        engine.running.to_string(),
        engine.waiting.to_string(),
        engine.cached_tokens.to_string(),
        state.to_owned(),
    ]
}

/// Shows shards and their owners.
pub async fn show_shards(connection: &Connection) -> Result<(), ClientError> {
    let status = connection.status().await?;
    let rows: Vec<Vec<String>> = status.shards.iter().map(shard_row).collect();
    let header = ["SHARD", "EPOCH", "OWNER"];
    print(connection.format, &status.shards, &header, &rows);
    Ok(())
}

fn shard_row(shard: &ShardStatus) -> Vec<String> {
    vec![
        shard.shard.to_string(),
        shard.epoch.to_string(),
        shard.owner.clone().unwrap_or_else(|| "none".to_owned()),
    ]
}
