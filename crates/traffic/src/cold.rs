//! Which servers are cold: they bear a few requests a second, and fall over at well above
//! that.
//!
//! A server tells in its record how much longer it is cold, but a record is read late, and a
//! server may become cold again before it says so. So a server counts as cold also by what is
//! seen of it: an incarnation that appears while traffic flows, one that takes connections
//! again after it took none, one that broke off at once what was sent to it. All times err to
//! the longer side (docs/design/cold-servers.md).

use crate::config::ColdLimit;
use crate::quota::AdmissionRequest;
use crate::sliding_window::Bounds;
use crate::tenants::Limit;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// How long a request may be sent on a permit after the daemon asked for it, in
/// milliseconds: an answer takes 2 to 20 ms, and what goes out later counts in a window that
/// its owner does not know.
pub const PERMIT_VALIDITY_MS: u64 = 50;
/// Cold servers are judged by seconds.
const JUDGED_MS: u64 = 1_000;
/// Places at a cold server that less urgent requests leave for urgent ones.
const LEFT_FOR_URGENT: u32 = 1;
/// Rate from which on a cold server has more places at one moment than those, a second.
const LEAVES_FROM_RATE: f64 = 8.0;
/// Rank of the most urgent requests.
const MOST_URGENT: u8 = 0;
/// How long a turn holds its place at an engine, in milliseconds: half of them take 212 and
/// nine in ten 783 on the deployment measured.
const TURN_MS: f64 = 300.0;
/// Identities that are remembered, those that are gone among them: entries lapse while the log
/// is away and come back the same. From so many on those that are gone are looked for, and again
/// once there are twice as many as were left.
const SWEEP_FROM: usize = 8_192;

/// Windows in which requests to cold servers are counted: a second, and for how long a permit
/// may be used after its count. Each holds what a server bears in a second and nothing beyond
/// that: the room that the operator's sheet leaves above it is for servers that nobody knows
/// to be cold yet.
pub const PERMIT_BOUNDS: Bounds = Bounds {
    window_ms: JUDGED_MS + PERMIT_VALIDITY_MS,
    overshoot: 0.0,
    slack: 0.0,
};

/// The question to the owner of a cold server's count.
pub fn permit_request(
    server: &str,
    rate_per_s: f64,
    version: u64,
    rank: u8,
) -> AdmissionRequest<'_> {
    AdmissionRequest {
        tenant: server,
        limit: Limit {
            rate_per_s: rate_per_s * JUDGED_MS as f64 / PERMIT_BOUNDS.window_ms as f64,
            burst: 0.0,
        },
        version,
        program: None,
        route: "",
        starts_program: false,
        max_wait_ms: 0,
        reserved: match rank {
            MOST_URGENT => 0,
            _ if rate_per_s < LEAVES_FROM_RATE => 0,
            _ => LEFT_FOR_URGENT,
        },
    }
}

/// Requests that an engine works on at once while it gets no more than it bears.
pub fn cold_slots(cold: &ColdLimit) -> u32 {
    (cold.rate_per_s * TURN_MS / 1_000.0).ceil().max(1.0) as u32
}

/// Why a server counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdCause {
    /// Its record says so.
    Reported,
    /// It appeared while traffic flowed.
    New,
    /// It takes connections again.
    Reconnected,
    /// It broke off at once what was sent to it.
    Reset,
}

/// What is known of one server.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// By its newest record.
    told_until_ms: u64,
    /// What was last seen of it, and when.
    seen: Option<(ColdCause, u64)>,
    /// No connection came about last time.
    is_dark: bool,
}

/// What is known of all servers.
#[derive(Clone, Debug, Default)]
pub struct ColdTracker {
    states: HashMap<Rc<str>, State>,
    remembered: HashSet<Rc<str>>,
    /// Identities remembered from which on those that are gone are looked for again.
    sweep_from: usize,
    /// Identities looked through for that so far.
    swept: usize,
    /// The first listing was read: what comes after it is new.
    is_listed: bool,
}

impl ColdTracker {
    /// Takes in a record: it says for how much longer the server is cold, from when it was
    /// written, which is before it is read.
    pub fn record_reported(&mut self, id: &str, cold_ms: u64, now_ms: u64) {
        let is_new = self.remember(id) && self.is_listed;
        let state = self.state(id);
        state.told_until_ms = now_ms + cold_ms;
        if is_new {
            state.seen = Some((ColdCause::New, now_ms));
        }
    }

    /// The servers that existed at the start of this daemon are known.
    pub fn record_initial_listing(&mut self) {
        self.is_listed = true;
    }

    /// No connection to a server came about.
    pub fn record_unreachable(&mut self, id: &str) {
        self.state(id).is_dark = true;
    }

    /// A connection to a server came about. True if none had before: it may have started.
    pub fn record_connected(&mut self, id: &str, now_ms: u64) -> bool {
        let Some(state) = self.states.get_mut(id).filter(|state| state.is_dark) else {
            return false;
        };
        state.is_dark = false;
        state.seen = Some((ColdCause::Reconnected, now_ms));
        true
    }

    /// A server broke off what was sent to it on a connection that was open.
    pub fn record_reset(&mut self, id: &str, now_ms: u64) {
        self.state(id).seen = Some((ColdCause::Reset, now_ms));
    }

    /// Identities that were looked through so far to forget those that are gone.
    pub fn swept_entries(&self) -> usize {
        self.swept
    }

    /// Drops a server that is gone from discovery.
    pub fn forget(&mut self, id: &str) {
        self.states.remove(id);
    }

    /// Why a server is cold now and for how much longer, in milliseconds. One that takes no
    /// connections is cold from when it does.
    pub fn cold_cause(&self, id: &str, cold: &ColdLimit, now_ms: u64) -> Option<(ColdCause, u64)> {
        let state = self.states.get(id)?;
        let told = (ColdCause::Reported, state.told_until_ms);
        let seen = state
            .seen
            .map(|(cause, at_ms)| (cause, at_ms + cold.duration_ms));
        let dark = state
            .is_dark
            .then_some((ColdCause::Reconnected, now_ms + cold.duration_ms));
        let all = [Some(told), seen, dark].into_iter().flatten();
        let (cause, until_ms) = all.max_by_key(|(_, until_ms)| *until_ms)?;
        let left_ms = until_ms
            .checked_sub(now_ms)
            .filter(|left_ms| *left_ms > 0)?;
        Some((cause, left_ms))
    }

    fn state(&mut self, id: &str) -> &mut State {
        self.states.entry(Rc::from(id)).or_default()
    }

    /// True if the identity was not known.
    fn remember(&mut self, id: &str) -> bool {
        if self.remembered.contains(id) {
            return false;
        }
        if self.remembered.len() >= self.sweep_from.max(SWEEP_FROM) {
            self.swept += self.remembered.len();
            let states = &self.states;
            self.remembered.retain(|known| states.contains_key(known));
            self.sweep_from = 2 * self.remembered.len();
        }
        self.remembered.insert(Rc::from(id))
    }
}

/// Cold servers at which no place is free for now, as their owners said, so that nobody asks
/// before there is one.
#[derive(Clone, Debug, Default)]
pub struct PermitDenials {
    until_ms: HashMap<Rc<str>, u64>,
}

impl PermitDenials {
    /// No place is free before a time, in milliseconds from now.
    pub fn record_denial(&mut self, id: &str, retry_after_ms: u64, now_ms: u64) {
        self.until_ms.retain(|_, until_ms| *until_ms > now_ms);
        self.until_ms.insert(Rc::from(id), now_ms + retry_after_ms);
    }

    /// All of them, with the time until a place may be free, in milliseconds.
    pub fn pending(&self, now_ms: u64) -> impl Iterator<Item = (Rc<str>, u64)> {
        let left = move |until_ms: u64| until_ms.checked_sub(now_ms).filter(|left| *left > 0);
        let denials = self.until_ms.iter();
        denials.filter_map(move |(id, until_ms)| Some((id.clone(), left(*until_ms)?)))
    }

    /// Time until a place may be free, in milliseconds, if that is known to be later.
    pub fn wait_ms(&self, id: &str, now_ms: u64) -> Option<u64> {
        let until_ms = self.until_ms.get(id)?;
        until_ms.checked_sub(now_ms).filter(|wait_ms| *wait_ms > 0)
    }
}
