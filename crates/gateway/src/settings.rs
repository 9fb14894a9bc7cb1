//! Startup settings of a daemon.

use fieldhook_log::claim_delay::Capacity;
use fieldhook_topology::zone::Map;
use std::net::SocketAddr;

/// How strictly tenants' limits are enforced, from the deployment parameters of the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Window over which requests are counted, in milliseconds.
    pub window_ms: u64,
    /// Fraction of a window's limit by which it may be exceeded.
    pub overshoot: f64,
    /// Number of requests by which it may be exceeded in addition.
    pub slack: f64,
}

impl Default for Quota {
    fn default() -> Self {
        Self {
            window_ms: 5_000,
            overshoot: 0.0,
            slack: 0.0,
        }
    }
}

/// How far the request rate of a cold server may exceed its limit in a second, from the deployment
/// parameters of the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Factor applied to the limit; 1.0 is no tolerance.
    pub overshoot: f64,
    /// Number of requests allowed in addition.
    pub slack: f64,
}

/// Time limits within which the operator's changes take effect, and the tolerance for cold servers,
/// from the deployment parameters of the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// How long a daemon's connection to the log must have been undisturbed before these time limits
    /// apply to the daemon, in milliseconds.
    pub contact_ms: u64,
    /// Time until a new configuration is applied, in milliseconds.
    pub config_ms: u64,
    /// Time until a draining server gets no new requests, in milliseconds.
    pub drain_ms: u64,
    /// Time until the servers of an evacuated zone get no new requests, in milliseconds.
    pub evacuation_ms: u64,
    /// Tolerance for cold servers.
    pub cold: Cold,
}

impl Default for Bounds {
    /// The shortest times of all deployments so far, and no tolerance for cold servers.
    fn default() -> Self {
        Self {
            contact_ms: 3_000,
            config_ms: 2_000,
            drain_ms: 2_000,
            evacuation_ms: 5_000,
            cold: Cold {
                overshoot: 1.0,
                slack: 0.0,
            },
        }
    }
}

/// Limits on the data buffered for slow peers, both clients and servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowPeers {
    /// Bytes buffered for all peers together.
    pub held_bytes: u64,
    /// Bytes of a response buffered for one client. Servers abort a response that stays unread for
    /// seconds, so responses up to this size are read as fast as the server sends them.
    pub connection_bytes: usize,
    /// A client that reads nothing for this time is disconnected, in milliseconds.
    pub stall_ms: u64,
}

/// The machine's memory is divided by this to get the limit on buffered data. The smallest machine
/// has 48 MB, of which the rest of the daemon uses about half.
const BUFFER_MEMORY_DIVISOR: u64 = 4;

impl SlowPeers {
    /// Limits for a machine with `memory_bytes` of memory.
    pub fn for_memory(memory_bytes: u64) -> Self {
        Self {
            held_bytes: memory_bytes / BUFFER_MEMORY_DIVISOR,
            ..Self::default()
        }
    }
}

impl Default for SlowPeers {
    /// Limits for a large machine. `stall_ms` is the longest time for which any client waits for a
    /// response.
    fn default() -> Self {
        Self {
            held_bytes: 128 << 20,
            connection_bytes: 256 << 10,
            stall_ms: 10_000,
        }
    }
}

/// Settings of a gateway. The adapter that reads them validates them.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the machine, used in logs.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Zones of the deployment with their regions.
    pub zones: Map,
    /// Time limits on applying the operator's changes, and the tolerance for cold servers.
    pub bounds: Bounds,
    /// Listening address for clients.
    pub clients: SocketAddr,
    /// Listening address for readiness probes.
    pub readiness: SocketAddr,
    /// Path of the readiness probe.
    pub readiness_path: String,
    /// Listening address for other daemons.
    pub peers: SocketAddr,
    /// Listening address for metrics.
    pub metrics: SocketAddr,
    /// Number of partitions of a topic.
    pub partitions: u32,
    /// Resources that the machine gives the process.
    pub capacity: Capacity,
    /// Limits on the data buffered for slow peers.
    pub slow_peers: SlowPeers,
    /// How strictly tenants' limits are enforced.
    pub quota: Quota,
    /// Maximum time for which a revoked key may still be accepted, in milliseconds, if there is one.
    /// A daemon that could not confirm its configuration for this time accepts no keys at all.
    pub revocation_ms: Option<u64>,
    /// Time between SIGTERM and SIGKILL, in milliseconds.
    pub grace_ms: u64,
}
