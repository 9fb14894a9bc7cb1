//! The routing table: the longest prefix among the routes of a host wins.

use crate::config::{Route, TrafficConfig};
use crate::round_robin::WeightedRoundRobin;
use crate::tenants::{ApiKey, Denial, Tenant, TenantIndex};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A route with the state of its split.
pub struct RouteEntry {
    /// The route.
    pub route: Route,
    split: RefCell<WeightedRoundRobin>,
}

impl RouteEntry {
    /// The service for the next request.
    pub fn next_service(&self) -> Option<String> {
        let index = self.split.borrow_mut().next()?;
        Some(self.route.services[index].service.clone())
    }
}

/// Configuration with an index for look-ups.
pub struct RouteTable {
    /// The configuration that it was built from.
    pub config: TrafficConfig,
    by_host: HashMap<String, Vec<Rc<RouteEntry>>>,
    tenants: Option<TenantIndex>,
}

impl RouteTable {
    /// Builds the index. A route whose parts are those of the former table is divided on from
    /// where that stands; `random` says where the others begin.
    pub fn new(config: TrafficConfig, former: Option<&Self>, random: u64) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<RouteEntry>>> = HashMap::new();
        for route in &config.routes {
            let split = former.and_then(|former| former.split_of(route));
            let entry = Rc::new(RouteEntry {
                route: route.clone(),
                split: RefCell::new(split.unwrap_or_else(|| begin_split(route, random))),
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

    /// The split of a route as it stands, where its parts are the same.
    fn split_of(&self, route: &Route) -> Option<WeightedRoundRobin> {
        let entries = self.by_host.get(&route.host.to_ascii_lowercase())?;
        let entry = entries.iter().find(|entry| {
            entry.route.name == route.name && entry.route.services == route.services
        })?;
        Some(entry.split.borrow().clone())
    }

    /// Whether requests belong to tenants.
    pub fn has_tenants(&self) -> bool {
        self.tenants.is_some()
    }

    /// The tenant of that name.
    pub fn tenant(&self, name: &str) -> Option<&Rc<Tenant>> {
        self.tenants.as_ref()?.by_name(name)
    }

    /// The tenant that a request of a route belongs to, if there are tenants.
    ///
    /// # Errors
    /// It needs a key that a tenant holds.
    pub fn admit(&self, route: &Route, key: Option<&ApiKey>) -> Result<Option<Rc<Tenant>>, Denial> {
        match &self.tenants {
            Some(tenants) => tenants.admit(key, route.is_public),
            None => Ok(None),
        }
    }

    /// The route of a request; `path` may carry a query.
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

fn begin_split(route: &Route, random: u64) -> WeightedRoundRobin {
    let weights = route.services.iter().map(|part| part.weight).collect();
    WeightedRoundRobin::new(weights, xxh3_64_with_seed(route.name.as_bytes(), random))
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Whether a configuration may replace the one in force: versions only rise.
pub fn supersedes(current: Option<u64>, offered: u64) -> bool {
    current.is_none_or(|version| offered > version)
}
