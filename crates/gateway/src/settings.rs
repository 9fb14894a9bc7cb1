//! What a daemon is told at its start.

use fieldhook_log::claim_delay::Capacity;
use fieldhook_topology::zone::ZoneMap;
use std::net::SocketAddr;

/// How limits of tenants are judged, as the operator's sheet says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Span over which requests are counted, in milliseconds.
    pub window_ms: u64,
    /// Part of the limit of a span by which it may be exceeded.
    pub overshoot: f64,
    /// Requests by which it may be exceeded as well.
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

/// How much more than it bears a cold server may get in a second, as the sheet says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Times what it bears.
    pub overshoot: f64,
    /// Requests on top of that.
    pub slack: f64,
}

/// Times within which the operator's word has to be followed, and how cold servers are
/// judged, as the sheet says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Undisturbed time after which a daemon is held to these bounds, in milliseconds.
    pub contact_ms: u64,
    /// Time until a configuration is in force, in milliseconds.
    pub config_ms: u64,
    /// Time until a leaving server gets nothing new, in milliseconds.
    pub drain_ms: u64,
    /// Time until servers of an evacuated zone get nothing new, in milliseconds.
    pub evacuation_ms: u64,
    /// How cold servers are judged.
    pub cold: ColdTolerance,
}

impl Default for Bounds {
    /// The shortest times of the deployments served so far, and no room above what a cold
    /// server bears.
    fn default() -> Self {
        Self {
            contact_ms: 3_000,
            config_ms: 2_000,
            drain_ms: 2_000,
            evacuation_ms: 5_000,
            cold: ColdTolerance {
                overshoot: 1.0,
                slack: 0.0,
            },
        }
    }
}

/// What a daemon holds for peers that are slow to read, clients and servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowPeers {
    /// Bytes held for all of them together.
    pub held_bytes: u64,
    /// Bytes of an answer that are held for one client. A server cuts off an answer that stays
    /// unread for seconds, so what is smaller is taken off it at the pace of the server.
    pub connection_bytes: usize,
    /// A client that takes nothing for so long gets nothing more, in milliseconds.
    pub stall_ms: u64,
}

/// Part of a machine's memory that is held for slow peers: one in this. The smallest machine has
/// 48 MB, of which the rest of a daemon takes about half.
const HELD_DIVISOR: u64 = 4;

impl SlowPeers {
    /// What a machine with so much memory holds for them.
    pub fn for_memory(memory_bytes: u64) -> Self {
        Self {
            held_bytes: memory_bytes / HELD_DIVISOR,
            ..Self::default()
        }
    }
}

impl Default for SlowPeers {
    /// Of a large machine. No client waits for longer than this for an answer.
    fn default() -> Self {
        Self {
            held_bytes: 128 << 20,
            connection_bytes: 256 << 10,
            stall_ms: 10_000,
        }
    }
}

/// Settings of a gateway, checked by the adapter that read them.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the machine, for logs.
    pub name: String,
    /// Zone that it stands in.
    pub zone: String,
    /// The zones of the deployment with their regions.
    pub zones: ZoneMap,
    /// What the sheet bounds.
    pub bounds: Bounds,
    /// Where clients connect.
    pub clients: SocketAddr,
    /// Where readiness is asked.
    pub readiness: SocketAddr,
    /// Path of the readiness question.
    pub readiness_path: String,
    /// Where other daemons connect.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Partitions of a topic.
    pub partitions: u32,
    /// What the machine gives the process.
    pub capacity: Capacity,
    /// What it holds for peers that are slow to read.
    pub slow_peers: SlowPeers,
    /// How limits of tenants are judged.
    pub quota: Quota,
    /// Where keys that were taken away must not be served for longer than this, in
    /// milliseconds: a daemon that could not confirm its configuration for so long serves no
    /// keys at all.
    pub revocation_ms: Option<u64>,
    /// Time between SIGTERM and SIGKILL, in milliseconds.
    pub grace_ms: u64,
}
