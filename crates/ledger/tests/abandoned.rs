//! Turns that are asked for by one that leaves: their ends may reach the owner before the
//! question, and a client may try again under the same identity. Neither may leave a
//! reservation that nobody ends. The story that showed it is told in the gateway's tests.

use fieldhook_ledger::message::OpenTurn;
use fieldhook_ledger::partition::{OpenOutcome, Partition};
use fieldhook_ledger::scope::Name;

/// Holds one turn and no second one beside it.
const BUDGET: u64 = 900;
const MOST: u64 = 575;

fn turn(identity: &str, attempt: u64) -> OpenTurn {
    OpenTurn {
        tenant: None,
        turn: identity.to_owned(),
        attempt,
        program: "p".to_owned(),
        previous: None,
        wants_chain: true,
        keeps_context: true,
        brings_chain: false,
        budget: Some(BUDGET),
        most_tokens: MOST,
        placement: None,
        keeper: None,
    }
}

fn is_opened(partition: &mut Partition, turn: &OpenTurn) -> bool {
    matches!(partition.open(turn, 1), OpenOutcome::Opened { .. })
}

fn counted(partition: &Partition) -> u64 {
    partition.committed(&Name::new(None, "p"))
}

#[test]
fn a_turn_whose_asker_left_leaves_nothing_reserved() {
    let mut partition = Partition::default();
    let left = turn("t1", 1);
    assert!(is_opened(&mut partition, &left));
    partition.close(&left.withdrawn(), 2);
    assert_eq!(counted(&partition), 0);
    assert!(is_opened(&mut partition, &turn("t2", 2)));
}

#[test]
fn a_turn_that_is_asked_for_after_its_end_is_not_opened() {
    let mut partition = Partition::default();
    let late = turn("t1", 1);
    assert!(partition.close(&late.withdrawn(), 1).is_empty());
    assert_eq!(partition.open(&late, 2), OpenOutcome::Ended);
    assert_eq!(counted(&partition), 0);
    assert!(is_opened(&mut partition, &turn("t2", 2)));
}

#[test]
fn a_turn_that_ended_is_not_opened_by_a_late_question() {
    let mut partition = Partition::default();
    let whole = turn("t1", 1);
    assert!(is_opened(&mut partition, &whole));
    let mut end = whole.withdrawn();
    end.tokens = 200;
    partition.close(&end, 2);
    assert_eq!(partition.open(&whole, 3), OpenOutcome::Ended);
    assert_eq!(counted(&partition), 200);
}

#[test]
fn a_second_try_under_the_same_identity_is_counted_and_ended_by_itself() {
    let mut partition = Partition::default();
    for attempt in [1, 2] {
        let again = turn("t1", attempt);
        assert!(is_opened(&mut partition, &again), "attempt {attempt}");
        let mut end = again.withdrawn();
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
    let mut successor = Partition::taken_over(2, 0);
    // Nothing of it was recorded where the owner's mark held it.
    records
        .into_iter()
        .for_each(|record| successor.load(record));
    successor.loaded();
    successor.close(&left.withdrawn(), 3);
    assert!(is_opened(&mut successor, &turn("t2", 2)));
}
