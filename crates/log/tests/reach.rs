//! A daemon without the log tells an outage from being cut off.

use fieldhook_log::reach::{Judge, Reach, Round};
use quickcheck::{Arbitrary, Gen, QuickCheck};

fn asked(answered: usize, reach_log: usize) -> Round {
    Round::Asked {
        asked: 3,
        answered,
        reach_log,
    }
}

#[test]
fn the_log_that_answers_others_means_cut_off() {
    let mut judge = Judge::default();
    assert_eq!(judge.step(Round::Heard), None);
    assert_eq!(judge.step(asked(3, 0)), Some(Reach::Outage));
    assert_eq!(judge.step(asked(2, 1)), Some(Reach::CutOff));
    assert_eq!(judge.step(Round::Heard), Some(Reach::Log));
}

#[test]
fn silence_of_all_is_believed_after_two_rounds() {
    let mut judge = Judge::default();
    assert_eq!(judge.step(asked(0, 0)), Some(Reach::Outage));
    assert_eq!(judge.step(asked(0, 0)), Some(Reach::Isolated));
    assert_eq!(judge.step(asked(0, 0)), None);
    assert_eq!(judge.step(asked(1, 0)), Some(Reach::Outage));
}

#[test]
fn a_daemon_that_knows_no_other_does_not_hold_itself_isolated() {
    let mut judge = Judge::default();
    let nobody = Round::Asked {
        asked: 0,
        answered: 0,
        reach_log: 0,
    };
    assert_eq!(judge.step(nobody), Some(Reach::Outage));
    assert_eq!(judge.step(nobody), None);
}

#[derive(Clone, Copy, Debug)]
struct Any(Round);

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Self {
        let answered = usize::arbitrary(g) % 4;
        match bool::arbitrary(g) {
            true => Self(Round::Heard),
            false => Self(asked(answered, usize::arbitrary(g) % (answered + 1))),
        }
    }
}

/// The last round alone decides whether others are known to reach the log, and the log's
/// own answer always ends every doubt.
#[test]
fn the_belief_follows_the_last_round() {
    fn holds(rounds: Vec<Any>) -> bool {
        let mut judge = Judge::default();
        rounds.into_iter().all(|Any(round)| {
            judge.step(round);
            match round {
                Round::Heard => judge.reach() == Reach::Log,
                Round::Asked { reach_log: 0, .. } => judge.reach() != Reach::Log,
                Round::Asked { .. } => judge.reach() == Reach::CutOff,
            }
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 7))
        .tests(300)
        .quickcheck(holds as fn(Vec<Any>) -> bool);
}
