//! What a cluster consists of.

use crate::cluster::process::Process;

/// One engine of a cluster.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Model that it has loaded.
    pub model: String,
    /// Zone.
    pub zone: String,
    /// More flags of the stand-in.
    pub flags: Vec<String>,
}

/// What a cluster consists of.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Zones; daemons are spread over them in turn.
    pub zones: Vec<String>,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of shards.
    pub shards: u16,
    /// Engines.
    pub engines: Vec<EngineConfig>,
    /// Services, each with one server; `false` for one without look-up.
    pub services: Vec<(String, bool)>,
    /// Lag of the machine list in milliseconds.
    pub list_lag_ms: u64,
    /// More lines of the daemons' settings file.
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

/// One daemon of a cluster.
#[derive(Debug)]
pub struct DaemonHandle {
    /// IP and port.
    pub address: String,
    /// Zone.
    pub zone: String,
    /// The process, unless it was ended.
    pub process: Option<Process>,
}
