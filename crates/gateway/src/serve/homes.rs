//! Home regions of a request: the regions that may process it and store its data according to the
//! current configuration. Also logs the refusals that result from them.

use super::local_response::LocalResponse;
use super::request::RequestContext;
use crate::daemon::Daemon;
use fieldhook_topology::region::RegionSet;
use fieldhook_topology::zone_rule::ZoneDenial;
use fieldhook_traffic::config::Route;
use fieldhook_traffic::residency;
use fieldhook_traffic::tenants::Tenant;

/// Determines the home regions of a request that has just arrived.
///
/// # Errors
/// No region of the deployment is among them, so the request is refused before anything is
/// forwarded. The client may retry once another configuration may be in use.
pub fn resolve(
    daemon: &Daemon,
    id: &str,
    route: &Route,
    tenant: Option<&Tenant>,
) -> Result<RegionSet, LocalResponse> {
    let homes = residency::allowed_regions(route, tenant);
    if daemon.zone_state.layout.has_allowed_region(&homes) {
        return Ok(homes);
    }
    count_outcome(daemon, "no_region");
    tracing::info!(
        event = "refused_for_home",
        request = id,
        route = route.name,
        route_homes = %route.allowed_regions,
        tenant = tenant.map(|tenant| &*tenant.name),
        tenant_homes = tenant.map(|tenant| tenant.allowed_regions.to_string()),
        cause = "no region is allowed for both the route and the tenant",
        version = daemon.owner.config.version()
    );
    Err(LocalResponse::not_run(
        "no region may serve it; allow one for its route and its tenant",
        daemon.settings.bounds.config_ms,
    ))
}

/// Returns the home regions of a request under the current configuration. A route or tenant that
/// was removed in the meantime keeps its last settings.
pub fn current(context: &RequestContext) -> RegionSet {
    let Some(table) = context.daemon.routes.borrow().clone() else {
        return context.homes.clone();
    };
    if table.config.version == context.table.config.version {
        return context.homes.clone();
    }
    let previous = &context.entry.route;
    let routes = &table.config.routes;
    let route = routes.iter().find(|route| route.name == previous.name);
    let tenant = context.tenant.as_ref();
    let tenant = tenant.map(|tenant| table.tenant(&tenant.name).unwrap_or(tenant));
    residency::allowed_regions(route.unwrap_or(previous), tenant.map(|tenant| &**tenant))
}

/// Logs and counts that no owner in the home regions responded, so the request was not run.
pub fn report_no_owner(context: &RequestContext, home_partition: Option<u32>) {
    count_outcome(&context.daemon, "no_owner");
    tracing::info!(
        event = "refused_for_home",
        request = context.meta.id,
        program = context.meta.program,
        route = context.entry.route.name,
        tenant = context.tenant_name(),
        homes = %current(context),
        keeper = home_partition,
        cause = "no owner in the home regions responded",
        age_ms = context.age_ms()
    );
}

/// Logs and counts which placement rule excludes the servers for a request that found none, if one
/// does.
pub fn report_no_server(context: &RequestContext) {
    let daemon = &context.daemon;
    let Some(service) = context.service() else {
        return;
    };
    let homes = current(context);
    let directory = daemon.directory.borrow();
    let zone = &daemon.settings.zone;
    let denials: Vec<ZoneDenial> = daemon.zone_state.with_rule(&homes, zone, |rule| {
        let zones = directory.zones_of(service);
        zones
            .filter_map(|zone| rule.serving_distance(zone).err())
            .collect()
    });
    let not_home = denials
        .iter()
        .filter(|denial| **denial == ZoneDenial::RegionNotAllowed);
    let not_home = not_home.count();
    if denials.is_empty() {
        return;
    }
    if not_home > 0 {
        count_outcome(daemon, "no_server");
    }
    tracing::info!(
        event = "no_server_in_place",
        request = context.meta.id,
        program = context.meta.program,
        route = context.entry.route.name,
        tenant = context.tenant_name(),
        homes = %homes,
        not_home,
        evacuated = denials.len() - not_home,
        rule = denials.first().map(ZoneDenial::to_string),
        age_ms = context.age_ms()
    );
}

/// Logs and counts that a chain was read from a region that may no longer store it, and is now
/// stored in the home regions.
pub fn report_chain_moved(context: &RequestContext, home_partition: Option<u32>) {
    count_outcome(&context.daemon, "chain_brought");
    tracing::info!(
        event = "chain_brought_home",
        request = context.meta.id,
        program = context.meta.program,
        previous = context.meta.previous,
        homes = %current(context),
        keeper = home_partition
    );
}

fn count_outcome(daemon: &Daemon, outcome: &str) {
    daemon.metrics.homes.with_label_values(&[outcome]).inc();
}
