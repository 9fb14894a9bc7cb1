//! Names of programs and turns, qualified by tenant.
//!
//! Clients choose these names, so two tenants may use the same one and a bare name identifies
//! nothing. A turn can only continue a turn of its own tenant.

use nanoserde::{DeBin, SerBin};

/// A name qualified by its tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, SerBin, DeBin)]
pub struct QualifiedName {
    /// Tenant; `None` for requests that belong to no tenant.
    pub tenant: Option<String>,
    /// Name of the program or turn, unique within the tenant.
    pub name: String,
}

impl QualifiedName {
    pub fn new(tenant: Option<&str>, text: &str) -> Self {
        Self {
            tenant: tenant.map(str::to_owned),
            name: text.to_owned(),
        }
    }

    /// Whether the name fits into a record key. The log stores the length of a key in one byte, and
    /// a key has up to two bytes besides the tenant and the name.
    pub fn fits_record_key(&self) -> bool {
        let tenant = self.tenant.as_ref().map_or(0, String::len);
        tenant + self.name.len() + 2 <= usize::from(u8::MAX)
    }

    /// Another name of the same tenant.
    pub fn in_same_tenant(&self, text: &str) -> Self {
        Self::new(self.tenant.as_deref(), text)
    }
}
