//! How long turns and their chains are stored.

use fieldhook_ledger::message::{CloseTurn, TurnContent};
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::partition::Partition;
use fieldhook_ledger::record::{Record, TurnRecord};

const NOW_MS: u64 = 1_700_000_000_000;
const RETENTION_MS: u64 = 60_000;
/// A time at which a turn that ended at `NOW_MS` is no longer stored.
const EXPIRED_MS: u64 = NOW_MS + RETENTION_MS + 20_000;

fn name(turn: usize) -> QualifiedName {
    QualifiedName::new(None, &format!("t{turn}"))
}

/// A turn that continues the one with the number before.
fn record(turn: usize) -> Record {
    let record = TurnRecord {
        program: "p".to_owned(),
        previous: turn.checked_sub(1).map(|before| name(before).name),
        input: vec![b'i'],
        output: vec![b'o'],
        ended_ms: NOW_MS,
        retention_ms: RETENTION_MS,
    };
    Record::Turn(name(turn), Some(record))
}

fn close(turn: usize) -> CloseTurn {
    CloseTurn {
        tenant: None,
        turn: name(turn).name,
        attempt: 0,
        program: "p".to_owned(),
        budget: None,
        max_tokens: 10,
        tokens: 1,
        content: Some(TurnContent {
            previous: turn.checked_sub(1).map(|before| name(before).name),
            input: vec![b'i'],
            output: vec![b'o'],
            retention_ms: RETENTION_MS,
        }),
        engine: None,
        home_partition: None,
        delays_response: true,
    }
}

/// Guards against a chain whose oldest turns expire because it has more turns than some limit.
#[test]
fn all_turns_of_a_very_long_chain_are_kept_with_its_newest() {
    const TURNS: usize = 12_000;
    let mut owner = Partition::default();
    (0..TURNS).for_each(|turn| owner.load(record(turn)));
    owner.finish_loading();
    let records = owner.close(&close(TURNS), NOW_MS + RETENTION_MS);
    assert_eq!(records.map(|records| records.len()), Ok(1));
    assert_eq!(owner.expire(EXPIRED_MS), []);
    let contents = owner.chain_contents(&name(TURNS));
    assert_eq!(contents.map(|contents| contents.len()), Some(2 * TURNS + 2));
}

/// Guards against turns that a new owner deletes although it has read a newer turn of their chain.
#[test]
fn next_owner_keeps_a_chain_as_long_as_its_newest_turn() {
    const TURNS: usize = 30;
    let mut owner = Partition::default();
    for turn in (0..TURNS).rev() {
        owner.load(record(turn));
    }
    let newest = owner.close(&close(TURNS), NOW_MS + RETENTION_MS);
    let mut successor = Partition::default();
    for record in newest.expect("a known chain") {
        successor.load(record);
    }
    for turn in 0..TURNS {
        successor.load(record(turn));
    }
    successor.finish_loading();
    assert_eq!(successor.expire(EXPIRED_MS), []);
    assert_eq!(successor.expire(EXPIRED_MS + RETENTION_MS).len(), TURNS + 1);
}
