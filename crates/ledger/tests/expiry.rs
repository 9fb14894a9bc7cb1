//! Expired programs, among them those whose deletion is not durable yet. If such a program sends
//! another turn, the next owner must count the tokens granted to it, although it may still read the
//! old record.

use fieldhook_ledger::message::OpenTurn;
use fieldhook_ledger::partition::{OpenOutcome, Partition, program_retention_ms};
use fieldhook_ledger::record::Record;

const BUDGET: u64 = 2_700;
const MAX_TOKENS: u64 = 580;
const NOW_MS: u64 = 1_700_000_000_000;
/// A time after the retention of a program.
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
        retains_context: false,
        supplies_chain: false,
        budget: Some(BUDGET),
        max_tokens: MAX_TOKENS,
        assignment: None,
        home_partition: None,
    }
}

/// Opens a turn and returns the tokens that it may deliver now and the records to append.
fn open(partition: &mut Partition, attempt: u64, now_ms: u64) -> (u64, Vec<Record>) {
    match partition.open(&turn(attempt), now_ms) {
        OpenOutcome::Opened {
            allowed, records, ..
        } => (allowed, records),
        refused => panic!("{refused:?}"),
    }
}

#[test]
fn program_returning_before_its_deletion_is_durable_waits_for_a_record() {
    let mut owner = Partition::default();
    open(&mut owner, 1, NOW_MS);
    let close_records = owner
        .close(&turn(1).cancellation(), NOW_MS)
        .expect("a known chain");
    close_records
        .iter()
        .for_each(|record| owner.record_appended(record));
    let deletions = owner.expire(LATER_MS);
    assert_eq!(deletions.len(), 1);
    let (allowed, records) = open(&mut owner, 2, LATER_MS);
    assert_eq!(allowed, 0, "a successor may read only the old record");
    deletions
        .iter()
        .for_each(|record| owner.record_appended(record));
    assert_eq!(open(&mut owner, 2, LATER_MS).0, 0);
    records
        .iter()
        .for_each(|record| owner.record_appended(record));
    assert_eq!(open(&mut owner, 2, LATER_MS).0, MAX_TOKENS);
}

#[test]
fn old_record_is_not_mistaken_for_one_of_the_recreated_program() {
    let mut owner = Partition::default();
    open(&mut owner, 1, NOW_MS);
    let close_records = owner
        .close(&turn(1).cancellation(), NOW_MS)
        .expect("a known chain");
    assert_eq!(close_records.len(), 1);
    let deletions = owner.expire(LATER_MS);
    for attempt in 2..5 {
        open(&mut owner, attempt, LATER_MS);
    }
    let before = open(&mut owner, 4, LATER_MS).0;
    assert!(before < MAX_TOKENS);
    for record in close_records.iter().chain(&deletions) {
        owner.record_appended(record);
    }
    assert_eq!(open(&mut owner, 4, LATER_MS).0, before);
}

#[test]
fn program_with_durable_deletion_starts_without_the_log() {
    let mut owner = Partition::default();
    open(&mut owner, 1, NOW_MS);
    let deletions = owner.expire(LATER_MS);
    deletions
        .iter()
        .for_each(|record| owner.record_appended(record));
    assert_eq!(open(&mut owner, 2, LATER_MS).0, MAX_TOKENS);
}

/// Guards against a program that gets its budget again while it may still continue its turns.
#[test]
fn budget_is_stored_as_long_as_its_program_may_continue_a_turn() {
    const LONGEST_TURN_MS: u64 = 30_000;
    const RETENTION_MS: u64 = 300_000;
    let mut owner = Partition::default();
    owner.set_program_retention(program_retention_ms(LONGEST_TURN_MS, RETENTION_MS));
    let granted = (1..).take_while(|attempt| {
        let opened = owner.open(&turn(*attempt), NOW_MS);
        matches!(opened, OpenOutcome::Opened { .. })
    });
    let granted = granted.count() as u64;
    assert_eq!(granted, BUDGET / MAX_TOKENS);
    for later_ms in [LATER_MS, NOW_MS + RETENTION_MS + LONGEST_TURN_MS] {
        owner.expire(later_ms);
        let next = owner.open(&turn(granted + 1), later_ms);
        assert!(matches!(next, OpenOutcome::BudgetSpent(_)), "{next:?}");
    }
}
