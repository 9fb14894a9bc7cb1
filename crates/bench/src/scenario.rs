//! Scenario files: the cluster to start, the load, and the faults to inject and when. An
//! unknown key or an invalid configuration is an error that says how to fix it.

use crate::cluster::{ClusterConfig, EngineConfig};
use crate::load::Workload;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

/// Why a scenario cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScenarioError {
    /// The file cannot be read.
    Unreadable(String),
    /// The file is not valid TOML, or a key is unknown or missing.
    Syntax(String),
    /// A value is out of range or contradicts another one.
    Invalid(String),
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(cause) => write!(formatter, "{cause}; pass a readable file"),
            Self::Syntax(cause) => {
                write!(
                    formatter,
                    "{cause}\nremedy: see scenarios/README.md for every key"
                )
            }
            Self::Invalid(cause) => formatter.write_str(cause),
        }
    }
}

impl std::error::Error for ScenarioError {}

/// A group of engines with the same model and flags.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// Model that the engines have loaded.
    pub model: String,
    /// Number of engines; they are assigned to the zones round-robin.
    pub count: usize,
    /// Additional command-line flags of the emulator.
    #[serde(default)]
    pub flags: Vec<String>,
}

/// A service with one server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Whether the server supports the lookup of past requests.
    #[serde(default = "default_true")]
    pub lookup: bool,
}

fn default_true() -> bool {
    true
}

/// The cluster of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterSpec {
    /// Zones.
    pub zones: Vec<String>,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of shards.
    pub shards: u16,
    /// Groups of engines.
    pub engines: Vec<Engines>,
    /// Services.
    #[serde(default)]
    pub services: Vec<Service>,
}

/// Programs of one kind that run concurrently.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkloadSpec {
    /// Name in the report.
    pub name: String,
    /// Tenant of the programs.
    pub tenant: String,
    /// Labels of the programs.
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
    /// Model that is called.
    pub model: String,
    /// Service that receives the requests that are not repeatable.
    #[serde(default)]
    pub service: String,
    /// Every n-th call goes to the service; 0 for none.
    #[serde(default)]
    pub service_every: u32,
    /// Number of concurrent programs.
    pub programs: usize,
    /// Number of calls of each program.
    pub turns: u32,
    /// Minimum size of each user message.
    pub message_bytes: usize,
    /// Number of tokens of each answer.
    pub max_tokens: u32,
    /// Upper bound of the random pause after each call, in milliseconds.
    pub pause_ms: u32,
    /// Budget of each program.
    pub budget: i64,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Kills a daemon and restarts it after `for_ms`.
    KillDaemon,
    /// Shuts a daemon down with SIGTERM and restarts it.
    StopDaemon,
    /// Pauses a daemon for `for_ms`.
    FreezeDaemon,
    /// Kills an engine and restarts it after `for_ms`.
    KillEngine,
    /// For `for_ms`, every request to the log fails.
    LogDown,
    /// For `for_ms`, the log delays every request by 800 ms.
    LogSlow,
    /// The next responses of every server are lost after the request took effect.
    LoseServerAnswers,
}

/// A fault to inject.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// Time of the fault, in milliseconds since the start of the load.
    pub at_ms: u64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Index of the daemon or engine; not used by the other kinds of faults.
    #[serde(default)]
    pub target: usize,
    /// Duration of the fault, in milliseconds.
    #[serde(default)]
    pub for_ms: u64,
}

/// A cluster, the load on it, and the faults to inject.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name in the report.
    pub name: String,
    /// Seed of the load's random choices.
    #[serde(default)]
    pub seed: u64,
    /// The cluster to start.
    pub cluster: ClusterSpec,
    /// The workloads; all of them run at the same time.
    pub workload: Vec<WorkloadSpec>,
    /// The faults, ordered by time.
    #[serde(default)]
    pub fault: Vec<FaultSpec>,
}

impl Scenario {
    /// Reads a scenario file and validates it.
    ///
    /// # Errors
    /// The first problem found.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ScenarioError::Unreadable(format!("{}: {error}", path.display())))?;
        Self::parse(&text)
    }

    /// Parses a scenario and validates it.
    ///
    /// # Errors
    /// The first problem found.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self =
            toml::from_str(text).map_err(|error| ScenarioError::Syntax(error.to_string()))?;
        scenario.validate()?;
        Ok(scenario)
    }

    fn validate(&self) -> Result<(), ScenarioError> {
        let invalid = |cause: String| Err(ScenarioError::Invalid(cause));
        let cluster = &self.cluster;
        if cluster.zones.is_empty() || cluster.daemons == 0 || cluster.shards == 0 {
            return invalid("a cluster needs at least one zone, daemon and shard".into());
        }
        for workload in &self.workload {
            if !cluster
                .engines
                .iter()
                .any(|engines| engines.model == workload.model)
            {
                return invalid(format!(
                    "workload {:?} uses model {:?}, which no engine has; add an engine",
                    workload.name, workload.model
                ));
            }
            let has_service = cluster
                .services
                .iter()
                .any(|service| service.name == workload.service);
            if workload.service_every > 0 && !has_service {
                return invalid(format!(
                    "workload {:?} uses service {:?}, which is not defined; add it",
                    workload.name, workload.service
                ));
            }
        }
        let engines: usize = cluster.engines.iter().map(|engines| engines.count).sum();
        for fault in &self.fault {
            let limit = match fault.kind {
                FaultKind::KillEngine => engines,
                _ => cluster.daemons,
            };
            if fault.target >= limit {
                return invalid(format!(
                    "fault target {} must be less than {limit}",
                    fault.target
                ));
            }
        }
        Ok(())
    }

    /// Returns the configuration of the cluster to start.
    pub fn cluster_config(&self) -> ClusterConfig {
        let mut engines = Vec::new();
        for kind in &self.cluster.engines {
            for _ in 0..kind.count {
                let zone = self.cluster.zones[engines.len() % self.cluster.zones.len()].clone();
                let (model, flags) = (kind.model.clone(), kind.flags.clone());
                engines.push(EngineConfig { model, zone, flags });
            }
        }
        let services = self.cluster.services.iter();
        ClusterConfig {
            zones: self.cluster.zones.clone(),
            daemons: self.cluster.daemons,
            shards: self.cluster.shards,
            engines,
            services: services
                .map(|service| (service.name.clone(), service.lookup))
                .collect(),
            ..ClusterConfig::default()
        }
    }
}

impl WorkloadSpec {
    /// Returns the workload for the load generator.
    pub fn workload(&self) -> Workload {
        Workload {
            tenant: self.tenant.clone(),
            labels: self.labels.clone(),
            model: self.model.clone(),
            service: self.service.clone(),
            programs: self.programs,
            calls: self.turns,
            service_every: self.service_every,
            message_bytes: self.message_bytes,
            max_tokens: self.max_tokens,
            pause_ms: self.pause_ms,
            budget: self.budget,
            // A request key must not contain spaces; names may.
            key_prefix: self.name.replace(' ', "-"),
        }
    }
}
