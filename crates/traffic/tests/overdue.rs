//! An attempt is given up only for another one that can still end in time.

use fieldhook_traffic::attempt_timeout::attempt_timeout;
use quickcheck::{Gen, QuickCheck};
use std::time::Duration;

fn leaves_as_much_as_it_took(usual_ms: u16, left_ms: u16) -> bool {
    let usual = Duration::from_millis(u64::from(usual_ms));
    let left = Duration::from_millis(u64::from(left_ms));
    match attempt_timeout(usual, left) {
        Some(wait) => wait >= usual && wait >= left / 4 && wait <= left - wait,
        None => usual > left / 2,
    }
}

#[test]
fn what_is_left_is_at_least_what_was_waited() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .tests(1_000)
        .quickcheck(leaves_as_much_as_it_took as fn(u16, u16) -> bool);
}

#[test]
fn a_service_that_is_slow_as_a_whole_is_waited_for() {
    let left = Duration::from_millis(1_200);
    assert_eq!(
        attempt_timeout(Duration::from_millis(90), left),
        Some(left / 4)
    );
    assert_eq!(
        attempt_timeout(Duration::from_millis(500), left).map(|wait| wait.as_millis()),
        Some(500)
    );
    assert_eq!(attempt_timeout(Duration::from_millis(800), left), None);
}
