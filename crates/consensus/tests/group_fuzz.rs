//! Whole groups under virtual time against one agreed sequence of commands.
//!
//! Faults: loss, duplication, delay (hence reordering), cuts, freezes, crash
//! with amnesia. The oracle is one list of applied entries: every replica must
//! agree with it at every index, and acknowledged commands must stay in it.

#[path = "support/simulation.rs"]
mod simulation;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use simulation::Simulation;

/// One thing that happens to the group.
#[derive(Clone, Copy, Debug)]
enum Operation {
    Run(u16),
    Propose(u8),
    Loss(u8),
    Cut(u8),
    CutLink(u8, u8),
    Heal,
    Freeze(u8, u16),
    Replace(u8),
    Transfer(u8, u8),
}

impl Arbitrary for Operation {
    fn arbitrary(generator: &mut Gen) -> Self {
        let node = u8::arbitrary(generator);
        match u8::arbitrary(generator) % 19 {
            0..=4 => Self::Run(u16::arbitrary(generator) % 2000),
            5..=9 => Self::Propose(node),
            10 => Self::Loss(u8::arbitrary(generator) % 40),
            11 => Self::Cut(node),
            12 => Self::Heal,
            13 => Self::Freeze(node, u16::arbitrary(generator) % 4000),
            14 => Self::Replace(node),
            16..=18 => Self::CutLink(node, u8::arbitrary(generator)),
            _ => Self::Transfer(node, u8::arbitrary(generator)),
        }
    }
}

fn perform(simulation: &mut Simulation, operation: Operation) {
    match operation {
        Operation::Run(span_ms) => simulation.run(u64::from(span_ms)),
        Operation::Propose(node) => simulation.propose(node),
        Operation::Loss(percent) => simulation.loss_percent = percent,
        Operation::Cut(node) => simulation.cut(node),
        Operation::CutLink(left, right) => simulation.cut_link(left, right),
        Operation::Heal => simulation.heal(),
        Operation::Freeze(node, span_ms) => simulation.freeze(node, u64::from(span_ms)),
        Operation::Replace(node) => simulation.replace(node),
        Operation::Transfer(node, to) => simulation.transfer(node, to),
    }
}

fn holds(seed: u64, operations: Vec<Operation>) -> bool {
    let mut simulation = Simulation::new(seed);
    for operation in operations {
        perform(&mut simulation, operation);
    }
    simulation.settle();
    true
}

/// Number of cases and the seed, for longer runs by `scripts/fuzz`.
fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

#[test]
fn fuzz_group_agrees_on_one_sequence() {
    let seed = setting("FIELDHOOK_FUZZ_SEED", 7);
    let cases = setting("FIELDHOOK_FUZZ_CASES", 300);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, seed))
        .tests(cases)
        .max_tests(cases * 2)
        .quickcheck(holds as fn(u64, Vec<Operation>) -> bool);
}

#[test]
fn healthy_group_elects_and_commits_within_three_timeouts() {
    let mut simulation = Simulation::new(1);
    simulation.run(1800);
    simulation.propose_to_leader();
    simulation.run(100);
    assert_eq!(simulation.acknowledged(), 1);
}

#[test]
fn restarted_replica_is_replaced_and_never_votes_as_the_old_one() {
    let mut simulation = Simulation::new(2);
    simulation.run(1800);
    for node in 0..3 {
        simulation.propose_to_leader();
        simulation.run(200);
        simulation.replace(node);
        simulation.run(6000);
    }
    simulation.propose_to_leader();
    simulation.run(200);
    assert_eq!(simulation.acknowledged(), 4);
}

/// Found by `scripts/fuzz --seed 101`: a follower that woke noted a leader's
/// waiting message by the clock of its last tick and so voted too early.
#[test]
fn woken_follower_keeps_its_promise_to_the_leader() {
    let mut simulation = Simulation::new(17_101_114_071_287_992_769);
    simulation.cut_link(223, 26);
    simulation.freeze(12, 1_806);
    simulation.run(1_727);
    simulation.run(998);
    simulation.settle();
}
