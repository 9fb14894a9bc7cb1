//! Metrics in the Prometheus text format.

use prometheus::{Encoder, IntCounter, IntGauge, Registry, TextEncoder};

/// The daemon's counters and gauges.
pub struct Metrics {
    registry: Registry,
    /// Requests from callers.
    pub requests: IntCounter,
    /// Requests from callers in flight.
    pub in_flight: IntGauge,
    /// Requests answered with an error.
    pub errors: IntCounter,
    /// Repeated attempts to reach the owner of a shard.
    pub owner_retries: IntCounter,
    /// Attempts of calls, without the first of each call.
    pub further_attempts: IntCounter,
    /// Shards that this daemon owns.
    pub shards_owned: IntGauge,
    /// Commands that are not durable on the platform's log yet.
    pub commands_waiting: IntGauge,
    /// Version of the configuration that this daemon uses.
    pub config_version: IntGauge,
    /// Daemons that this daemon considers alive.
    pub live_members: IntGauge,
    /// Bytes of datagrams sent to other daemons, including IP and UDP headers.
    pub control_bytes: IntCounter,
    /// Programs in the shards that this daemon owns.
    pub programs: IntGauge,
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::new(name, help).unwrap_or_else(|error| panic!("{name}: {error}"));
    let _ = registry.register(Box::new(metric.clone()));
    metric
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::new(name, help).unwrap_or_else(|error| panic!("{name}: {error}"));
    let _ = registry.register(Box::new(metric.clone()));
    metric
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let r = &registry;
        Self {
            requests: counter(r, "fieldhook_requests_total", "Requests from callers"),
            in_flight: gauge(r, "fieldhook_in_flight", "Requests under way for callers"),
            errors: counter(
                r,
                "fieldhook_errors_total",
                "Answers that ended in an error",
            ),
            owner_retries: counter(r, "fieldhook_owner_retries_total", "Calls asked again"),
            further_attempts: counter(
                r,
                "fieldhook_further_attempts_total",
                "Attempts of calls after the first",
            ),
            shards_owned: gauge(r, "fieldhook_shards_owned", "Shards owned here"),
            commands_waiting: gauge(
                r,
                "fieldhook_commands_waiting",
                "Commands that the platform's log does not have yet",
            ),
            config_version: gauge(r, "fieldhook_config_version", "Configuration in force here"),
            live_members: gauge(r, "fieldhook_live_members", "Daemons held alive here"),
            control_bytes: counter(
                r,
                "fieldhook_control_bytes_total",
                "Bytes sent between daemons for control",
            ),
            programs: gauge(r, "fieldhook_programs", "Programs in shards owned here"),
            registry,
        }
    }
}

impl Metrics {
    /// Renders all metrics as text.
    pub fn render(&self) -> String {
        let mut buffer = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        String::from_utf8_lossy(&buffer).into_owned()
    }
}
