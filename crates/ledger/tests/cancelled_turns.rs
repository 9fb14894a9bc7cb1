//! Turns that are cancelled while the request to open them is in flight. The end of such a turn may
//! reach the owner before the request, and a client may retry under the same turn id. Neither may
//! leave a reservation that is never released. The gateway's tests reproduce the failure end to end.

use fieldhook_ledger::message::OpenTurn;
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::partition::{OpenOutcome, Partition};

/// Room for one turn, but not for two.
const BUDGET: u64 = 900;
const MAX_TOKENS: u64 = 575;
/// Unix time at the start of each test, in milliseconds. Far enough from 0 that a program last
/// changed at 0 has expired.
const NOW_MS: u64 = 1_700_000_000_000;

fn turn(turn_id: &str, attempt: u64) -> OpenTurn {
    OpenTurn {
        tenant: None,
        turn: turn_id.to_owned(),
        attempt,
        program: "p".to_owned(),
        session: None,
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

fn is_opened(partition: &mut Partition, turn: &OpenTurn) -> bool {
    matches!(partition.open(turn, NOW_MS), OpenOutcome::Opened { .. })
}

fn counted(partition: &Partition) -> u64 {
    partition.committed_tokens(&QualifiedName::new(None, "p"))
}

#[test]
fn cancelled_turn_releases_its_reservation() {
    let mut partition = Partition::default();
    let cancelled = turn("t1", 1);
    assert!(is_opened(&mut partition, &cancelled));
    partition
        .close(&cancelled.cancellation(), 2)
        .expect("a known chain");
    assert_eq!(counted(&partition), 0);
    assert!(is_opened(&mut partition, &turn("t2", 2)));
}

#[test]
fn open_after_cancellation_is_rejected() {
    let mut partition = Partition::default();
    let delayed = turn("t1", 1);
    partition
        .close(&delayed.cancellation(), 1)
        .expect("a known chain");
    assert_eq!(partition.open(&delayed, 2), OpenOutcome::AlreadyEnded);
    assert_eq!(counted(&partition), 0);
    assert!(is_opened(&mut partition, &turn("t2", 2)));
}

#[test]
fn delayed_duplicate_open_of_an_ended_turn_is_rejected() {
    let mut partition = Partition::default();
    let ended = turn("t1", 1);
    assert!(is_opened(&mut partition, &ended));
    let mut end = ended.cancellation();
    end.tokens = 200;
    partition.close(&end, 2).expect("a known chain");
    assert_eq!(partition.open(&ended, 3), OpenOutcome::AlreadyEnded);
    assert_eq!(counted(&partition), 200);
}

#[test]
fn retry_with_the_same_turn_id_is_settled_separately() {
    let mut partition = Partition::default();
    for attempt in [1, 2] {
        let retry = turn("t1", attempt);
        assert!(is_opened(&mut partition, &retry), "attempt {attempt}");
        let mut end = retry.cancellation();
        end.tokens = 100;
        partition.close(&end, 2).expect("a known chain");
    }
    assert_eq!(counted(&partition), 200);
}

#[test]
fn successor_cancels_a_turn_opened_by_its_predecessor() {
    let mut partition = Partition::default();
    let cancelled = turn("t1", 1);
    let OpenOutcome::Opened { records, .. } = partition.open(&cancelled, 1) else {
        panic!("not opened");
    };
    let mut successor = Partition::after_loss(2, 0);
    // There are no records if the turn was within the owner's durable limit.
    records
        .into_iter()
        .for_each(|record| successor.load(record));
    successor.finish_loading();
    successor
        .close(&cancelled.cancellation(), 3)
        .expect("a known chain");
    assert!(is_opened(&mut successor, &turn("t2", 2)));
}

/// The cancellation must be remembered longer than the request can be in flight, which is as long
/// as a network partition lasts.
#[test]
fn early_cancellation_is_remembered_across_expiry() {
    let mut partition = Partition::default();
    let delayed = turn("t1", 1);
    partition
        .close(&delayed.cancellation(), NOW_MS)
        .expect("a known chain");
    assert_eq!(partition.expire(NOW_MS + 10_000), []);
    assert_eq!(
        partition.open(&delayed, NOW_MS + 11_000),
        OpenOutcome::AlreadyEnded
    );
    assert_eq!(counted(&partition), 0);
}

/// A program that is first seen in the uncertainty window may have been started by an earlier
/// owner, even if its only request was cancelled.
#[test]
fn program_cancelled_during_uncertainty_stays_counted_after_it() {
    let mut successor = Partition::after_loss(NOW_MS, 5_000);
    successor
        .close(&turn("t1", 1).cancellation(), NOW_MS)
        .expect("a known chain");
    let during_window = counted(&successor);
    assert_eq!(during_window, BUDGET / 3);
    successor.expire(NOW_MS + 1_000);
    successor.expire(NOW_MS + 6_000);
    successor.open(&turn("t2", 2), NOW_MS + 7_000);
    assert_eq!(counted(&successor), during_window + MAX_TOKENS);
}

/// The delayed request may reach a later owner than its cancellation did: one planned handover is
/// enough.
#[test]
fn early_cancellation_survives_a_handover() {
    let mut partition = Partition::default();
    let delayed = turn("t1", 1);
    let mut records = partition
        .close(&delayed.cancellation(), NOW_MS)
        .expect("a known chain");
    records.extend(partition.handover_records());
    let mut successor = Partition::after_handover(NOW_MS, 0);
    for record in records {
        successor.load(record);
    }
    successor.finish_loading();
    assert_eq!(successor.open(&delayed, NOW_MS), OpenOutcome::AlreadyEnded);
    assert_eq!(counted(&successor), 0);
}

/// A cancellation before its request is recorded only to remember its id. The record must not make
/// a later loss cost more than no record would.
#[test]
fn record_of_an_early_cancellation_reserves_nothing_more() {
    let mut partition = Partition::default();
    let records = partition
        .close(&turn("t1", 1).cancellation(), NOW_MS)
        .expect("a known chain");
    assert_eq!(records.len(), 1);
    let mut successor = Partition::after_loss(NOW_MS, 5_000);
    for record in records {
        successor.load(record);
    }
    successor.finish_loading();
    let committed = counted(&successor);
    let mut without_record = Partition::after_loss(NOW_MS, 5_000);
    without_record
        .close(&turn("t2", 2).cancellation(), NOW_MS)
        .expect("a known chain");
    assert_eq!(committed, counted(&without_record));
    let records = successor
        .close(&turn("t3", 3).cancellation(), NOW_MS)
        .expect("a known chain");
    let mut next = Partition::after_loss(NOW_MS, 5_000);
    for record in records {
        next.load(record);
    }
    assert_eq!(counted(&next), committed, "the same after one more loss");
}

/// Only the newest ends are remembered. An end that is repeated after it was evicted may be counted
/// twice, which wastes budget, but must never lower what is counted for other turns.
#[test]
fn repeated_end_after_eviction_never_lowers_the_count() {
    let mut partition = Partition::default();
    let ended = turn("t0", 1_000);
    let lost = turn("t1", 1_001);
    assert!(is_opened(&mut partition, &ended));
    let mut end = ended.cancellation();
    end.tokens = 100;
    let records = partition.close(&end, NOW_MS).expect("a known chain");
    let mut successor = Partition::after_loss(NOW_MS, 0);
    for record in records {
        successor.load(record);
    }
    // What the lost owner granted to the turn without a reported end is within its reserve.
    let delivered = MAX_TOKENS;
    assert!(is_opened(&mut partition, &lost));
    for early in 0..60 {
        successor
            .close(&turn("early", early).cancellation(), NOW_MS)
            .expect("a known chain");
        assert!(counted(&successor) >= 100 + delivered, "{early}");
    }
    successor.close(&end, NOW_MS).expect("a known chain");
    assert!(counted(&successor) >= 100 + delivered);
}
