//! What follows a failed attempt, compared with a reference model.

use fieldhook_traffic::attempt::{AttemptFailure, Attempts, NextStep, TimeLeft};
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

const ENOUGH_TIME: TimeLeft = TimeLeft {
    enough_for_attempt: true,
    enough_for_wait: true,
};

fn holds(failures: Vec<Failure>, kind: usize, max_attempts: u8, for_attempt: bool) -> bool {
    let time = TimeLeft {
        enough_for_attempt: for_attempt,
        enough_for_wait: max_attempts.is_multiple_of(2),
    };
    let kind = KINDS[kind % KINDS.len()];
    let max_attempts = u32::from(max_attempts % 5);
    let mut attempts = Attempts::default();
    let mut ran = 0;
    for Failure(failure) in failures {
        ran += u32::from(failure == AttemptFailure::MayHaveRun);
        match attempts.on_failure(kind, max_attempts, failure, time) {
            NextStep::Wait(_) if !time.enough_for_wait => return false,
            NextStep::Retry | NextStep::Wait(_) => {
                let at_most_once = ran == 0 || kind.is_repeatable();
                let within_attempts = ran < max_attempts.max(1);
                if !at_most_once || !within_attempts || !for_attempt {
                    return false;
                }
            }
            // A refusal tells the client that the request has not run.
            NextStep::Refuse => return ran == 0,
            NextStep::BadGateway => return ran > 0,
        }
    }
    true
}

#[test]
fn unrepeatable_requests_never_run_twice_and_refused_requests_never_run() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 5))
        .tests(5_000)
        .quickcheck(holds as fn(Vec<Failure>, usize, u8, bool) -> bool);
}

#[test]
fn a_full_service_is_not_tried_endlessly() {
    let mut attempts = Attempts::default();
    let tries = (0..100)
        .take_while(|_| {
            attempts.on_failure(RouteKind::Safe, 3, AttemptFailure::NotRun, ENOUGH_TIME)
                == NextStep::Retry
        })
        .count();
    assert!(tries < 10, "{tries} attempts");
}

/// The waits grow, and their number is limited even if the time is not.
#[test]
fn waits_for_a_free_slot_grow_and_end() {
    let mut attempts = Attempts::default();
    let (mut tries, mut waited_ms, mut last) = (0, 0, 0);
    loop {
        tries += 1;
        match attempts.on_failure(RouteKind::Unsafe, 1, AttemptFailure::NotRun, ENOUGH_TIME) {
            NextStep::Retry => {}
            NextStep::Wait(pause_ms) => {
                assert!(pause_ms >= last, "{pause_ms} after {last}");
                last = pause_ms;
                waited_ms += pause_ms;
            }
            step => {
                assert_eq!(step, NextStep::Refuse);
                break;
            }
        }
    }
    assert!(tries <= 28, "{tries} attempts");
    assert!((300..=450).contains(&waited_ms), "waited {waited_ms} ms");
}

#[test]
fn without_time_to_wait_the_request_is_refused() {
    let time = TimeLeft {
        enough_for_attempt: true,
        enough_for_wait: false,
    };
    let mut attempts = Attempts::default();
    assert_eq!(
        attempts.on_no_server(RouteKind::Unsafe, 1, time),
        NextStep::Refuse
    );
    attempts.may_have_run = 1;
    assert_eq!(
        attempts.on_no_server(RouteKind::Unsafe, 1, ENOUGH_TIME),
        NextStep::BadGateway
    );
}
