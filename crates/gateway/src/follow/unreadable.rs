//! Records that other writers left and that can't be read: each is said once and counted, and
//! however many and however large they are, the volume of the log lines is bounded.

use crate::metrics::Metrics;

/// Records that are named of one update, a line each; of the rest their number is said. A
/// service discovery holds a few hundred entries, and who mends twenty finds the cause of all.
const MOST_NAMED: u32 = 20;
/// Characters of a key or a problem that are written: foreign ones may be of any length.
const MOST_CHARS: usize = 200;

/// Where records that can't be read stand, and what to do about them.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    /// Name of the event.
    pub event: &'static str,
    /// What the records are called in the metrics.
    pub kind: &'static str,
    /// What holds meanwhile, and what to do.
    pub remedy: &'static str,
}

/// Records of one update that could not be read.
pub struct Report<'a> {
    source: Source,
    metrics: &'a Metrics,
    found: u32,
}

impl<'a> Report<'a> {
    /// None was found yet.
    pub fn new(source: Source, metrics: &'a Metrics) -> Self {
        Self {
            source,
            metrics,
            found: 0,
        }
    }

    /// The record at this place, or one that another daemon handed on, can't be read.
    pub fn add(&mut self, key: &[u8], offset: Option<u64>, problem: &str) {
        let counter = &self.metrics.unreadable;
        counter.with_label_values(&[self.source.kind]).inc();
        self.found += 1;
        if self.found > MOST_NAMED {
            return;
        }
        tracing::error!(
            event = self.source.event,
            key = clip(&String::from_utf8_lossy(key)),
            offset,
            problem = clip(problem),
            remedy = self.source.remedy,
        );
    }
}

impl Drop for Report<'_> {
    fn drop(&mut self) {
        let unnamed = self.found.saturating_sub(MOST_NAMED);
        if unnamed > 0 {
            tracing::error!(
                event = self.source.event,
                unnamed,
                remedy = self.source.remedy
            );
        }
    }
}

fn clip(text: &str) -> String {
    text.chars().take(MOST_CHARS).collect()
}
