//! Identifies a request over the attempts of its client and over turns that are sent again. The ids
//! of attempts differ; what a server gets is the same.

use crate::dialect::RequestMeta;
use fieldhook_ledger::message::RequestKey;
use fieldhook_ledger::name::QualifiedName;
use xxhash_rust::xxh3::Xxh3;

/// The parts of a request that are the same in all attempts.
pub struct Identity<'a> {
    /// Name of the tenant.
    pub tenant: Option<&'a str>,
    /// Host that the client named. The route is left out, since a configuration may rename it between
    /// two attempts.
    pub host: &'a str,
    /// Method.
    pub method: &'a str,
    /// Request target (path and query).
    pub target: &'a str,
    /// Header fields; those that differ between attempts are ignored.
    pub meta: &'a RequestMeta,
    /// Body as the client sent it.
    pub body: &'a [u8],
}

impl Identity<'_> {
    /// Returns the key under which the request is known. Two requests of one program and session
    /// with the same content have the same key.
    pub fn key(&self) -> RequestKey {
        let mut hasher = Xxh3::new();
        let mut add = |part: Option<&[u8]>| {
            // The length separates the parts; a missing part differs from an empty one.
            let length = part.map_or(u64::MAX, |part| part.len() as u64);
            hasher.update(&length.to_be_bytes());
            hasher.update(part.unwrap_or_default());
        };
        let meta = self.meta;
        add(Some(self.host.as_bytes()));
        add(Some(self.method.as_bytes()));
        add(Some(self.target.as_bytes()));
        for field in [&meta.program, &meta.session, &meta.previous] {
            add(field.as_deref().map(str::as_bytes));
        }
        add(Some(self.body));
        RequestKey {
            name: QualifiedName::new(self.tenant, &format!("{:032x}", hasher.digest128())),
            program: meta.program.clone(),
        }
    }
}
