//! Messages about the origins of streams.

use super::RequestKey;
use crate::streams::StreamOrigin;
use nanoserde::{DeBin, SerBin};

/// Records which server sent the first event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub struct RecordStream {
    /// The stream.
    pub stream: RequestKey,
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
