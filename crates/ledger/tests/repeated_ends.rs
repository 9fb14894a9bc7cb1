//! Ends of turns that are reported repeatedly while the log is unavailable.
//!
//! Guards against counting an end more than once. A program has many turns whose content is not
//! stored. During an outage of the log the owner cannot append their ends, so the gateway reports
//! each end again every few seconds. When the owner remembered only a fixed number of ends and the
//! program had one more, each report evicted the end that was reported next, and every round
//! counted all ends again.

use fieldhook_ledger::message::OpenTurn;
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::partition::{OpenOutcome, Partition};

const BUDGET: u64 = 10_000;
const MAX_TOKENS: u64 = 100;
/// Tokens delivered by each turn.
const TOKENS: u64 = 50;
/// One more than the number of ends that an owner always remembers.
const TURNS: u64 = 25;
/// Rounds of an outage of about ten seconds.
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
        retains_context: false,
        supplies_chain: false,
        budget: Some(BUDGET),
        max_tokens: MAX_TOKENS,
        assignment: None,
        home_partition: None,
    }
}

#[test]
fn repeated_ends_are_counted_once() {
    let mut owner = Partition::default();
    for attempt in 0..TURNS {
        let opened = owner.open(&turn(attempt), NOW_MS);
        assert!(matches!(opened, OpenOutcome::Opened { .. }));
        let mut end = turn(attempt).cancellation();
        end.tokens = TOKENS;
        owner.close(&end, NOW_MS).expect("a known chain");
    }
    for _ in 0..ROUNDS {
        for attempt in 0..TURNS {
            let mut end = turn(attempt).cancellation();
            end.tokens = TOKENS;
            owner.close(&end, NOW_MS).expect("a known chain");
        }
    }
    let next = owner.open(&turn(TURNS), NOW_MS);
    let counted = owner.committed_tokens(&QualifiedName::new(None, "p"));
    let used = TURNS * TOKENS;
    assert!(
        matches!(next, OpenOutcome::Opened { .. }),
        "counted {counted} of {BUDGET} tokens, used {used}: {next:?}"
    );
    assert_eq!(counted, used + MAX_TOKENS);
}
