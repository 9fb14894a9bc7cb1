//! Turns in doubt: nobody may wait for them any more, and their ends may never be told. They
//! count in full for what may have been used, and refuse no turn that the budget holds beside
//! those that are waited for.

use fieldhook_ledger::message::{BudgetUsage, OpenTurn};
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::partition::{OpenOutcome, Partition};
use fieldhook_ledger::record::Record;

/// Holds one turn, and no second one beside it.
const BUDGET: u64 = 900;
const MOST: u64 = 575;
/// Unix time at which the stories begin, in milliseconds: long after what a program was kept for
/// that had last changed at 0.
const NOW_MS: u64 = 1_700_000_000_000;
/// How long an owner that was lost may have granted turns without a record, in milliseconds.
const DOUBT_MS: u64 = 20_000;

fn turn(attempt: u64, line: Option<&str>) -> OpenTurn {
    OpenTurn {
        tenant: None,
        turn: format!("t{attempt}"),
        attempt,
        program: "p".to_owned(),
        session: line.map(str::to_owned),
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

/// The records to append, where the turn was opened.
fn opened(partition: &mut Partition, turn: &OpenTurn) -> Option<Vec<Record>> {
    match partition.open(turn, NOW_MS) {
        OpenOutcome::Opened { records, .. } => Some(records),
        _ => None,
    }
}

fn shortage(partition: &mut Partition, turn: &OpenTurn) -> BudgetUsage {
    match partition.open(turn, NOW_MS) {
        OpenOutcome::BudgetSpent(shortage) => shortage,
        outcome => panic!("{outcome:?}"),
    }
}

fn counted(partition: &Partition) -> u64 {
    partition.committed_tokens(&QualifiedName::new(None, "p"))
}

fn end(partition: &mut Partition, turn: &OpenTurn, tokens: u64) {
    let mut end = turn.cancellation();
    end.tokens = tokens;
    partition.close(&end, NOW_MS);
}

/// The next owner, which reads what was appended.
fn reads(mut successor: Partition, records: Vec<Record>) -> Partition {
    for record in records {
        successor.load(record);
    }
    successor.finish_loading();
    successor
}

/// The owner of a turn is lost once the record of it is durable.
fn after_a_loss(turn: &OpenTurn) -> Partition {
    let mut partition = Partition::after_loss(NOW_MS, DOUBT_MS);
    let records = opened(&mut partition, turn).expect("the first turn of its program");
    assert!(!records.is_empty(), "nothing tells of it");
    reads(Partition::after_loss(NOW_MS, DOUBT_MS), records)
}

#[test]
fn a_turn_that_was_lost_with_its_owner_and_its_gateway_refuses_no_further_one() {
    let mut successor = after_a_loss(&turn(1, Some("a")));
    let next = turn(2, Some("a"));
    assert!(opened(&mut successor, &next).is_some());
    assert!(counted(&successor) >= 2 * MOST, "the lost one counts");
    // What may have been used leaves no room for a third.
    let shortage = shortage(&mut successor, &turn(3, Some("b")));
    assert_eq!((shortage.open_turns, shortage.open_tokens), (2, 2 * MOST));
    assert_eq!(
        (shortage.in_doubt_turns, shortage.in_doubt_tokens),
        (1, MOST)
    );
}

#[test]
fn a_turn_that_its_gateway_asks_for_again_after_a_loss_is_waited_for() {
    let first = turn(1, Some("a"));
    let mut successor = after_a_loss(&first);
    assert!(opened(&mut successor, &first).is_some());
    let shortage = shortage(&mut successor, &turn(2, Some("b")));
    assert_eq!(shortage.in_doubt_turns, 0);
    // Its client gives up after all.
    assert!(opened(&mut successor, &turn(3, Some("a"))).is_some());
}

#[test]
fn a_client_that_goes_on_waits_for_no_earlier_turn_of_its_line() {
    let mut partition = Partition::default();
    let (left, next) = (turn(1, Some("a")), turn(2, Some("a")));
    assert!(opened(&mut partition, &left).is_some());
    assert!(opened(&mut partition, &next).is_some());
    let shortage = shortage(&mut partition, &turn(3, Some("a")));
    assert_eq!(shortage.open_turns, 2, "both count: {shortage:?}");
    assert_eq!(shortage.in_doubt_turns, 2, "{shortage:?}");
    // Ends that were slow to be told free what they left.
    end(&mut partition, &left, 0);
    end(&mut partition, &next, 200);
    assert_eq!(counted(&partition), 200);
    assert!(opened(&mut partition, &turn(4, Some("a"))).is_some());
}

#[test]
fn a_turn_of_another_line_is_waited_for() {
    for lines in [[Some("a"), Some("b")], [None, None], [Some("a"), None]] {
        let mut partition = Partition::default();
        assert!(opened(&mut partition, &turn(1, lines[0])).is_some());
        let shortage = shortage(&mut partition, &turn(2, lines[1]));
        assert_eq!(shortage.in_doubt_turns, 0, "{lines:?}");
    }
}

/// The end of a turn that is not kept is told beside its answer: a client that has the whole of it
/// may go on before the owner knows.
#[test]
fn a_turn_that_is_not_kept_is_waited_for_until_its_end_is_told() {
    let mut partition = Partition::default();
    let [first, next] = [1, 2].map(|attempt| OpenTurn {
        keeps_context: false,
        ..turn(attempt, Some("a"))
    });
    assert!(opened(&mut partition, &first).is_some());
    assert_eq!(shortage(&mut partition, &next).in_doubt_turns, 0);
    end(&mut partition, &first, MOST);
    assert_eq!(shortage(&mut partition, &next).settled_tokens, MOST);
}

/// Nothing is lost with a planned stop: a turn that is under way over it is waited for.
#[test]
fn a_turn_under_way_over_a_planned_stop_is_waited_for() {
    let mut partition = Partition::default();
    let mut records = opened(&mut partition, &turn(1, Some("a"))).expect("the first turn");
    records.extend(partition.handover_records());
    let mut successor = reads(Partition::after_handover(NOW_MS, 0), records);
    assert_eq!(counted(&successor), MOST);
    let shortage = shortage(&mut successor, &turn(2, Some("b")));
    assert_eq!(shortage.in_doubt_turns, 0);
}

/// Its question may come twice; the client that went on does not come back.
#[test]
fn a_turn_whose_client_went_on_is_in_doubt_also_where_it_is_asked_for_again() {
    let budget = Some(1_300);
    let [left, next, other] = [(1, "a"), (2, "a"), (3, "b")].map(|(attempt, line)| OpenTurn {
        budget,
        ..turn(attempt, Some(line))
    });
    let mut partition = Partition::default();
    assert!(opened(&mut partition, &left).is_some());
    assert!(opened(&mut partition, &next).is_some());
    assert!(opened(&mut partition, &left).is_some());
    assert_eq!(counted(&partition), 2 * MOST, "counted once");
    assert!(opened(&mut partition, &other).is_some());
}

/// However often a client gives up, no more is handed out than the budget and one turn's most.
#[test]
fn turns_that_were_given_up_are_counted_at_their_most() {
    let mut partition = Partition::default();
    let granted = (1..20).filter(|attempt| {
        let next = turn(*attempt, Some("a"));
        opened(&mut partition, &next).is_some()
    });
    assert_eq!(granted.count(), 2);
    assert!(counted(&partition) <= BUDGET + MOST);
}

/// Story: all daemons are lost with a turn under way. Its program goes on at the next owner, which
/// holds that turn to be in doubt. That owner stops as planned, and the one after it reads a record
/// that tells of a turn under way and not that it is in doubt.
#[test]
fn a_turn_in_doubt_stays_so_over_a_planned_stop() {
    let mut first = Partition::after_loss(NOW_MS, DOUBT_MS);
    let mut log = opened(&mut first, &turn(1, Some("a"))).expect("the first turn of its program");
    let mut successor = reads(Partition::after_loss(NOW_MS, DOUBT_MS), log.clone());
    log.extend(opened(&mut successor, &turn(2, Some("b"))).expect("turn 1 is in doubt"));
    let withdrawn = turn(2, Some("b")).cancellation();
    log.extend(successor.close(&withdrawn, NOW_MS));
    log.extend(successor.handover_records());
    let mut next = reads(Partition::after_handover(NOW_MS, DOUBT_MS), log);
    let outcome = next.open(&turn(3, Some("c")), NOW_MS);
    assert!(matches!(outcome, OpenOutcome::Opened { .. }), "{outcome:?}");
}

/// The same, where the program asks only after the planned stop.
#[test]
fn a_turn_of_a_lost_gateway_refuses_nobody_after_a_planned_stop() {
    let mut first = Partition::after_loss(NOW_MS, DOUBT_MS);
    let mut log = opened(&mut first, &turn(1, Some("a"))).expect("the first turn of its program");
    let mut successor = reads(Partition::after_loss(NOW_MS, DOUBT_MS), log.clone());
    log.extend(successor.handover_records());
    let mut next = reads(Partition::after_handover(NOW_MS, DOUBT_MS), log);
    let outcome = next.open(&turn(3, Some("a")), NOW_MS);
    assert!(matches!(outcome, OpenOutcome::Opened { .. }), "{outcome:?}");
}
