//! What tenants may still send, as the owner of their limits counts it.
//!
//! A limit holds over all daemons together and over every window of time, whoever is asked.
//! One owner at a time counts for a tenant ([`crate::sliding_window`]), and a new owner grants so
//! little at first that no window over both holds more than it may.
//!
//! A program is worth something only whole, so near the limit programs under way go before
//! new ones. A bucket that fills at the tenant's rate is charged with the whole of a program
//! when it begins: with as many requests as programs of that route needed before. A program
//! that the rate will not carry to its end is turned away at its first turn.
//! docs/design/tenants.md tells what was weighed.

use crate::sliding_window::{Bounds, PriorGrants, SlidingWindow};
use crate::tenants::Limit;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Requests of a program as long as none of its route was seen: between the short and the
/// long programs of the deployments so far (8 and 40).
const FIRST_COST: f64 = 12.0;
/// Part of a program's count that goes into the mean of its route.
const COST_GAIN: f64 = 0.1;
/// A program that sent nothing for so long is over, in milliseconds: its longest pause
/// between turns and one slow turn.
const PROGRAM_OVER_MS: u64 = 4_000;
/// How often ended programs are looked for, in milliseconds.
const SWEEP_MS: u64 = 500;
/// A question to the owner: may this be sent?
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest<'a> {
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Its limit, as the asking daemon knows it.
    pub limit: Limit,
    /// Version of the configuration that the limit stands in.
    pub version: u64,
    /// Program of the request.
    pub program: Option<&'a str>,
    /// Route of the request.
    pub route: &'a str,
    /// The request is the first of its program.
    pub starts_program: bool,
    /// How long the asker would wait for a place, in milliseconds. It asks again when a place
    /// that comes in this time is there, and is refused where none does.
    pub max_wait_ms: u64,
    /// Requests that must be left for others, more urgent ones.
    pub reserved: u32,
}

/// The owner's answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// The request may be sent.
    Granted {
        /// Part of the limit that is used up now, 0 to 1.
        used: f64,
    },
    /// None may be sent now.
    Refused {
        /// When one could be, in milliseconds from now. A place is kept for the asker until then
        /// if it comes within the asker's patience, and not otherwise.
        retry_after_ms: u64,
    },
}

struct Account {
    version: u64,
    window: SlidingWindow,
    /// Requests that programs may still be admitted for.
    room: f64,
    room_at_ms: u64,
    /// When those who wait were told to ask again, the next one first. Only theirs: a place kept
    /// for an asker that was refused is a place less for those who come after it. 200 askers at
    /// once at a limit of 20 a second, each with a patience of 2 s, had 20 of the 80 refused who
    /// came after them at half of the limit, and none of them since (`tests/quota_waits.rs`).
    promised: VecDeque<u64>,
}

struct Program {
    /// The route that it began on, where this owner saw it begin.
    began_on: Option<u64>,
    requests: u32,
    seen_ms: u64,
    /// Its last request was refused, or its client left in the middle of it.
    is_cut: bool,
    /// Requests that it was charged with when it began.
    charged: f64,
    /// Those of them that it was given back when its client left.
    given_back: f64,
}

/// The owner before this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousOwner {
    /// There was none.
    None,
    /// What it had granted is not known.
    Lost,
}

/// Accounts of the tenants that one owner counts for.
pub struct QuotaTracker {
    bounds: Bounds,
    start: PriorGrants,
    accounts: HashMap<Rc<str>, Account>,
    programs: HashMap<u64, Program>,
    costs: HashMap<u64, f64>,
    swept_ms: u64,
}

impl Account {
    fn new(
        question: &AdmissionRequest<'_>,
        bounds: &Bounds,
        start: PriorGrants,
        now_ms: u64,
    ) -> Self {
        Self {
            version: question.version,
            window: SlidingWindow::new(*bounds, question.limit, start),
            room: most_room(&question.limit, bounds),
            room_at_ms: now_ms,
            promised: VecDeque::new(),
        }
    }

    fn refill(&mut self, bounds: &Bounds, now_ms: u64) {
        let passed_s = now_ms.saturating_sub(self.room_at_ms) as f64 / 1_000.0;
        let limit = self.window.limit();
        let gained = passed_s * limit.rate_per_s;
        self.room = (self.room + gained).min(most_room(&limit, bounds));
        self.room_at_ms = self.room_at_ms.max(now_ms);
        while self
            .promised
            .front()
            .is_some_and(|due_ms| *due_ms <= now_ms)
        {
            self.promised.pop_front();
        }
    }

    /// Limits of a newer configuration hold from now on.
    fn learn(&mut self, question: &AdmissionRequest<'_>, bounds: &Bounds, now_ms: u64) {
        if question.version <= self.version {
            return;
        }
        self.version = question.version;
        if question.limit != self.window.limit() {
            self.window.set_limit(question.limit, now_ms);
        }
        self.room = self.room.min(most_room(&question.limit, bounds));
    }

    /// Programs may be admitted for so many requests more.
    fn give_back(&mut self, requests: f64, bounds: &Bounds) {
        let most = most_room(&self.window.limit(), bounds);
        self.room = (self.room + requests).min(most);
    }

    fn take(&mut self, question: &AdmissionRequest<'_>, now_ms: u64) -> QuotaDecision {
        if self.window.available(now_ms) >= f64::from(1 + question.reserved) {
            self.window.add(1, now_ms);
            return QuotaDecision::Granted {
                used: self.window.usage(now_ms),
            };
        }
        let ahead = self.promised.len() as u32;
        let retry_after_ms = self.window.wait_ms(ahead + 1 + question.reserved, now_ms);
        if retry_after_ms <= question.max_wait_ms {
            self.promised.push_back(now_ms + retry_after_ms);
        }
        QuotaDecision::Refused { retry_after_ms }
    }
}

/// Requests that programs of one tenant may be admitted for at one moment: what a window
/// holds, as limits are judged by windows.
fn most_room(limit: &Limit, bounds: &Bounds) -> f64 {
    limit.burst + limit.rate_per_s * bounds.window_ms as f64 / 1_000.0
}

impl QuotaTracker {
    /// Accounts of an owner that begins at some time.
    pub fn new(bounds: Bounds, former: PreviousOwner, now_ms: u64) -> Self {
        let start = match former {
            PreviousOwner::None => PriorGrants::None,
            PreviousOwner::Lost => PriorGrants::Unknown { since_ms: now_ms },
        };
        Self {
            bounds,
            start,
            accounts: HashMap::new(),
            programs: HashMap::new(),
            costs: HashMap::new(),
            swept_ms: now_ms,
        }
    }

    /// How much of its limit each tenant uses, 0 to 1.
    pub fn usage(&mut self, now_ms: u64) -> impl Iterator<Item = (Rc<str>, f64)> {
        let accounts = self.accounts.iter_mut();
        accounts.map(move |(name, account)| (name.clone(), account.window.usage(now_ms)))
    }

    /// How much of its limit one tenant uses, 0 to 1.
    pub fn usage_of(&mut self, tenant: &str, now_ms: u64) -> f64 {
        let account = self.accounts.get_mut(tenant);
        account.map_or(0.0, |account| account.window.usage(now_ms))
    }

    /// Answers a question.
    pub fn decide(&mut self, question: &AdmissionRequest<'_>, now_ms: u64) -> QuotaDecision {
        self.forget(now_ms);
        let bounds = self.bounds;
        let cost = self.cost_of(question);
        let start = self.start;
        let account = self
            .accounts
            .entry(Rc::from(question.tenant))
            .or_insert_with(|| Account::new(question, &bounds, start, now_ms));
        account.refill(&bounds, now_ms);
        account.learn(question, &bounds, now_ms);
        let limit = account.window.limit();
        // A program larger than the limit ever holds begins where nothing else does.
        let cost = cost.min(most_room(&limit, &bounds));
        // A program that went on after all may have taken more than there was.
        if cost > account.room.max(0.0) {
            let missing_s = (cost - account.room) / limit.rate_per_s;
            return QuotaDecision::Refused {
                retry_after_ms: (missing_s * 1_000.0).ceil() as u64,
            };
        }
        let answer = account.take(question, now_ms);
        match answer {
            QuotaDecision::Granted { .. } => {
                account.room -= cost;
                self.count(question, cost, now_ms);
            }
            // Unless it waits and is granted then, it ends with that.
            QuotaDecision::Refused { .. } => self.cut(question.tenant, question.program),
        }
        answer
    }

    /// The client of a program's last request left in the middle of it. What the program was
    /// charged beyond its requests is given back: kept, it let 25 of 75 programs of a tenant below
    /// its limit begin beside one a second whose client leaves; given back, all of them
    /// (`tests/quota_programs.rs`). Where it goes on it is charged again.
    pub fn record_disconnect(&mut self, tenant: &str, program: Option<&str>, now_ms: u64) {
        self.forget(now_ms);
        self.cut(tenant, program);
        let key = program_key(tenant, program);
        let program = key.and_then(|key| self.programs.get_mut(&key));
        let account = self.accounts.get_mut(tenant);
        if let (Some(program), Some(account)) = (program, account) {
            let used = f64::from(program.requests) + program.given_back;
            let unused = (program.charged - used).max(0.0);
            program.given_back += unused;
            account.give_back(unused, &self.bounds);
        }
    }

    /// Unless it goes on, a program did not end by itself.
    fn cut(&mut self, tenant: &str, program: Option<&str>) {
        let key = program_key(tenant, program);
        if let Some(program) = key.and_then(|key| self.programs.get_mut(&key)) {
            program.is_cut = true;
        }
    }

    /// Requests that a program which begins will need; nothing for one under way.
    fn cost_of(&self, question: &AdmissionRequest<'_>) -> f64 {
        if !question.starts_program {
            return 0.0;
        }
        let key = program_key(question.tenant, question.program);
        let is_known = key.is_some_and(|key| self.programs.contains_key(&key));
        if is_known {
            return 0.0;
        }
        let cost = self.costs.get(&route_key(question));
        cost.copied().unwrap_or(FIRST_COST)
    }

    /// Counts a request that was granted, of a program that is charged so much for its beginning.
    fn count(&mut self, question: &AdmissionRequest<'_>, charged: f64, now_ms: u64) {
        let Some(key) = program_key(question.tenant, question.program) else {
            return;
        };
        let began_on = question.starts_program.then(|| route_key(question));
        let program = self.programs.entry(key).or_insert(Program {
            began_on,
            requests: 0,
            seen_ms: now_ms,
            is_cut: false,
            charged,
            given_back: 0.0,
        });
        program.requests += 1;
        program.seen_ms = now_ms;
        program.is_cut = false;
        // It goes on after all.
        let again = std::mem::take(&mut program.given_back);
        if let Some(account) = self.accounts.get_mut(question.tenant) {
            account.room -= again;
        }
    }

    /// Takes in the counts of programs that are over. One that was cut short needed more than it
    /// had, so it raises the mean of its route and never lowers it: where it lowered it, more
    /// programs began than the rate carries, and these were cut short in their turn. A tenant that
    /// wants twice its limit of 20 a second for ten minutes, in programs of 40 requests, had 256
    /// whole and 168 refused under way, and has 297 and 21; after a minute in which clients left
    /// after their first turn 40 began where 3 are carried, and 3 do (`tests/quota_programs.rs`).
    fn forget(&mut self, now_ms: u64) {
        if now_ms < self.swept_ms + SWEEP_MS {
            return;
        }
        self.swept_ms = now_ms;
        let costs = &mut self.costs;
        self.programs.retain(|_, program| {
            let is_over = now_ms >= program.seen_ms + PROGRAM_OVER_MS;
            if is_over && let Some(route) = program.began_on {
                let cost = costs.entry(route).or_insert(FIRST_COST);
                let beyond = f64::from(program.requests) - *cost;
                if beyond > 0.0 || !program.is_cut {
                    *cost += beyond * COST_GAIN;
                }
            }
            !is_over
        });
    }
}

fn program_key(tenant: &str, program: Option<&str>) -> Option<u64> {
    let tenant = xxh3_64_with_seed(tenant.as_bytes(), 0);
    Some(xxh3_64_with_seed(program?.as_bytes(), tenant))
}

fn route_key(question: &AdmissionRequest<'_>) -> u64 {
    xxh3_64_with_seed(question.route.as_bytes(), 0)
}
