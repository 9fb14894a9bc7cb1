//! Enforces the limits of tenants and admits their programs, at the owner of the tenant's
//! partition, which is called the owner of the limit below.
//!
//! A limit applies to all daemons together and to every window of time. One owner at a time
//! counts the requests of a tenant ([`crate::sliding_window`]). A new owner grants little at
//! first, so that no window that spans the change exceeds the limit.
//!
//! A program is useful only if it completes, so near the limit running programs take precedence
//! over new ones. Each tenant has a token bucket that fills at the tenant's rate. A program that
//! starts is charged with its expected cost, the number of requests that earlier programs of the
//! route needed. A program for which the bucket does not hold enough is refused at its first
//! turn. The design and its alternatives are in docs/design/tenants.md.

use crate::sliding_window::{Bounds, PriorGrants, SlidingWindow};
use crate::tenants::Limit;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Expected cost of a program, in requests, until programs of its route have ended. It lies
/// between the short and the long programs of the measured deployments (8 and 40).
const INITIAL_COST: f64 = 12.0;
/// Weight of an ended program in the moving average cost of its route.
const COST_WEIGHT: f64 = 0.1;
/// A program that has sent nothing for this long counts as ended, in milliseconds. It covers the
/// longest pause between turns and one slow turn.
const PROGRAM_TIMEOUT_MS: u64 = 4_000;
/// Interval at which ended programs are removed, in milliseconds.
const SWEEP_MS: u64 = 500;

/// A request for quota, sent to the owner of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest<'a> {
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Limit of the tenant, as known to the requesting daemon.
    pub limit: Limit,
    /// Version of the configuration that contains the limit.
    pub version: u64,
    /// Program of the request.
    pub program: Option<&'a str>,
    /// Route of the request.
    pub route: &'a str,
    /// The request is the first of its program.
    pub starts_program: bool,
    /// How long the requester would wait, in milliseconds. If the request can be granted within
    /// this time, the requester asks again then. Otherwise it gives up.
    pub max_wait_ms: u64,
    /// Number of requests that have to remain available for more urgent ones. Unrelated to the
    /// reservations of waiting requesters.
    pub reserved: u32,
}

/// Decision of the owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// The request may be sent.
    Granted {
        /// Fraction of the limit in use, from 0 to 1.
        used: f64,
    },
    /// The request may not be sent now.
    Refused {
        /// When it could be sent, in milliseconds from now. The quota is reserved for the
        /// requester until then if this is within its `max_wait_ms`.
        retry_after_ms: u64,
    },
}

struct Account {
    version: u64,
    window: SlidingWindow,
    /// Token bucket from which starting programs are charged, in requests.
    program_tokens: f64,
    tokens_at_ms: u64,
    /// When waiting requesters will ask again, the earliest first. Requesters that gave up are
    /// not included, because a reservation for them would take quota from later ones. In a test
    /// with a limit of 20 per second and 200 simultaneous requesters that wait up to 2 s,
    /// reservations for those that gave up caused 20 of 80 later requests at half the limit to be
    /// refused. Without these reservations, none were (`tests/quota_waits.rs`).
    reservations: VecDeque<u64>,
}

struct Program {
    /// Hash of the route on which the program started, if this owner granted its first request.
    start_route: Option<u64>,
    requests: u32,
    last_request_ms: u64,
    /// Its last request was refused, or its client disconnected during the request.
    is_interrupted: bool,
    /// Requests that the program was charged with when it started.
    charged: f64,
    /// Part of the charge that was refunded when its client disconnected.
    refunded: f64,
}

/// What is known of the grants of previous owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousGrants {
    /// There was no previous owner.
    None,
    /// There was a previous owner, and its grants are unknown.
    Lost,
}

/// Quota accounts of the tenants that one owner counts for.
pub struct QuotaTracker {
    bounds: Bounds,
    prior_grants: PriorGrants,
    accounts: HashMap<Rc<str>, Account>,
    programs: HashMap<u64, Program>,
    route_costs: HashMap<u64, f64>,
    last_sweep_ms: u64,
}

impl Account {
    fn new(
        request: &AdmissionRequest<'_>,
        bounds: &Bounds,
        prior_grants: PriorGrants,
        now_ms: u64,
    ) -> Self {
        Self {
            version: request.version,
            window: SlidingWindow::new(*bounds, request.limit, prior_grants),
            program_tokens: bucket_capacity(&request.limit, bounds),
            tokens_at_ms: now_ms,
            reservations: VecDeque::new(),
        }
    }

    fn refill(&mut self, bounds: &Bounds, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.tokens_at_ms) as f64 / 1_000.0;
        let limit = self.window.limit();
        let gained = elapsed_s * limit.rate_per_s;
        self.program_tokens = (self.program_tokens + gained).min(bucket_capacity(&limit, bounds));
        self.tokens_at_ms = self.tokens_at_ms.max(now_ms);
        while self
            .reservations
            .front()
            .is_some_and(|due_ms| *due_ms <= now_ms)
        {
            self.reservations.pop_front();
        }
    }

    /// Applies the limit of a newer configuration.
    fn update_limit(&mut self, request: &AdmissionRequest<'_>, bounds: &Bounds, now_ms: u64) {
        if request.version <= self.version {
            return;
        }
        self.version = request.version;
        if request.limit != self.window.limit() {
            self.window.set_limit(request.limit, now_ms);
        }
        self.program_tokens = self
            .program_tokens
            .min(bucket_capacity(&request.limit, bounds));
    }

    /// Returns tokens to the bucket, up to its capacity.
    fn refund(&mut self, requests: f64, bounds: &Bounds) {
        let capacity = bucket_capacity(&self.window.limit(), bounds);
        self.program_tokens = (self.program_tokens + requests).min(capacity);
    }

    fn try_grant(&mut self, request: &AdmissionRequest<'_>, now_ms: u64) -> QuotaDecision {
        if self.window.available(now_ms) >= f64::from(1 + request.reserved) {
            self.window.add(1, now_ms);
            return QuotaDecision::Granted {
                used: self.window.usage(now_ms),
            };
        }
        let reserved_before = self.reservations.len() as u32;
        let retry_after_ms = self
            .window
            .wait_ms(reserved_before + 1 + request.reserved, now_ms);
        if retry_after_ms <= request.max_wait_ms {
            self.reservations.push_back(now_ms + retry_after_ms);
        }
        QuotaDecision::Refused { retry_after_ms }
    }
}

/// Returns the capacity of a tenant's token bucket, in requests. It is what the limit allows in a
/// window, because limits are measured over windows.
fn bucket_capacity(limit: &Limit, bounds: &Bounds) -> f64 {
    limit.burst + limit.rate_per_s * bounds.window_ms as f64 / 1_000.0
}

impl QuotaTracker {
    /// Creates the accounts of an owner that starts at `now_ms`.
    pub fn new(bounds: Bounds, previous: PreviousGrants, now_ms: u64) -> Self {
        let prior_grants = match previous {
            PreviousGrants::None => PriorGrants::None,
            PreviousGrants::Lost => PriorGrants::Unknown { since_ms: now_ms },
        };
        Self {
            bounds,
            prior_grants,
            accounts: HashMap::new(),
            programs: HashMap::new(),
            route_costs: HashMap::new(),
            last_sweep_ms: now_ms,
        }
    }

    /// Iterates over the tenants and the fraction of its limit that each uses, from 0 to 1.
    pub fn usage(&mut self, now_ms: u64) -> impl Iterator<Item = (Rc<str>, f64)> {
        let accounts = self.accounts.iter_mut();
        accounts.map(move |(name, account)| (name.clone(), account.window.usage(now_ms)))
    }

    /// Returns the fraction of its limit that a tenant uses, from 0 to 1.
    pub fn usage_of(&mut self, tenant: &str, now_ms: u64) -> f64 {
        let account = self.accounts.get_mut(tenant);
        account.map_or(0.0, |account| account.window.usage(now_ms))
    }

    /// Decides whether a request may be sent, and counts it if so.
    pub fn decide(&mut self, request: &AdmissionRequest<'_>, now_ms: u64) -> QuotaDecision {
        self.sweep(now_ms);
        let bounds = self.bounds;
        let cost = self.start_cost(request);
        let prior_grants = self.prior_grants;
        let account = self
            .accounts
            .entry(Rc::from(request.tenant))
            .or_insert_with(|| Account::new(request, &bounds, prior_grants, now_ms));
        account.refill(&bounds, now_ms);
        account.update_limit(request, &bounds, now_ms);
        let limit = account.window.limit();
        // A program that costs more than the bucket's capacity may start when the bucket is full.
        let cost = cost.min(bucket_capacity(&limit, &bounds));
        // The bucket may be negative, because a program that continues after a refund is charged
        // again.
        if cost > account.program_tokens.max(0.0) {
            let missing_s = (cost - account.program_tokens) / limit.rate_per_s;
            return QuotaDecision::Refused {
                retry_after_ms: (missing_s * 1_000.0).ceil() as u64,
            };
        }
        let decision = account.try_grant(request, now_ms);
        match decision {
            QuotaDecision::Granted { .. } => {
                account.program_tokens -= cost;
                self.record_grant(request, cost, now_ms);
            }
            // The program ends with this refusal, unless the request waits and is granted later.
            QuotaDecision::Refused { .. } => self.mark_interrupted(request.tenant, request.program),
        }
        decision
    }

    /// Records that the client disconnected during the last request of a program.
    ///
    /// The part of the charge that the program has not used is refunded. Without the refund, only
    /// 25 of 75 programs of a tenant below its limit could start while one program per second was
    /// abandoned by its client. With it, all could (`tests/quota_programs.rs`). A program that
    /// continues after all is charged again.
    pub fn record_disconnect(&mut self, tenant: &str, program: Option<&str>, now_ms: u64) {
        self.sweep(now_ms);
        self.mark_interrupted(tenant, program);
        let key = program_key(tenant, program);
        let program = key.and_then(|key| self.programs.get_mut(&key));
        let account = self.accounts.get_mut(tenant);
        if let (Some(program), Some(account)) = (program, account) {
            let used = f64::from(program.requests) + program.refunded;
            let unused = (program.charged - used).max(0.0);
            program.refunded += unused;
            account.refund(unused, &self.bounds);
        }
    }

    /// Marks a program as interrupted. A later grant clears the mark.
    fn mark_interrupted(&mut self, tenant: &str, program: Option<&str>) {
        let key = program_key(tenant, program);
        if let Some(program) = key.and_then(|key| self.programs.get_mut(&key)) {
            program.is_interrupted = true;
        }
    }

    /// Returns the expected cost of a program that starts with this request, or 0 for a running
    /// program.
    fn start_cost(&self, request: &AdmissionRequest<'_>) -> f64 {
        if !request.starts_program {
            return 0.0;
        }
        let key = program_key(request.tenant, request.program);
        let is_known = key.is_some_and(|key| self.programs.contains_key(&key));
        if is_known {
            return 0.0;
        }
        let cost = self.route_costs.get(&route_key(request));
        cost.copied().unwrap_or(INITIAL_COST)
    }

    /// Counts a granted request for its program. `charged` is what the program was charged with
    /// if it starts.
    fn record_grant(&mut self, request: &AdmissionRequest<'_>, charged: f64, now_ms: u64) {
        let Some(key) = program_key(request.tenant, request.program) else {
            return;
        };
        let start_route = request.starts_program.then(|| route_key(request));
        let program = self.programs.entry(key).or_insert(Program {
            start_route,
            requests: 0,
            last_request_ms: now_ms,
            is_interrupted: false,
            charged,
            refunded: 0.0,
        });
        program.requests += 1;
        program.last_request_ms = now_ms;
        program.is_interrupted = false;
        // The program continues after its client disconnected, so the refund is charged again.
        let recharge = std::mem::take(&mut program.refunded);
        if let Some(account) = self.accounts.get_mut(request.tenant) {
            account.program_tokens -= recharge;
        }
    }

    /// Removes ended programs and updates the average cost of their routes.
    ///
    /// An interrupted program would have needed more requests than it sent, so it may raise the
    /// average but never lower it. If interrupted programs lowered the average, more programs would
    /// start than the rate can sustain, and these would be interrupted in turn. For a tenant that
    /// sends twice its limit of 20 per second for ten minutes in programs of 40 requests, 256
    /// programs would complete and 168 would be refused midway, against 297 and 21 with this rule.
    /// After a minute in which clients disconnect after their first turn, 40 programs would start
    /// where the rate sustains 3; with this rule, 3 start (`tests/quota_programs.rs`).
    fn sweep(&mut self, now_ms: u64) {
        if now_ms < self.last_sweep_ms + SWEEP_MS {
            return;
        }
        self.last_sweep_ms = now_ms;
        let route_costs = &mut self.route_costs;
        self.programs.retain(|_, program| {
            let has_ended = now_ms >= program.last_request_ms + PROGRAM_TIMEOUT_MS;
            if has_ended && let Some(route) = program.start_route {
                let cost = route_costs.entry(route).or_insert(INITIAL_COST);
                let excess = f64::from(program.requests) - *cost;
                if excess > 0.0 || !program.is_interrupted {
                    *cost += excess * COST_WEIGHT;
                }
            }
            !has_ended
        });
    }
}

fn program_key(tenant: &str, program: Option<&str>) -> Option<u64> {
    let tenant = xxh3_64_with_seed(tenant.as_bytes(), 0);
    Some(xxh3_64_with_seed(program?.as_bytes(), tenant))
}

fn route_key(request: &AdmissionRequest<'_>) -> u64 {
    xxh3_64_with_seed(request.route.as_bytes(), 0)
}
