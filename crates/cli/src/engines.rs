//! `engines`: list, and drain or undrain by publishing configuration.

use crate::arguments::{EnginesArguments, EnginesCommand};
use crate::config::{publish, wait_everywhere};
use crate::connection::Connection;
use crate::error::ClientError;
use crate::status::print_engines;
use fieldhook_model::config::{ConfigDocument, Effect, Rule};
use fieldhook_model::labels::{Operator, Requirement, Selector};

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
    change(connection, |document| {
        let requirement = Requirement {
            key: "name".to_owned(),
            operator: Operator::In,
            values: vec![engine.to_owned()],
        };
        document.rules.retain(|rule| rule.name != rule_name(engine));
        document.rules.push(Rule {
            name: rule_name(engine),
            effect: Effect::Drain,
            programs: Selector::default(),
            machines: Selector(vec![requirement]),
            priority: None,
        });
    })
    .await
}

async fn undrain(connection: &Connection, engine: &str) -> Result<(), ClientError> {
    change(connection, |document| {
        document.rules.retain(|rule| rule.name != rule_name(engine));
    })
    .await
}

/// Publishes the document in force with an edit. Comments of the document are
/// not kept.
async fn change(
    connection: &Connection,
    edit: impl FnOnce(&mut ConfigDocument),
) -> Result<(), ClientError> {
    let config = connection.config().await?;
    let mut document = ConfigDocument::parse(&config.document)
        .map_err(|error| ClientError::Invalid(error.to_string()))?;
    edit(&mut document);
    let text = toml::to_string_pretty(&document)
        .map_err(|error| ClientError::Invalid(error.to_string()))?;
    let version = publish(connection, config.version, AUTHOR, text).await?;
    wait_everywhere(connection, version).await?;
    println!("version {version} is in force on all live daemons");
    Ok(())
}
