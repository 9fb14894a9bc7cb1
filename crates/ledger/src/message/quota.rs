//! Limits of tenants and of cold servers.

use nanoserde::{DeBin, SerBin};

/// Event that is reported to the owner of a tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum QuotaEvent {
    /// A request is about to be sent.
    Request,
    /// The last request of the program was interrupted: its client disconnected or got no complete
    /// response. Uses nothing of the limit; the reply has the current usage.
    Interrupted,
}

/// Asks the owner of a tenant's limit to admit a request.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct QuotaRequest {
    /// Event to report.
    pub event: QuotaEvent,
    /// Name of the tenant.
    pub tenant: String,
    /// Allowed requests per second, as configured at the requesting daemon.
    pub rate_per_s: f64,
    /// Additional requests allowed at once.
    pub burst: f64,
    /// Version of that configuration.
    pub version: u64,
    /// Program of the request.
    pub program: Option<String>,
    /// Route of the request.
    pub route: String,
    /// Whether this is the first request of its program.
    pub starts_program: bool,
    /// How long the request can wait to be admitted, in milliseconds. Quota that becomes available
    /// later is not reserved for it.
    pub max_wait_ms: u64,
}

/// Asks the owner of a cold server's request count whether a request may be sent to the server now.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
pub struct ColdServerRequest {
    /// Id of the server.
    pub server: String,
    /// Requests per second that the server can handle, as configured at the requesting daemon.
    pub rate_per_s: f64,
    /// Version of that configuration.
    pub version: u64,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
}

/// Reply to a [`QuotaRequest`] or [`ColdServerRequest`].
#[derive(Clone, Copy, Debug, PartialEq, SerBin, DeBin)]
pub enum QuotaReply {
    /// The request may be sent.
    Granted {
        /// Fraction of the limit in use, 0 to 1.
        used: f64,
    },
    /// The request may not be sent now.
    Refused {
        /// Time until a request could be sent, in milliseconds.
        retry_after_ms: u64,
    },
}
