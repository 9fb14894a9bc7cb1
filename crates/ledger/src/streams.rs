//! Origins of streams.
//!
//! A stream may continue only at a server of the software that sent its first event.

use nanoserde::{DeBin, SerBin};

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
