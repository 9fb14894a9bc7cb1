//! A daemon without the log tells an outage from being cut off.

use fieldhook_log::reach::{Look, Reach, ReachTracker, Round};
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
    let mut tracker = ReachTracker::default();
    assert_eq!(tracker.update(Round::Heard), None);
    assert_eq!(tracker.update(asked(3, 0)), Some(Reach::Outage));
    assert_eq!(tracker.update(asked(2, 1)), Some(Reach::CutOff));
    assert_eq!(tracker.update(Round::Heard), Some(Reach::Log));
}

#[test]
fn silence_of_all_is_believed_after_two_rounds() {
    let mut tracker = ReachTracker::default();
    assert_eq!(tracker.update(asked(0, 0)), Some(Reach::Outage));
    assert_eq!(tracker.update(asked(0, 0)), Some(Reach::Isolated));
    assert_eq!(tracker.update(asked(0, 0)), None);
    assert_eq!(tracker.update(asked(1, 0)), Some(Reach::Outage));
}

#[test]
fn a_daemon_that_knows_no_other_does_not_hold_itself_isolated() {
    let mut tracker = ReachTracker::default();
    let nobody = Round::Asked {
        asked: 0,
        answered: 0,
        reach_log: 0,
    };
    assert_eq!(tracker.update(nobody), Some(Reach::Outage));
    assert_eq!(tracker.update(nobody), None);
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
        let mut tracker = ReachTracker::default();
        rounds.into_iter().all(|Any(round)| {
            tracker.update(round);
            match round {
                Round::Heard => tracker.reach() == Reach::Log,
                Round::Asked { reach_log: 0, .. } => tracker.reach() != Reach::Log,
                Round::Asked { .. } => tracker.reach() == Reach::CutOff,
            }
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 7))
        .tests(300)
        .quickcheck(holds as fn(Vec<Any>) -> bool);
}

/// Three zones with servers, eight owners asked.
fn look(zones_reached: usize, answered: usize, log: bool) -> Look {
    Look {
        zones: 3,
        zones_reached,
        reaches_first: false,
        asked: 8,
        answered,
        log,
    }
}

#[test]
fn a_zone_cut_off_from_the_others_is_a_minority_with_and_without_the_log() {
    for log in [false, true] {
        let mut tracker = ReachTracker::default();
        let cut = look(1, 4, log);
        assert_eq!(
            tracker.update_with(Round::Heard, Some(cut)),
            Some(Reach::Minority)
        );
        assert!(tracker.reach().others_are_better_off());
        assert_eq!(tracker.update_with(Round::Heard, Some(cut)), None);
        let healed = look(3, 8, true);
        assert_eq!(
            tracker.update_with(Round::Heard, Some(healed)),
            Some(Reach::Log)
        );
    }
}

#[test]
fn two_zones_that_lost_the_third_go_on() {
    assert!(!look(2, 5, true).is_minority());
    assert!(!look(2, 5, false).is_minority());
}

#[test]
fn zones_whose_servers_are_down_are_not_cut_off_while_their_daemons_answer() {
    assert!(!look(1, 7, true).is_minority());
    assert!(!look(1, 8, false).is_minority());
}

#[test]
fn a_third_of_the_fleet_cut_off_is_a_minority_and_the_rest_is_none() {
    assert!(look(3, 2, false).is_minority());
    assert!(!look(3, 2, true).is_minority());
    assert!(!look(3, 5, false).is_minority());
    let mut tracker = ReachTracker::default();
    let cut = look(3, 2, false);
    assert_eq!(
        tracker.update_with(asked(1, 0), Some(cut)),
        Some(Reach::Minority)
    );
    // One of those that answer has the log.
    assert_eq!(
        tracker.update_with(asked(1, 1), Some(cut)),
        Some(Reach::CutOff)
    );
}

#[test]
fn an_outage_with_one_owner_lost_is_no_minority() {
    let mut tracker = ReachTracker::default();
    let round = tracker.update_with(asked(3, 0), Some(look(3, 7, false)));
    assert_eq!(round, Some(Reach::Outage));
}

/// However the zones are parted in two, one part goes on and the other gives way, whether
/// they have the log or not.
#[test]
fn of_two_parts_one_goes_on() {
    for zones in 2..9_u32 {
        for parts in 1..(1_u32 << zones) - 1 {
            let side = |mine: u32| Look {
                zones: zones as usize,
                zones_reached: mine.count_ones() as usize,
                reaches_first: mine & 1 == 1,
                asked: 8,
                answered: 4,
                log: true,
            };
            let other = (1 << zones) - 1 - parts;
            assert_ne!(side(parts).is_minority(), side(other).is_minority());
        }
    }
}

#[test]
fn a_sample_of_owners_that_answers_a_little_better_ends_no_minority() {
    let mut tracker = ReachTracker::default();
    tracker.update_with(Round::Heard, Some(look(3, 3, false)));
    assert_eq!(tracker.reach(), Reach::Minority);
    assert_eq!(
        tracker.update_with(asked(1, 0), Some(look(3, 4, false))),
        None
    );
    let outage = tracker.update_with(asked(3, 0), Some(look(3, 6, false)));
    assert_eq!(outage, Some(Reach::Outage));
    tracker.update_with(asked(1, 0), Some(look(3, 3, false)));
    let regained = tracker.update_with(Round::Heard, Some(look(3, 4, true)));
    assert_eq!(regained, Some(Reach::Log));
}
