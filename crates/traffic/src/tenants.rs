//! Tenants, their API keys and their rate limits.
//!
//! A tenant is a customer of the operator. Its clients send an API key with each request, and the
//! current configuration maps the key to the tenant. Keys may be reassigned or revoked, so each
//! request is checked against the configuration that is current when it arrives.

use fieldhook_topology::region;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64;

/// An API key of a client. Keys are secret: logs contain only their digest.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(String);

impl ApiKey {
    /// Creates a key from its text.
    pub fn new(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Returns a short hash that distinguishes keys in logs.
    pub fn digest(&self) -> String {
        format!("{:06x}", xxh3_64(self.0.as_bytes()) & 0xff_ffff)
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ApiKey({})", self.digest())
    }
}

/// Rate limit of a tenant over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests per second. Greater than 0.
    pub rate_per_s: f64,
    /// Additional requests in a burst.
    pub burst: f64,
}

/// A customer of the operator, with its keys and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant, as sent to servers.
    pub name: Rc<str>,
    /// API keys of the tenant's clients.
    pub keys: Vec<ApiKey>,
    /// Priority of the tenant's requests, which overrides that of the route. 0 is the most
    /// urgent.
    pub priority: Option<u8>,
    /// Rate limit of the tenant, if it has one.
    pub limit: Option<Limit>,
    /// Regions that may serve the tenant's requests and store their data.
    pub allowed_regions: region::RegionSet,
}

/// Why a request cannot be assigned to a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyDenial {
    /// The request has no key.
    NoKey,
    /// The key belongs to no tenant.
    UnknownKey,
}

impl KeyDenial {
    /// Tells the client what to do about the denial.
    pub fn remedy(self) -> &'static str {
        match self {
            Self::NoKey => "no key was shown; send one",
            Self::UnknownKey => "no tenant holds this key; ask the operator for another",
        }
    }
}

/// The tenants of a configuration, indexed by key and by name.
#[derive(Debug, Default)]
pub struct TenantIndex {
    by_key: HashMap<ApiKey, Rc<Tenant>>,
    by_name: HashMap<Rc<str>, Rc<Tenant>>,
}

impl TenantIndex {
    /// Builds the index from a list of tenants.
    pub fn new(tenants: &[Tenant]) -> Self {
        let mut index = Self::default();
        for tenant in tenants {
            let tenant = Rc::new(tenant.clone());
            for key in &tenant.keys {
                index.by_key.insert(key.clone(), tenant.clone());
            }
            index.by_name.insert(tenant.name.clone(), tenant);
        }
        index
    }

    /// Returns the tenant with the given name.
    pub fn by_name(&self, name: &str) -> Option<&Rc<Tenant>> {
        self.by_name.get(name)
    }

    /// Returns the tenant that a request belongs to. A public route needs no key, but a known
    /// key still determines the tenant.
    ///
    /// # Errors
    /// The route requires a key, and the request has no key or an unknown one.
    pub fn authenticate(
        &self,
        key: Option<&ApiKey>,
        is_public: bool,
    ) -> Result<Option<Rc<Tenant>>, KeyDenial> {
        let tenant = key.and_then(|key| self.by_key.get(key)).cloned();
        match (tenant, key) {
            (None, None) if !is_public => Err(KeyDenial::NoKey),
            (None, Some(_)) if !is_public => Err(KeyDenial::UnknownKey),
            (tenant, _) => Ok(tenant),
        }
    }
}
