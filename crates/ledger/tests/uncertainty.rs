//! How long a new owner counts what earlier owners may have granted without a record.

use fieldhook_ledger::message::OpenTurn;
use fieldhook_ledger::partition::{OpenOutcome, Partition, uncertainty_after_loss_ms};

const TURN_MS: u64 = 4_000;
const TAKEOVER_MS: u64 = 1_000_000;
const BUDGET: u64 = 900;
const MAX_TOKENS: u64 = 273;

fn turn(program: &str, number: u32) -> OpenTurn {
    OpenTurn {
        tenant: None,
        turn: format!("{program}-{number}"),
        attempt: u64::from(number),
        program: program.to_owned(),
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

fn is_durable(partition: &mut Partition, turn: &OpenTurn, now_ms: u64) -> Option<bool> {
    match partition.open(turn, now_ms) {
        OpenOutcome::Opened { durable, .. } => Some(durable),
        _ => None,
    }
}

#[test]
fn program_started_after_the_window_gets_its_whole_budget_without_the_log() {
    let window_ms = uncertainty_after_loss_ms(TURN_MS);
    let mut partition = Partition::after_loss(TAKEOVER_MS, window_ms);
    let before = TAKEOVER_MS + window_ms - 1;
    assert_eq!(
        is_durable(&mut partition, &turn("old", 0), before),
        Some(false)
    );
    let after = TAKEOVER_MS + 20_000;
    assert_eq!(
        is_durable(&mut partition, &turn("new", 0), after),
        Some(true)
    );
    let granted = (1..)
        .take_while(|number| is_durable(&mut partition, &turn("new", *number), after).is_some());
    assert_eq!(
        granted.count(),
        2,
        "900 tokens are enough for three turns of 273, and one is open already"
    );
}

#[test]
fn window_outlasts_three_attempts_and_tool_calls() {
    assert_eq!(uncertainty_after_loss_ms(TURN_MS), 20_000);
    assert!(uncertainty_after_loss_ms(500) > 4 * 500);
    assert_eq!(uncertainty_after_loss_ms(30_000), 60_000);
    assert_eq!(uncertainty_after_loss_ms(u64::MAX), 60_000);
}
