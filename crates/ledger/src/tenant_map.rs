//! Values by name, qualified by tenant and bounded for each tenant and in total.

use crate::name::QualifiedName;
use std::collections::{HashMap, VecDeque};

/// Maximum numbers of values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Of one tenant.
    pub per_tenant: usize,
    /// Of all tenants.
    pub total: usize,
}

/// Values of one tenant.
#[derive(Clone, Debug)]
struct Values<V> {
    values: HashMap<String, V>,
    /// Names in the order in which they were added. Names of removed values may remain.
    order: VecDeque<String>,
}

impl<V> Default for Values<V> {
    fn default() -> Self {
        Self {
            values: HashMap::new(),
            order: VecDeque::new(),
        }
    }
}

impl<V> Values<V> {
    /// Removes the value that was added first.
    fn remove_oldest(&mut self) -> Option<String> {
        while let Some(name) = self.order.pop_front() {
            if self.values.remove(&name).is_some() {
                return Some(name);
            }
        }
        None
    }
}

/// Values of all tenants.
#[derive(Clone, Debug)]
pub struct TenantMap<V> {
    tenants: HashMap<Option<String>, Values<V>>,
    count: usize,
    bounds: Bounds,
}

impl<V> TenantMap<V> {
    /// Creates an empty map with these bounds.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            tenants: HashMap::new(),
            count: 0,
            bounds,
        }
    }

    /// Number of values.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there is no value.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the value of a name.
    pub fn get(&self, name: &QualifiedName) -> Option<&V> {
        self.tenants.get(&name.tenant)?.values.get(&name.name)
    }

    /// Returns the value of a name.
    pub fn get_mut(&mut self, name: &QualifiedName) -> Option<&mut V> {
        let tenant = self.tenants.get_mut(&name.tenant)?;
        tenant.values.get_mut(&name.name)
    }

    /// Iterates over all values.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        let tenants = self.tenants.values();
        tenants.flat_map(|tenant| tenant.values.values())
    }

    /// Whether another value of a tenant would exceed a bound.
    pub fn is_full_for(&self, tenant: &Option<String>) -> bool {
        let values = self.tenants.get(tenant);
        let count = values.map_or(0, |values| values.values.len());
        count >= self.bounds.per_tenant || self.count >= self.bounds.total
    }

    /// Adds or replaces a value.
    pub fn insert(&mut self, name: &QualifiedName, value: V) {
        let tenant = self.tenants.entry(name.tenant.clone()).or_default();
        if tenant.values.insert(name.name.clone(), value).is_none() {
            tenant.order.push_back(name.name.clone());
            self.count += 1;
        }
    }

    /// Removes a value if there are too many after one of this tenant was added: the oldest one of
    /// that tenant, or of the tenant with the most values. Returns its name.
    pub fn remove_excess(&mut self, added_to: &Option<String>) -> Option<QualifiedName> {
        let values = self.tenants.get(added_to);
        let count = values.map_or(0, |values| values.values.len());
        let tenant = match (
            count > self.bounds.per_tenant,
            self.count > self.bounds.total,
        ) {
            (true, _) => added_to.clone(),
            (false, true) => self.largest_tenant()?,
            (false, false) => return None,
        };
        let name = self.tenants.get_mut(&tenant)?.remove_oldest()?;
        self.count -= 1;
        Some(QualifiedName { tenant, name })
    }

    fn largest_tenant(&self) -> Option<Option<String>> {
        let tenants = self.tenants.iter();
        let largest = tenants.max_by_key(|(_, tenant)| tenant.values.len());
        largest.map(|(tenant, _)| tenant.clone())
    }

    /// Removes a value and returns it.
    pub fn remove(&mut self, name: &QualifiedName) -> Option<V> {
        let tenant = self.tenants.get_mut(&name.tenant)?;
        let removed = tenant.values.remove(&name.name)?;
        self.count -= 1;
        Some(removed)
    }

    /// Removes the values for which `keeps` returns false, and returns them with their names.
    pub fn retain(&mut self, mut keeps: impl FnMut(&mut V) -> bool) -> Vec<(QualifiedName, V)> {
        let mut removed = Vec::new();
        for (tenant, values) in &mut self.tenants {
            let Values { values, order } = values;
            let of_tenant = values.extract_if(|_, value| !keeps(value));
            let qualified =
                |(name, value): (String, V)| (QualifiedName::new(tenant.as_deref(), &name), value);
            removed.extend(of_tenant.map(qualified));
            order.retain(|name| values.contains_key(name));
        }
        self.tenants.retain(|_, tenant| !tenant.values.is_empty());
        self.count -= removed.len();
        removed
    }
}
