//! Detects silent servers: servers that are no longer reachable over the network. The `unreachable`
//! state in [`crate::cold`] is separate: one failed connection attempt sets it.
//!
//! A request to a machine without power, or behind a broken link, never gets a response, while a
//! slow server responds late. The time without a response does not distinguish the two, but the
//! machine's network stack does: it accepts connections even while its server is busy or hangs.
//! A server that has not sent anything for longer than usual is therefore probed with a new
//! connection, and only connect timeouts count against it.
//!
//! A server is silent after two connect timeouts, or after one if another server of its zone
//! has a timeout as well and nothing was received from the zone since. If nothing is received
//! from any server, this daemon's own link may be saturated, so more timeouts are needed.

use std::collections::HashMap;
use std::rc::Rc;

/// Consecutive connect timeouts after which a server is silent.
const TIMEOUTS_UNTIL_SILENT: u32 = 2;
/// Connect timeouts after which a server is silent if its zone is suspect.
const TIMEOUTS_IN_SUSPECT_ZONE: u32 = 1;
/// Connect timeouts after which a server is silent if nothing was received from any server since
/// the first of them.
const TIMEOUTS_WITHOUT_CONTACT: u32 = 4;
/// Number of servers with connect timeouts at which their zone becomes suspect.
const SUSPECT_ZONE_SERVERS: usize = 2;
/// Connect timeouts expire this long after the last one, in milliseconds. The server then
/// receives requests again.
const TIMEOUT_EXPIRY_MS: u64 = 2_000;

#[derive(Clone, Debug, Default)]
struct TimedOutServer {
    zone: Rc<str>,
    timeouts: u32,
    first_timeout_ms: u64,
    last_timeout_ms: u64,
}

impl TimedOutServer {
    fn is_current(&self, now_ms: u64) -> bool {
        self.timeouts > 0 && now_ms < self.last_timeout_ms + TIMEOUT_EXPIRY_MS
    }
}

/// Connect timeouts and contacts of servers, as seen by one daemon.
#[derive(Debug, Default)]
pub struct SilenceDetector {
    /// Servers with connect timeouts since the last contact.
    timed_out: HashMap<Rc<str>, TimedOutServer>,
    zone_contact_ms: HashMap<Rc<str>, u64>,
    last_contact_ms: Option<u64>,
}

impl SilenceDetector {
    /// Records that data was received from a server, or that a connection to it was established
    /// or refused. Returns true if the server was silent before.
    pub fn record_contact(&mut self, server: &str, zone: &str, now_ms: u64) -> bool {
        let was_silent = self.is_silent(server, now_ms);
        self.timed_out.remove(server);
        self.last_contact_ms = Some(now_ms);
        match self.zone_contact_ms.get_mut(zone) {
            Some(at_ms) => *at_ms = now_ms,
            None => {
                self.zone_contact_ms.insert(Rc::from(zone), now_ms);
            }
        }
        was_silent
    }

    /// Records that a connection to a server timed out. Returns true if the server becomes silent
    /// by this timeout.
    pub fn record_connect_timeout(&mut self, server: &str, zone: &str, now_ms: u64) -> bool {
        let was_silent = self.is_silent(server, now_ms);
        let state = self.timed_out.entry(Rc::from(server)).or_default();
        if !state.is_current(now_ms) {
            *state = TimedOutServer {
                zone: Rc::from(zone),
                first_timeout_ms: now_ms,
                ..TimedOutServer::default()
            };
        }
        state.timeouts += 1;
        state.last_timeout_ms = now_ms;
        !was_silent && self.is_silent(server, now_ms)
    }

    /// Whether a server is silent, so that no response is expected from it for now.
    pub fn is_silent(&self, server: &str, now_ms: u64) -> bool {
        let Some(state) = self.timed_out.get(server) else {
            return false;
        };
        state.is_current(now_ms) && state.timeouts >= self.timeouts_needed(state, now_ms)
    }

    fn timeouts_needed(&self, state: &TimedOutServer, now_ms: u64) -> u32 {
        if self
            .last_contact_ms
            .is_none_or(|at_ms| at_ms < state.first_timeout_ms)
        {
            TIMEOUTS_WITHOUT_CONTACT
        } else if self.is_zone_suspect(&state.zone, now_ms) {
            TIMEOUTS_IN_SUSPECT_ZONE
        } else {
            TIMEOUTS_UNTIL_SILENT
        }
    }

    /// Whether several servers of a zone have connect timeouts, and nothing was received from the
    /// zone since.
    pub fn is_zone_suspect(&self, zone: &str, now_ms: u64) -> bool {
        let last_contact_ms = self.zone_contact_ms.get(zone).copied();
        let timed_out = self.timed_out.values().filter(|state| {
            *state.zone == *zone
                && state.is_current(now_ms)
                && last_contact_ms.is_none_or(|at_ms| at_ms < state.first_timeout_ms)
        });
        timed_out.count() >= SUSPECT_ZONE_SERVERS
    }

    /// Whether a server is possibly unreachable: it or its zone has connect timeouts. A kept
    /// connection to it may then be dead. A new connection has to be established before
    /// anything is sent.
    pub fn is_suspect(&self, server: &str, zone: &str, now_ms: u64) -> bool {
        let timed_out = self.timed_out.get(server);
        timed_out.is_some_and(|state| state.is_current(now_ms))
            || self.is_zone_suspect(zone, now_ms)
    }

    /// Removes servers for which `known` returns false, and timeouts that have expired.
    pub fn retain(&mut self, known: &dyn Fn(&str) -> bool, now_ms: u64) {
        self.timed_out
            .retain(|server, state| known(server) && state.is_current(now_ms));
    }
}
