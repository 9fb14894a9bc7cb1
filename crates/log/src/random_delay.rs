//! Random delay before an append of which few daemons out of many should try.
//!
//! Daemons that find the same reader slot vacant at the same moment do not know how many they are,
//! and each claim is an append that waits for all before it. So each draws a round: few try in the
//! first round, and twice as many in each following one, until one has succeeded. With 1,000
//! daemons this makes some tens of attempts, and with two daemons both have tried within two
//! seconds.

use std::time::Duration;

/// Length of a round. A claim and its propagation take tens of milliseconds.
const ROUND: Duration = Duration::from_millis(200);
/// Number of the last round, counted from 0. One in two to this power tries in the first round.
const LAST_ROUND: u32 = 8;

/// Maps a uniformly distributed `random` to a delay, after which to try if no other daemon has
/// succeeded.
pub fn draw(random: u64) -> Duration {
    let (draw, within) = (random >> 32, random & u64::from(u32::MAX));
    // Half of all draws fall into the last round, a quarter into the one before, and so on.
    let round = (0..LAST_ROUND)
        .find(|round| draw < 1 << (32 - LAST_ROUND + round))
        .unwrap_or(LAST_ROUND);
    ROUND * round + ROUND.mul_f64(within as f64 / u32::MAX as f64)
}

/// The longest delay.
pub fn max() -> Duration {
    ROUND * (LAST_ROUND + 1)
}
