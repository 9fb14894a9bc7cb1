//! Waiting for a place that comes free at a known time.

use fieldhook_traffic::quota_wait::max_wait;
use std::time::Duration;

fn worth(place_ms: u64, answer_ms: u64, left_ms: u64) -> bool {
    let ms = Duration::from_millis;
    max_wait(ms(answer_ms), ms(left_ms)).is_some_and(|patience| ms(place_ms) <= patience)
}

#[test]
fn a_place_that_leaves_time_for_the_answer_is_waited_for() {
    assert!(worth(440, 200, 1_200));
    assert!(worth(1_000, 200, 1_200));
    assert!(!worth(1_001, 200, 1_200));
    assert!(!worth(1, 200, 200));
    assert!(!worth(0, 1, 0));
}

/// Calls of a tenant at its limit for a moment, each told a place of its own behind the
/// others: with so much time, so many are answered, and none waits in vain.
#[test]
fn none_of_a_crowd_waits_in_vain() {
    let (every_ms, answer_ms, left_ms) = (13, 200, 1_200);
    let served: Vec<u64> = (1..=100)
        .map(|number| number * every_ms)
        .filter(|place_ms| worth(*place_ms, answer_ms, left_ms))
        .collect();
    assert!(
        served
            .iter()
            .all(|place_ms| place_ms + answer_ms <= left_ms)
    );
    // A quarter of their time would have held 23 of them.
    assert_eq!(served.len(), 76);
}
