//! When a daemon may act on what it knows of the operator's word.

use fieldhook_topology::freshness::Freshness;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const LIMIT_MS: u64 = 5_000;

#[test]
fn after_a_stop_old_knowledge_waits_for_its_confirmation() {
    let mut belief = Freshness::new(LIMIT_MS);
    for now_ms in (0..20_000).step_by(250) {
        assert!(!belief.record_run(now_ms, now_ms));
        assert!(!belief.is_stale(now_ms, now_ms, false), "an outage");
    }
    // Seen by who runs before the task that notes it.
    assert!(belief.is_stale(22_000, 6_000, false));
    assert!(!belief.is_stale(22_000, 4_000, false), "recent enough");
    assert!(belief.record_run(22_000, 6_000));
    assert!(belief.is_stale(22_100, 6_100, false));
    // An answer from before the stop.
    belief.record_run(22_250, 2_000);
    assert!(belief.is_stale(26_000, 5_750, false));
    // One from behind it.
    belief.record_run(22_500, 100);
    for now_ms in (22_750..40_000).step_by(250) {
        belief.record_run(now_ms, now_ms - 22_400);
        assert!(!belief.is_stale(now_ms, now_ms - 22_400, false));
    }
}

#[test]
fn what_nobody_can_tell_is_no_cause_for_doubt() {
    let mut belief = Freshness::new(LIMIT_MS);
    belief.record_run(10_000, 10_000);
    assert!(belief.is_stale(10_100, 10_100, false));
    belief.accept_unconfirmed();
    assert!(!belief.is_stale(10_100, 10_100, false));
    assert!(belief.is_stale(10_100, 10_100, true), "isolated");
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The process runs on for a moment.
    Runs(u8),
    /// It is stopped.
    Stops(u8),
    /// What is known is confirmed as of so long ago.
    Confirmed(u8),
    /// Others were heard who know no more.
    Settled,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = u8::arbitrary(g);
        match u8::arbitrary(g) % 8 {
            0 => Self::Stops(number),
            1 | 2 => Self::Confirmed(number),
            3 => Self::Settled,
            _ => Self::Runs(number),
        }
    }
}

/// The oracle remembers when it was stopped last, and forgets that once it has heard.
#[derive(Default)]
struct Oracle {
    now_ms: u64,
    confirmed_ms: u64,
    stopped_until_ms: Option<u64>,
}

impl Oracle {
    fn age_ms(&self) -> u64 {
        self.now_ms - self.confirmed_ms
    }

    fn is_doubtful(&self, is_isolated: bool) -> bool {
        self.age_ms() > LIMIT_MS && (is_isolated || self.stopped_until_ms.is_some())
    }
}

fn doubts_like_the_oracle(events: Vec<Event>) -> bool {
    let mut belief = Freshness::new(LIMIT_MS);
    let mut oracle = Oracle::default();
    belief.record_run(0, 0);
    events.into_iter().all(|event| {
        match event {
            Event::Runs(number) => {
                oracle.now_ms += u64::from(number) * 3;
                belief.record_run(oracle.now_ms, oracle.age_ms());
            }
            Event::Stops(number) => {
                oracle.now_ms += 1_001 + u64::from(number) * 30;
                oracle.stopped_until_ms = Some(oracle.now_ms);
                // Whoever looks first after the stop sees it, too.
                if belief.is_stale(oracle.now_ms, oracle.age_ms(), false)
                    != oracle.is_doubtful(false)
                {
                    return false;
                }
                belief.record_run(oracle.now_ms, oracle.age_ms());
            }
            Event::Confirmed(number) => {
                let at_ms = oracle.now_ms.saturating_sub(u64::from(number) * 20);
                oracle.confirmed_ms = oracle.confirmed_ms.max(at_ms);
                if oracle.stopped_until_ms.is_some_and(|until| at_ms >= until) {
                    oracle.stopped_until_ms = None;
                }
                belief.record_run(oracle.now_ms, oracle.age_ms());
            }
            Event::Settled => {
                oracle.stopped_until_ms = None;
                belief.accept_unconfirmed();
            }
        }
        [true, false].into_iter().all(|is_isolated| {
            let doubtful = belief.is_stale(oracle.now_ms, oracle.age_ms(), is_isolated);
            doubtful == oracle.is_doubtful(is_isolated)
        })
    })
}

#[test]
fn doubt_follows_stops_and_confirmations() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 11))
        .tests(5_000)
        .quickcheck(doubts_like_the_oracle as fn(Vec<Event>) -> bool);
}
