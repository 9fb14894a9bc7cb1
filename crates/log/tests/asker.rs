//! Who reads for whom, and whom a daemon asks.

use fieldhook_log::asker::Asker;
use fieldhook_log::ownership::Ownership;
use fieldhook_log::readers::{PLACES, Place, Readers};
use std::net::SocketAddr;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn place(zone: &str, number: u8) -> Place {
    Place {
        zone: zone.to_owned(),
        number,
    }
}

#[test]
fn places_are_taken_in_the_order_of_their_records() {
    let mut readers = Readers::default();
    let mut take = |offset, zone: &str, number, port| {
        readers.take(offset, &Readers::record(&place(zone, number), at(port)))
    };
    assert!(take(5, "z1", 0, 1));
    assert!(take(6, "z1", 1, 2));
    assert!(take(7, "z2", 0, 3));
    assert!(!take(4, "z1", 0, 9), "an older record");
    assert!(!take(9, "z1", 0, 1), "nothing new");
    assert!(readers.is_reader("z1", at(2)));
    assert!(!readers.is_reader("z2", at(2)));
    let of_z1: Vec<_> = readers.of_zone("z1").collect();
    assert_eq!(of_z1, [(0, at(1)), (1, at(2))]);
    assert_eq!(readers.elsewhere("z1").collect::<Vec<_>>(), [at(3)]);
    assert_eq!(readers.vacancy("z1", &|_| false), None);
    assert_eq!(readers.vacancy("z2", &|_| false), Some(place("z2", 1)));
    assert_eq!(readers.vacancy("z3", &|_| false), Some(place("z3", 0)));
    let is_lost = |reader| reader == at(2);
    assert_eq!(readers.vacancy("z1", &is_lost), Some(place("z1", 1)));
}

/// They share a topic, and a daemon of before knows nothing of places.
#[test]
fn places_and_claims_do_not_disturb_each_other() {
    let mut readers = Readers::default();
    let mut ownership = Ownership::default();
    let claim = Ownership::claim_record(7, at(1), 1);
    let reader = Readers::record(&place("", 0), at(2));
    assert!(!readers.take(0, &claim));
    assert_eq!(ownership.take(1, &reader), None);
    assert_eq!(ownership.end(), 2);
    assert!(readers.take(1, &reader));
}

#[test]
fn a_reader_that_fails_is_left_for_a_while_and_lost_after_a_longer_one() {
    let mut asker = Asker::new(0);
    let near = [at(1), at(2)];
    let far = [at(3), at(4), at(5)];
    assert_eq!(asker.candidates(&near, &far, 0)[..2], near);
    assert!(asker.candidates(&near, &far, 0).len() < near.len() + far.len());
    asker.failed(at(1), 1_000);
    assert_eq!(asker.candidates(&near, &far, 1_000)[0], at(2));
    assert_eq!(asker.candidates(&near, &far, 1_300)[0], at(1));
    let mut now_ms = 1_300;
    while !asker.is_lost(at(1), now_ms) {
        asker.failed(at(1), now_ms);
        now_ms += 300;
    }
    assert_eq!(now_ms, 5_200);
    asker.answered(at(1));
    assert!(!asker.is_lost(at(1), now_ms));
    assert_eq!(asker.candidates(&near, &far, now_ms)[0], at(1));
}

/// A thousand daemons that start together and find no reader turn to the log one after another.
#[test]
fn listings_of_many_daemons_without_readers_are_spread() {
    let mut at_once = vec![0; 10];
    let mut random = fastrand::Rng::with_seed(4);
    for _ in 0..1_000 {
        let mut asker = Asker::new(random.u64(..));
        assert!(!asker.may_list(60_000), "it has asked nobody");
        asker.is_alone(0);
        let first = (0..10_000).find(|now_ms| asker.may_list(*now_ms));
        let first = first.expect("at last");
        assert!(first >= 3_000);
        at_once[first as usize / 500 - 6] += 1;
        asker.answered(at(1));
        assert!(!asker.may_list(first));
    }
    assert!(at_once.iter().all(|count| *count < 400), "{at_once:?}");
    assert_eq!(
        PLACES, 2,
        "askers are divided between the readers of their zone"
    );
}
