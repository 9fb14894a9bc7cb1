//! Reader slots, the selection of readers and the random delay before a slot is claimed.

use fieldhook_log::ownership::Ownership;
use fieldhook_log::random_delay::{max, random_delay};
use fieldhook_log::reader_selector::ReaderSelector;
use fieldhook_log::readers::{ReaderSlot, Readers, SLOTS_PER_ZONE};
use std::net::SocketAddr;
use std::time::Duration;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn slot(zone: &str, number: u8) -> ReaderSlot {
    ReaderSlot {
        zone: zone.to_owned(),
        number,
    }
}

#[test]
fn newer_records_change_the_holders_of_slots() {
    let mut readers = Readers::default();
    let mut apply = |offset, zone: &str, number, port| {
        readers.apply(offset, &Readers::record(&slot(zone, number), address(port)))
    };
    assert!(apply(5, "z1", 0, 1));
    assert!(apply(6, "z1", 1, 2));
    assert!(apply(7, "z2", 0, 3));
    assert!(!apply(4, "z1", 0, 9), "an older record");
    assert!(!apply(9, "z1", 0, 1), "same holder");
    assert!(readers.is_reader("z1", address(2)));
    assert!(!readers.is_reader("z2", address(2)));
    let of_z1: Vec<_> = readers.in_zone("z1").collect();
    assert_eq!(of_z1, [(0, address(1)), (1, address(2))]);
    assert_eq!(readers.outside_zone("z1").collect::<Vec<_>>(), [address(3)]);
    assert_eq!(readers.vacant_slot("z1", &|_| false), None);
    assert_eq!(readers.vacant_slot("z2", &|_| false), Some(slot("z2", 1)));
    assert_eq!(readers.vacant_slot("z3", &|_| false), Some(slot("z3", 0)));
    let is_lost = |reader| reader == address(2);
    assert_eq!(readers.vacant_slot("z1", &is_lost), Some(slot("z1", 1)));
}

/// Slots and claims share a topic, and daemons of an older version ignore slot records.
#[test]
fn slots_and_claims_share_a_topic() {
    let mut readers = Readers::default();
    let mut ownership = Ownership::default();
    let claim = Ownership::claim_record(7, address(1), 1);
    let reader = Readers::record(&slot("", 0), address(2));
    assert!(!readers.apply(0, &claim));
    assert_eq!(ownership.apply(1, &reader), None);
    assert_eq!(ownership.end(), 2);
    assert!(readers.apply(1, &reader));
}

#[test]
fn failing_reader_is_paused_and_then_lost() {
    let mut selector = ReaderSelector::new(2_000, 0);
    let local = [address(1), address(2)];
    let remote = [address(3), address(4), address(5)];
    assert_eq!(selector.candidates("t", &local, &remote, 0)[..2], local);
    assert!(selector.candidates("t", &local, &remote, 0).len() < local.len() + remote.len());
    selector.record_failure(address(1), 1_000);
    assert_eq!(
        selector.candidates("t", &local, &remote, 1_000)[0],
        address(2)
    );
    assert_eq!(
        selector.candidates("t", &local, &remote, 1_300)[0],
        address(1)
    );
    let mut now_ms = 1_300;
    while !selector.is_lost(address(1), now_ms) {
        selector.record_failure(address(1), now_ms);
        now_ms += 300;
    }
    assert_eq!(now_ms, 5_200);
    selector.record_answer(address(1), "t");
    assert!(!selector.is_lost(address(1), now_ms));
    assert_eq!(
        selector.candidates("t", &local, &remote, now_ms)[0],
        address(1)
    );
}

/// A thousand daemons that start together without readers must not all read from the log at once,
/// and must back off.
#[test]
fn reads_from_the_log_are_spread_and_back_off() {
    let mut reads_by_half_second = vec![0; 100];
    let mut random = fastrand::Rng::with_seed(4);
    for _ in 0..1_000 {
        let mut selector = ReaderSelector::new(10_000, random.u64(..));
        assert!(
            !selector.may_list_log("t", 60_000),
            "no reader was asked yet"
        );
        selector.record_unanswered("t", 0);
        assert!(!selector.may_read_log("other", 60_000));
        let first = |selector: &ReaderSelector, from: u64| {
            let first = (from..from + 100_000).find(|now_ms| selector.may_list_log("t", *now_ms));
            first.expect("read from the log")
        };
        let listed_ms = first(&selector, 0);
        reads_by_half_second[listed_ms as usize / 500] += 1;
        selector.record_log_fallback("t", listed_ms);
        selector.record_unanswered("t", listed_ms);
        assert!(first(&selector, listed_ms) >= listed_ms * 3 - 1);
        selector.record_answer(address(1), "t");
        assert!(!selector.may_list_log("t", 1_000_000));
    }
    assert!(
        reads_by_half_second.iter().all(|count| *count < 200),
        "{reads_by_half_second:?}"
    );
    assert_eq!(
        SLOTS_PER_ZONE, 2,
        "daemons are divided between the readers of their zone"
    );
}

/// Without the delay, 1,000 daemons claimed a slot at once: four times the number of appends that
/// the log handles per second.
#[test]
fn random_delay_limits_concurrent_claims() {
    let mut random = fastrand::Rng::with_seed(9);
    for count in [1, 2, 30, 1_000, 2_000] {
        let mut delays: Vec<_> = (0..count).map(|_| random_delay(random.u64(..))).collect();
        delays.sort();
        assert!(delays[0] <= max());
        // Time that a claim and its propagation take.
        let known = delays[0] + Duration::from_millis(50);
        let claims = delays.iter().filter(|delay| **delay <= known).count();
        assert!(claims <= 12, "{claims} of {count}");
        assert!(count < 30 || delays[0] <= max() / 2, "{:?}", delays[0]);
    }
}
