//! Turns that are asked for by one that leaves: their ends may reach the owner before the
//! question, and a client may try again under the same identity. Neither may leave a
//! reservation that nobody ends. The story that showed it is told in the gateway's tests.

use fieldhook_ledger::message::OpenTurn;
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::partition::{OpenOutcome, Partition};

/// Holds one turn and no second one beside it.
const BUDGET: u64 = 900;
const MOST: u64 = 575;
/// Unix time at which the stories begin, in milliseconds: long after what a program was kept for
/// that had last changed at 0.
const NOW_MS: u64 = 1_700_000_000_000;

fn turn(identity: &str, attempt: u64) -> OpenTurn {
    OpenTurn {
        tenant: None,
        turn: identity.to_owned(),
        attempt,
        program: "p".to_owned(),
        session: None,
        previous: None,
        wants_chain: true,
        keeps_context: true,
        supplies_chain: false,
        budget: Some(BUDGET),
        max_tokens: MOST,
        placement: None,
        home_partition: None,
    }
}

fn is_opened(partition: &mut Partition, turn: &OpenTurn) -> bool {
    matches!(partition.open(turn, NOW_MS), OpenOutcome::Opened { .. })
}

fn counted(partition: &Partition) -> u64 {
    partition.committed_tokens(&QualifiedName::new(None, "p"))
}

#[test]
fn a_turn_whose_asker_left_leaves_nothing_reserved() {
    let mut partition = Partition::default();
    let left = turn("t1", 1);
    assert!(is_opened(&mut partition, &left));
    partition.close(&left.cancellation(), 2);
    assert_eq!(counted(&partition), 0);
    assert!(is_opened(&mut partition, &turn("t2", 2)));
}

#[test]
fn a_turn_that_is_asked_for_after_its_end_is_not_opened() {
    let mut partition = Partition::default();
    let late = turn("t1", 1);
    partition.close(&late.cancellation(), 1);
    assert_eq!(partition.open(&late, 2), OpenOutcome::AlreadyEnded);
    assert_eq!(counted(&partition), 0);
    assert!(is_opened(&mut partition, &turn("t2", 2)));
}

#[test]
fn a_turn_that_ended_is_not_opened_by_a_late_question() {
    let mut partition = Partition::default();
    let whole = turn("t1", 1);
    assert!(is_opened(&mut partition, &whole));
    let mut end = whole.cancellation();
    end.tokens = 200;
    partition.close(&end, 2);
    assert_eq!(partition.open(&whole, 3), OpenOutcome::AlreadyEnded);
    assert_eq!(counted(&partition), 200);
}

#[test]
fn a_second_try_under_the_same_identity_is_counted_and_ended_by_itself() {
    let mut partition = Partition::default();
    for attempt in [1, 2] {
        let again = turn("t1", attempt);
        assert!(is_opened(&mut partition, &again), "attempt {attempt}");
        let mut end = again.cancellation();
        end.tokens = 100;
        partition.close(&end, 2);
    }
    assert_eq!(counted(&partition), 200);
}

#[test]
fn a_successor_ends_what_its_predecessor_opened_for_one_that_left() {
    let mut partition = Partition::default();
    let left = turn("t1", 1);
    let OpenOutcome::Opened { records, .. } = partition.open(&left, 1) else {
        panic!("not opened");
    };
    let mut successor = Partition::after_loss(2, 0);
    // Nothing of it was recorded where the owner's mark held it.
    records
        .into_iter()
        .for_each(|record| successor.load(record));
    successor.finish_loading();
    successor.close(&left.cancellation(), 3);
    assert!(is_opened(&mut successor, &turn("t2", 2)));
}

/// The memory of such an end has to outlast the question, which may be under way for as long as a
/// cut lasts.
#[test]
fn an_end_that_came_before_its_question_is_remembered_while_time_goes_on() {
    let mut partition = Partition::default();
    let late = turn("t1", 1);
    partition.close(&late.cancellation(), NOW_MS);
    assert_eq!(partition.expire(NOW_MS + 10_000), []);
    assert_eq!(
        partition.open(&late, NOW_MS + 11_000),
        OpenOutcome::AlreadyEnded
    );
    assert_eq!(counted(&partition), 0);
}

/// A program that asked while it was in doubt may be one that an earlier owner began, also where
/// its question came to nothing.
#[test]
fn a_program_that_asked_in_doubt_is_counted_as_such_after_it() {
    let mut successor = Partition::after_loss(NOW_MS, 5_000);
    successor.close(&turn("t1", 1).cancellation(), NOW_MS);
    let in_doubt = counted(&successor);
    assert_eq!(in_doubt, BUDGET / 3);
    successor.expire(NOW_MS + 1_000);
    successor.expire(NOW_MS + 6_000);
    successor.open(&turn("t2", 2), NOW_MS + 7_000);
    assert_eq!(counted(&successor), in_doubt + MOST);
}

/// The question may reach an owner after the one that heard of the end: a planned stop suffices.
#[test]
fn a_successor_knows_of_an_end_that_came_before_its_question() {
    let mut partition = Partition::default();
    let late = turn("t1", 1);
    let mut records = partition.close(&late.cancellation(), NOW_MS);
    records.extend(partition.handover_records());
    let mut successor = Partition::after_handover(NOW_MS, 0);
    for record in records {
        successor.load(record);
    }
    successor.finish_loading();
    assert_eq!(successor.open(&late, NOW_MS), OpenOutcome::AlreadyEnded);
    assert_eq!(counted(&successor), 0);
}

/// Such an end is recorded for its name alone: a loss after it costs a program no more than it
/// would without that record.
#[test]
fn the_record_of_an_end_that_came_before_its_question_reserves_nothing_further() {
    let mut partition = Partition::default();
    let records = partition.close(&turn("t1", 1).cancellation(), NOW_MS);
    assert_eq!(records.len(), 1);
    let mut successor = Partition::after_loss(NOW_MS, 5_000);
    for record in records {
        successor.load(record);
    }
    successor.finish_loading();
    let told = counted(&successor);
    let mut without = Partition::after_loss(NOW_MS, 5_000);
    without.close(&turn("t2", 2).cancellation(), NOW_MS);
    assert_eq!(told, counted(&without));
    let again = successor.close(&turn("t3", 3).cancellation(), NOW_MS);
    let mut next = Partition::after_loss(NOW_MS, 5_000);
    for record in again {
        next.load(record);
    }
    assert_eq!(counted(&next), told, "and so after one more loss");
}

/// Only the latest ends are remembered. One that is told again after that may be counted once
/// more, which is in vain; it never lowers what is counted of others.
#[test]
fn an_end_that_is_told_again_after_it_was_forgotten_hides_nothing() {
    let mut partition = Partition::default();
    let whole = turn("t0", 1_000);
    let lost = turn("t1", 1_001);
    assert!(is_opened(&mut partition, &whole));
    let mut end = whole.cancellation();
    end.tokens = 100;
    let records = partition.close(&end, NOW_MS);
    let mut successor = Partition::after_loss(NOW_MS, 0);
    for record in records {
        successor.load(record);
    }
    // What the lost owner gave to the turn whose end is never told is within what it reserved.
    let handed_out = MOST;
    assert!(is_opened(&mut partition, &lost));
    for early in 0..60 {
        successor.close(&turn("early", early).cancellation(), NOW_MS);
        assert!(counted(&successor) >= 100 + handed_out, "{early}");
    }
    successor.close(&end, NOW_MS);
    assert!(counted(&successor) >= 100 + handed_out);
}
