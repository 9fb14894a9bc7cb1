//! The traffic configuration: routes, services, tenants and limits.

use crate::tenants::Tenant;
use fieldhook_topology::region;

/// Whether requests of a route may be retried, and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run any number of times.
    Safe,
    /// Requests run at most once.
    Unsafe,
    /// Requests are answered by a stream of events. They run at most once unless the stream is
    /// resumable.
    Stream {
        /// A broken stream may be resumed at another server after its last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service of a route and its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the weights of the other services.
    pub weight: u32,
}

/// Routing rule for the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route, as shown in logs.
    pub name: String,
    /// Host name of the requests.
    pub host: String,
    /// Prefix of the request path.
    pub path_prefix: String,
    /// Whether requests may be retried, and how they are answered.
    pub kind: RouteKind,
    /// Time after which a request fails, in milliseconds.
    pub timeout_ms: u64,
    /// Latency within which a response is on time, in milliseconds.
    pub target_latency_ms: u64,
    /// Priority of the requests. 0 is the most urgent.
    pub priority: u8,
    /// Services that the requests are distributed to.
    pub services: Vec<WeightedService>,
    /// Maximum number of attempts that may have run, for a request that may be retried after such
    /// an attempt. Attempts that were not run do not count.
    pub max_attempts: u32,
    /// Requests carry only their new input, because the daemons store the conversation so far.
    pub retains_context: bool,
    /// How long a turn is stored after its end, in milliseconds.
    pub retention_ms: u64,
    /// Requests need no API key.
    pub is_public: bool,
    /// Regions that may serve the requests and store their data.
    pub allowed_regions: region::RegionSet,
}

/// Limit on the requests to servers of a service for some time after their start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests per second that a cold server can handle.
    pub rate_per_s: f64,
    /// How long a server is cold after its start, in milliseconds.
    pub duration_ms: u64,
}

/// A group of servers that offer the same function.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// Requests that one engine runs concurrently. 0 if the servers are not engines.
    pub engine_slots: u32,
    /// Tokens per event of a stream.
    pub tokens_per_event: u64,
    /// Path of the health check of its servers, if they have one.
    pub health_path: Option<String>,
    /// Limit on the requests to cold servers, if there is one.
    pub cold: Option<ColdLimit>,
}

/// Limits on the size and duration of client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time within which a request has to arrive completely, head and body, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// The complete traffic configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficConfig {
    /// Version number, which increases with every change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on client requests.
    pub limits: ClientLimits,
    /// Tenants. `None` if requests belong to no tenant and need no API key.
    pub tenants: Option<Vec<Tenant>>,
}

impl TrafficConfig {
    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
