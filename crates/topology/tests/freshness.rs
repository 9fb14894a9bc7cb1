//! When a daemon may act on the evacuation records that it knows.

use fieldhook_topology::freshness::Freshness;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const LIMIT_MS: u64 = 5_000;

#[test]
fn records_are_stale_after_a_pause_until_confirmed() {
    let mut freshness = Freshness::new(LIMIT_MS);
    for now_ms in (0..20_000).step_by(250) {
        assert!(!freshness.record_run(now_ms, now_ms));
        assert!(
            !freshness.is_stale(now_ms, now_ms, false),
            "only the log is unavailable"
        );
    }
    // A caller may run before the task that records the pause.
    assert!(freshness.is_stale(22_000, 6_000, false));
    assert!(!freshness.is_stale(22_000, 4_000, false), "recent enough");
    assert!(freshness.record_run(22_000, 6_000));
    assert!(freshness.is_stale(22_100, 6_100, false));
    // A confirmation from before the pause.
    freshness.record_run(22_250, 2_000);
    assert!(freshness.is_stale(26_000, 5_750, false));
    // A confirmation from after the pause.
    freshness.record_run(22_500, 100);
    for now_ms in (22_750..40_000).step_by(250) {
        freshness.record_run(now_ms, now_ms - 22_400);
        assert!(!freshness.is_stale(now_ms, now_ms - 22_400, false));
    }
}

#[test]
fn accepted_unconfirmed_records_are_stale_only_in_isolation() {
    let mut freshness = Freshness::new(LIMIT_MS);
    freshness.record_run(10_000, 10_000);
    assert!(freshness.is_stale(10_100, 10_100, false));
    freshness.accept_unconfirmed();
    assert!(!freshness.is_stale(10_100, 10_100, false));
    assert!(freshness.is_stale(10_100, 10_100, true), "isolated");
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The process runs on for a short time.
    Runs(u8),
    /// The process is paused for longer than the threshold.
    Paused(u8),
    /// The records are confirmed as of this long ago.
    Confirmed(u8),
    /// Other daemons answered and know no newer records.
    AcceptedUnconfirmed,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = u8::arbitrary(g);
        match u8::arbitrary(g) % 8 {
            0 => Self::Paused(number),
            1 | 2 => Self::Confirmed(number),
            3 => Self::AcceptedUnconfirmed,
            _ => Self::Runs(number),
        }
    }
}

/// Reference model: remembers the end of the last pause until a later confirmation.
#[derive(Default)]
struct Oracle {
    now_ms: u64,
    confirmed_ms: u64,
    paused_until_ms: Option<u64>,
}

impl Oracle {
    fn age_ms(&self) -> u64 {
        self.now_ms - self.confirmed_ms
    }

    fn is_stale(&self, is_isolated: bool) -> bool {
        self.age_ms() > LIMIT_MS && (is_isolated || self.paused_until_ms.is_some())
    }
}

fn agrees_with_oracle(events: Vec<Event>) -> bool {
    let mut freshness = Freshness::new(LIMIT_MS);
    let mut oracle = Oracle::default();
    freshness.record_run(0, 0);
    events.into_iter().all(|event| {
        match event {
            Event::Runs(number) => {
                oracle.now_ms += u64::from(number) * 3;
                freshness.record_run(oracle.now_ms, oracle.age_ms());
            }
            Event::Paused(number) => {
                oracle.now_ms += 1_001 + u64::from(number) * 30;
                oracle.paused_until_ms = Some(oracle.now_ms);
                // The pause shows even before it is recorded.
                if freshness.is_stale(oracle.now_ms, oracle.age_ms(), false)
                    != oracle.is_stale(false)
                {
                    return false;
                }
                freshness.record_run(oracle.now_ms, oracle.age_ms());
            }
            Event::Confirmed(number) => {
                let at_ms = oracle.now_ms.saturating_sub(u64::from(number) * 20);
                oracle.confirmed_ms = oracle.confirmed_ms.max(at_ms);
                if oracle.paused_until_ms.is_some_and(|until| at_ms >= until) {
                    oracle.paused_until_ms = None;
                }
                freshness.record_run(oracle.now_ms, oracle.age_ms());
            }
            Event::AcceptedUnconfirmed => {
                oracle.paused_until_ms = None;
                freshness.accept_unconfirmed();
            }
        }
        [true, false].into_iter().all(|is_isolated| {
            let is_stale = freshness.is_stale(oracle.now_ms, oracle.age_ms(), is_isolated);
            is_stale == oracle.is_stale(is_isolated)
        })
    })
}

#[test]
fn staleness_agrees_with_the_oracle() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 11))
        .tests(5_000)
        .quickcheck(agrees_with_oracle as fn(Vec<Event>) -> bool);
}
