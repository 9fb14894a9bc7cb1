//! The traffic configuration in force: routes, services, tenants and limits.

use crate::tenants::Tenant;
use fieldhook_topology::region;

/// What may be done with a request of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run any number of times.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Answered by a stream of events. Runs at most once unless it is resumable.
    Stream {
        /// A stream may be taken up at another server after its last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One service of a route with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share relative to the other parts.
    pub weight: u32,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, shown in logs.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Prefix of the path.
    pub path_prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Longest time a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is in time, in milliseconds.
    pub target_latency_ms: u64,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// Services that serve it.
    pub services: Vec<WeightedService>,
    /// Most servers that one request may be sent to.
    pub max_attempts: u32,
    /// Requests bring only their new input; the system keeps what was said.
    pub retains_context: bool,
    /// How long a turn is kept after its end, in milliseconds.
    pub retention_ms: u64,
    /// Requests need no key.
    pub is_public: bool,
    /// Regions that its requests may be served in and their data kept in.
    pub allowed_regions: region::RegionSet,
}

/// What servers of a service bear for a while after their start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests a second that a cold server bears.
    pub rate_per_s: f64,
    /// How long a server is cold after its start, in milliseconds.
    pub duration_ms: u64,
}

/// Servers of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Connections that a server accepts from all callers together.
    pub max_connections: u32,
    /// Requests that an engine runs at once, 0 where it is not an engine.
    pub engine_slots: u32,
    /// Tokens that one event of a stream carries.
    pub tokens_per_event: u64,
    /// What its servers bear while cold, where that is bounded.
    pub cold: Option<ColdLimit>,
}

/// What a client may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request to arrive whole, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time that a connection may stay idle, in milliseconds.
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

/// The whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrafficConfig {
    /// Rises with every change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits for clients.
    pub limits: ClientLimits,
    /// Tenants; `None` where requests belong to nobody and need no key.
    pub tenants: Option<Vec<Tenant>>,
}

impl TrafficConfig {
    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
