//! Who claims first: able machines before small ones, idle ones before those that read.

use fieldhook_log::claim_delay::{Capacity, claim_delay};
use std::time::Duration;

const SMALL: Capacity = Capacity {
    cores: 0.12,
    link_mbps: 30.0,
};

#[test]
fn an_able_machine_claims_at_once() {
    assert_eq!(claim_delay(Capacity::default(), 0), Duration::ZERO);
}

#[test]
fn small_machines_and_those_that_read_let_others_go_first() {
    let able = Capacity::default();
    assert!(claim_delay(SMALL, 0) > claim_delay(able, 0));
    assert!(claim_delay(able, 1) > claim_delay(able, 0));
    assert!(claim_delay(SMALL, 1) > claim_delay(able, 1));
}

#[test]
fn nobody_waits_long() {
    assert!(claim_delay(SMALL, 1_000) <= Duration::from_millis(500));
}
