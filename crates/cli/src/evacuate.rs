//! The `evacuate ZONE [--end]` command: stops new work on the machines of a zone by publishing a
//! rule.

use crate::arguments::EvacuateArguments;
use crate::config::edit_and_publish;
use crate::connection::Connection;
use crate::error::ClientError;
use fieldhook_model::config::Rule;

/// Author of the published changes, as shown by `config history`.
const AUTHOR: &str = "fieldhook evacuate";
/// Label that contains the zone of a machine.
const ZONE_LABEL: &str = "zone";

/// Publishes the rule of the evacuation, or removes it.
///
/// # Errors
/// No engine is in the zone, or the configuration cannot be published.
pub async fn run(connection: &Connection, options: &EvacuateArguments) -> Result<(), ClientError> {
    let zone = &options.zone;
    let rule_name = format!("evacuate-{zone}");
    if options.end {
        return edit_and_publish(connection, AUTHOR, |document| {
            document.remove_rule(&rule_name)
        })
        .await;
    }
    let engines = connection.status().await?.engines;
    let in_zone = engines
        .iter()
        .any(|engine| engine.labels.get(ZONE_LABEL) == Some(zone));
    if !in_zone {
        return Err(ClientError::Usage(format!(
            "no engine is in zone {zone:?}; see fieldhook engines list"
        )));
    }
    let rule = Rule::drain(&rule_name, ZONE_LABEL, zone);
    edit_and_publish(connection, AUTHOR, |document| document.upsert_rule(rule)).await
}
