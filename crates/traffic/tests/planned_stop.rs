//! Requests that a daemon may still take before it stops.

use fieldhook_traffic::longest_time::LongestTime;
use fieldhook_traffic::planned_stop::can_finish;
use std::time::Duration;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Guards against a request that is sent to a server and cut when the daemon exits.
#[test]
fn request_is_taken_only_if_its_response_is_due_before_the_exit() {
    let allowed = seconds(10.0);
    assert!(can_finish(Some(seconds(1.0)), allowed, seconds(1.25)));
    assert!(!can_finish(Some(seconds(1.0)), allowed, seconds(1.24)));
    // Without an earlier response, it may take until its deadline.
    assert!(!can_finish(None, allowed, seconds(9.9)));
    assert!(can_finish(None, allowed, seconds(10.0)));
}

#[test]
fn request_whose_deadline_comes_before_the_exit_is_taken() {
    assert!(can_finish(Some(seconds(5.0)), seconds(1.0), seconds(1.0)));
    assert!(!can_finish(Some(seconds(5.0)), seconds(1.0), seconds(0.9)));
}

#[test]
fn longest_time_is_forgotten_after_one_to_two_windows() {
    let mut longest = LongestTime::default();
    assert_eq!(longest.get(0), None);
    longest.observe(1_000, seconds(3.0));
    longest.observe(2_000, seconds(1.0));
    assert_eq!(longest.get(2_000), Some(seconds(3.0)));
    longest.observe(31_000, seconds(2.0));
    assert_eq!(longest.get(59_999), Some(seconds(3.0)));
    assert_eq!(longest.get(60_000), Some(seconds(2.0)));
    assert_eq!(longest.get(90_000), None);
}
