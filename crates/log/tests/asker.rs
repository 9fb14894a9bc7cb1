//! Who reads for whom, and whom a daemon asks.

use fieldhook_log::ownership::Ownership;
use fieldhook_log::random_delay::{draw, max};
use fieldhook_log::reader_selector::ReaderSelector;
use fieldhook_log::readers::{ReaderSlot, Readers, SLOTS_PER_ZONE};
use std::net::SocketAddr;
use std::time::Duration;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn place(zone: &str, number: u8) -> ReaderSlot {
    ReaderSlot {
        zone: zone.to_owned(),
        number,
    }
}

#[test]
fn places_are_taken_in_the_order_of_their_records() {
    let mut readers = Readers::default();
    let mut take = |offset, zone: &str, number, port| {
        readers.apply(offset, &Readers::record(&place(zone, number), at(port)))
    };
    assert!(take(5, "z1", 0, 1));
    assert!(take(6, "z1", 1, 2));
    assert!(take(7, "z2", 0, 3));
    assert!(!take(4, "z1", 0, 9), "an older record");
    assert!(!take(9, "z1", 0, 1), "nothing new");
    assert!(readers.is_reader("z1", at(2)));
    assert!(!readers.is_reader("z2", at(2)));
    let of_z1: Vec<_> = readers.in_zone("z1").collect();
    assert_eq!(of_z1, [(0, at(1)), (1, at(2))]);
    assert_eq!(readers.outside_zone("z1").collect::<Vec<_>>(), [at(3)]);
    assert_eq!(readers.vacant_slot("z1", &|_| false), None);
    assert_eq!(readers.vacant_slot("z2", &|_| false), Some(place("z2", 1)));
    assert_eq!(readers.vacant_slot("z3", &|_| false), Some(place("z3", 0)));
    let is_lost = |reader| reader == at(2);
    assert_eq!(readers.vacant_slot("z1", &is_lost), Some(place("z1", 1)));
}

/// They share a topic, and a daemon of before knows nothing of places.
#[test]
fn places_and_claims_do_not_disturb_each_other() {
    let mut readers = Readers::default();
    let mut ownership = Ownership::default();
    let claim = Ownership::claim_record(7, at(1), 1);
    let reader = Readers::record(&place("", 0), at(2));
    assert!(!readers.apply(0, &claim));
    assert_eq!(ownership.apply(1, &reader), None);
    assert_eq!(ownership.end(), 2);
    assert!(readers.apply(1, &reader));
}

#[test]
fn a_reader_that_fails_is_left_for_a_while_and_lost_after_a_longer_one() {
    let mut selector = ReaderSelector::new(2_000, 0);
    let near = [at(1), at(2)];
    let far = [at(3), at(4), at(5)];
    assert_eq!(selector.candidates("t", &near, &far, 0)[..2], near);
    assert!(selector.candidates("t", &near, &far, 0).len() < near.len() + far.len());
    selector.record_failure(at(1), 1_000);
    assert_eq!(selector.candidates("t", &near, &far, 1_000)[0], at(2));
    assert_eq!(selector.candidates("t", &near, &far, 1_300)[0], at(1));
    let mut now_ms = 1_300;
    while !selector.is_lost(at(1), now_ms) {
        selector.record_failure(at(1), now_ms);
        now_ms += 300;
    }
    assert_eq!(now_ms, 5_200);
    selector.record_answer(at(1), "t");
    assert!(!selector.is_lost(at(1), now_ms));
    assert_eq!(selector.candidates("t", &near, &far, now_ms)[0], at(1));
}

/// A thousand daemons that start together and find no reader turn to the log one after another,
/// and less and less.
#[test]
fn daemons_without_readers_turn_to_the_log_one_after_another() {
    let mut at_once = vec![0; 100];
    let mut random = fastrand::Rng::with_seed(4);
    for _ in 0..1_000 {
        let mut selector = ReaderSelector::new(10_000, random.u64(..));
        assert!(!selector.may_list_log("t", 60_000), "it has asked nobody");
        selector.record_unanswered("t", 0);
        assert!(!selector.may_read_log("other", 60_000));
        let first = |selector: &ReaderSelector, from: u64| {
            let first = (from..from + 100_000).find(|now_ms| selector.may_list_log("t", *now_ms));
            first.expect("at last")
        };
        let listed_ms = first(&selector, 0);
        at_once[listed_ms as usize / 500] += 1;
        selector.record_log_fallback("t", listed_ms);
        selector.record_unanswered("t", listed_ms);
        assert!(first(&selector, listed_ms) >= listed_ms * 3 - 1);
        selector.record_answer(at(1), "t");
        assert!(!selector.may_list_log("t", 1_000_000));
    }
    assert!(at_once.iter().all(|count| *count < 200), "{at_once:?}");
    assert_eq!(
        SLOTS_PER_ZONE, 2,
        "askers are divided between the readers of their zone"
    );
}

/// A thousand claimed at once before, four times what the log takes in a second.
#[test]
fn few_of_many_claim_before_it_is_known_that_one_did() {
    let mut random = fastrand::Rng::with_seed(9);
    for count in [1, 2, 30, 1_000, 2_000] {
        let mut delays: Vec<_> = (0..count).map(|_| draw(random.u64(..))).collect();
        delays.sort();
        assert!(delays[0] <= max());
        // What a claim and the news of it take.
        let known = delays[0] + Duration::from_millis(50);
        let claims = delays.iter().filter(|delay| **delay <= known).count();
        assert!(claims <= 12, "{claims} of {count}");
        assert!(count < 30 || delays[0] <= max() / 2, "{:?}", delays[0]);
    }
}
