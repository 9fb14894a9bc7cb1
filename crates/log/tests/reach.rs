//! How a daemon that the log does not answer distinguishes an outage from a lost connection.

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
fn log_that_answers_others_means_cut_off() {
    let mut tracker = ReachTracker::default();
    assert_eq!(tracker.update(Round::Heard), None);
    assert_eq!(tracker.update(asked(3, 0)), Some(Reach::Outage));
    assert_eq!(tracker.update(asked(2, 1)), Some(Reach::CutOff));
    assert_eq!(tracker.update(Round::Heard), Some(Reach::Log));
}

#[test]
fn two_unanswered_rounds_mean_isolated() {
    let mut tracker = ReachTracker::default();
    assert_eq!(tracker.update(asked(0, 0)), Some(Reach::Outage));
    assert_eq!(tracker.update(asked(0, 0)), Some(Reach::Isolated));
    assert_eq!(tracker.update(asked(0, 0)), None);
    assert_eq!(tracker.update(asked(1, 0)), Some(Reach::Outage));
}

#[test]
fn daemon_without_peers_is_not_isolated() {
    let mut tracker = ReachTracker::default();
    let no_peers = Round::Asked {
        asked: 0,
        answered: 0,
        reach_log: 0,
    };
    assert_eq!(tracker.update(no_peers), Some(Reach::Outage));
    assert_eq!(tracker.update(no_peers), None);
}

#[derive(Clone, Copy, Debug)]
struct AnyRound(Round);

impl Arbitrary for AnyRound {
    fn arbitrary(g: &mut Gen) -> Self {
        let answered = usize::arbitrary(g) % 4;
        match bool::arbitrary(g) {
            true => Self(Round::Heard),
            false => Self(asked(answered, usize::arbitrary(g) % (answered + 1))),
        }
    }
}

/// Only the last round decides whether other daemons are known to reach the log, and an answer of
/// the log itself is always decisive.
#[test]
fn reach_follows_the_last_round() {
    fn reach_matches_last_round(rounds: Vec<AnyRound>) -> bool {
        let mut tracker = ReachTracker::default();
        rounds.into_iter().all(|AnyRound(round)| {
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
        .quickcheck(reach_matches_last_round as fn(Vec<AnyRound>) -> bool);
}

/// Three zones with servers, and eight owners that were asked.
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
fn cut_off_zone_is_a_minority_with_and_without_the_log() {
    for log in [false, true] {
        let mut tracker = ReachTracker::default();
        let cut = look(1, 4, log);
        assert_eq!(
            tracker.update_with(Round::Heard, Some(cut)),
            Some(Reach::Minority)
        );
        assert!(tracker.reach().should_redirect_clients());
        assert_eq!(tracker.update_with(Round::Heard, Some(cut)), None);
        let healed = look(3, 8, true);
        assert_eq!(
            tracker.update_with(Round::Heard, Some(healed)),
            Some(Reach::Log)
        );
    }
}

#[test]
fn two_of_three_zones_are_no_minority() {
    assert!(!look(2, 5, true).is_minority());
    assert!(!look(2, 5, false).is_minority());
}

#[test]
fn zones_without_servers_are_not_cut_off_while_their_daemons_answer() {
    assert!(!look(1, 7, true).is_minority());
    assert!(!look(1, 8, false).is_minority());
}

#[test]
fn cut_off_third_of_the_fleet_is_a_minority_and_the_rest_is_not() {
    assert!(look(3, 2, false).is_minority());
    assert!(!look(3, 2, true).is_minority());
    assert!(!look(3, 5, false).is_minority());
    let mut tracker = ReachTracker::default();
    let cut = look(3, 2, false);
    assert_eq!(
        tracker.update_with(asked(1, 0), Some(cut)),
        Some(Reach::Minority)
    );
    // One of the daemons that answer has the log.
    assert_eq!(
        tracker.update_with(asked(1, 1), Some(cut)),
        Some(Reach::CutOff)
    );
}

#[test]
fn outage_with_one_lost_owner_is_no_minority() {
    let mut tracker = ReachTracker::default();
    let round = tracker.update_with(asked(3, 0), Some(look(3, 7, false)));
    assert_eq!(round, Some(Reach::Outage));
}

/// However the zones are split in two, exactly one side continues. It would do harm if both or
/// neither continued. The log answers on both sides.
#[test]
fn exactly_one_of_two_sides_continues() {
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
fn slightly_better_sample_does_not_end_a_minority() {
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
