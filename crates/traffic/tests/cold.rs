//! Which servers count as cold, and for how long.

use fieldhook_traffic::cold::{ColdCause, ColdTracker, PermitDenials, cold_slots, permit_request};
use fieldhook_traffic::config::ColdLimit;
use fieldhook_traffic::quota::{PreviousGrants, QuotaDecision, QuotaTracker};

const COLD: ColdLimit = ColdLimit {
    rate_per_s: 20.0,
    duration_ms: 3_000,
};

#[test]
fn a_record_counts_from_when_it_is_read_and_a_newer_one_replaces_it() {
    let mut tracker = ColdTracker::default();
    tracker.record_reported("s", 2_000, 100);
    assert_eq!(
        tracker.cold_cause("s", &COLD, 100),
        Some((ColdCause::Reported, 2_000))
    );
    assert_eq!(
        tracker.cold_cause("s", &COLD, 2_099),
        Some((ColdCause::Reported, 1))
    );
    assert_eq!(tracker.cold_cause("s", &COLD, 2_100), None);
    tracker.record_reported("s", 500, 1_000);
    assert_eq!(tracker.cold_cause("s", &COLD, 1_500), None);
    assert_eq!(tracker.cold_cause("other", &COLD, 0), None);
}

#[test]
fn an_incarnation_that_appears_after_the_first_listing_is_cold() {
    let mut tracker = ColdTracker::default();
    tracker.record_reported("first", 0, 0);
    tracker.record_initial_listing();
    tracker.record_reported("later", 0, 1_000);
    assert_eq!(tracker.cold_cause("first", &COLD, 1_000), None);
    let cold = tracker.cold_cause("later", &COLD, 1_000);
    assert_eq!(cold, Some((ColdCause::New, 3_000)));
    // The server's next record does not end the cold period, and an entry that expired and is
    // listed again does not start a new one.
    tracker.record_reported("later", 0, 2_000);
    assert!(tracker.cold_cause("later", &COLD, 3_999).is_some());
    tracker.forget("later");
    tracker.record_reported("later", 0, 5_000);
    assert_eq!(tracker.cold_cause("later", &COLD, 5_000), None);
}

#[test]
fn a_server_that_was_unreachable_is_cold_once_it_accepts_connections() {
    let mut tracker = ColdTracker::default();
    tracker.record_reported("s", 0, 0);
    assert!(!tracker.record_connected("s", 100));
    tracker.record_unreachable("s");
    assert!(tracker.cold_cause("s", &COLD, 60_000).is_some());
    assert!(tracker.record_connected("s", 60_000));
    assert_eq!(
        tracker.cold_cause("s", &COLD, 62_999),
        Some((ColdCause::Reconnected, 1))
    );
    assert_eq!(tracker.cold_cause("s", &COLD, 63_000), None);
}

#[test]
fn a_server_that_resets_a_request_counts_as_cold() {
    let mut tracker = ColdTracker::default();
    tracker.record_reported("s", 0, 0);
    tracker.record_reset("s", 500);
    assert_eq!(
        tracker.cold_cause("s", &COLD, 500),
        Some((ColdCause::Reset, 3_000))
    );
    assert_eq!(tracker.cold_cause("s", &COLD, 3_500), None);
}

#[test]
fn no_permit_is_requested_before_the_denial_ends() {
    let mut denials = PermitDenials::default();
    denials.record_denial("s", 50, 1_000);
    assert_eq!(denials.wait_ms("s", 1_020), Some(30));
    assert_eq!(denials.wait_ms("s", 1_050), None);
    assert_eq!(denials.wait_ms("other", 1_000), None);
}

#[test]
fn the_last_permit_is_reserved_for_the_most_urgent() {
    let mut tracker = QuotaTracker::new(
        fieldhook_traffic::cold::PERMIT_BOUNDS,
        PreviousGrants::None,
        0,
    );
    let mut granted = |priority: u8| {
        let decision = tracker.decide(&permit_request("s", COLD.rate_per_s, 1, priority), 0);
        matches!(decision, QuotaDecision::Granted { .. })
    };
    let less_urgent = (0..20).filter(|_| granted(1)).count();
    assert!(less_urgent > 0);
    assert!(granted(0));
    assert!(!granted(1));
    // A server with a very low rate reserves no permit.
    let mut small = QuotaTracker::new(
        fieldhook_traffic::cold::PERMIT_BOUNDS,
        PreviousGrants::None,
        0,
    );
    let decision = small.decide(&permit_request("s", 2.0, 1, 1), 0);
    assert!(matches!(decision, QuotaDecision::Granted { .. }));
}

#[test]
fn a_cold_engine_has_the_slots_that_its_rate_fills() {
    assert_eq!(cold_slots(&COLD), 6);
    let slow = ColdLimit {
        rate_per_s: 0.5,
        ..COLD
    };
    assert_eq!(cold_slots(&slow), 1);
}

/// Guards against a sweep over all servers for each new one. From the 8,192nd server on, every new
/// server caused a sweep, so that applying a record took longer than the interval between reads.
#[test]
fn a_new_server_does_not_sweep_the_whole_fleet() {
    for count in [1_000, 10_000, 20_000, 40_000] {
        let mut tracker = ColdTracker::default();
        for number in 0..count {
            tracker.record_reported(&format!("s{number}"), 0, 0);
        }
        let swept = tracker.swept_entries();
        assert!(swept <= 2 * count, "{swept} examined for {count}");
    }
}
