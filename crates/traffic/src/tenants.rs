//! Tenants: which keys belong to them, and what they may send.
//!
//! A tenant is one customer of the operator. Its clients show a key with each request; the
//! configuration in force says whose key that is. Keys may pass from one tenant to another
//! and may be taken away, so each request is judged by the configuration of its own moment.

use fieldhook_topology::region;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64;

/// A key that a client shows. It is a secret: logs hold its digest alone.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(String);

impl ApiKey {
    /// The key of this text.
    pub fn new(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// A few characters that tell keys apart in logs.
    pub fn digest(&self) -> String {
        format!("{:06x}", xxh3_64(self.0.as_bytes()) & 0xff_ffff)
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Key({})", self.digest())
    }
}

/// How much a tenant may send, counted over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second, above 0.
    pub rate_per_s: f64,
    /// Requests on top of that at one moment.
    pub burst: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name, as servers are told it.
    pub name: Rc<str>,
    /// Keys of its clients.
    pub keys: Vec<ApiKey>,
    /// Rank of its requests, 0 is the most urgent; it goes before that of the route.
    pub priority: Option<u8>,
    /// What it may send, where that is bounded.
    pub limit: Option<Limit>,
    /// Regions that its requests may be served in and their data kept in.
    pub allowed_regions: region::RegionSet,
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It shows no key.
    NoKey,
    /// No tenant holds its key.
    UnknownKey,
}

impl Denial {
    /// What the client may do.
    pub fn remedy(self) -> &'static str {
        match self {
            Self::NoKey => "no key was shown; send one",
            Self::UnknownKey => "no tenant holds this key; ask the operator for another",
        }
    }
}

/// The tenants of a configuration with an index of their keys.
#[derive(Debug, Default)]
pub struct TenantIndex {
    by_key: HashMap<ApiKey, Rc<Tenant>>,
    by_name: HashMap<Rc<str>, Rc<Tenant>>,
}

impl TenantIndex {
    /// Builds the index.
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

    /// The tenant of that name.
    pub fn by_name(&self, name: &str) -> Option<&Rc<Tenant>> {
        self.by_name.get(name)
    }

    /// The tenant that a request belongs to. A route that is open to all needs no key; one
    /// that is shown and known still tells whose request it is.
    ///
    /// # Errors
    /// The route asks for a key, and the request shows none that a tenant holds.
    pub fn admit(&self, key: Option<&ApiKey>, is_open: bool) -> Result<Option<Rc<Tenant>>, Denial> {
        let tenant = key.and_then(|key| self.by_key.get(key)).cloned();
        match (tenant, key) {
            (None, None) if !is_open => Err(Denial::NoKey),
            (None, Some(_)) if !is_open => Err(Denial::UnknownKey),
            (tenant, _) => Ok(tenant),
        }
    }
}
