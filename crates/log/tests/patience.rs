//! Who claims first: able machines before small ones, idle ones before those that read.

use fieldhook_log::patience::{Capacity, before_claim};
use std::time::Duration;

const SMALL: Capacity = Capacity {
    cores: 0.12,
    link_mbps: 30.0,
};

#[test]
fn an_able_machine_claims_at_once() {
    assert_eq!(before_claim(Capacity::default(), 0), Duration::ZERO);
}

#[test]
fn small_machines_and_those_that_read_let_others_go_first() {
    let able = Capacity::default();
    assert!(before_claim(SMALL, 0) > before_claim(able, 0));
    assert!(before_claim(able, 1) > before_claim(able, 0));
    assert!(before_claim(SMALL, 1) > before_claim(able, 1));
}

#[test]
fn nobody_waits_long() {
    assert!(before_claim(SMALL, 1_000) <= Duration::from_millis(500));
}
