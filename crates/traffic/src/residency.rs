//! Data residency: the regions that a route and a tenant allow, and mistakes in their
//! configuration.

use crate::config::{Route, TrafficConfig};
use crate::tenants::Tenant;
use fieldhook_topology::region::RegionSet;
use fieldhook_topology::zone::Map;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

/// Returns the regions that may serve a request and store its data: those that both its route
/// and its tenant allow.
pub fn allowed_regions(route: &Route, tenant: Option<&Tenant>) -> RegionSet {
    match tenant {
        Some(tenant) => route.allowed_regions.intersection(&tenant.allowed_regions),
        None => route.allowed_regions.clone(),
    }
}

/// A mistake in the allowed regions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProblemKind {
    /// The deployment has no such region.
    UnknownRegion(Rc<str>),
    /// The route and the tenant allow no region in common.
    NoCommonRegion,
}

impl fmt::Display for ProblemKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownRegion(region) => write!(
                formatter,
                "no configured zone is in region {region}; correct the name or add a zone"
            ),
            Self::NoCommonRegion => write!(
                formatter,
                "route and tenant have no region in common; requests are refused until one is \
                 allowed for both"
            ),
        }
    }
}

/// A mistake in the allowed regions of a configuration, and where it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Name of the affected route, if any.
    pub route: Option<String>,
    /// Name of the affected tenant, if any.
    pub tenant: Option<Rc<str>>,
    /// The mistake.
    pub kind: ProblemKind,
}

/// Returns all regions that any route or tenant names.
pub fn named_regions(config: &TrafficConfig) -> BTreeSet<Rc<str>> {
    let routes = config.routes.iter().map(|route| &route.allowed_regions);
    let tenants = config
        .tenants
        .iter()
        .flatten()
        .map(|tenant| &tenant.allowed_regions);
    let named = routes.chain(tenants).filter_map(RegionSet::names).flatten();
    named.cloned().collect()
}

/// Finds mistakes in the allowed regions of a configuration for the zones of a deployment.
pub fn find_problems(config: &TrafficConfig, map: &Map) -> Vec<Problem> {
    let known: BTreeSet<Rc<str>> = map.regions().into_iter().collect();
    let routes: Vec<&Route> = config.routes.iter().filter(is_route_restricted).collect();
    let tenants: Vec<&Tenant> = config
        .tenants
        .iter()
        .flatten()
        .filter(is_tenant_restricted)
        .collect();
    let mut problems = Vec::new();
    for route in &routes {
        problems.extend(
            unknown_regions(&route.allowed_regions, &known).map(|kind| Problem {
                route: Some(route.name.clone()),
                tenant: None,
                kind,
            }),
        );
    }
    for tenant in &tenants {
        problems.extend(
            unknown_regions(&tenant.allowed_regions, &known).map(|kind| Problem {
                route: None,
                tenant: Some(tenant.name.clone()),
                kind,
            }),
        );
    }
    for route in &routes {
        let disjoint = tenants
            .iter()
            .filter(|tenant| allowed_regions(route, Some(tenant)).is_empty());
        problems.extend(disjoint.map(|tenant| Problem {
            route: Some(route.name.clone()),
            tenant: Some(tenant.name.clone()),
            kind: ProblemKind::NoCommonRegion,
        }));
    }
    problems
}

fn is_route_restricted(route: &&Route) -> bool {
    !route.allowed_regions.is_all()
}

fn is_tenant_restricted(tenant: &&Tenant) -> bool {
    !tenant.allowed_regions.is_all()
}

fn unknown_regions<'a>(
    regions: &'a RegionSet,
    known: &'a BTreeSet<Rc<str>>,
) -> impl Iterator<Item = ProblemKind> + 'a {
    let names = regions.names().into_iter().flatten();
    names
        .filter(|name| !known.contains(*name))
        .map(|name| ProblemKind::UnknownRegion(name.clone()))
}
