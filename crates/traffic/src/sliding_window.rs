//! Counting what was sent in a sliding window, so that another count may take over at any
//! moment.
//!
//! A window of length W may hold A requests. If one count alone kept to that, all of A could
//! go out at one moment, and a successor that knows nothing of it could let nothing through
//! for the whole of W. So a count keeps more: the last `t` hold at most `D + R t`, for every
//! `t` up to W, where `R` is a part of the limit's rate. A successor lets `S + R t` through
//! in its first W. Over any changes of owner a window then holds `D + R W`, and `S` for each
//! successor: what is left of A beside `R W` is divided among them
//! (docs/design/tenants.md).

use crate::tenants::Limit;
use std::collections::VecDeque;

/// Part of a limit's rate that a successor goes on with in its first window. The rate is
/// 1.6 times of what tenants send on the deployments so far, so this carries them on.
const RATE_PART: f64 = 0.75;
/// Successors that a window may see: each gets a part of what a window holds beyond the rate.
const SUCCESSORS: f64 = 4.0;
/// Part of what a window holds beyond the limit that each successor may let through at once.
const SEED_PART: f64 = 0.125;
/// Requests are counted by spans of this length, in milliseconds.
const SPAN_MS: u64 = 50;

/// How limits are judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Length of a window, in milliseconds.
    pub window_ms: u64,
    /// Part of a window's limit by which it may be exceeded.
    pub overshoot: f64,
    /// Requests by which it may be exceeded as well.
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

    /// Requests beyond the limit that a window may hold.
    fn beyond(&self, limit: &Limit) -> f64 {
        let of_window = limit.rate_per_s * self.window_s() + limit.burst;
        self.overshoot * of_window + self.slack
    }

    /// Requests that a successor may let through at once.
    fn seed(&self, limit: &Limit) -> f64 {
        self.beyond(limit) * SEED_PART
    }

    /// Requests that may go out at one moment. A limit that is smaller than that lets one
    /// through all the same.
    fn depth(&self, limit: &Limit) -> f64 {
        let rest = limit.rate_per_s * self.window_s() * (1.0 - RATE_PART) + limit.burst;
        let beyond = self.beyond(limit) * (1.0 - SEED_PART * SUCCESSORS);
        (rest + beyond).max(1.0)
    }
}

/// What a count knows of the time before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PriorGrants {
    /// Nothing was sent.
    None,
    /// Another count let requests through until then, in milliseconds.
    Unknown {
        /// When this count took over.
        since_ms: u64,
    },
}

/// Requests of one span.
#[derive(Clone, Copy, Debug)]
struct Span {
    began_ms: u64,
    requests: u32,
}

impl Span {
    /// When none of its requests lies within a window any more: the last of them may have gone
    /// out at its end.
    fn forgotten_ms(&self, bounds: &Bounds) -> u64 {
        self.began_ms + SPAN_MS + bounds.window_ms
    }
}

/// A limit that was lowered.
#[derive(Clone, Copy, Debug)]
struct Lowered {
    /// The limit before.
    from: Limit,
    /// When.
    at_ms: u64,
}

/// A count of what was sent.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    bounds: Bounds,
    start: PriorGrants,
    limit: Limit,
    /// What was sent before counts against the limit before alone.
    lowered: Option<Lowered>,
    /// The oldest first.
    spans: VecDeque<Span>,
}

impl SlidingWindow {
    /// A count that nothing was sent by yet.
    pub fn new(bounds: Bounds, limit: Limit, start: PriorGrants) -> Self {
        Self {
            bounds,
            start,
            limit,
            lowered: None,
            spans: VecDeque::new(),
        }
    }

    /// The limit in force.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Another limit is in force from now on. A lower one binds a window later, so what was
    /// sent before does not count against it.
    pub fn set_limit(&mut self, limit: Limit, now_ms: u64) {
        let from = std::mem::replace(&mut self.limit, limit);
        let is_lower = limit.rate_per_s < from.rate_per_s || limit.burst < from.burst;
        self.lowered = is_lower.then_some(Lowered {
            from,
            at_ms: now_ms,
        });
    }

    /// Requests that may be sent now.
    pub fn available(&mut self, now_ms: u64) -> f64 {
        self.forget(now_ms);
        let rules = self.rules(now_ms);
        rules
            .iter()
            .map(|rule| rule.free(&self.bounds, &self.spans, now_ms))
            .fold(f64::INFINITY, f64::min)
    }

    /// Time until so many may be sent, in milliseconds; one at least.
    pub fn wait_ms(&self, requests: u32, now_ms: u64) -> u64 {
        let rules = self.rules(now_ms);
        let until = rules
            .iter()
            .map(|rule| rule.until_ms(&self.bounds, &self.spans, requests))
            .fold(0.0, f64::max);
        (until - now_ms as f64).ceil().max(1.0) as u64
    }

    /// What has to hold now.
    fn rules(&self, now_ms: u64) -> Vec<Rule> {
        let is_recent = |at_ms: u64| now_ms < at_ms + self.bounds.window_ms;
        let lowered = self.lowered.filter(|lowered| is_recent(lowered.at_ms));
        let present = Rule {
            limit: self.limit,
            since_ms: lowered.map_or(0, |lowered| lowered.at_ms),
            taken_over_ms: match self.start {
                PriorGrants::Unknown { since_ms } if is_recent(since_ms) => Some(since_ms),
                _ => None,
            },
        };
        let former = lowered.map(|lowered| Rule {
            limit: lowered.from,
            since_ms: 0,
            ..present
        });
        std::iter::once(present).chain(former).collect()
    }

    /// Part of what may go out at one moment that is used up, 0 to 1.
    pub fn usage(&mut self, now_ms: u64) -> f64 {
        let depth = self.bounds.depth(&self.limit);
        (1.0 - self.available(now_ms) / depth).clamp(0.0, 1.0)
    }

    /// Requests go out now.
    pub fn add(&mut self, requests: u32, now_ms: u64) {
        let is_same = self
            .spans
            .back()
            .is_some_and(|span| self.is_of(span, now_ms));
        match self.spans.back_mut() {
            Some(span) if is_same => span.requests += requests,
            _ => self.spans.push_back(Span {
                began_ms: now_ms,
                requests,
            }),
        }
    }

    fn is_of(&self, span: &Span, now_ms: u64) -> bool {
        let changed_ms = self.lowered.map_or(0, |lowered| lowered.at_ms);
        now_ms < span.began_ms + SPAN_MS && span.began_ms >= changed_ms
    }

    /// Drops spans that ended a window ago.
    fn forget(&mut self, now_ms: u64) {
        let bounds = self.bounds;
        let is_over = |span: &Span| span.forgotten_ms(&bounds) <= now_ms;
        while self.spans.front().is_some_and(is_over) {
            self.spans.pop_front();
        }
    }
}

/// A limit and the requests that count against it.
#[derive(Clone, Copy, Debug)]
struct Rule {
    limit: Limit,
    /// Those that were sent from then on count.
    since_ms: u64,
    /// When this count took over, if that is less than a window ago.
    taken_over_ms: Option<u64>,
}

impl Rule {
    fn counted<'a>(&self, spans: &'a VecDeque<Span>) -> impl Iterator<Item = &'a Span> + use<'a> {
        let since_ms = self.since_ms;
        let newest_first = spans.iter().rev();
        newest_first.take_while(move |span| span.began_ms >= since_ms)
    }

    fn free(&self, bounds: &Bounds, spans: &VecDeque<Span>, now_ms: u64) -> f64 {
        let depth = bounds.depth(&self.limit);
        let mut free = depth;
        let mut sent = 0.0;
        for span in self.counted(spans) {
            sent += f64::from(span.requests);
            free = free.min(depth + self.gained(span.began_ms, now_ms) - sent);
        }
        if let Some(since_ms) = self.taken_over_ms {
            let seed = bounds.seed(&self.limit);
            free = free.min(seed + self.gained(since_ms, now_ms) - sent);
        }
        free
    }

    /// When so many may be sent, in milliseconds.
    fn until_ms(&self, bounds: &Bounds, spans: &VecDeque<Span>, requests: u32) -> f64 {
        let mut sent = f64::from(requests);
        let mut until_ms: f64 = 0.0;
        for span in self.counted(spans) {
            sent += f64::from(span.requests);
            let missing = sent - bounds.depth(&self.limit);
            let regained_ms = self.regained_ms(missing, span.began_ms);
            until_ms = until_ms.max(regained_ms.min(span.forgotten_ms(bounds) as f64));
        }
        if let Some(since_ms) = self.taken_over_ms {
            let missing = sent - bounds.seed(&self.limit);
            let regained_ms = self.regained_ms(missing, since_ms);
            until_ms = until_ms.max(regained_ms.min((since_ms + bounds.window_ms) as f64));
        }
        until_ms
    }

    fn gained(&self, since_ms: u64, now_ms: u64) -> f64 {
        self.limit.rate_per_s * RATE_PART * now_ms.saturating_sub(since_ms) as f64 / 1_000.0
    }

    /// When the rate has brought so many since some time.
    fn regained_ms(&self, missing: f64, since_ms: u64) -> f64 {
        let gained_ms = missing.max(0.0) / (self.limit.rate_per_s * RATE_PART) * 1_000.0;
        since_ms as f64 + gained_ms
    }
}
