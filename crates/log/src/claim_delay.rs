//! Delay before a daemon claims a partition, so that more capable machines claim first.
//!
//! The owner of a partition first reads it and then serves it. Machines differ: one with a tenth of
//! a core and a narrow link takes several times as long as a larger one that notices the loss of
//! the same owner a moment later.

use std::time::Duration;

/// Resources of the machine that a daemon runs on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// CPU cores available, as a fraction.
    pub cores: f64,
    /// Network bandwidth, in Mbit/s.
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

/// Machines with a smaller share of a core claim later.
const SMALL_CORES: f64 = 0.25;
/// Machines with less network bandwidth claim later, in Mbit/s.
const NARROW_LINK_MBPS: f64 = 100.0;
/// Unit of the delay: long enough to learn of another daemon's claim.
const STEP: Duration = Duration::from_millis(100);
/// Upper bound in steps, because requests to a partition without an owner fail.
const MAX_STEPS: u32 = 5;

/// Delay before a claim while this daemon is already reading `reading` other partitions. Partitions
/// are read one after another. A small machine takes 4 s per partition if the ledger stores turns
/// for a minute, so one that claimed three at once needed 12 s.
pub fn claim_delay(capacity: Capacity, reading: u32) -> Duration {
    let small = capacity.cores < SMALL_CORES || capacity.link_mbps < NARROW_LINK_MBPS;
    let reading = reading.min(MAX_STEPS);
    let steps = if small { 1 + 2 * reading } else { reading };
    STEP * steps.min(MAX_STEPS)
}
