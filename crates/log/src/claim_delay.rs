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
/// Steps at most: a partition without an owner serves nobody.
const MOST_STEPS: u32 = 5;

/// Time to wait before a claim, with so many others being read by this daemon. It reads one
/// after another, which takes a small machine 4 s each where a minute of turns is kept: one
/// that claimed three at once had the last of them read after 12 s.
pub fn claim_delay(capacity: Capacity, reading: u32) -> Duration {
    let small = capacity.cores < SMALL_CORES || capacity.link_mbps < NARROW_LINK_MBPS;
    let reading = reading.min(MOST_STEPS);
    let steps = if small { 1 + 2 * reading } else { reading };
    STEP * steps.min(MOST_STEPS)
}
