//! Messages about the origins of streams.

use crate::name::QualifiedName;
use crate::partition_of;
use crate::streams::StreamOrigin;
use nanoserde::{DeBin, SerBin};

/// Name of a stream and where its origin is recorded.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct StreamKey {
    /// Id of the attempt that brought the first event.
    pub name: QualifiedName,
    /// Program of the stream, whose partition records the origin. A stream without a program is
    /// recorded in the partition that its own name hashes to.
    pub program: Option<String>,
}

impl StreamKey {
    /// Partition that records the origin, with `partitions` global partitions.
    pub fn partition(&self, partitions: u32) -> u32 {
        let name = self.program.as_ref().unwrap_or(&self.name.name);
        partition_of(name, partitions)
    }
}

/// Records which server sent the first event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct RecordStream {
    /// The stream.
    pub stream: StreamKey,
    /// The server and its software.
    pub origin: StreamOrigin,
    /// How long the client may resume the stream, in milliseconds.
    pub retention_ms: u64,
}

/// A stream as known to the owner of its partition.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct FoundStream {
    /// Origin of the first event; `None` if it is uncertain: see
    /// [`StreamRecord`](crate::streams::StreamRecord).
    pub origin: Option<StreamOrigin>,
    /// Time since the first event, in milliseconds.
    pub age_ms: u64,
    /// Whether the owner read the record from the log.
    pub is_restored: bool,
}
