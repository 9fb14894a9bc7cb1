//! Configuration of a cluster.

use crate::cluster::process::Process;

/// Configuration of one engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Model that the engine has loaded.
    pub model: String,
    /// Zone of the engine.
    pub zone: String,
    /// Additional command-line flags of the emulator.
    pub flags: Vec<String>,
}

/// Processes of a cluster and their settings.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Zones; daemons and servers are assigned to them round-robin.
    pub zones: Vec<String>,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of shards.
    pub shards: u16,
    /// Engines, each with its own process.
    pub engines: Vec<EngineConfig>,
    /// Services, each with one server, and whether the server supports the lookup of past
    /// requests.
    pub services: Vec<(String, bool)>,
    /// Delay after which the machine list shows a change, in milliseconds.
    pub list_lag_ms: u64,
    /// Additional lines of the daemons' settings file.
    pub settings: String,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        let zones = ["imanta", "purvciems", "tornakalns"]
            .map(str::to_owned)
            .to_vec();
        let engines = zones
            .iter()
            .map(|zone| EngineConfig {
                model: "chat".to_owned(),
                zone: zone.clone(),
                flags: Vec::new(),
            })
            .collect();
        Self {
            zones,
            daemons: 3,
            shards: 8,
            engines,
            services: vec![
                ("limits".to_owned(), true),
                ("instalments".to_owned(), true),
            ],
            list_lag_ms: 500,
            settings: String::new(),
        }
    }
}

/// A daemon of a running cluster.
#[derive(Debug)]
pub struct DaemonHandle {
    /// IP address and port.
    pub address: String,
    /// Zone of the daemon.
    pub zone: String,
    /// The process; `None` before its start and after it was stopped or killed.
    pub process: Option<Process>,
}
