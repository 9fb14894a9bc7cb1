//! What may follow a failed attempt, against a plain oracle.

use fieldhook_traffic::attempt::{AttemptFailure, Attempts, NextStep};
use fieldhook_traffic::config::RouteKind;
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Clone, Copy, Debug)]
struct Failure(AttemptFailure);

impl Arbitrary for Failure {
    fn arbitrary(g: &mut Gen) -> Self {
        let all = [
            AttemptFailure::NotSent,
            AttemptFailure::NotRun,
            AttemptFailure::MayHaveRun,
        ];
        Self(*g.choose(&all).unwrap_or(&AttemptFailure::NotSent))
    }
}

const KINDS: [RouteKind; 4] = [
    RouteKind::Safe,
    RouteKind::Unsafe,
    RouteKind::Stream { resumable: false },
    RouteKind::Stream { resumable: true },
];

fn holds(failures: Vec<Failure>, kind: usize, most: u8, time_left: bool) -> bool {
    let kind = KINDS[kind % KINDS.len()];
    let most = u32::from(most % 5);
    let mut attempts = Attempts::default();
    let mut ran = 0;
    for Failure(failure) in failures {
        ran += u32::from(failure == AttemptFailure::MayHaveRun);
        match attempts.after(kind, most, failure, time_left) {
            NextStep::Retry => {
                let at_most_once = ran == 0 || kind.repeatable();
                let within_attempts = ran < most.max(1);
                if !at_most_once || !within_attempts || !time_left {
                    return false;
                }
            }
            // A promise not to have run has to be true.
            NextStep::Refuse => return ran == 0,
            NextStep::BadGateway => return ran > 0,
        }
    }
    true
}

#[test]
fn nothing_runs_twice_and_refusals_are_true() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 5))
        .tests(5_000)
        .quickcheck(holds as fn(Vec<Failure>, usize, u8, bool) -> bool);
}

#[test]
fn a_full_service_is_not_asked_without_end() {
    let mut attempts = Attempts::default();
    let asked = (0..100)
        .take_while(|_| {
            attempts.after(RouteKind::Safe, 3, AttemptFailure::NotRun, true) == NextStep::Retry
        })
        .count();
    assert!(asked < 10, "asked {asked} times");
}
