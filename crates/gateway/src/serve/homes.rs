//! The regions that a request may be served in and its data kept in, by the configuration of
//! the moment, and the refusals that follow from them.

use super::answer::OwnAnswer;
use super::request::RequestContext;
use crate::daemon::Daemon;
use fieldhook_topology::place::Denial;
use fieldhook_topology::region::Set;
use fieldhook_traffic::config::Route;
use fieldhook_traffic::homes;
use fieldhook_traffic::tenants::Tenant;

/// The homes of a request that has just come.
///
/// # Errors
/// No region of the deployment is among them: it is refused before anything is sent on. The
/// client may come back once another configuration may be in force.
pub fn admit(
    daemon: &Daemon,
    id: &str,
    route: &Route,
    tenant: Option<&Tenant>,
) -> Result<Set, OwnAnswer> {
    let homes = homes::of(route, tenant);
    if daemon.places.layout.has_allowed_region(&homes) {
        return Ok(homes);
    }
    count(daemon, "no_region");
    tracing::info!(
        event = "refused_for_home",
        request = id,
        route = route.name,
        route_homes = %route.homes,
        tenant = tenant.map(|tenant| &*tenant.name),
        tenant_homes = tenant.map(|tenant| tenant.homes.to_string()),
        cause = "no region is allowed for both",
        version = daemon.owner.config.version()
    );
    Err(OwnAnswer::not_run(
        "no region may serve it; allow one for its route and its tenant",
        daemon.settings.bounds.config_ms,
    ))
}

/// The homes of a request by the configuration in force now. A route or tenant that is gone
/// by now binds as it did.
pub fn now(context: &RequestContext) -> Set {
    let Some(table) = context.daemon.routes.borrow().clone() else {
        return context.homes.clone();
    };
    if table.config.version == context.version {
        return context.homes.clone();
    }
    let former = &context.entry.route;
    let routes = &table.config.routes;
    let route = routes.iter().find(|route| route.name == former.name);
    let tenant = context.tenant.as_ref();
    let tenant = tenant.map(|tenant| table.tenant(&tenant.name).unwrap_or(tenant));
    homes::of(route.unwrap_or(former), tenant.map(|tenant| &**tenant))
}

/// Says that no owner in a request's homes answered, so that it was not run.
pub fn note_no_owner(context: &RequestContext, partition: Option<u32>) {
    count(&context.daemon, "no_owner");
    tracing::info!(
        event = "refused_for_home",
        request = context.meta.id,
        program = context.meta.program,
        route = context.entry.route.name,
        tenant = context.tenant_name(),
        homes = %now(context),
        keeper = partition,
        cause = "no daemon of its homes answers for what it says",
        age_ms = context.age_ms()
    );
}

/// Says which rule of place keeps servers from a request that none takes, if one does.
pub fn note_no_server(context: &RequestContext) {
    let daemon = &context.daemon;
    let Some(service) = context.service() else {
        return;
    };
    let homes = now(context);
    let directory = daemon.directory.borrow();
    let zone = &daemon.settings.zone;
    let denials: Vec<Denial> = daemon.places.with_rule(&homes, zone, |rule| {
        let zones = directory.zones_of(service);
        zones.filter_map(|zone| rule.serve(zone).err()).collect()
    });
    let not_home = denials.iter().filter(|denial| **denial == Denial::NotHome);
    let not_home = not_home.count();
    if denials.is_empty() {
        return;
    }
    if not_home > 0 {
        count(daemon, "no_server");
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
        rule = denials.first().map(Denial::to_string),
        age_ms = context.age_ms()
    );
}

/// Says that a chain was read where it may no longer be kept, and lives on in its homes.
pub fn note_chain_brought(context: &RequestContext, keeper: Option<u32>) {
    count(&context.daemon, "chain_brought");
    tracing::info!(
        event = "chain_brought_home",
        request = context.meta.id,
        program = context.meta.program,
        previous = context.meta.previous,
        homes = %now(context),
        keeper
    );
}

fn count(daemon: &Daemon, outcome: &str) {
    daemon.metrics.homes.with_label_values(&[outcome]).inc();
}
