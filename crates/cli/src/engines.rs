//! The `engines` command: lists engines, and drains them by publishing configuration.

use crate::arguments::{EnginesArguments, EnginesCommand};
use crate::config::edit_and_publish;
use crate::connection::Connection;
use crate::error::ClientError;
use crate::status::print_engines;
use fieldhook_model::config::Rule;

/// Author of the published changes, as shown by `config history`.
const AUTHOR: &str = "fieldhook engines";

/// Runs an engine command.
pub async fn run(connection: &Connection, arguments: EnginesArguments) -> Result<(), ClientError> {
    match arguments.command {
        Some(EnginesCommand::List(_)) => {
            print_engines(connection, &connection.status().await?.engines);
            Ok(())
        }
        Some(EnginesCommand::Drain(options)) => drain(connection, &options.name).await,
        Some(EnginesCommand::Undrain(options)) => undrain(connection, &options.name).await,
        None => Err(ClientError::Usage(
            "see fieldhook engines --help".to_owned(),
        )),
    }
}

/// Name of the rule that drains an engine.
fn rule_name(engine: &str) -> String {
    format!("drain-{engine}")
}

async fn drain(connection: &Connection, engine: &str) -> Result<(), ClientError> {
    let status = connection.status().await?;
    if !status
        .engines
        .iter()
        .any(|item| item.labels.get("name").is_some_and(|name| name == engine))
    {
        return Err(ClientError::Usage(format!(
            "no engine is named {engine:?}; see fieldhook engines list"
        )));
    }
    let rule = Rule::drain(&rule_name(engine), "name", engine);
    edit_and_publish(connection, AUTHOR, |document| document.upsert_rule(rule)).await
}

async fn undrain(connection: &Connection, engine: &str) -> Result<(), ClientError> {
    let name = rule_name(engine);
    edit_and_publish(connection, AUTHOR, |document| document.remove_rule(&name)).await
}
