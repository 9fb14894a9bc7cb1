//! Random delay before an append of which few daemons out of many should try.
//!
//! Daemons that find the same reader slot vacant at the same moment do not know how many other
//! daemons do, and each claim is an append that waits for all appends before it. Time is therefore
//! divided into rounds, and each daemon picks one at random: few daemons try in the first round,
//! and twice as many in each following one, until one has succeeded. With 1,000 daemons this makes
//! some tens of attempts, and with two daemons both have tried within two seconds.

use std::time::Duration;

/// Length of a round. A claim and its propagation take tens of milliseconds.
const ROUND: Duration = Duration::from_millis(200);
/// Number of the last round, counted from 0. One daemon in 2^LAST_ROUND tries in the first round.
const LAST_ROUND: u32 = 8;

/// Maps a uniformly distributed `random` to a delay, after which to try if no other daemon has
/// succeeded.
pub fn random_delay(random: u64) -> Duration {
    let (position, within) = (random >> 32, random & u64::from(u32::MAX));
    // Half of all daemons pick the last round, a quarter the one before, and so on.
    let round = (0..LAST_ROUND)
        .find(|round| position < 1 << (32 - LAST_ROUND + round))
        .unwrap_or(LAST_ROUND);
    ROUND * round + ROUND.mul_f64(within as f64 / u32::MAX as f64)
}

/// The longest delay.
pub fn max() -> Duration {
    ROUND * (LAST_ROUND + 1)
}
