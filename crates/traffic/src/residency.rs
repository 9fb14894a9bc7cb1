//! Homes of data: the regions that a route and a tenant allow, both together, and what is
//! wrong with them in a configuration.

use crate::config::{Route, TrafficConfig};
use crate::tenants::Tenant;
use fieldhook_topology::region::RegionSet;
use fieldhook_topology::zone::ZoneMap;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

/// The regions that a request may be served in and its data kept in.
pub fn allowed_regions(route: &Route, tenant: Option<&Tenant>) -> RegionSet {
    match tenant {
        Some(tenant) => route.allowed_regions.intersection(&tenant.allowed_regions),
        None => route.allowed_regions.clone(),
    }
}

/// Whose homes are wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProblemKind {
    /// A region that the deployment does not have.
    UnknownRegion(Rc<str>),
    /// The homes of the route and of the tenant have no region in common.
    NoCommonRegion,
}

impl fmt::Display for ProblemKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownRegion(region) => write!(
                formatter,
                "no zone of the settings is in region {region}; correct the name or add the zone"
            ),
            Self::NoCommonRegion => write!(
                formatter,
                "route and tenant have no region in common; requests are refused until one is \
                 allowed for both"
            ),
        }
    }
}

/// Something wrong with the homes of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Name of the route, where it is concerned.
    pub route: Option<String>,
    /// Name of the tenant, where it is concerned.
    pub tenant: Option<Rc<str>>,
    /// What is wrong.
    pub kind: ProblemKind,
}

/// All regions that some route or tenant allows by name.
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

/// What is wrong with the homes of a configuration in a deployment.
pub fn find_problems(config: &TrafficConfig, map: &ZoneMap) -> Vec<Problem> {
    let known: BTreeSet<Rc<str>> = map.regions().into_iter().collect();
    let routes: Vec<&Route> = config.routes.iter().filter(bounded_route).collect();
    let tenants: Vec<&Tenant> = config.tenants.iter().flatten().filter(bounded).collect();
    let mut problems = Vec::new();
    for route in &routes {
        problems.extend(
            unknown(&route.allowed_regions, &known).map(|fault| Problem {
                route: Some(route.name.clone()),
                tenant: None,
                kind: fault,
            }),
        );
    }
    for tenant in &tenants {
        problems.extend(
            unknown(&tenant.allowed_regions, &known).map(|fault| Problem {
                route: None,
                tenant: Some(tenant.name.clone()),
                kind: fault,
            }),
        );
    }
    for route in &routes {
        let apart = tenants
            .iter()
            .filter(|tenant| allowed_regions(route, Some(tenant)).is_empty());
        problems.extend(apart.map(|tenant| Problem {
            route: Some(route.name.clone()),
            tenant: Some(tenant.name.clone()),
            kind: ProblemKind::NoCommonRegion,
        }));
    }
    problems
}

fn bounded_route(route: &&Route) -> bool {
    !route.allowed_regions.is_all()
}

fn bounded(tenant: &&Tenant) -> bool {
    !tenant.allowed_regions.is_all()
}

fn unknown<'a>(
    homes: &'a RegionSet,
    known: &'a BTreeSet<Rc<str>>,
) -> impl Iterator<Item = ProblemKind> + 'a {
    let names = homes.names().into_iter().flatten();
    names
        .filter(|name| !known.contains(*name))
        .map(|name| ProblemKind::UnknownRegion(name.clone()))
}
