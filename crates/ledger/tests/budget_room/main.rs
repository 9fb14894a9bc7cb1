//! Checks how much of a program's budget is lost with its owners. A turn may be refused only if the
//! budget has no room for it in addition to the tokens of ended turns and the maxima of awaited
//! ones, or if the tokens that the program may have used exceed a stated bound. A turn may be
//! granted only if there is room.
//!
//! The oracle counts a turn whose end was recorded by its tokens, and any other turn that may have
//! delivered tokens by its maximum. Each loss of an owner may hide at most what was reserved ahead.
//! The maximum of one turn is free, because a budget may be exceeded by that much.
//!
//! As in `budget_fuzz/`, the tests also check the upper bound: delivered tokens never exceed the
//! budget and the maximum of one turn, even though turns deliver tokens before their record and
//! successors grant shares of their own. A turn that never ran and whose end was reported counts
//! nothing, no matter when its request reaches an owner.

mod simulation;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use simulation::{MAX_TOKENS, Simulation, Step, requests};

/// Room for one turn, but not for two.
const SMALL_BUDGET: u64 = 900;

/// A scenario of which half of the steps concern delayed requests.
#[derive(Clone, Debug)]
struct Scenario(Vec<Step>);

impl Arbitrary for Scenario {
    fn arbitrary(g: &mut Gen) -> Self {
        let step = |g: &mut Gen| match bool::arbitrary(g) {
            true => Step::Request(requests::Step::arbitrary(g)),
            false => Step::arbitrary(g),
        };
        Self((0..g.size()).map(|_| step(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let steps = self.0.clone();
        let without = move |index: usize| {
            let mut fewer = steps.clone();
            fewer.remove(index);
            Self(fewer)
        };
        Box::new((0..self.0.len()).map(without))
    }
}

fn refusals_are_justified(mut simulation: Simulation, steps: &[Step]) -> TestResult {
    for step in steps {
        if !simulation.step(*step) {
            return TestResult::error(format!(
                "refused with at most {} of {} tokens used, after {} losses",
                simulation.max_used_tokens(),
                simulation.budget,
                simulation.losses
            ));
        }
        if !simulation.counts_all_delivered() {
            return TestResult::error(format!(
                "an owner counts {} of {} delivered tokens",
                simulation.counted(),
                simulation.delivered_tokens()
            ));
        }
        if simulation.delivered_tokens() > simulation.budget + MAX_TOKENS {
            return TestResult::error(format!(
                "{} tokens delivered",
                simulation.delivered_tokens()
            ));
        }
    }
    TestResult::passed()
}

fn stored_turns(steps: Vec<Step>) -> TestResult {
    refusals_are_justified(Simulation::new(true), &steps)
}

fn unstored_turns(steps: Vec<Step>) -> TestResult {
    refusals_are_justified(Simulation::new(false), &steps)
}

#[test]
fn each_further_loss_costs_at_most_one_turn_if_turns_are_stored() {
    scenarios(31).quickcheck(stored_turns as fn(Vec<Step>) -> TestResult);
}

#[test]
fn each_loss_costs_at_most_half_of_the_rest_if_turns_are_not_stored() {
    scenarios(32).quickcheck(unstored_turns as fn(Vec<Step>) -> TestResult);
}

fn requests_of_stored_turns(scenario: Scenario) -> TestResult {
    refusals_are_justified(Simulation::new(true), &scenario.0)
}

fn requests_of_unstored_turns(scenario: Scenario) -> TestResult {
    refusals_are_justified(Simulation::new(false), &scenario.0)
}

fn requests_with_room_for_one_turn(scenario: Scenario) -> TestResult {
    refusals_are_justified(Simulation::with_budget(true, SMALL_BUDGET), &scenario.0)
}

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Runs random scenarios. The environment may override seed and number of cases for longer runs.
fn scenarios(seed: u64) -> QuickCheck {
    let seed = env_number("FIELDHOOK_FUZZ_SEED", seed);
    let cases = env_number("FIELDHOOK_FUZZ_CASES", 20_000);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, seed))
        .tests(cases)
        // The default limit is 10,000.
        .max_tests(cases * 2)
}

#[test]
fn fuzz_delayed_requests_of_stored_turns() {
    scenarios(33).quickcheck(requests_of_stored_turns as fn(Scenario) -> TestResult);
}

#[test]
fn fuzz_delayed_requests_of_unstored_turns() {
    scenarios(34).quickcheck(requests_of_unstored_turns as fn(Scenario) -> TestResult);
}

#[test]
fn fuzz_delayed_requests_with_room_for_one_turn() {
    scenarios(35).quickcheck(requests_with_room_for_one_turn as fn(Scenario) -> TestResult);
}

/// One turn is recorded, the second is open when all daemons are lost, the third is recorded, and
/// all daemons are lost again. At most 1,595 of 2,700 tokens were used.
#[test]
fn turn_is_granted_after_two_losses_of_all_daemons() {
    let mut simulation = Simulation::new(true);
    let recorded_turn = |part| [Step::Open, Step::AppendAll, Step::Close(0, part)];
    let scenario = recorded_turn(191)
        .into_iter()
        .chain([Step::AppendAll, Step::Open, Step::AppendAll, Step::LoseAll])
        .chain(recorded_turn(255))
        .chain([Step::AppendAll, Step::LoseAll]);
    for step in scenario {
        assert!(simulation.step(step), "{step:?}");
    }
    assert_eq!(simulation.max_used_tokens(), 434 + 2 * MAX_TOKENS);
    assert!(simulation.open(), "the budget has room for one more turn");
}

/// All owners are lost, and then the log. A program that starts now is in the uncertainty window
/// and must complete without the log.
#[test]
fn program_started_during_uncertainty_completes_without_the_log() {
    let mut simulation = Simulation::new(false);
    simulation.step(Step::LoseAll);
    simulation.append_all();
    for turn in 0..3 {
        assert!(simulation.open(), "turn {turn}");
        simulation.end_with_tokens(145);
    }
}

/// Two owners each granted the program a share without a record. The uncertainty window of the
/// second owner has ended when it is lost as well.
#[test]
fn tokens_delivered_during_uncertainty_are_counted_by_later_owners() {
    let mut simulation = Simulation::new(false);
    let turn = [Step::Open, Step::Deliver(0, 255)];
    let scenario = turn
        .into_iter()
        .chain([Step::LoseOwner, Step::AppendAll, Step::Open])
        .chain([Step::Deliver(1, 255)])
        .chain([requests::Step::EndUncertainty].map(Step::Request))
        .chain([Step::AppendAll, Step::LoseOwner, Step::Open])
        .chain([Step::AppendAll, Step::Deliver(2, 255)]);
    for step in scenario {
        assert!(simulation.step(step), "{step:?}");
    }
    assert_eq!(simulation.delivered_tokens(), 3 * MAX_TOKENS);
    let counted = simulation.counted();
    assert!(
        simulation.counts_all_delivered(),
        "{counted} of {}",
        3 * MAX_TOKENS
    );
}

/// The successor releases the unused tokens of a recorded turn when it learns of its end, so the
/// previous owner must not grant them to another turn.
#[test]
fn unused_tokens_of_a_recorded_turn_are_not_granted_under_that_record() {
    let mut simulation = Simulation::new(true);
    assert!(simulation.open() && simulation.open());
    simulation.append_all();
    assert!(simulation.open());
    simulation.step(Step::Close(1, 221));
    assert!(simulation.open());
    for which in 0..3 {
        simulation.step(Step::Deliver(which, 255));
    }
    simulation.step(Step::LoseOwner);
    let (counted, delivered_tokens) = (simulation.counted(), simulation.delivered_tokens());
    assert!(
        simulation.counts_all_delivered(),
        "{counted} of {delivered_tokens}"
    );
}

/// An owner that hands its partition over leaves no tokens reserved ahead, however often that
/// happens.
#[test]
fn handovers_cost_no_budget() {
    let mut simulation = Simulation::new(true);
    for handover in 0..9 {
        assert!(simulation.open(), "handover {handover}");
        simulation.append_all();
        simulation.end_with_tokens(145);
        simulation.append_all();
        simulation.step(Step::HandOver);
        assert_eq!(
            simulation.counted(),
            simulation.max_used_tokens(),
            "handover {handover}"
        );
    }
}

/// Between two turns no turn is open. Losses at this point cost no turn, up to the number of losses
/// that the bound allows.
#[test]
fn loss_between_turns_costs_no_turn() {
    let mut simulation = Simulation::new(true);
    for step in [Step::Open, Step::AppendAll, Step::Close(0, 255)] {
        assert!(simulation.step(step));
    }
    simulation.step(Step::AppendAll);
    simulation.step(Step::LoseAll);
    for turn in 1..4 {
        assert!(simulation.open(), "turn {turn}");
        simulation.append_all();
        simulation.step(Step::Close(0, 255));
        simulation.append_all();
    }
    assert!(!simulation.open(), "2,320 of 2,700 are used");
}
