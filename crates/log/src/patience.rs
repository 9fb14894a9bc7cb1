//! How long a daemon lets others go first before it claims a partition.
//!
//! Whoever claims a partition reads it and then answers for it. Machines differ: one with
//! a tenth of a core and a narrow link takes several times as long as one beside it that
//! finds the same owner gone a moment later.

use std::time::Duration;

/// What a machine gives a daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Share of a core.
    pub cores: f64,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: f64,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            cores: 1.0,
            link_mbps: 1_000.0,
        }
    }
}

/// Below this share of a core a machine lets others go first.
const SMALL_CORES: f64 = 0.25;
/// The same for its link, in Mbit/s.
const NARROW_LINK_MBPS: f64 = 100.0;
/// How long: enough for a claim of another to be heard of.
const STEP: Duration = Duration::from_millis(100);
/// Partitions being read that count at most.
const MOST_COUNTED: u32 = 4;

/// Time to wait before a claim, with so many partitions claimed and not yet read.
pub fn before_claim(capacity: Capacity, reading: u32) -> Duration {
    let small = capacity.cores < SMALL_CORES || capacity.link_mbps < NARROW_LINK_MBPS;
    STEP * (u32::from(small) + reading.min(MOST_COUNTED))
}
