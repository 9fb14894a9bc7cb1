//! Turns in doubt: their clients may no longer wait, and their ends may never be reported. They are
//! counted in full, because their tokens may have been used, but must not block a turn that fits
//! into the budget in addition to the awaited turns.

use fieldhook_ledger::message::{BudgetUsage, OpenTurn};
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::partition::{OpenOutcome, Partition};
use fieldhook_ledger::record::Record;

/// Room for one turn, but not for two.
const BUDGET: u64 = 900;
const MAX_TOKENS: u64 = 575;
/// Unix time at the start of each test, in milliseconds. Far enough from 0 that a program last
/// changed at 0 has expired.
const NOW_MS: u64 = 1_700_000_000_000;
/// Uncertainty window after a loss, in milliseconds.
const UNCERTAINTY_MS: u64 = 20_000;

fn turn(attempt: u64, session: Option<&str>) -> OpenTurn {
    OpenTurn {
        tenant: None,
        turn: format!("t{attempt}"),
        attempt,
        program: "p".to_owned(),
        session: session.map(str::to_owned),
        previous: None,
        wants_chain: true,
        retains_context: true,
        supplies_chain: false,
        budget: Some(BUDGET),
        max_tokens: MAX_TOKENS,
        assignment: None,
        home_partition: None,
    }
}

/// Opens a turn and returns the records to append; `None` if it was refused.
fn open(partition: &mut Partition, turn: &OpenTurn) -> Option<Vec<Record>> {
    match partition.open(turn, NOW_MS) {
        OpenOutcome::Opened { records, .. } => Some(records),
        _ => None,
    }
}

fn refused_usage(partition: &mut Partition, turn: &OpenTurn) -> BudgetUsage {
    match partition.open(turn, NOW_MS) {
        OpenOutcome::BudgetSpent(usage) => usage,
        outcome => panic!("{outcome:?}"),
    }
}

fn counted(partition: &Partition) -> u64 {
    partition.committed_tokens(&QualifiedName::new(None, "p"))
}

fn end(partition: &mut Partition, turn: &OpenTurn, tokens: u64) {
    let mut end = turn.cancellation();
    end.tokens = tokens;
    partition.close(&end, NOW_MS).expect("a known chain");
}

/// Loads the records that were appended into a new owner.
fn load_records(mut successor: Partition, records: Vec<Record>) -> Partition {
    for record in records {
        successor.load(record);
    }
    successor.finish_loading();
    successor
}

/// New owner after the previous one was lost with an open, durably recorded turn.
fn owner_after_loss(turn: &OpenTurn) -> Partition {
    let mut partition = Partition::after_loss(NOW_MS, UNCERTAINTY_MS);
    let records = open(&mut partition, turn).expect("the first turn of its program");
    assert!(!records.is_empty(), "the turn is not recorded");
    load_records(Partition::after_loss(NOW_MS, UNCERTAINTY_MS), records)
}

#[test]
fn turn_lost_with_owner_and_gateway_does_not_block_the_next() {
    let mut successor = owner_after_loss(&turn(1, Some("a")));
    let next = turn(2, Some("a"));
    assert!(open(&mut successor, &next).is_some());
    assert!(
        counted(&successor) >= 2 * MAX_TOKENS,
        "the lost turn is counted"
    );
    // The tokens that may have been used leave no room for a third turn.
    let usage = refused_usage(&mut successor, &turn(3, Some("b")));
    assert_eq!((usage.open_turns, usage.open_tokens), (2, 2 * MAX_TOKENS));
    assert_eq!(
        (usage.in_doubt_turns, usage.in_doubt_tokens),
        (1, MAX_TOKENS)
    );
}

#[test]
fn turn_requested_again_after_a_loss_is_awaited() {
    let first = turn(1, Some("a"));
    let mut successor = owner_after_loss(&first);
    assert!(open(&mut successor, &first).is_some());
    let usage = refused_usage(&mut successor, &turn(2, Some("b")));
    assert_eq!(usage.in_doubt_turns, 0);
    // The client of the first turn gives up and sends turn 3.
    assert!(open(&mut successor, &turn(3, Some("a"))).is_some());
}

#[test]
fn next_turn_of_a_session_supersedes_earlier_ones() {
    let mut partition = Partition::default();
    let (superseded, next) = (turn(1, Some("a")), turn(2, Some("a")));
    assert!(open(&mut partition, &superseded).is_some());
    assert!(open(&mut partition, &next).is_some());
    let usage = refused_usage(&mut partition, &turn(3, Some("a")));
    assert_eq!(usage.open_turns, 2, "both are counted: {usage:?}");
    assert_eq!(usage.in_doubt_turns, 2, "{usage:?}");
    // Late ends release the unused tokens.
    end(&mut partition, &superseded, 0);
    end(&mut partition, &next, 200);
    assert_eq!(counted(&partition), 200);
    assert!(open(&mut partition, &turn(4, Some("a"))).is_some());
}

#[test]
fn turn_of_another_session_stays_awaited() {
    for sessions in [[Some("a"), Some("b")], [None, None], [Some("a"), None]] {
        let mut partition = Partition::default();
        assert!(open(&mut partition, &turn(1, sessions[0])).is_some());
        let usage = refused_usage(&mut partition, &turn(2, sessions[1]));
        assert_eq!(usage.in_doubt_turns, 0, "{sessions:?}");
    }
}

/// The end of a turn whose content is not stored is reported in parallel with its response, so a
/// client that got the whole response may continue before the owner knows the end.
#[test]
fn turn_without_stored_content_is_awaited_until_its_end() {
    let mut partition = Partition::default();
    let [first, next] = [1, 2].map(|attempt| OpenTurn {
        retains_context: false,
        ..turn(attempt, Some("a"))
    });
    assert!(open(&mut partition, &first).is_some());
    assert_eq!(refused_usage(&mut partition, &next).in_doubt_turns, 0);
    end(&mut partition, &first, MAX_TOKENS);
    assert_eq!(
        refused_usage(&mut partition, &next).settled_tokens,
        MAX_TOKENS
    );
}

/// A planned handover loses nothing, so a turn that is open across it stays awaited.
#[test]
fn open_turn_stays_awaited_across_a_handover() {
    let mut partition = Partition::default();
    let mut records = open(&mut partition, &turn(1, Some("a"))).expect("the first turn");
    records.extend(partition.handover_records());
    let mut successor = load_records(Partition::after_handover(NOW_MS, 0), records);
    assert_eq!(counted(&successor), MAX_TOKENS);
    let usage = refused_usage(&mut successor, &turn(2, Some("b")));
    assert_eq!(usage.in_doubt_turns, 0);
}

/// The request may arrive twice, but a client that moved on does not return.
#[test]
fn superseded_turn_stays_in_doubt_when_requested_again() {
    let budget = Some(1_300);
    let [superseded, next, other] =
        [(1, "a"), (2, "a"), (3, "b")].map(|(attempt, session)| OpenTurn {
            budget,
            ..turn(attempt, Some(session))
        });
    let mut partition = Partition::default();
    assert!(open(&mut partition, &superseded).is_some());
    assert!(open(&mut partition, &next).is_some());
    assert!(open(&mut partition, &superseded).is_some());
    assert_eq!(counted(&partition), 2 * MAX_TOKENS, "counted once");
    assert!(open(&mut partition, &other).is_some());
}

/// However often a client gives up, no more is granted than the budget and the maximum of one turn.
#[test]
fn superseded_turns_are_counted_at_their_maximum() {
    let mut partition = Partition::default();
    let granted = (1..20).filter(|attempt| {
        let next = turn(*attempt, Some("a"));
        open(&mut partition, &next).is_some()
    });
    assert_eq!(granted.count(), 2);
    assert!(counted(&partition) <= BUDGET + MAX_TOKENS);
}

/// Guards against losing the in-doubt flag in a handover. All daemons are lost with an open turn,
/// and the next owner has that turn in doubt. When its record did not contain the flag, the owner
/// after a planned handover treated the turn as awaited and refused others.
#[test]
fn in_doubt_flag_survives_a_handover() {
    let mut first = Partition::after_loss(NOW_MS, UNCERTAINTY_MS);
    let mut log = open(&mut first, &turn(1, Some("a"))).expect("the first turn of its program");
    let mut successor = load_records(Partition::after_loss(NOW_MS, UNCERTAINTY_MS), log.clone());
    log.extend(open(&mut successor, &turn(2, Some("b"))).expect("turn 1 is in doubt"));
    let cancellation = turn(2, Some("b")).cancellation();
    log.extend(
        successor
            .close(&cancellation, NOW_MS)
            .expect("a known chain"),
    );
    log.extend(successor.handover_records());
    let mut next = load_records(Partition::after_handover(NOW_MS, UNCERTAINTY_MS), log);
    let outcome = next.open(&turn(3, Some("c")), NOW_MS);
    assert!(matches!(outcome, OpenOutcome::Opened { .. }), "{outcome:?}");
}

/// Guards against losing the in-doubt flag in a handover, if the program sends its next request
/// only after the handover.
#[test]
fn turn_of_a_lost_gateway_does_not_block_after_a_handover() {
    let mut first = Partition::after_loss(NOW_MS, UNCERTAINTY_MS);
    let mut log = open(&mut first, &turn(1, Some("a"))).expect("the first turn of its program");
    let mut successor = load_records(Partition::after_loss(NOW_MS, UNCERTAINTY_MS), log.clone());
    log.extend(successor.handover_records());
    let mut next = load_records(Partition::after_handover(NOW_MS, UNCERTAINTY_MS), log);
    let outcome = next.open(&turn(3, Some("a")), NOW_MS);
    assert!(matches!(outcome, OpenOutcome::Opened { .. }), "{outcome:?}");
}
