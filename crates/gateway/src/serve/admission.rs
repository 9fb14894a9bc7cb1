//! Whose request it is, by the key that it shows.

use super::answer::OwnAnswer;
use super::request::RETRY_LATER_MS;
use crate::daemon::Daemon;
use crate::dialect::RequestMeta;
use fieldhook_traffic::config::Route;
use fieldhook_traffic::route_table::RouteTable;
use fieldhook_traffic::tenants::{ApiKey, Denial, Tenant};
use std::rc::Rc;

/// The tenant of a request, if there are tenants.
///
/// # Errors
/// The answer for the client where it is not let in.
pub fn admit(
    daemon: &Daemon,
    table: &RouteTable,
    route: &Route,
    meta: &RequestMeta,
) -> Result<Option<Rc<Tenant>>, OwnAnswer> {
    if table.has_tenants() && !route.is_public && !keys_are_certain(daemon) {
        return Err(uncertain(daemon, table, meta));
    }
    table
        .admit(route, meta.key.as_ref())
        .map_err(|denial| denied(denial, table, route, meta))
}

/// Whether the configuration was confirmed lately enough to go by its keys.
fn keys_are_certain(daemon: &Daemon) -> bool {
    let Some(limit_ms) = daemon.settings.revocation_ms else {
        return true;
    };
    let age_ms = daemon.owner.config.age_ms();
    age_ms.is_some_and(|age_ms| age_ms < limit_ms)
}

fn uncertain(daemon: &Daemon, table: &RouteTable, meta: &RequestMeta) -> OwnAnswer {
    tracing::info!(
        event = "keys_uncertain",
        request = meta.id,
        version = table.config.version,
        config_age_ms = daemon.owner.config.age_ms()
    );
    OwnAnswer::not_run("keys cannot be confirmed by this daemon", RETRY_LATER_MS)
}

fn denied(denial: Denial, table: &RouteTable, route: &Route, meta: &RequestMeta) -> OwnAnswer {
    tracing::info!(
        event = "not_admitted",
        request = meta.id,
        route = route.name,
        cause = ?denial,
        key = meta.key.as_ref().map(ApiKey::digest),
        version = table.config.version
    );
    OwnAnswer::new(401, denial.remedy())
}
