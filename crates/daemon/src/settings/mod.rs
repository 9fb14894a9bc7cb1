//! Settings of the daemon: a TOML file, overridden by flags and validated at startup.

mod error;
mod flags;

pub use error::SettingsError;
pub use flags::Flags;

use fieldhook_model::address::Address;
use serde::Deserialize;
use std::time::Duration;

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// IP address and port of the append-only log.
    pub log: String,
    /// IP address and port of the machine list.
    pub machines: String,
}

/// Timing of the failure detector.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// Time between probes, in milliseconds.
    pub probe_ms: u64,
    /// Time to wait for the answer to a direct probe, in milliseconds.
    pub answer_ms: u64,
    /// Time that a suspected member has to refute the suspicion, in milliseconds.
    pub suspicion_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        let core = fieldhook_membership::Settings::default();
        Self {
            probe_ms: core.probe_ms,
            answer_ms: core.answer_ms,
            suspicion_ms: core.suspicion_ms,
        }
    }
}

/// Limits for requests of callers, and timeouts.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of calls of a program that does not set its own limit.
    pub max_turns: u32,
    /// Timeout of a request to a server, in milliseconds.
    pub server_timeout_ms: u64,
    /// Timeout for the first token of an engine, in milliseconds.
    pub first_token_ms: u64,
    /// Timeout between tokens of an engine, in milliseconds.
    pub stall_ms: u64,
    /// Maximum number of attempts of a call.
    pub attempts: u32,
    /// Time without contact to an owner after which a call fails, in milliseconds.
    pub give_up_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            max_turns: 200,
            server_timeout_ms: 10_000,
            first_token_ms: 30_000,
            stall_ms: 3_000,
            attempts: 4,
            give_up_ms: 8_000,
        }
    }
}

/// All settings of the daemon.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// IP address and port to listen on: TCP for HTTP, UDP for the failure detector.
    pub address: String,
    /// Zone of this machine.
    pub zone: String,
    /// Addresses of daemons to join through; may include this daemon's own.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Number of shards. Must be the same on every daemon and must never change.
    #[serde(default = "default_shards")]
    pub shards: u16,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Timing of the failure detector.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// Limits and timeouts.
    #[serde(default)]
    pub limits: LimitSettings,
}

fn default_shards() -> u16 {
    16
}

impl Settings {
    /// Validates all values.
    ///
    /// # Errors
    /// The first value that is not allowed.
    pub fn validate(&self) -> Result<(), SettingsError> {
        check_address("address", &self.address)?;
        check_address("platform.log", &self.platform.log)?;
        check_address("platform.machines", &self.platform.machines)?;
        for seed in &self.seeds {
            check_address("seeds", seed)?;
        }
        check_value(
            "zone",
            &self.zone,
            !self.zone.is_empty(),
            "a non-empty name",
            "set it to the zone of this machine",
        )?;
        check_value(
            "shards",
            self.shards,
            (1..=4096).contains(&self.shards),
            "1 to 4096",
            "use the same number on every daemon",
        )?;
        self.check_limits()?;
        let membership = self.membership_settings();
        membership
            .validate()
            .map_err(|error| SettingsError::Relation(format!("membership: {error}")))
    }

    fn check_limits(&self) -> Result<(), SettingsError> {
        let limits = &self.limits;
        check_value(
            "limits.body_bytes",
            limits.body_bytes,
            (1024..=256 << 20).contains(&limits.body_bytes),
            "1024 to 268435456",
            "use at least the size of the largest message that callers send",
        )?;
        check_value(
            "limits.attempts",
            limits.attempts,
            (1..=10).contains(&limits.attempts),
            "1 to 10",
            "use 4; each further attempt uses up budget",
        )?;
        check_value(
            "limits.max_turns",
            limits.max_turns,
            limits.max_turns > 0,
            "1 or more",
            "use 200",
        )?;
        check_value(
            "limits.stall_ms",
            limits.stall_ms,
            limits.stall_ms >= 100,
            "100 or more",
            "use several times the step time of an engine",
        )
    }

    /// Converts the timing into the settings of the failure detector.
    pub fn membership_settings(&self) -> fieldhook_membership::Settings {
        fieldhook_membership::Settings {
            probe_ms: self.membership.probe_ms,
            answer_ms: self.membership.answer_ms,
            suspicion_ms: self.membership.suspicion_ms,
            ..fieldhook_membership::Settings::default()
        }
    }

    /// Parses the address to listen on.
    ///
    /// # Errors
    /// The value is not an IPv4 address with a port.
    pub fn listen_address(&self) -> Result<Address, SettingsError> {
        parse_address("address", &self.address)
    }

    /// Parses the addresses of the seeds.
    ///
    /// # Errors
    /// A value is not an IPv4 address with a port.
    pub fn seed_addresses(&self) -> Result<Vec<Address>, SettingsError> {
        self.seeds
            .iter()
            .map(|seed| parse_address("seeds", seed))
            .collect()
    }
}

impl LimitSettings {
    /// Timeout of a request to a server.
    pub fn server_timeout(&self) -> Duration {
        Duration::from_millis(self.server_timeout_ms)
    }

    /// Timeout for the first token of an engine.
    pub fn first_token(&self) -> Duration {
        Duration::from_millis(self.first_token_ms)
    }

    /// Timeout between tokens of an engine.
    pub fn stall(&self) -> Duration {
        Duration::from_millis(self.stall_ms)
    }
}

fn parse_address(key: &'static str, value: &str) -> Result<Address, SettingsError> {
    value.parse().map_err(|_| SettingsError::Value {
        key,
        value: value.to_owned(),
        allowed: "an IPv4 address with a port, such as 127.0.0.1:7001",
        remedy: "use the machine's IP address; host names are not resolved",
    })
}

fn check_address(key: &'static str, value: &str) -> Result<(), SettingsError> {
    parse_address(key, value).map(|_| ())
}

fn check_value<V: ToString>(
    key: &'static str,
    value: V,
    is_valid: bool,
    allowed: &'static str,
    remedy: &'static str,
) -> Result<(), SettingsError> {
    if is_valid {
        return Ok(());
    }
    Err(SettingsError::Value {
        key,
        value: value.to_string(),
        allowed,
        remedy,
    })
}
