//! Who of many goes first, where each may and few should.
//!
//! Daemons that find the same place free in the same moment do not know how many they are, and
//! a claim is an append that waits for all before it. So each draws in rounds: few go in the first
//! round, twice as many in the next, until somebody has gone. A thousand make some tens of tries
//! then, and two go within two seconds.

use std::time::Duration;

/// Length of a round: a claim and the news of it take tens of milliseconds.
const ROUND: Duration = Duration::from_millis(200);
/// One in two to this power goes in the first round.
const FIRST_POWER: u32 = 8;

/// The time after which whoever drew `random` goes, where nobody has gone before.
pub fn draw(random: u64) -> Duration {
    let (draw, within) = (random >> 32, random & u64::from(u32::MAX));
    // A draw of half of all falls into the last round, a quarter into the one before.
    let round = (0..FIRST_POWER)
        .find(|round| draw < 1 << (32 - FIRST_POWER + round))
        .unwrap_or(FIRST_POWER);
    ROUND * round + ROUND.mul_f64(within as f64 / u32::MAX as f64)
}

/// The time after which everybody has gone.
pub fn max() -> Duration {
    ROUND * (FIRST_POWER + 1)
}
