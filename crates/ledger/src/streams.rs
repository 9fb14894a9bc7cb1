//! Origins of the streams that clients may resume.
//!
//! A stream may continue only at a server of the software that sent its first event. The origin of
//! a stream is recorded before its first event leaves, because the daemon that served it may be
//! lost together with the owner. An origin that is not known is never guessed: clients then start
//! a new stream.

use crate::name::QualifiedName;
use nanoserde::{DeBin, SerBin};
use std::collections::{HashMap, VecDeque};

/// Maximum number of streams of one partition. The oldest of the tenant with the most streams is
/// forgotten first.
pub const MAX_STREAMS: usize = 16_384;
/// Maximum number of streams of one tenant in a partition.
pub const MAX_STREAMS_PER_TENANT: usize = 4_096;
/// Longest time that an origin is kept, in milliseconds, whatever deadline a client states.
pub const MAX_RETENTION_MS: u64 = 600_000;

/// Server that sent the first event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct StreamOrigin {
    /// Service of the server.
    pub service: String,
    /// Identity of the server.
    pub server: String,
    /// Version of its software, if its entry stated one.
    pub software_version: Option<String>,
}

impl StreamOrigin {
    /// Whether what two servers write fits together. Without a published version, this is certain
    /// only for the same server.
    pub(crate) fn is_compatible_with(&self, other: &Self) -> bool {
        let same_software = match (&self.software_version, &other.software_version) {
            (Some(version), Some(other_version)) => version == other_version,
            (None, None) => self.server == other.server,
            _ => false,
        };
        same_software && self.service == other.service
    }
}

/// What is recorded about a stream.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct StreamRecord {
    /// Origin of the first event. `None` if two attempts under the same id got events of different
    /// software, so that the client may have either.
    pub origin: Option<StreamOrigin>,
    /// Unix time when the first event arrived, in milliseconds.
    pub began_ms: u64,
    /// How long clients may resume the stream, in milliseconds.
    pub retention_ms: u64,
}

impl StreamRecord {
    fn is_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.began_ms.saturating_add(self.retention_ms)
    }
}

/// A known stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stream {
    /// What is recorded about it.
    pub record: StreamRecord,
    /// Whether the record was read from the log.
    pub is_restored: bool,
}

/// Streams of one tenant, by the id of the attempt that brought the first event.
#[derive(Clone, Debug, Default)]
struct TenantStreams {
    streams: HashMap<String, Stream>,
    /// Ids in the order in which they were added. Ids of removed streams may remain.
    order: VecDeque<String>,
}

impl TenantStreams {
    /// Removes the stream that was added first.
    fn remove_oldest(&mut self) -> Option<String> {
        while let Some(id) = self.order.pop_front() {
            if self.streams.remove(&id).is_some() {
                return Some(id);
            }
        }
        None
    }
}

/// Known streams of all tenants.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    tenants: HashMap<Option<String>, TenantStreams>,
    count: usize,
}

/// Changes that recording a stream makes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamChange {
    /// The new record, unless the origin was already known.
    pub record: Option<StreamRecord>,
    /// Streams that were forgotten for lack of space.
    pub forgotten: Vec<QualifiedName>,
}

impl Streams {
    /// Number of known streams.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns a stream, unless its retention is over.
    pub fn get(&self, name: &QualifiedName, now_ms: u64) -> Option<&Stream> {
        let stream = self.tenants.get(&name.tenant)?.streams.get(&name.name)?;
        (!stream.record.is_expired(now_ms)).then_some(stream)
    }

    /// Records the origin of a stream. A second, incompatible origin under the same id makes the
    /// origin uncertain for good.
    pub fn record(
        &mut self,
        name: &QualifiedName,
        origin: &StreamOrigin,
        retention_ms: u64,
        now_ms: u64,
    ) -> StreamChange {
        let mut record = StreamRecord {
            origin: Some(origin.clone()),
            began_ms: now_ms,
            retention_ms: retention_ms.min(MAX_RETENTION_MS),
        };
        if let Some(known) = self.get(name, now_ms) {
            match &known.record.origin {
                Some(first) if !first.is_compatible_with(origin) => record.origin = None,
                _ => return StreamChange::default(),
            }
        }
        self.insert(name, record.clone(), false);
        StreamChange {
            record: Some(record),
            forgotten: self.forget_excess(&name.tenant),
        }
    }

    /// Restores a stream from its record. The owner that made the record kept to the bounds.
    pub fn restore(&mut self, name: &QualifiedName, record: StreamRecord) {
        self.insert(name, record, true);
    }

    /// Adds or replaces a stream.
    fn insert(&mut self, name: &QualifiedName, record: StreamRecord, is_restored: bool) {
        let tenant = self.tenants.entry(name.tenant.clone()).or_default();
        let stream = Stream {
            record,
            is_restored,
        };
        if tenant.streams.insert(name.name.clone(), stream).is_none() {
            tenant.order.push_back(name.name.clone());
            self.count += 1;
        }
    }

    /// Forgets a stream if there are too many after one of this tenant was added.
    fn forget_excess(&mut self, added_to: &Option<String>) -> Vec<QualifiedName> {
        let is_tenant_full = self
            .tenants
            .get(added_to)
            .is_some_and(|tenant| tenant.streams.len() > MAX_STREAMS_PER_TENANT);
        let largest = match (is_tenant_full, self.count > MAX_STREAMS) {
            (true, _) => Some(added_to.clone()),
            (false, true) => self.largest_tenant(),
            (false, false) => None,
        };
        let Some(largest) = largest else {
            return Vec::new();
        };
        let tenant = self.tenants.get_mut(&largest);
        let Some(id) = tenant.and_then(TenantStreams::remove_oldest) else {
            return Vec::new();
        };
        self.count -= 1;
        vec![QualifiedName::new(largest.as_deref(), &id)]
    }

    fn largest_tenant(&self) -> Option<Option<String>> {
        let tenants = self.tenants.iter();
        let largest = tenants.max_by_key(|(_, tenant)| tenant.streams.len());
        largest.map(|(tenant, _)| tenant.clone())
    }

    /// Removes a stream.
    pub fn remove(&mut self, name: &QualifiedName) {
        if let Some(tenant) = self.tenants.get_mut(&name.tenant)
            && tenant.streams.remove(&name.name).is_some()
        {
            self.count -= 1;
        }
    }

    /// Removes the streams whose retention is over, and returns their names.
    pub fn expire(&mut self, now_ms: u64) -> Vec<QualifiedName> {
        let mut expired = Vec::new();
        for (tenant, streams) in &mut self.tenants {
            streams.streams.retain(|id, stream| {
                let is_expired = stream.record.is_expired(now_ms);
                if is_expired {
                    expired.push(QualifiedName::new(tenant.as_deref(), id));
                }
                !is_expired
            });
            let TenantStreams { streams, order } = streams;
            order.retain(|id| streams.contains_key(id));
        }
        self.tenants.retain(|_, tenant| !tenant.streams.is_empty());
        self.count -= expired.len();
        expired
    }
}
