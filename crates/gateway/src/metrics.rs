//! Counters and latency histograms in Prometheus text form.

use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};
use std::rc::Rc;

/// Tenants that are shown by name: with thousands of them each would be a series of its own.
const MAX_TENANTS_SHOWN: usize = 8;
const LATENCY_BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 4.0, 8.0,
];

/// The daemon's figures.
pub struct Metrics {
    registry: Registry,
    /// Answers to clients by status; 0 is an answer broken off.
    pub responses: IntCounterVec,
    /// Requests under way.
    pub in_flight: IntGauge,
    /// Attempts at servers by outcome.
    pub attempts: IntCounterVec,
    /// Servers whose machines went silent, and were heard again.
    pub silence: IntCounterVec,
    /// Requests of tenants by what became of them at their limit.
    pub quota: IntCounterVec,
    /// Servers that this daemon knows to be cold.
    pub cold_servers: IntGauge,
    /// Questions whether a request may be sent to a cold server, by outcome.
    pub cold_permits: IntCounterVec,
    /// Requests that homes of data decided about, by what became of them.
    pub homes: IntCounterVec,
    /// Tenants whose limits are counted here.
    pub tenants: IntGauge,
    /// Part of its limit that a tenant uses: those nearest to it.
    pub tenant_limit_used: GaugeVec,
    /// Turns that an owner may have opened for an asker that left.
    pub turns_in_doubt: IntCounter,
    /// Records of the configuration, of evacuations and of servers that could not be read, by
    /// kind.
    pub unreadable: IntCounterVec,
    /// Bytes held for peers that are slow to read.
    pub held_bytes: IntGauge,
    /// What became of them where they were too many or too old, by outcome.
    pub held_outcomes: IntCounterVec,
    /// Connections opened to servers.
    pub connections: IntCounter,
    /// Calls to the log service by kind.
    pub store_calls: IntCounterVec,
    /// Questions to readers of followed topics, by outcome.
    pub relayed_reads: IntCounterVec,
    /// Partitions owned.
    pub partitions_owned: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Log lines dropped because the reader was slow.
    pub lines_dropped: IntGauge,
    /// Seconds to the head of the answer or the first event.
    pub first_byte_seconds: Histogram,
    /// Seconds that the ledger took to open a turn.
    pub open_seconds: Histogram,
    /// Seconds that the ledger took to record the end of a turn.
    pub close_seconds: Histogram,
    /// Seconds that an append to the log took.
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
    /// Takes in how much of their limits tenants use, most first.
    pub fn set_tenant_usage(&self, used: &[(Rc<str>, f64)]) {
        self.tenants.set(used.len() as i64);
        self.tenant_limit_used.reset();
        for (tenant, part) in used.iter().take(MAX_TENANTS_SHOWN) {
            self.tenant_limit_used
                .with_label_values(&[tenant])
                .set(*part);
        }
    }

    /// All figures as text.
    pub fn text(&self) -> String {
        let mut bytes = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut bytes);
        String::from_utf8_lossy(&bytes).into_owned()
    }
}
