//! Origins of the streams that clients may resume.
//!
//! A stream may continue only at a server of the software that sent its first event. The origin of
//! a stream is recorded before its first event leaves, because the daemon that served it may be
//! lost together with the owner. An origin that is not known is never guessed: clients then start
//! a new stream.

use crate::name::QualifiedName;
use crate::tenant_map::{Bounds, TenantMap};
use nanoserde::{DeBin, SerBin};

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

/// Known streams of all tenants, by the id of the attempt that brought the first event.
#[derive(Clone, Debug)]
pub struct Streams {
    streams: TenantMap<Stream>,
}

impl Default for Streams {
    fn default() -> Self {
        Self {
            streams: TenantMap::new(Bounds {
                per_tenant: MAX_STREAMS_PER_TENANT,
                total: MAX_STREAMS,
            }),
        }
    }
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
        self.streams.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns a stream, unless its retention is over.
    pub fn get(&self, name: &QualifiedName, now_ms: u64) -> Option<&Stream> {
        let stream = self.streams.get(name)?;
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
        let forgotten = self.streams.remove_excess(&name.tenant);
        StreamChange {
            record: Some(record),
            forgotten: forgotten.into_iter().collect(),
        }
    }

    /// Restores a stream from its record. The owner that made the record kept to the bounds.
    pub fn restore(&mut self, name: &QualifiedName, record: StreamRecord) {
        self.insert(name, record, true);
    }

    fn insert(&mut self, name: &QualifiedName, record: StreamRecord, is_restored: bool) {
        let stream = Stream {
            record,
            is_restored,
        };
        self.streams.insert(name, stream);
    }

    /// Removes a stream.
    pub fn remove(&mut self, name: &QualifiedName) {
        self.streams.remove(name);
    }

    /// Removes the streams whose retention is over, and returns their names.
    pub fn expire(&mut self, now_ms: u64) -> Vec<QualifiedName> {
        let expired = self
            .streams
            .retain(|stream| !stream.record.is_expired(now_ms));
        expired.into_iter().map(|(name, _)| name).collect()
    }
}
