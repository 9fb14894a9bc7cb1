//! The `programs` command, and `explain` without logs.

use crate::arguments::{ProgramsArguments, ProgramsCommand};
use crate::connection::Connection;
use crate::error::ClientError;
use crate::output::{OutputFormat, print};
use fieldhook_model::api::ProgramView;
use fieldhook_model::operator::{PlacementExplanation, ProgramSummary};

/// Runs a program command.
pub async fn run(connection: &Connection, arguments: ProgramsArguments) -> Result<(), ClientError> {
    match arguments.command {
        Some(ProgramsCommand::List(_)) => list(connection).await,
        Some(ProgramsCommand::Show(options)) => show(connection, &options.program).await,
        Some(ProgramsCommand::Cancel(options)) => cancel(connection, &options.program).await,
        None => Err(ClientError::Usage(
            "see fieldhook programs --help".to_owned(),
        )),
    }
}

/// Lists the programs of all live daemons. Each daemon lists the programs of the shards it owns.
async fn list(connection: &Connection) -> Result<(), ClientError> {
    let mut programs: Vec<ProgramSummary> = Vec::new();
    for daemon in connection.status().await?.daemons {
        if daemon.state == "alive" {
            let path = "/v1/operator/programs";
            programs.extend(
                connection
                    .get_from::<Vec<ProgramSummary>>(&daemon.address, path)
                    .await?,
            );
        }
    }
    let rows: Vec<Vec<String>> = programs.iter().map(program_row).collect();
    let header = ["PROGRAM", "TENANT", "PHASE", "CALLS", "RUNNING"];
    print(connection.format, &programs, &header, &rows);
    Ok(())
}

fn program_row(program: &ProgramSummary) -> Vec<String> {
    vec![
        program.program.clone(),
        program.tenant.clone(),
        program.phase.clone(),
        program.calls.to_string(),
        program
            .running_call
            .map(|number| number.to_string())
            .unwrap_or_default(),
    ]
}

async fn show(connection: &Connection, program: &str) -> Result<(), ClientError> {
    let view: ProgramView = connection.get(&format!("/v1/programs/{program}")).await?;
    if connection.format == OutputFormat::Json {
        print(OutputFormat::Json, &view, &[], &[]);
        return Ok(());
    }
    println!("program  {} ({})", view.program, view.phase);
    println!("tenant   {}", view.tenant);
    println!("calls    {}, running: {:?}", view.calls, view.running_call);
    println!(
        "budget   {} spent, {} reserved of {}",
        view.spent, view.reserved, view.budget
    );
    println!("held by  {}", view.held_by.join(", "));
    for message in &view.history {
        println!("{:>9}  {}", message.role, message.content);
    }
    Ok(())
}

async fn cancel(connection: &Connection, program: &str) -> Result<(), ClientError> {
    connection
        .delete(&format!("/v1/operator/programs/{program}"))
        .await?;
    println!("{program} has ended");
    Ok(())
}

/// Shows which rules allow which machines to serve a program.
pub async fn explain(connection: &Connection, program: &str) -> Result<(), ClientError> {
    let machines: Vec<PlacementExplanation> = connection
        .get(&format!("/v1/operator/explain/{program}"))
        .await?;
    let rows: Vec<Vec<String>> = machines.iter().map(explanation_row).collect();
    let header = [
        "MACHINE",
        "NAME",
        "ALLOWED",
        "AVAILABLE",
        "PRIORITY",
        "EXPECTED MS",
        "HELD",
        "RULES",
    ];
    print(connection.format, &machines, &header, &rows);
    Ok(())
}

fn explanation_row(machine: &PlacementExplanation) -> Vec<String> {
    vec![
        machine.machine.clone(),
        machine.labels.get("name").cloned().unwrap_or_default(),
        machine.allowed.to_string(),
        machine.available.to_string(),
        machine.priority.to_string(),
        machine.expected_ms.to_string(),
        machine.held_tokens.to_string(),
        machine.rules.join(","),
    ]
}
