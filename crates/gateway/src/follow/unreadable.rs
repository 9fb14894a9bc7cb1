//! Logging and counting of records that cannot be parsed. The log volume is bounded, however many
//! and however large the records are.

use crate::metrics::Metrics;

/// Number of records of one update that are logged individually, one line each; the remaining ones
/// are only counted. A listing may have hundreds of entries or more, and twenty examples are enough
/// to find the common cause.
const MAX_LOGGED_RECORDS: u32 = 20;
/// Number of characters of a key or a problem that are logged. Other writers may leave keys of
/// any length.
const MAX_LOGGED_CHARS: usize = 200;

/// A kind of record and how unreadable ones are reported.
#[derive(Clone, Copy, Debug)]
pub struct RecordSource {
    /// Value of the log field `event`.
    pub event: &'static str,
    /// Label value of the counter metric.
    pub kind: &'static str,
    /// What applies until the record is fixed, and how to fix it.
    pub remedy: &'static str,
}

/// Reports the unreadable records of one update; dropping it logs how many were not logged
/// individually.
pub struct UnreadableReport<'a> {
    source: RecordSource,
    metrics: &'a Metrics,
    found: u32,
}

impl<'a> UnreadableReport<'a> {
    /// Creates a report without records.
    pub fn new(source: RecordSource, metrics: &'a Metrics) -> Self {
        Self {
            source,
            metrics,
            found: 0,
        }
    }

    /// Counts and logs a record that cannot be parsed; `offset` is `None` if it came from another
    /// daemon.
    pub fn add(&mut self, key: &[u8], offset: Option<u64>, problem: &str) {
        let counter = &self.metrics.unreadable;
        counter.with_label_values(&[self.source.kind]).inc();
        self.found += 1;
        if self.found > MAX_LOGGED_RECORDS {
            return;
        }
        tracing::error!(
            event = self.source.event,
            key = truncate(&String::from_utf8_lossy(key)),
            offset,
            problem = truncate(problem),
            remedy = self.source.remedy,
        );
    }
}

impl Drop for UnreadableReport<'_> {
    fn drop(&mut self) {
        let omitted = self.found.saturating_sub(MAX_LOGGED_RECORDS);
        if omitted > 0 {
            tracing::error!(
                event = self.source.event,
                unnamed = omitted,
                remedy = self.source.remedy
            );
        }
    }
}

fn truncate(text: &str) -> String {
    text.chars().take(MAX_LOGGED_CHARS).collect()
}
