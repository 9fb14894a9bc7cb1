//! What losses of owners take from a program's budget: a turn is refused only where what ended
//! and what is waited for leaves no room for it, or what the program can have used at its most
//! is beyond a stated bound. It begins only beside what is waited for.
//!
//! The oracle counts a turn whose end was recorded by its tokens, any other turn that may
//! have handed something out at its most. Each loss of an owner may hide at most what was
//! reserved ahead; of that the most of one turn costs nothing, as a budget may be exceeded by
//! it. The other side is checked beside it, as in `budget_fuzz/`: the tokens handed out are
//! never more than the budget and one turn's most, also where turns hand out what they are
//! allowed before their record and successors in doubt have parts of their own. A turn that never
//! ran and whose end was told counts nothing, whenever its question reaches an owner.

mod world;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use world::{MOST, Step, World, questions};

/// Holds one turn, and no second one beside it.
const SMALL_BUDGET: u64 = 900;

/// Steps of which half are those of questions under way.
#[derive(Clone, Debug)]
struct Story(Vec<Step>);

impl Arbitrary for Story {
    fn arbitrary(g: &mut Gen) -> Self {
        let step = |g: &mut Gen| match bool::arbitrary(g) {
            true => Step::Question(questions::Step::arbitrary(g)),
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

fn refusals_are_owed(mut world: World, steps: &[Step]) -> TestResult {
    for step in steps {
        if !world.step(*step) {
            return TestResult::error(format!(
                "refused with {} of {} used at most, after {} losses",
                world.used(),
                world.budget,
                world.losses
            ));
        }
        if !world.counts_all() {
            return TestResult::error(format!(
                "an owner counts {} of {} handed out",
                world.counted(),
                world.handed_out()
            ));
        }
        if world.handed_out() > world.budget + MOST {
            return TestResult::error(format!("{} handed out", world.handed_out()));
        }
    }
    TestResult::passed()
}

fn kept(steps: Vec<Step>) -> TestResult {
    refusals_are_owed(World::new(true), &steps)
}

fn not_kept(steps: Vec<Step>) -> TestResult {
    refusals_are_owed(World::new(false), &steps)
}

#[test]
fn each_further_loss_costs_at_most_one_turn_if_turns_are_stored() {
    stories(31).quickcheck(kept as fn(Vec<Step>) -> TestResult);
}

#[test]
fn each_loss_costs_at_most_half_of_the_rest_if_turns_are_not_stored() {
    stories(32).quickcheck(not_kept as fn(Vec<Step>) -> TestResult);
}

fn questions_kept(story: Story) -> TestResult {
    refusals_are_owed(World::new(true), &story.0)
}

fn questions_not_kept(story: Story) -> TestResult {
    refusals_are_owed(World::new(false), &story.0)
}

fn questions_of_one_turn(story: Story) -> TestResult {
    refusals_are_owed(World::with_budget(true, SMALL_BUDGET), &story.0)
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Plays stories of a seed, or of those that a longer run asks for.
fn stories(seed: u64) -> QuickCheck {
    let seed = setting("FIELDHOOK_FUZZ_SEED", seed);
    let cases = setting("FIELDHOOK_FUZZ_CASES", 20_000);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, seed))
        .tests(cases)
        // Otherwise no more than 10,000 are played.
        .max_tests(cases * 2)
}

#[test]
fn fuzz_questions_under_way_of_a_program_whose_turns_are_kept() {
    stories(33).quickcheck(questions_kept as fn(Story) -> TestResult);
}

#[test]
fn fuzz_questions_under_way_of_a_program_whose_turns_are_not_kept() {
    stories(34).quickcheck(questions_not_kept as fn(Story) -> TestResult);
}

#[test]
fn fuzz_questions_under_way_of_a_program_that_holds_one_turn() {
    stories(35).quickcheck(questions_of_one_turn as fn(Story) -> TestResult);
}

/// One turn is recorded, the second is under way when all daemons are lost, the third is
/// recorded, and all are lost once more: 1,595 of 2,700 tokens at most.
#[test]
fn turn_is_granted_after_two_losses_of_all_daemons() {
    let mut world = World::new(true);
    let whole_turn = |part| [Step::Open, Step::AppendAll, Step::Close(0, part)];
    let story = whole_turn(191)
        .into_iter()
        .chain([Step::AppendAll, Step::Open, Step::AppendAll, Step::LoseAll])
        .chain(whole_turn(255))
        .chain([Step::AppendAll, Step::LoseAll]);
    for step in story {
        assert!(world.step(step), "{step:?}");
    }
    assert_eq!(world.used(), 434 + 2 * MOST);
    assert!(world.open(), "the budget holds one more turn");
}

/// All owners are lost, and a moment later the log: a program that begins then is in doubt.
#[test]
fn program_started_during_uncertainty_completes_without_the_log() {
    let mut world = World::new(false);
    world.step(Step::LoseAll);
    world.append_all();
    for turn in 0..3 {
        assert!(world.open(), "turn {turn}");
        world.end_with(145);
    }
}

/// Two owners gave a program a part each that no record tells of; the second one's doubt is over
/// when it is lost as well.
#[test]
fn tokens_delivered_during_uncertainty_are_counted_by_later_owners() {
    let mut world = World::new(false);
    let turn = [Step::Open, Step::HandOut(0, 255)];
    let story = turn
        .into_iter()
        .chain([Step::LoseOwner, Step::AppendAll, Step::Open])
        .chain([Step::HandOut(1, 255)])
        .chain([questions::Step::EndDoubt].map(Step::Question))
        .chain([Step::AppendAll, Step::LoseOwner, Step::Open])
        .chain([Step::AppendAll, Step::HandOut(2, 255)]);
    for step in story {
        assert!(world.step(step), "{step:?}");
    }
    assert_eq!(world.handed_out(), 3 * MOST);
    let counted = world.counted();
    assert!(world.counts_all(), "{counted} of {}", 3 * MOST);
}

/// What a recorded turn left of its most is freed by the successor that hears of its end, so
/// its owner may not have given it to another turn.
#[test]
fn unused_tokens_of_a_recorded_turn_are_not_granted_under_that_record() {
    let mut world = World::new(true);
    assert!(world.open() && world.open());
    world.append_all();
    assert!(world.open());
    world.step(Step::Close(1, 221));
    assert!(world.open());
    for which in 0..3 {
        world.step(Step::HandOut(which, 255));
    }
    world.step(Step::LoseOwner);
    let (counted, handed_out) = (world.counted(), world.handed_out());
    assert!(world.counts_all(), "{counted} of {handed_out}");
}

/// An owner that gives its partition up in order leaves nothing reserved ahead behind, however
/// often that happens.
#[test]
fn handovers_cost_no_budget() {
    let mut world = World::new(true);
    for stop in 0..9 {
        assert!(world.open(), "stop {stop}");
        world.append_all();
        world.end_with(145);
        world.append_all();
        world.step(Step::HandOver);
        assert_eq!(world.counted(), world.used(), "stop {stop}");
    }
}

/// Between two turns nothing is under way: losses there cost nothing that a turn needs, as
/// long as there are no more of them than the bound tells.
#[test]
fn loss_between_turns_costs_no_turn() {
    let mut world = World::new(true);
    for step in [Step::Open, Step::AppendAll, Step::Close(0, 255)] {
        assert!(world.step(step));
    }
    world.step(Step::AppendAll);
    world.step(Step::LoseAll);
    for turn in 1..4 {
        assert!(world.open(), "turn {turn}");
        world.append_all();
        world.step(Step::Close(0, 255));
        world.append_all();
    }
    assert!(!world.open(), "2,320 of 2,700 are used");
}
