//! Order of claims: capable machines before small ones, idle ones before those that already read
//! partitions.

use fieldhook_log::claim_delay::{Capacity, claim_delay};
use std::time::Duration;

const SMALL: Capacity = Capacity {
    cores: 0.12,
    link_mbps: 30.0,
};

#[test]
fn capable_machine_claims_at_once() {
    assert_eq!(claim_delay(Capacity::default(), 0), Duration::ZERO);
}

#[test]
fn small_and_reading_machines_claim_later() {
    let capable = Capacity::default();
    assert!(claim_delay(SMALL, 0) > claim_delay(capable, 0));
    assert!(claim_delay(capable, 1) > claim_delay(capable, 0));
    assert!(claim_delay(SMALL, 1) > claim_delay(capable, 1));
}

#[test]
fn delay_is_bounded() {
    assert!(claim_delay(SMALL, 1_000) <= Duration::from_millis(500));
}
