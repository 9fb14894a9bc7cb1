//! How long a request waits for quota that will be available at a known time.

use fieldhook_traffic::quota_wait::max_wait;
use std::time::Duration;

fn is_worth_waiting(grant_ms: u64, response_ms: u64, left_ms: u64) -> bool {
    let ms = Duration::from_millis;
    max_wait(ms(response_ms), ms(left_ms)).is_some_and(|max_wait| ms(grant_ms) <= max_wait)
}

#[test]
fn a_request_waits_if_there_is_time_left_for_its_response() {
    assert!(is_worth_waiting(440, 200, 1_200));
    assert!(is_worth_waiting(1_000, 200, 1_200));
    assert!(!is_worth_waiting(1_001, 200, 1_200));
    assert!(!is_worth_waiting(1, 200, 200));
    assert!(!is_worth_waiting(0, 1, 0));
}

/// Calls of a tenant that is briefly at its limit are granted one after another. Each call that
/// can be granted and answered in time waits and is answered, and no other call waits.
#[test]
fn no_simultaneous_request_waits_in_vain() {
    let (every_ms, response_ms, left_ms) = (13, 200, 1_200);
    let served: Vec<u64> = (1..=100)
        .map(|number| number * every_ms)
        .filter(|grant_ms| is_worth_waiting(*grant_ms, response_ms, left_ms))
        .collect();
    assert!(
        served
            .iter()
            .all(|grant_ms| grant_ms + response_ms <= left_ms)
    );
    // (1200 - 200) / 13, rounded down. If requests waited for at most a quarter of their time, 23
    // would be answered.
    assert_eq!(served.len(), 76);
}
