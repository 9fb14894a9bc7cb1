//! A rate limiter over a sliding window that a new owner can take over at any time without the
//! previous counts.
//!
//! A window of length `W` may contain `A` requests. If an owner enforced only that, it could
//! grant all `A` at one moment, and a successor without its counts could grant nothing for
//! the whole of `W`. An owner therefore enforces a stricter rule: for every `t` up to `W`, it
//! grants at most `D + R t` requests in the last `t`, where `R` is a fraction of the limit's rate.
//! A successor grants at most `S + R t` in its first `W`. Whatever the changes of owner, a
//! window then contains at most `D + R W` plus `S` for each successor. `D` plus the `S` of
//! `MAX_SUCCESSORS` successors equals `A - R W` (docs/design/tenants.md).

use crate::tenants::Limit;
use std::collections::VecDeque;

/// Fraction of the limit's rate at which quota is regained, also by a successor in its first
/// window. The rate is 1.6 times what tenants send in the measured deployments, so this fraction is
/// enough for them.
const RATE_FRACTION: f64 = 0.75;
/// Number of successors within one window that are provided for. Each gets
/// [`SEED_FRACTION`] of the requests by which a window may exceed the limit. The rest of these
/// requests is part of `D`.
const MAX_SUCCESSORS: f64 = 4.0;
/// Fraction of the requests by which a window may exceed the limit that each successor may grant
/// immediately.
const SEED_FRACTION: f64 = 0.125;
/// Requests are counted in spans of this length, in milliseconds.
const SPAN_MS: u64 = 50;

/// How compliance with limits is measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Length of a window, in milliseconds.
    pub window_ms: u64,
    /// Fraction of a window's limit by which the limit may be exceeded.
    pub overshoot: f64,
    /// Additional number of requests by which the limit may be exceeded.
    pub slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            window_ms: 5_000,
            overshoot: 0.0,
            slack: 0.0,
        }
    }
}

impl Bounds {
    fn window_s(&self) -> f64 {
        self.window_ms as f64 / 1_000.0
    }

    /// Returns the number of requests by which a window may exceed the limit.
    fn excess(&self, limit: &Limit) -> f64 {
        let window_limit = limit.rate_per_s * self.window_s() + limit.burst;
        self.overshoot * window_limit + self.slack
    }

    /// Returns the number of requests that a successor may grant immediately (`S`).
    fn seed(&self, limit: &Limit) -> f64 {
        self.excess(limit) * SEED_FRACTION
    }

    /// Returns the number of requests that may be granted at one moment (`D`). At least one, even
    /// if the limit is smaller.
    fn depth(&self, limit: &Limit) -> f64 {
        let rest = limit.rate_per_s * self.window_s() * (1.0 - RATE_FRACTION) + limit.burst;
        let excess = self.excess(limit) * (1.0 - SEED_FRACTION * MAX_SUCCESSORS);
        (rest + excess).max(1.0)
    }
}

/// What was granted before the window's owner started to count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriorGrants {
    /// Nothing was granted.
    None,
    /// A previous owner granted an unknown number of requests.
    Unknown {
        /// When the current owner took over, in milliseconds.
        since_ms: u64,
    },
}

/// Number of requests granted in one span of time.
#[derive(Clone, Copy, Debug)]
struct Span {
    start_ms: u64,
    requests: u32,
}

impl Span {
    /// Returns when the window no longer contains any of the requests. The last of them may have
    /// been granted at the end of the span.
    fn expires_ms(&self, bounds: &Bounds) -> u64 {
        self.start_ms + SPAN_MS + bounds.window_ms
    }
}

/// A reduction of the limit.
#[derive(Clone, Copy, Debug)]
struct LimitReduction {
    /// The limit before the reduction.
    previous: Limit,
    /// When the limit was reduced, in milliseconds.
    at_ms: u64,
}

/// The requests that were granted in a sliding window, and the limit that applies to them.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    bounds: Bounds,
    prior_grants: PriorGrants,
    limit: Limit,
    /// Requests granted before the reduction count only against the previous limit.
    reduction: Option<LimitReduction>,
    /// Spans within the window, the oldest first.
    spans: VecDeque<Span>,
}

impl SlidingWindow {
    /// Creates an empty window.
    pub fn new(bounds: Bounds, limit: Limit, prior_grants: PriorGrants) -> Self {
        Self {
            bounds,
            prior_grants,
            limit,
            reduction: None,
            spans: VecDeque::new(),
        }
    }

    /// Returns the current limit.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Replaces the limit. A lower limit takes full effect one window later, because requests
    /// granted before the change do not count against it.
    pub fn set_limit(&mut self, limit: Limit, now_ms: u64) {
        let previous = std::mem::replace(&mut self.limit, limit);
        let is_reduced = limit.rate_per_s < previous.rate_per_s || limit.burst < previous.burst;
        self.reduction = is_reduced.then_some(LimitReduction {
            previous,
            at_ms: now_ms,
        });
    }

    /// Returns the number of requests that may be granted now.
    pub fn available(&mut self, now_ms: u64) -> f64 {
        self.drop_expired_spans(now_ms);
        let rules = self.rules(now_ms);
        rules
            .iter()
            .map(|rule| rule.available(&self.bounds, &self.spans, now_ms))
            .fold(f64::INFINITY, f64::min)
    }

    /// Returns the time until the given number of requests may be granted, in milliseconds. At
    /// least 1.
    pub fn wait_ms(&self, requests: u32, now_ms: u64) -> u64 {
        let rules = self.rules(now_ms);
        let until = rules
            .iter()
            .map(|rule| rule.until_ms(&self.bounds, &self.spans, requests))
            .fold(0.0, f64::max);
        (until - now_ms as f64).ceil().max(1.0) as u64
    }

    /// Returns the rules that apply now. After a reduction of the limit, both limits apply.
    fn rules(&self, now_ms: u64) -> Vec<LimitRule> {
        let is_recent = |at_ms: u64| now_ms < at_ms + self.bounds.window_ms;
        let reduction = self
            .reduction
            .filter(|reduction| is_recent(reduction.at_ms));
        let current = LimitRule {
            limit: self.limit,
            since_ms: reduction.map_or(0, |reduction| reduction.at_ms),
            takeover_ms: match self.prior_grants {
                PriorGrants::Unknown { since_ms } if is_recent(since_ms) => Some(since_ms),
                _ => None,
            },
        };
        let previous = reduction.map(|reduction| LimitRule {
            limit: reduction.previous,
            since_ms: 0,
            ..current
        });
        std::iter::once(current).chain(previous).collect()
    }

    /// Returns the fraction of the requests allowed at one moment that is in use, from 0 to 1.
    pub fn usage(&mut self, now_ms: u64) -> f64 {
        let depth = self.bounds.depth(&self.limit);
        (1.0 - self.available(now_ms) / depth).clamp(0.0, 1.0)
    }

    /// Counts granted requests.
    pub fn add(&mut self, requests: u32, now_ms: u64) {
        let is_same = self
            .spans
            .back()
            .is_some_and(|span| self.belongs_to(span, now_ms));
        match self.spans.back_mut() {
            Some(span) if is_same => span.requests += requests,
            _ => self.spans.push_back(Span {
                start_ms: now_ms,
                requests,
            }),
        }
    }

    fn belongs_to(&self, span: &Span, now_ms: u64) -> bool {
        let changed_ms = self.reduction.map_or(0, |reduction| reduction.at_ms);
        now_ms < span.start_ms + SPAN_MS && span.start_ms >= changed_ms
    }

    /// Drops spans that the window no longer contains.
    fn drop_expired_spans(&mut self, now_ms: u64) {
        let bounds = self.bounds;
        let is_expired = |span: &Span| span.expires_ms(&bounds) <= now_ms;
        while self.spans.front().is_some_and(is_expired) {
            self.spans.pop_front();
        }
    }
}

/// A limit, and which requests count against it.
#[derive(Clone, Copy, Debug)]
struct LimitRule {
    limit: Limit,
    /// Only requests granted since then count.
    since_ms: u64,
    /// When the current owner took over, if that is less than a window ago.
    takeover_ms: Option<u64>,
}

impl LimitRule {
    fn counted<'a>(&self, spans: &'a VecDeque<Span>) -> impl Iterator<Item = &'a Span> + use<'a> {
        let since_ms = self.since_ms;
        let newest_first = spans.iter().rev();
        newest_first.take_while(move |span| span.start_ms >= since_ms)
    }

    fn available(&self, bounds: &Bounds, spans: &VecDeque<Span>, now_ms: u64) -> f64 {
        let depth = bounds.depth(&self.limit);
        let mut available = depth;
        let mut sent = 0.0;
        for span in self.counted(spans) {
            sent += f64::from(span.requests);
            available = available.min(depth + self.regained(span.start_ms, now_ms) - sent);
        }
        if let Some(since_ms) = self.takeover_ms {
            let seed = bounds.seed(&self.limit);
            available = available.min(seed + self.regained(since_ms, now_ms) - sent);
        }
        available
    }

    /// Returns when the given number of requests may be granted, in milliseconds.
    fn until_ms(&self, bounds: &Bounds, spans: &VecDeque<Span>, requests: u32) -> f64 {
        let mut sent = f64::from(requests);
        let mut until_ms: f64 = 0.0;
        for span in self.counted(spans) {
            sent += f64::from(span.requests);
            let missing = sent - bounds.depth(&self.limit);
            let regained_at_ms = self.regained_at_ms(missing, span.start_ms);
            until_ms = until_ms.max(regained_at_ms.min(span.expires_ms(bounds) as f64));
        }
        if let Some(since_ms) = self.takeover_ms {
            let missing = sent - bounds.seed(&self.limit);
            let regained_at_ms = self.regained_at_ms(missing, since_ms);
            until_ms = until_ms.max(regained_at_ms.min((since_ms + bounds.window_ms) as f64));
        }
        until_ms
    }

    fn regained(&self, since_ms: u64, now_ms: u64) -> f64 {
        self.limit.rate_per_s * RATE_FRACTION * now_ms.saturating_sub(since_ms) as f64 / 1_000.0
    }

    /// Returns when the rate has regained the missing requests if it is counted from `since_ms`.
    fn regained_at_ms(&self, missing: f64, since_ms: u64) -> f64 {
        let gained_ms = missing.max(0.0) / (self.limit.rate_per_s * RATE_FRACTION) * 1_000.0;
        since_ms as f64 + gained_ms
    }
}
