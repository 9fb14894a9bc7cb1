//! The route table. Among the routes of a host, the one with the longest matching path prefix is
//! selected.

use crate::config::{Route, TrafficConfig};
use crate::round_robin::WeightedRoundRobin;
use crate::tenants::{ApiKey, KeyDenial, Tenant, TenantIndex};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A route with the state of its weighted round robin.
pub struct RouteEntry {
    /// Configuration of the route.
    pub route: Route,
    round_robin: RefCell<WeightedRoundRobin>,
}

impl RouteEntry {
    /// Returns the name of the service for the next request.
    pub fn next_service(&self) -> Option<String> {
        let index = self.round_robin.borrow_mut().next()?;
        Some(self.route.services[index].service.clone())
    }
}

/// A configuration with its routes and tenants indexed for lookup.
pub struct RouteTable {
    /// The configuration that the table was built from.
    pub config: TrafficConfig,
    by_host: HashMap<String, Vec<Rc<RouteEntry>>>,
    tenants: Option<TenantIndex>,
}

impl RouteTable {
    /// Builds the table. A route with the same services as in the previous table continues its
    /// round robin from there. `random` selects the start position of the others.
    pub fn new(config: TrafficConfig, previous: Option<&Self>, random: u64) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<RouteEntry>>> = HashMap::new();
        for route in &config.routes {
            let round_robin = previous.and_then(|previous| previous.round_robin_of(route));
            let entry = Rc::new(RouteEntry {
                route: route.clone(),
                round_robin: RefCell::new(
                    round_robin.unwrap_or_else(|| start_round_robin(route, random)),
                ),
            });
            by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(entry);
        }
        for entries in by_host.values_mut() {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.route.path_prefix.len()));
        }
        let tenants = config.tenants.as_deref().map(TenantIndex::new);
        Self {
            config,
            by_host,
            tenants,
        }
    }

    /// Returns the current round robin state of a route, if it has the same services here.
    fn round_robin_of(&self, route: &Route) -> Option<WeightedRoundRobin> {
        let entries = self.by_host.get(&route.host.to_ascii_lowercase())?;
        let entry = entries.iter().find(|entry| {
            entry.route.name == route.name && entry.route.services == route.services
        })?;
        Some(entry.round_robin.borrow().clone())
    }

    /// Whether the configuration has tenants.
    pub fn has_tenants(&self) -> bool {
        self.tenants.is_some()
    }

    /// Returns the tenant with the given name.
    pub fn tenant(&self, name: &str) -> Option<&Rc<Tenant>> {
        self.tenants.as_ref()?.by_name(name)
    }

    /// Returns the tenant that a request belongs to, or `None` if the configuration has no
    /// tenants or the request needs none.
    ///
    /// # Errors
    /// The route requires a key, and the request has no key or an unknown one.
    pub fn authenticate(
        &self,
        route: &Route,
        key: Option<&ApiKey>,
    ) -> Result<Option<Rc<Tenant>>, KeyDenial> {
        match &self.tenants {
            Some(tenants) => tenants.authenticate(key, route.is_public),
            None => Ok(None),
        }
    }

    /// Finds the route of a request. `path` may include a query string.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<RouteEntry>> {
        let path = path.split('?').next().unwrap_or(path);
        let host = without_port(host).to_ascii_lowercase();
        self.by_host
            .get(&host)?
            .iter()
            .find(|entry| path.starts_with(&entry.route.path_prefix))
            .cloned()
    }
}

fn start_round_robin(route: &Route, random: u64) -> WeightedRoundRobin {
    let weights = route
        .services
        .iter()
        .map(|service| service.weight)
        .collect();
    WeightedRoundRobin::new(weights, xxh3_64_with_seed(route.name.as_bytes(), random))
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Whether a configuration may replace the current one. Versions only increase.
pub fn supersedes(current: Option<u64>, offered: u64) -> bool {
    current.is_none_or(|version| offered > version)
}
