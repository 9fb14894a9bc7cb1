//! Name under which something about a request is recorded.

use crate::name::QualifiedName;
use crate::partition_of;
use nanoserde::{DeBin, SerBin};

/// Name under which something about a request is recorded, and where.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct RequestKey {
    /// For a stream, the id of the attempt that brought the first event; for what ends servers, a
    /// hash of the content.
    pub name: QualifiedName,
    /// Program of the request, whose partition holds the record. Without a program, it is held in
    /// the partition that the name hashes to.
    pub program: Option<String>,
}

impl RequestKey {
    /// Whether unrelated requests may have the same content.
    pub fn is_shared(&self) -> bool {
        self.program.is_none()
    }

    /// Partition that holds the record, with `partitions` global partitions.
    pub fn partition(&self, partitions: u32) -> u32 {
        let name = self.program.as_ref().unwrap_or(&self.name.name);
        partition_of(name, partitions)
    }
}
