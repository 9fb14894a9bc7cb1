//! `evacuate ZONE [--end]`: gives the machines of a zone no new work, by publishing a rule.

use crate::arguments::EvacuateArguments;
use crate::config::edit;
use crate::connection::Connection;
use crate::error::ClientError;
use fieldhook_model::config::Rule;

const AUTHOR: &str = "fieldhook evacuate";
/// Label that all machines of a zone carry.
const ZONE_LABEL: &str = "zone";

/// Publishes the rule, or removes it.
///
/// # Errors
/// No engine stands in the zone, or the configuration cannot be published.
pub async fn run(connection: &Connection, options: &EvacuateArguments) -> Result<(), ClientError> {
    let zone = &options.zone;
    let name = format!("evacuate-{zone}");
    if options.end {
        return edit(connection, AUTHOR, |document| document.remove_rule(&name)).await;
    }
    let engines = connection.status().await?.engines;
    let in_zone = engines
        .iter()
        .any(|engine| engine.labels.get(ZONE_LABEL) == Some(zone));
    if !in_zone {
        return Err(ClientError::Usage(format!(
            "no engine stands in zone {zone:?}; see fieldhook engines list"
        )));
    }
    let rule = Rule::drain(&name, ZONE_LABEL, zone);
    edit(connection, AUTHOR, |document| document.upsert_rule(rule)).await
}
