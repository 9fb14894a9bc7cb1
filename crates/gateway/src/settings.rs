//! What a daemon is told at its start.

use fieldhook_log::patience::Capacity;
use std::net::SocketAddr;

/// Settings of a gateway, checked by the adapter that read them.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the machine, for logs.
    pub name: String,
    /// Zone that it stands in.
    pub zone: String,
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
    /// Time between SIGTERM and SIGKILL, in milliseconds.
    pub grace_ms: u64,
}
