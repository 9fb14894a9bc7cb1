//! Scenarios: what to start, what load to put on it, and which faults to cause
//! when. An unknown key or an impossible shape is an error with a remedy.

use crate::cluster::{ClusterConfig, EngineConfig};
use crate::load::Workload;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

/// What is wrong with a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScenarioError {
    /// The file cannot be read.
    Unreadable(String),
    /// Not TOML, or an unknown or missing key.
    Syntax(String),
    /// The shape cannot work.
    Invalid(String),
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(cause) => write!(formatter, "{cause}; name a readable file"),
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

/// Engines of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// Model that they have loaded.
    pub model: String,
    /// Number of them; spread over the zones in turn.
    pub count: usize,
    /// More flags of the stand-in.
    #[serde(default)]
    pub flags: Vec<String>,
}

/// A service with one server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Whether the server can be asked for past requests.
    #[serde(default = "default_true")]
    pub lookup: bool,
}

fn default_true() -> bool {
    true
}

/// What to start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterSpec {
    /// Zones.
    pub zones: Vec<String>,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of shards.
    pub shards: u16,
    /// Engines.
    pub engines: Vec<Engines>,
    /// Services.
    #[serde(default)]
    pub services: Vec<Service>,
}

/// Programs of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkloadSpec {
    /// Name in the report.
    pub name: String,
    /// Tenant.
    pub tenant: String,
    /// Labels.
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
    /// Model asked for.
    pub model: String,
    /// Service for requests that are not repeatable.
    #[serde(default)]
    pub service: String,
    /// Every so many calls one goes to the service; 0 for none.
    #[serde(default)]
    pub service_every: u32,
    /// Programs at once.
    pub programs: usize,
    /// Calls of each.
    pub turns: u32,
    /// Bytes of each user message.
    pub message_bytes: usize,
    /// Tokens of each answer.
    pub max_tokens: u32,
    /// Longest pause between calls, in milliseconds.
    pub pause_ms: u32,
    /// Budget of each program.
    pub budget: i64,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Ends a daemon at once and starts it anew after `for_ms`.
    KillDaemon,
    /// Stops a daemon in order and starts it anew.
    StopDaemon,
    /// Freezes a daemon for `for_ms`.
    FreezeDaemon,
    /// Ends an engine at once and starts it anew after `for_ms`.
    KillEngine,
    /// The log answers nothing for `for_ms`.
    LogDown,
    /// The log waits before each answer for `for_ms`.
    LogSlow,
    /// The next answers of every server are lost after the effect.
    LoseServerAnswers,
}

/// One fault.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// When, in milliseconds from the load's start.
    pub at_ms: u64,
    /// What.
    pub kind: FaultKind,
    /// Which daemon or engine.
    #[serde(default)]
    pub target: usize,
    /// For how long, in milliseconds.
    #[serde(default)]
    pub for_ms: u64,
}

/// A scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name in the report.
    pub name: String,
    /// Seed of all random choices of the load.
    #[serde(default)]
    pub seed: u64,
    /// What to start.
    pub cluster: ClusterSpec,
    /// Load.
    pub workload: Vec<WorkloadSpec>,
    /// Faults, in order of time.
    #[serde(default)]
    pub fault: Vec<FaultSpec>,
}

impl Scenario {
    /// Reads and checks a scenario.
    ///
    /// # Errors
    /// The first problem found.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ScenarioError::Unreadable(format!("{}: {error}", path.display())))?;
        Self::parse(&text)
    }

    /// Parses and checks a scenario.
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
            return invalid("cluster needs zones, daemons and shards; give at least one".into());
        }
        for workload in &self.workload {
            if !cluster
                .engines
                .iter()
                .any(|engines| engines.model == workload.model)
            {
                return invalid(format!(
                    "workload {:?} asks for model {:?}, which no engine has; add one",
                    workload.name, workload.model
                ));
            }
            let has_service = cluster
                .services
                .iter()
                .any(|service| service.name == workload.service);
            if workload.service_every > 0 && !has_service {
                return invalid(format!(
                    "workload {:?} asks for service {:?}, which is not listed; add it",
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
                    "fault target {} is not below {limit}",
                    fault.target
                ));
            }
        }
        Ok(())
    }

    /// The cluster to start.
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
    /// The load of this kind.
    pub fn workload(&self) -> Workload {
        Workload {
            tenant: self.tenant.clone(),
            labels: self.labels.clone(),
            model: self.model.clone(),
            service: self.service.clone(),
            programs: self.programs,
            turns: self.turns,
            service_every: self.service_every,
            message_bytes: self.message_bytes,
            max_tokens: self.max_tokens,
            pause_ms: self.pause_ms,
            budget: self.budget,
            // Names are for people; request keys take no spaces.
            run: self.name.replace(' ', "-"),
        }
    }
}
