//! Property test: the request rate of a cold server stays within its limit while the partition whose
//! owner grants the permits changes owners. The rate is checked by a plain count of the requests in
//! every second. Owners may be lost, paused, cut off from the log, or wrongly consider themselves
//! the owner, and daemons may ask any of them.

use fieldhook_log::lease::{Lease, State};
use fieldhook_traffic::cold::{PERMIT_BOUNDS, PERMIT_VALIDITY_MS, permit_request};
use fieldhook_traffic::quota::{PreviousGrants, QuotaDecision, QuotaTracker};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SECOND_MS: u64 = 1_000;
const RATES: [f64; 3] = [2.0, 20.0, 100.0];

/// A protection that is disabled, to show that the check detects its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DisabledProtection {
    None,
    /// New owners act at once, as if there had been no previous owner.
    NoHandoverDelay,
    /// An owner that was confirmed once keeps acting without a lease.
    NoLease,
    /// Requests are sent even if their permit arrives after it has expired.
    ExpiredPermits,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// Asks one of the owners for `requests` permits. The reply arrives after `takes_ms`.
    Ask {
        owner: u8,
        requests: u8,
        takes_ms: u64,
    },
    /// An owner asks the log to confirm it, with these latencies to the log and back.
    Confirm {
        owner: u8,
        request_ms: u64,
        reply_ms: u64,
    },
    /// A new owner claims the partition while previous owners may still be active.
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
                takes_ms: reply_time(g),
            },
            7..=9 => Self::Confirm {
                owner,
                request_ms: delay(g),
                reply_ms: delay(g),
            },
            10 => Self::Claim,
            _ => Self::Wait(u64::arbitrary(g) % 120),
        }
    }
}

/// Mostly shorter than the validity of a permit, sometimes longer, as if the daemon was paused.
fn reply_time(g: &mut Gen) -> u64 {
    match u8::arbitrary(g) % 4 {
        0 => u64::arbitrary(g) % 1_500,
        _ => u64::arbitrary(g) % PERMIT_VALIDITY_MS,
    }
}

/// Mostly short, sometimes longer than the lease of an owner.
fn delay(g: &mut Gen) -> u64 {
    match u8::arbitrary(g) % 4 {
        0 => u64::arbitrary(g) % 600,
        _ => u64::arbitrary(g) % 20,
    }
}

struct Owner {
    epoch: u64,
    lease: Lease,
    tracker: Option<QuotaTracker>,
}

/// A call to the log in progress: it reaches the log, then the reply reaches the owner.
struct Call {
    owner: usize,
    started_ms: u64,
    at_log_ms: u64,
    replied_ms: u64,
    /// Whether the log accepted the call, once it has reached the log.
    is_accepted: Option<bool>,
}

struct World {
    disabled: DisabledProtection,
    rate_per_s: f64,
    now_ms: u64,
    /// The highest epoch that the log has seen.
    fence: u64,
    /// All owners so far; the newest is last.
    owners: Vec<Owner>,
    calls: Vec<Call>,
    sent: Vec<u64>,
}

impl World {
    fn new(rate_per_s: f64, disabled: DisabledProtection) -> Self {
        let mut world = Self {
            disabled,
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
        let has_previous_owner = epoch > 1 && self.disabled != DisabledProtection::NoHandoverDelay;
        self.owners.push(Owner {
            epoch,
            lease: Lease::new(epoch, has_previous_owner),
            tracker: None,
        });
    }

    /// Returns the index of an owner that is counted from the newest.
    fn index(&self, owner: u8) -> usize {
        self.owners.len() - 1 - usize::from(owner) % self.owners.len()
    }

    fn ask(&mut self, owner: u8, requests: u8, takes_ms: u64) {
        let index = self.index(owner);
        let (now_ms, disabled) = (self.now_ms, self.disabled);
        let owner = &mut self.owners[index];
        let state = owner.lease.state(now_ms);
        let was_confirmed = owner.tracker.is_some() && disabled == DisabledProtection::NoLease;
        if !matches!(state, State::Held { .. }) && !was_confirmed {
            return;
        }
        let previous_owner =
            match owner.epoch == 1 || disabled == DisabledProtection::NoHandoverDelay {
                true => PreviousGrants::None,
                false => PreviousGrants::Lost,
            };
        let tracker = owner
            .tracker
            .get_or_insert_with(|| QuotaTracker::new(PERMIT_BOUNDS, previous_owner, now_ms));
        for number in 0..requests {
            let request = permit_request("s", self.rate_per_s, 1, number % 2);
            let is_expired =
                takes_ms >= PERMIT_VALIDITY_MS && disabled != DisabledProtection::ExpiredPermits;
            if let QuotaDecision::Granted { .. } = tracker.decide(&request, now_ms)
                && !is_expired
            {
                self.sent.push(now_ms + takes_ms);
            }
        }
    }

    fn confirm(&mut self, owner: u8, request_ms: u64, reply_ms: u64) {
        let at_log_ms = self.now_ms + request_ms;
        self.calls.push(Call {
            owner: self.index(owner),
            started_ms: self.now_ms,
            at_log_ms,
            replied_ms: at_log_ms + reply_ms,
            is_accepted: None,
        });
    }

    fn wait(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now_ms += 1;
            self.advance_calls();
        }
    }

    fn advance_calls(&mut self) {
        let now_ms = self.now_ms;
        for call in &mut self.calls {
            let owner = &mut self.owners[call.owner];
            if call.is_accepted.is_none() && call.at_log_ms <= now_ms {
                call.is_accepted = Some(owner.epoch >= self.fence);
                self.fence = self.fence.max(owner.epoch);
            }
            if call.replied_ms <= now_ms && call.is_accepted == Some(true) {
                owner.lease.confirm(call.started_ms, now_ms);
            }
        }
        self.calls.retain(|call| call.replied_ms > now_ms);
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
                request_ms,
                reply_ms,
            } => self.confirm(owner, request_ms, reply_ms),
            Step::Claim => self.claim(),
            Step::Wait(ms) => self.wait(ms),
        }
    }

    /// Returns the maximum number of requests sent within one second.
    fn max_per_second(&mut self) -> usize {
        self.sent.sort_unstable();
        let windows = self.sent.iter().enumerate();
        let counts = windows.map(|(first, from_ms)| {
            let rest = &self.sent[first..];
            rest.partition_point(|sent| *sent < from_ms + SECOND_MS)
        });
        counts.max().unwrap_or(0)
    }
}

/// Returns whether no second has more requests than the limit of the cold server.
fn stays_within_limit(steps: &[Step], disabled: DisabledProtection) -> bool {
    RATES.into_iter().all(|rate_per_s| {
        let mut world = World::new(rate_per_s, disabled);
        steps.iter().for_each(|step| world.step(*step));
        world.max_per_second() as f64 <= rate_per_s
    })
}

#[test]
fn rate_of_a_cold_server_stays_within_its_limit_over_owner_changes() {
    fn holds(steps: Vec<Step>) -> bool {
        stays_within_limit(&steps, DisabledProtection::None)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 23))
        .tests(600)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// Runs the steps that the property test generates until one sequence exceeds the limit.
fn is_detected(disabled: DisabledProtection) -> bool {
    let mut gen_ = Gen::from_size_and_seed(400, 23);
    (0..600).any(|_| !stays_within_limit(&Vec::<Step>::arbitrary(&mut gen_), disabled))
}

#[test]
fn check_detects_each_disabled_protection() {
    for disabled in [
        DisabledProtection::NoHandoverDelay,
        DisabledProtection::NoLease,
        DisabledProtection::ExpiredPermits,
    ] {
        assert!(is_detected(disabled), "{disabled:?}");
    }
}

#[test]
fn steady_owner_grants_most_of_the_limit() {
    let mut world = World::new(20.0, DisabledProtection::None);
    for _ in 0..100 {
        world.confirm(0, 3, 3);
        world.wait(100);
        world.ask(0, 10, 2);
    }
    let sent_per_s = world.sent.len() as f64 / 10.0;
    assert!((13.0..=20.0).contains(&sent_per_s), "{sent_per_s}");
}
