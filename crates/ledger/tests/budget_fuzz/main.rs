//! A program's budget over any losses of its owners and of any gateways, against a simple
//! oracle: tokens handed to clients never exceed the budget by more than the most of
//! one turn.

mod story;
mod world;

use quickcheck::{Gen, QuickCheck, TestResult};
use story::{QuestionStory, Story};
use world::{BUDGET, MOST, Step, World};

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Plays stories of a seed, or of those that a longer run asks for.
fn stories(seed: u64, cases: u64) -> QuickCheck {
    let seed = setting("FIELDHOOK_FUZZ_SEED", seed);
    let cases = setting("FIELDHOOK_FUZZ_CASES", cases);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(160, seed))
        .tests(cases)
        // Otherwise no more than 10,000 are played.
        .max_tests(cases * 2)
}

/// The bound of the rule: the budget and one turn's most.
fn budget_holds(story: Story) -> TestResult {
    let mut world = World::default();
    for step in story.0 {
        world.step(step);
        if world.handed_out > BUDGET + MOST {
            return TestResult::error(format!(
                "{} tokens handed out of {BUDGET}",
                world.handed_out
            ));
        }
    }
    TestResult::passed()
}

#[test]
fn tokens_stay_within_the_budget_over_crashes() {
    stories(21, 8_000).quickcheck(budget_holds as fn(Story) -> TestResult);
}

/// The same, and an owner that knows the program counts all that was handed out, by whomever.
fn owners_count_all(QuestionStory(story): QuestionStory) -> TestResult {
    let mut world = World::default();
    for step in story.0 {
        world.step(step);
        let (handed_out, counted) = (world.handed_out, world.counted());
        if handed_out > BUDGET + MOST {
            return TestResult::error(format!("{handed_out} tokens handed out of {BUDGET}"));
        }
        if counted.is_some_and(|counted| counted < handed_out) {
            return TestResult::error(format!("{counted:?} counted of {handed_out}"));
        }
    }
    TestResult::passed()
}

#[test]
fn fuzz_tokens_stay_within_the_budget_whatever_becomes_of_questions() {
    stories(23, 8_000).quickcheck(owners_count_all as fn(QuestionStory) -> TestResult);
}

/// Without any loss, and where no client goes on before its answer ended, nothing is handed out
/// beyond the budget at all, and a turn is refused only if the budget does not hold it. Planned
/// stops are no losses.
fn exact_without_losses(story: Story) -> bool {
    let mut world = World::patient();
    let lossless = story.0.into_iter().filter(|step| {
        let loses = matches!(step, Step::LoseOwner | Step::LoseGateway(_));
        !loses && !matches!(step, Step::OpenAtFormer(_))
    });
    for step in lossless {
        let before = world.next_turn;
        let held: u64 = world.ended.iter().map(|ended| ended.tokens).sum::<u64>()
            + world.running.len() as u64 * MOST;
        let running = world.running.len();
        world.step(step);
        let asked = world.next_turn > before;
        let granted = world.running.len() > running;
        if asked && granted != (held + MOST <= BUDGET) {
            return false;
        }
        if world.handed_out > BUDGET {
            return false;
        }
    }
    true
}

#[test]
fn without_losses_the_budget_is_exact() {
    stories(22, 2_000).quickcheck(exact_without_losses as fn(Story) -> bool);
}

/// An owner that was lost ran many short turns without a record; its successor hears of
/// some of them only. The others still count.
#[test]
fn reported_ends_do_not_hide_unreported_ones() {
    let mut steps = Vec::new();
    for _ in 0..16 {
        steps.extend([Step::Open, Step::HandOut(0, 20), Step::Close(0)]);
    }
    steps.push(Step::LoseOwner);
    steps.extend([0, 1, 2, 3].map(Step::CloseAgain));
    for _ in 0..16 {
        steps.push(Step::Open);
        steps.extend([Step::Append; 8]);
        steps.extend([Step::HandOut(0, 255), Step::Close(0)]);
        steps.extend([Step::Append; 8]);
    }
    assert!(!budget_holds(Story(steps)).is_failure());
}

/// Turns that the former owner granted without a record run on after it gave its partition
/// up, and their gateways are lost before they tell their ends.
#[test]
fn handover_records_programs_without_a_record() {
    let mut steps = vec![Step::Open; 2];
    steps.extend([0, 1].map(|which| Step::HandOut(which, 255)));
    steps.push(Step::HandOver);
    steps.extend([Step::LoseGateway(0); 2]);
    for _ in 0..12 {
        steps.push(Step::Open);
        steps.extend([Step::Append; 4]);
        steps.extend([Step::HandOut(0, 255), Step::Close(0)]);
        steps.extend([Step::Append; 4]);
    }
    assert!(!budget_holds(Story(steps)).is_failure());
}
