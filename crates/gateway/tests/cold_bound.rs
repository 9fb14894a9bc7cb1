//! What a cold server gets over changes of owner, against a plain count of every second:
//! owners that are lost, frozen, cut off the log, or believe in themselves beside others, and
//! daemons that ask any of them.

use fieldhook_log::lease::{Lease, State};
use fieldhook_traffic::cold::{PERMIT_BOUNDS, PERMIT_VALIDITY_MS, permit_request};
use fieldhook_traffic::quota::{PreviousOwner, QuotaDecision, QuotaTracker};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SECOND_MS: u64 = 1_000;
const RATES: [f64; 3] = [2.0, 20.0, 100.0];

/// What is taken out, so that the check can show that it would notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sabotage {
    Nothing,
    /// Successors act at once and as if nobody had been before them.
    NoWait,
    /// An owner that was confirmed once acts for ever.
    NoTerm,
    /// Requests are sent however late their permit comes.
    OldPermits,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// So many requests ask one of the owners; the answer takes so long, in milliseconds.
    Ask {
        owner: u8,
        requests: u8,
        takes_ms: u64,
    },
    /// An owner asks the log to confirm it; the way there and back takes so long.
    Confirm {
        owner: u8,
        there_ms: u64,
        back_ms: u64,
    },
    /// Somebody claims, whatever the owners before it do.
    Claim,
    Wait(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let owner = u8::arbitrary(g) % 4;
        match u8::arbitrary(g) % 16 {
            0..=6 => Self::Ask {
                owner,
                requests: u8::arbitrary(g) % 12,
                takes_ms: answer_time(g),
            },
            7..=9 => Self::Confirm {
                owner,
                there_ms: delay(g),
                back_ms: delay(g),
            },
            10 => Self::Claim,
            _ => Self::Wait(u64::arbitrary(g) % 120),
        }
    }
}

/// Mostly in time; at times the daemon was frozen with its permit.
fn answer_time(g: &mut Gen) -> u64 {
    match u8::arbitrary(g) % 4 {
        0 => u64::arbitrary(g) % 1_500,
        _ => u64::arbitrary(g) % PERMIT_VALIDITY_MS,
    }
}

/// Mostly short; at times longer than an owner's term.
fn delay(g: &mut Gen) -> u64 {
    match u8::arbitrary(g) % 4 {
        0 => u64::arbitrary(g) % 600,
        _ => u64::arbitrary(g) % 20,
    }
}

struct Owner {
    epoch: u64,
    lease: Lease,
    book: Option<QuotaTracker>,
}

/// A call of the log on its way: taken there, then answered.
struct Call {
    owner: usize,
    asked_ms: u64,
    at_log_ms: u64,
    answered_ms: u64,
    /// What the log said, once it has.
    is_taken: Option<bool>,
}

struct World {
    sabotage: Sabotage,
    rate_per_s: f64,
    now_ms: u64,
    /// Highest epoch that the log has seen.
    fence: u64,
    /// The newest first, as most daemons know it.
    owners: Vec<Owner>,
    calls: Vec<Call>,
    sent: Vec<u64>,
}

impl World {
    fn new(rate_per_s: f64, sabotage: Sabotage) -> Self {
        let mut world = Self {
            sabotage,
            rate_per_s,
            now_ms: 1_000,
            fence: 0,
            owners: Vec::new(),
            calls: Vec::new(),
            sent: Vec::new(),
        };
        world.claim();
        world
    }

    fn claim(&mut self) {
        let epoch = self.owners.len() as u64 + 1;
        let has_former = epoch > 1 && self.sabotage != Sabotage::NoWait;
        self.owners.push(Owner {
            epoch,
            lease: Lease::new(epoch, has_former),
            book: None,
        });
    }

    /// Counted from the newest.
    fn index(&self, owner: u8) -> usize {
        self.owners.len() - 1 - usize::from(owner) % self.owners.len()
    }

    fn ask(&mut self, owner: u8, requests: u8, takes_ms: u64) {
        let index = self.index(owner);
        let (now_ms, sabotage) = (self.now_ms, self.sabotage);
        let owner = &mut self.owners[index];
        let state = owner.lease.state(now_ms);
        let was_confirmed = owner.book.is_some() && sabotage == Sabotage::NoTerm;
        if !matches!(state, State::Held { .. }) && !was_confirmed {
            return;
        }
        let former = match owner.epoch == 1 || sabotage == Sabotage::NoWait {
            true => PreviousOwner::None,
            false => PreviousOwner::Lost,
        };
        let book = owner
            .book
            .get_or_insert_with(|| QuotaTracker::new(PERMIT_BOUNDS, former, now_ms));
        for rank in 0..requests {
            let question = permit_request("s", self.rate_per_s, 1, rank % 2);
            let is_void = takes_ms >= PERMIT_VALIDITY_MS && sabotage != Sabotage::OldPermits;
            if let QuotaDecision::Granted { .. } = book.decide(&question, now_ms)
                && !is_void
            {
                self.sent.push(now_ms + takes_ms);
            }
        }
    }

    fn confirm(&mut self, owner: u8, there_ms: u64, back_ms: u64) {
        let at_log_ms = self.now_ms + there_ms;
        self.calls.push(Call {
            owner: self.index(owner),
            asked_ms: self.now_ms,
            at_log_ms,
            answered_ms: at_log_ms + back_ms,
            is_taken: None,
        });
    }

    fn wait(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now_ms += 1;
            self.move_calls();
        }
    }

    fn move_calls(&mut self) {
        let now_ms = self.now_ms;
        for call in &mut self.calls {
            let owner = &mut self.owners[call.owner];
            if call.is_taken.is_none() && call.at_log_ms <= now_ms {
                call.is_taken = Some(owner.epoch >= self.fence);
                self.fence = self.fence.max(owner.epoch);
            }
            if call.answered_ms <= now_ms && call.is_taken == Some(true) {
                owner.lease.confirm(call.asked_ms, now_ms);
            }
        }
        self.calls.retain(|call| call.answered_ms > now_ms);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Ask {
                owner,
                requests,
                takes_ms,
            } => self.ask(owner, requests, takes_ms),
            Step::Confirm {
                owner,
                there_ms,
                back_ms,
            } => self.confirm(owner, there_ms, back_ms),
            Step::Claim => self.claim(),
            Step::Wait(ms) => self.wait(ms),
        }
    }

    /// The most requests that one second holds.
    fn most(&mut self) -> usize {
        self.sent.sort_unstable();
        let windows = self.sent.iter().enumerate();
        let counts = windows.map(|(first, from_ms)| {
            let rest = &self.sent[first..];
            rest.partition_point(|sent| *sent < from_ms + SECOND_MS)
        });
        counts.max().unwrap_or(0)
    }
}

/// Whether no second holds more than what a cold server bears.
fn play(steps: &[Step], sabotage: Sabotage) -> bool {
    RATES.into_iter().all(|rate_per_s| {
        let mut world = World::new(rate_per_s, sabotage);
        steps.iter().for_each(|step| world.step(*step));
        world.most() as f64 <= rate_per_s
    })
}

#[test]
fn no_second_holds_more_than_a_cold_server_bears_over_changes_of_owner() {
    fn holds(steps: Vec<Step>) -> bool {
        play(&steps, Sabotage::Nothing)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 23))
        .tests(600)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// Steps as the property gets them, until one set of them breaks the bound.
fn is_noticed(sabotage: Sabotage) -> bool {
    let mut gen_ = Gen::from_size_and_seed(400, 23);
    (0..600).any(|_| !play(&Vec::<Step>::arbitrary(&mut gen_), sabotage))
}

#[test]
fn the_count_of_seconds_notices_what_is_taken_out() {
    for sabotage in [Sabotage::NoWait, Sabotage::NoTerm, Sabotage::OldPermits] {
        assert!(is_noticed(sabotage), "{sabotage:?}");
    }
}

#[test]
fn an_owner_that_is_asked_all_the_time_lets_through_most_of_what_the_server_bears() {
    let mut world = World::new(20.0, Sabotage::Nothing);
    for _ in 0..100 {
        world.confirm(0, 3, 3);
        world.wait(100);
        world.ask(0, 10, 2);
    }
    let sent_per_s = world.sent.len() as f64 / 10.0;
    assert!((13.0..=20.0).contains(&sent_per_s), "{sent_per_s}");
}
