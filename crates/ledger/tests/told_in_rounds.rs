//! Ends of turns that are told again and again while the log is away.
//!
//! Story: a program has many turns side by side and one after another, whose content is not
//! kept. The log goes away. Each turn ends, its owner notes the end and can't append it, and the
//! gateway tells it once more every few seconds until it is durable. The owner remembers the
//! latest ends; where the program has one more than those, each round finds every end forgotten
//! by the one told before it, and counts it anew. Cause: an end counts as told by a memory that is
//! bounded by a number, while the rounds are bounded by time.

use fieldhook_ledger::message::OpenTurn;
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::partition::{OpenOutcome, Partition};

const BUDGET: u64 = 10_000;
const MOST: u64 = 100;
/// What each turn handed out.
const TOKENS: u64 = 50;
/// One more than an owner remembers.
const TURNS: u64 = 25;
/// An outage of some ten seconds.
const ROUNDS: usize = 8;
const NOW_MS: u64 = 1_700_000_000_000;

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

#[test]
fn ends_that_are_told_in_rounds_are_counted_once() {
    let mut owner = Partition::default();
    for attempt in 0..TURNS {
        let opened = owner.open(&turn(attempt), NOW_MS);
        assert!(matches!(opened, OpenOutcome::Opened { .. }));
        let mut end = turn(attempt).cancellation();
        end.tokens = TOKENS;
        owner.close(&end, NOW_MS);
    }
    for _ in 0..ROUNDS {
        for attempt in 0..TURNS {
            let mut end = turn(attempt).cancellation();
            end.tokens = TOKENS;
            owner.close(&end, NOW_MS);
        }
    }
    let next = owner.open(&turn(TURNS), NOW_MS);
    let counted = owner.committed_tokens(&QualifiedName::new(None, "p"));
    let used = TURNS * TOKENS;
    assert!(
        matches!(next, OpenOutcome::Opened { .. }),
        "{counted} of {BUDGET} counted, {used} used: {next:?}"
    );
    assert_eq!(counted, used + MOST);
}
