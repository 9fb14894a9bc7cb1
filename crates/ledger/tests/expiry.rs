//! Programs that are forgotten while the log does not know so yet: whatever is handed out of one
//! that comes back is counted by the next owner, which may still read its old record.

use fieldhook_ledger::message::OpenTurn;
use fieldhook_ledger::partition::{OpenOutcome, Partition};
use fieldhook_ledger::record::Record;

const BUDGET: u64 = 2_700;
const MOST: u64 = 580;
const NOW_MS: u64 = 1_700_000_000_000;
/// After what a program is kept for.
const LATER_MS: u64 = NOW_MS + 200_000;

fn turn(attempt: u64) -> OpenTurn {
    OpenTurn {
        tenant: None,
        turn: format!("t{attempt}"),
        attempt,
        program: "p".to_owned(),
        session: None,
        previous: None,
        wants_chain: false,
        keeps_context: false,
        supplies_chain: false,
        budget: Some(BUDGET),
        max_tokens: MOST,
        placement: None,
        home_partition: None,
    }
}

/// Opens a turn; what it may hand out now, and what is to be appended.
fn open(partition: &mut Partition, attempt: u64, now_ms: u64) -> (u64, Vec<Record>) {
    match partition.open(&turn(attempt), now_ms) {
        OpenOutcome::Opened {
            allowed, records, ..
        } => (allowed, records),
        refused => panic!("{refused:?}"),
    }
}

#[test]
fn a_program_that_comes_back_before_its_deletion_is_durable_waits_for_its_record() {
    let mut owner = Partition::default();
    open(&mut owner, 1, NOW_MS);
    let told = owner.close(&turn(1).cancellation(), NOW_MS);
    told.iter().for_each(|record| owner.record_appended(record));
    let deletions = owner.expire(LATER_MS);
    assert_eq!(deletions.len(), 1);
    let (allowed, records) = open(&mut owner, 2, LATER_MS);
    assert_eq!(allowed, 0, "a successor may read the old record alone");
    deletions
        .iter()
        .for_each(|record| owner.record_appended(record));
    assert_eq!(open(&mut owner, 2, LATER_MS).0, 0);
    records
        .iter()
        .for_each(|record| owner.record_appended(record));
    assert_eq!(open(&mut owner, 2, LATER_MS).0, MOST);
}

#[test]
fn a_record_of_a_forgotten_program_is_not_taken_for_one_of_its_next_life() {
    let mut owner = Partition::default();
    open(&mut owner, 1, NOW_MS);
    let told = owner.close(&turn(1).cancellation(), NOW_MS);
    assert_eq!(told.len(), 1);
    let deletions = owner.expire(LATER_MS);
    for attempt in 2..5 {
        open(&mut owner, attempt, LATER_MS);
    }
    let before = open(&mut owner, 4, LATER_MS).0;
    assert!(before < MOST);
    for record in told.iter().chain(&deletions) {
        owner.record_appended(record);
    }
    assert_eq!(open(&mut owner, 4, LATER_MS).0, before);
}

#[test]
fn a_program_whose_deletion_is_durable_begins_without_the_log() {
    let mut owner = Partition::default();
    open(&mut owner, 1, NOW_MS);
    let deletions = owner.expire(LATER_MS);
    deletions
        .iter()
        .for_each(|record| owner.record_appended(record));
    assert_eq!(open(&mut owner, 2, LATER_MS).0, MOST);
}
