//! Metrics in the Prometheus text format.

use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};
use std::rc::Rc;

/// Number of tenants exported by name. Each is a time series of its own, and there may be thousands.
const MAX_TENANTS_SHOWN: usize = 8;
const LATENCY_BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 4.0, 8.0,
];

/// The metrics of a daemon.
pub struct Metrics {
    registry: Registry,
    /// Responses to clients by status; 0 is an aborted response.
    pub responses: IntCounterVec,
    /// Requests in progress.
    pub in_flight: IntGauge,
    /// Attempts to send a request to a server, by outcome.
    pub attempts: IntCounterVec,
    /// Attempts that broke off, by what became of the server.
    pub broken_attempts: IntCounterVec,
    /// Attempts that are over and may still end their servers.
    pub followed_attempts: IntGauge,
    /// Attempts of other daemons that are backed up here.
    pub backed_up_attempts: IntGauge,
    /// Attempts of lost daemons that this one took over, by how the loss was known.
    pub attempts_taken_over: IntCounterVec,
    /// Changes of the daemon that backs up the attempts of this one, by outcome.
    pub backup_changes: IntCounterVec,
    /// Questions to servers which process they are, by answer.
    pub identity_checks: IntCounterVec,
    /// Permits for sending a request to a server, by outcome.
    pub send_permits: IntCounterVec,
    /// Questions to owners whether servers end under requests of a partition, by outcome.
    pub watch_checks: IntCounterVec,
    /// Changes of servers between silent and responsive.
    pub silence: IntCounterVec,
    /// Requests of tenants with a limit, by outcome.
    pub quota: IntCounterVec,
    /// Requests that resume a stream, by outcome.
    pub resumed_streams: IntCounterVec,
    /// Servers known to be cold.
    pub cold_servers: IntGauge,
    /// Requests for a permit to use a cold server, by outcome.
    pub cold_permits: IntCounterVec,
    /// Requests restricted to home regions, by outcome.
    pub homes: IntCounterVec,
    /// Tenants whose limits are enforced by this daemon.
    pub tenants: IntGauge,
    /// Fraction of its limit that a tenant uses, for the tenants with the highest usage.
    pub tenant_limit_used: GaugeVec,
    /// Turns that an owner may have opened for a client that left before the reply.
    pub turns_in_doubt: IntCounter,
    /// Turns that were recorded together with a chain that had expired.
    pub expired_chains: IntCounter,
    /// Unreadable records of the configuration, of evacuations and of servers, by kind.
    pub unreadable: IntCounterVec,
    /// Bytes buffered for slow peers.
    pub held_bytes: IntGauge,
    /// Buffers refused for lack of memory, evicted for others, or stalled, by outcome.
    pub held_outcomes: IntCounterVec,
    /// Connections opened to servers.
    pub connections: IntCounter,
    /// Calls to the log service, by kind.
    pub store_calls: IntCounterVec,
    /// Requests to reader daemons for records of followed topics, by outcome.
    pub relayed_reads: IntCounterVec,
    /// Partitions owned by this daemon.
    pub partitions_owned: IntGauge,
    /// Version of the current configuration.
    pub config_version: IntGauge,
    /// Log lines dropped because standard output was read too slowly.
    pub lines_dropped: IntGauge,
    /// Seconds to the head of the response or the first event.
    pub first_byte_seconds: Histogram,
    /// Seconds taken by the ledger to open a turn.
    pub open_seconds: Histogram,
    /// Seconds taken by the ledger to record the end of a turn.
    pub close_seconds: Histogram,
    /// Seconds taken by an append to the log.
    pub append_seconds: Histogram,
}

struct Builder {
    registry: Registry,
}

impl Builder {
    fn add<T: prometheus::core::Collector + Clone + 'static>(
        &self,
        metric: Result<T, prometheus::Error>,
    ) -> T {
        let metric = metric.unwrap_or_else(|error| panic!("metric: {error}"));
        let _ = self.registry.register(Box::new(metric.clone()));
        metric
    }

    fn counter(&self, name: &str, help: &str) -> IntCounter {
        self.add(IntCounter::new(name, help))
    }

    fn counters(&self, name: &str, help: &str, label: &str) -> IntCounterVec {
        self.add(IntCounterVec::new(Opts::new(name, help), &[label]))
    }

    fn gauge(&self, name: &str, help: &str) -> IntGauge {
        self.add(IntGauge::new(name, help))
    }

    fn gauges(&self, name: &str, help: &str, label: &str) -> GaugeVec {
        self.add(GaugeVec::new(Opts::new(name, help), &[label]))
    }

    fn histogram(&self, name: &str, help: &str) -> Histogram {
        let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
        self.add(Histogram::with_opts(options))
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let build = Builder {
            registry: Registry::new(),
        };
        let b = &build;
        Self {
            responses: b.counters("fieldhook_answers_total", "Answers to clients", "status"),
            in_flight: b.gauge("fieldhook_in_flight", "Requests under way"),
            attempts: b.counters("fieldhook_attempts_total", "Attempts at servers", "outcome"),
            broken_attempts: b.counters(
                "fieldhook_broken_attempts_total",
                "Attempts that broke off, by what became of the server",
                "fate",
            ),
            followed_attempts: b.gauge(
                "fieldhook_followed_attempts",
                "Attempts that are over and may still end their servers",
            ),
            backed_up_attempts: b.gauge(
                "fieldhook_backed_up_attempts",
                "Attempts of other daemons that are backed up here",
            ),
            attempts_taken_over: b.counters(
                "fieldhook_attempts_taken_over_total",
                "Attempts of lost daemons that were taken over",
                "cause",
            ),
            backup_changes: b.counters(
                "fieldhook_attempt_backup_changes_total",
                "Changes of the daemon that backs up attempts",
                "outcome",
            ),
            identity_checks: b.counters(
                "fieldhook_identity_checks_total",
                "Questions to servers which process they are",
                "identity",
            ),
            send_permits: b.counters(
                "fieldhook_send_permits_total",
                "Permits for sending a request to a server",
                "outcome",
            ),
            watch_checks: b.counters(
                "fieldhook_watch_checks_total",
                "Questions whether servers end under requests of a partition",
                "outcome",
            ),
            silence: b.counters(
                "fieldhook_server_silence_total",
                "Servers that went silent, and were heard again",
                "change",
            ),
            quota: b.counters(
                "fieldhook_quota_total",
                "Requests at tenants' limits",
                "outcome",
            ),
            resumed_streams: b.counters(
                "fieldhook_resumed_streams_total",
                "Requests that resume a stream",
                "outcome",
            ),
            cold_servers: b.gauge("fieldhook_cold_servers", "Servers known to be cold"),
            cold_permits: b.counters(
                "fieldhook_cold_permits_total",
                "Requests for cold servers",
                "outcome",
            ),
            homes: b.counters(
                "fieldhook_homes_total",
                "Requests that homes decided about",
                "outcome",
            ),
            tenants: b.gauge(
                "fieldhook_tenants_counted",
                "Tenants with limits counted here",
            ),
            tenant_limit_used: b.gauges(
                "fieldhook_tenant_limit_used",
                "Part of its limit that a tenant uses",
                "tenant",
            ),
            turns_in_doubt: b.counter(
                "fieldhook_turns_in_doubt_total",
                "Turns whose askers left before the owner's answer",
            ),
            expired_chains: b.counter(
                "fieldhook_expired_chains_total",
                "Turns recorded together with a chain that had expired",
            ),
            unreadable: b.counters(
                "fieldhook_entries_unreadable_total",
                "Records of the platform's log that could not be read",
                "kind",
            ),
            held_bytes: b.gauge("fieldhook_held_bytes", "Held for peers slow to read"),
            held_outcomes: b.counters(
                "fieldhook_held_outcomes_total",
                "Refused for want of memory, given up for others, or stalled",
                "outcome",
            ),
            connections: b.counter("fieldhook_server_connections_total", "Connections opened"),
            store_calls: b.counters("fieldhook_store_calls_total", "Log service calls", "kind"),
            relayed_reads: b.counters(
                "fieldhook_relayed_reads_total",
                "Questions to readers of followed topics",
                "outcome",
            ),
            partitions_owned: b.gauge("fieldhook_partitions_owned", "Partitions owned"),
            config_version: b.gauge("fieldhook_config_version", "Configuration in force"),
            lines_dropped: b.gauge("fieldhook_log_lines_dropped", "Log lines dropped"),
            first_byte_seconds: b.histogram("fieldhook_first_byte_seconds", "To the first byte"),
            open_seconds: b.histogram("fieldhook_ledger_open_seconds", "Opening a turn"),
            close_seconds: b.histogram("fieldhook_ledger_close_seconds", "Recording a turn"),
            append_seconds: b.histogram("fieldhook_append_seconds", "Appending to the log"),
            registry: build.registry,
        }
    }
}

impl Metrics {
    /// Sets the fraction of its limit that each tenant uses. `used` is sorted from the highest.
    pub fn set_tenant_usage(&self, used: &[(Rc<str>, f64)]) {
        self.tenants.set(used.len() as i64);
        self.tenant_limit_used.reset();
        for (tenant, fraction) in used.iter().take(MAX_TENANTS_SHOWN) {
            self.tenant_limit_used
                .with_label_values(&[tenant])
                .set(*fraction);
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut bytes = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut bytes);
        String::from_utf8_lossy(&bytes).into_owned()
    }
}
