//! An attempt is abandoned only for another one that can still finish in time.

use fieldhook_traffic::attempt_timeout::attempt_timeout;
use quickcheck::{Gen, QuickCheck};
use std::time::Duration;

fn leaves_at_least_the_timeout(late_after_ms: u16, left_ms: u16) -> bool {
    let late_after = Duration::from_millis(u64::from(late_after_ms));
    let left = Duration::from_millis(u64::from(left_ms));
    match attempt_timeout(late_after, left) {
        Some(timeout) => timeout >= late_after && timeout >= left / 4 && timeout <= left - timeout,
        None => late_after > left / 2,
    }
}

#[test]
fn the_remaining_time_is_at_least_the_timeout() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .tests(1_000)
        .quickcheck(leaves_at_least_the_timeout as fn(u16, u16) -> bool);
}

#[test]
fn attempts_at_a_slow_service_are_not_abandoned_early() {
    let left = Duration::from_millis(1_200);
    assert_eq!(
        attempt_timeout(Duration::from_millis(90), left),
        Some(left / 4)
    );
    assert_eq!(
        attempt_timeout(Duration::from_millis(500), left).map(|timeout| timeout.as_millis()),
        Some(500)
    );
    assert_eq!(attempt_timeout(Duration::from_millis(800), left), None);
}
