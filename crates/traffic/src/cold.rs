//! Tracks cold servers. A cold server has started recently, can handle only a few requests per
//! second, and fails at a rate well above that.
//!
//! A server reports in its record how much longer it is cold. The record is read with a delay,
//! however, and a server may become cold again before it reports so. A server therefore also
//! counts as cold if its incarnation appears while the daemon is running, if it accepts
//! connections again after it accepted none, or if it reset a request immediately. All estimates
//! err on the longer side (docs/design/cold-servers.md).

use crate::config::ColdLimit;
use crate::quota::AdmissionRequest;
use crate::sliding_window::Bounds;
use crate::tenants::Limit;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// How long a permit is valid after the daemon requested it, in milliseconds. The owner answers
/// within 2 to 20 ms. A request that is sent later would fall into a window in which the owner
/// does not count it.
pub const PERMIT_VALIDITY_MS: u64 = 50;
/// Length of the window over which a cold server's rate is measured, in milliseconds.
const RATE_WINDOW_MS: u64 = 1_000;
/// Permits of a cold server that less urgent requests leave available for the most urgent ones.
const RESERVED_FOR_URGENT: u32 = 1;
/// Rate from which permits are reserved, in requests per second. For a slower cold server,
/// the owner grants no more permits at one moment than would be reserved.
const MIN_RATE_FOR_RESERVE: f64 = 8.0;
/// Priority of the most urgent requests.
const MOST_URGENT: u8 = 0;
/// Estimated time that a turn occupies a slot of an engine, in milliseconds. In the measured
/// deployment, the median is 212 and the 90th percentile 783.
const TURN_MS: f64 = 300.0;
/// When this many identities are known, those of removed servers are dropped, and again whenever
/// the number has doubled. Identities of removed servers are kept until then, because entries
/// that expire while the log is unavailable are listed again unchanged afterwards.
const SWEEP_THRESHOLD: usize = 8_192;

/// Windows in which requests to cold servers are counted. A window lasts one second plus the
/// validity of a permit, which may be used that long after it was counted. It allows what a
/// server can handle in one second and no excess, because the excess that the operator's
/// bounds allow is needed for servers that are not known to be cold yet.
pub const PERMIT_BOUNDS: Bounds = Bounds {
    window_ms: RATE_WINDOW_MS + PERMIT_VALIDITY_MS,
    overshoot: 0.0,
    slack: 0.0,
};

/// Creates a permit request to the owner that counts the requests to a cold server.
pub fn permit_request(
    server: &str,
    rate_per_s: f64,
    version: u64,
    priority: u8,
) -> AdmissionRequest<'_> {
    AdmissionRequest {
        // The owner counts the requests to a server in an account under the server's identity.
        tenant: server,
        limit: Limit {
            rate_per_s: rate_per_s * RATE_WINDOW_MS as f64 / PERMIT_BOUNDS.window_ms as f64,
            burst: 0.0,
        },
        version,
        program: None,
        route: "",
        starts_program: false,
        max_wait_ms: 0,
        reserved: match priority {
            MOST_URGENT => 0,
            _ if rate_per_s < MIN_RATE_FOR_RESERVE => 0,
            _ => RESERVED_FOR_URGENT,
        },
    }
}

/// Returns the number of requests that a cold engine runs concurrently at its limited rate.
pub fn cold_slots(cold: &ColdLimit) -> u32 {
    (cold.rate_per_s * TURN_MS / 1_000.0).ceil().max(1.0) as u32
}

/// Why a server counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdCause {
    /// The server's record says so.
    Reported,
    /// The server appeared while this daemon was running.
    New,
    /// The server accepts connections again.
    Reconnected,
    /// The server reset a request immediately.
    Reset,
}

/// What is known about one server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerState {
    /// When the server stops being cold according to its newest record.
    reported_until_ms: u64,
    /// The last observation that indicates a cold server, and when it was made.
    observed: Option<(ColdCause, u64)>,
    /// The last connection attempt failed. Unlike for a silent server ([`crate::silence`]), one
    /// failure is enough, and it only affects how long the server counts as cold.
    is_unreachable: bool,
}

/// Tracks which servers are cold, as seen by one daemon.
#[derive(Clone, Debug, Default)]
pub struct ColdTracker {
    states: HashMap<Rc<str>, ServerState>,
    known_ids: HashSet<Rc<str>>,
    /// Number of known identities at which removed ones are dropped next.
    sweep_threshold: usize,
    /// Number of identities examined in all sweeps so far.
    swept_entries: usize,
    /// The first listing was read. Servers that appear after it are new.
    has_initial_listing: bool,
}

impl ColdTracker {
    /// Applies a server's record. `cold_ms` is how much longer the server is cold, counted from
    /// when the record was written. Here it is counted from when the record is read, which is
    /// later.
    pub fn record_reported(&mut self, id: &str, cold_ms: u64, now_ms: u64) {
        let is_new = self.add_known_id(id) && self.has_initial_listing;
        let state = self.state(id);
        state.reported_until_ms = now_ms + cold_ms;
        if is_new {
            state.observed = Some((ColdCause::New, now_ms));
        }
    }

    /// Records that the servers that existed when this daemon started are known.
    pub fn record_initial_listing(&mut self) {
        self.has_initial_listing = true;
    }

    /// Records that a connection to a server could not be established.
    pub fn record_unreachable(&mut self, id: &str) {
        self.state(id).is_unreachable = true;
    }

    /// Records that a connection to a server was established. Returns true if the server was
    /// unreachable before, in which case it may have restarted.
    pub fn record_connected(&mut self, id: &str, now_ms: u64) -> bool {
        let Some(state) = self.states.get_mut(id).filter(|state| state.is_unreachable) else {
            return false;
        };
        state.is_unreachable = false;
        state.observed = Some((ColdCause::Reconnected, now_ms));
        true
    }

    /// Records that a server reset a request on an open connection.
    pub fn record_reset(&mut self, id: &str, now_ms: u64) {
        self.state(id).observed = Some((ColdCause::Reset, now_ms));
    }

    /// Returns the number of identities examined so far to drop removed ones.
    pub fn swept_entries(&self) -> usize {
        self.swept_entries
    }

    /// Drops the state of a server that was removed from discovery.
    pub fn forget(&mut self, id: &str) {
        self.states.remove(id);
    }

    /// Returns why a server is cold and for how much longer, in milliseconds. For an unreachable
    /// server, the time starts when it accepts connections again.
    pub fn cold_cause(&self, id: &str, cold: &ColdLimit, now_ms: u64) -> Option<(ColdCause, u64)> {
        let state = self.states.get(id)?;
        let reported = (ColdCause::Reported, state.reported_until_ms);
        let observed = state
            .observed
            .map(|(cause, at_ms)| (cause, at_ms + cold.duration_ms));
        let unreachable = state
            .is_unreachable
            .then_some((ColdCause::Reconnected, now_ms + cold.duration_ms));
        let causes = [Some(reported), observed, unreachable]
            .into_iter()
            .flatten();
        let (cause, until_ms) = causes.max_by_key(|(_, until_ms)| *until_ms)?;
        let left_ms = until_ms
            .checked_sub(now_ms)
            .filter(|left_ms| *left_ms > 0)?;
        Some((cause, left_ms))
    }

    fn state(&mut self, id: &str) -> &mut ServerState {
        self.states.entry(Rc::from(id)).or_default()
    }

    /// Adds an identity. Returns true if it was not known before.
    fn add_known_id(&mut self, id: &str) -> bool {
        if self.known_ids.contains(id) {
            return false;
        }
        if self.known_ids.len() >= self.sweep_threshold.max(SWEEP_THRESHOLD) {
            self.swept_entries += self.known_ids.len();
            let states = &self.states;
            self.known_ids.retain(|known| states.contains_key(known));
            self.sweep_threshold = 2 * self.known_ids.len();
        }
        self.known_ids.insert(Rc::from(id))
    }
}

/// Cold servers for which the owner currently grants no permits, so that none are requested
/// before they may be granted again.
#[derive(Clone, Debug, Default)]
pub struct PermitDenials {
    until_ms: HashMap<Rc<str>, u64>,
}

impl PermitDenials {
    /// Records that the owner grants no permit for the next `retry_after_ms` milliseconds.
    pub fn record_denial(&mut self, id: &str, retry_after_ms: u64, now_ms: u64) {
        self.until_ms.retain(|_, until_ms| *until_ms > now_ms);
        self.until_ms.insert(Rc::from(id), now_ms + retry_after_ms);
    }

    /// Iterates over the current denials and the time until a permit may be granted, in
    /// milliseconds.
    pub fn pending(&self, now_ms: u64) -> impl Iterator<Item = (Rc<str>, u64)> {
        let left = move |until_ms: u64| until_ms.checked_sub(now_ms).filter(|left| *left > 0);
        let denials = self.until_ms.iter();
        denials.filter_map(move |(id, until_ms)| Some((id.clone(), left(*until_ms)?)))
    }

    /// Returns the time until a permit for a server may be granted, in milliseconds, or `None` if
    /// it may be granted now.
    pub fn wait_ms(&self, id: &str, now_ms: u64) -> Option<u64> {
        let until_ms = self.until_ms.get(id)?;
        until_ms.checked_sub(now_ms).filter(|wait_ms| *wait_ms > 0)
    }
}
