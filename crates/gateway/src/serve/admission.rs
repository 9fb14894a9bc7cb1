//! Determines the tenant of a request from its key.

use super::local_response::LocalResponse;
use super::request::RETRY_LATER_MS;
use crate::daemon::Daemon;
use crate::dialect::RequestMeta;
use fieldhook_traffic::config::Route;
use fieldhook_traffic::route_table::RouteTable;
use fieldhook_traffic::tenants::{ApiKey, KeyDenial, Tenant};
use std::rc::Rc;

/// Returns the tenant of a request, or `None` if no tenants are configured.
///
/// # Errors
/// The request is not admitted; contains the response for the client.
pub fn admit(
    daemon: &Daemon,
    table: &RouteTable,
    route: &Route,
    meta: &RequestMeta,
) -> Result<Option<Rc<Tenant>>, LocalResponse> {
    if table.has_tenants() && !route.is_public && !are_keys_current(daemon) {
        return Err(keys_uncertain_response(daemon, table, meta));
    }
    table
        .authenticate(route, meta.key.as_ref())
        .map_err(|denial| denied_response(denial, table, route, meta))
}

/// Returns whether the configuration was confirmed recently enough to rely on its keys.
fn are_keys_current(daemon: &Daemon) -> bool {
    let Some(limit_ms) = daemon.settings.revocation_ms else {
        return true;
    };
    let age_ms = daemon.owner.config.age_ms();
    age_ms.is_some_and(|age_ms| age_ms < limit_ms)
}

fn keys_uncertain_response(
    daemon: &Daemon,
    table: &RouteTable,
    meta: &RequestMeta,
) -> LocalResponse {
    tracing::info!(
        event = "keys_uncertain",
        request = meta.id,
        version = table.config.version,
        config_age_ms = daemon.owner.config.age_ms()
    );
    LocalResponse::not_run("keys cannot be confirmed by this daemon", RETRY_LATER_MS)
}

fn denied_response(
    denial: KeyDenial,
    table: &RouteTable,
    route: &Route,
    meta: &RequestMeta,
) -> LocalResponse {
    tracing::info!(
        event = "not_admitted",
        request = meta.id,
        route = route.name,
        cause = ?denial,
        key = meta.key.as_ref().map(ApiKey::digest),
        version = table.config.version
    );
    LocalResponse::new(401, denial.remedy())
}
