//! Which servers have gone silent.
//!
//! A machine without power and a link that is cut say nothing: what was asked there is
//! answered never, and what was asked of a slow server is answered late. How long an answer
//! takes does not tell the two apart, but the machine does: it lets a connection come about
//! while its server works or hangs. So a server that has said nothing for longer than usual
//! is tried with a connection, and only connections that do not come about count against
//! it. Two of them make it silent, or one where another server of its zone is silent too and
//! nothing was heard from that zone since. Where nothing at all is heard, this daemon's own
//! link may be the one that is full, and more are needed.

use std::collections::HashMap;
use std::rc::Rc;

/// Connections in a row that did not come about, from which on a server is silent.
const MISSES: u32 = 2;
/// The same where a second server of its zone misses as well.
const MISSES_IN_ZONE: u32 = 1;
/// The same where no server at all was heard since the first of them.
const MISSES_ALONE: u32 = 4;
/// Servers of a zone with misses from which on all of it is in doubt.
const SERVERS_IN_DOUBT: usize = 2;
/// What is believed lapses so long after the last miss, in milliseconds: from then on the
/// server is tried again with what there is to send.
const LAPSE_MS: u64 = 2_000;

#[derive(Clone, Debug, Default)]
struct Server {
    zone: Rc<str>,
    misses: u32,
    first_miss_ms: u64,
    last_miss_ms: u64,
}

impl Server {
    fn holds(&self, now_ms: u64) -> bool {
        self.misses > 0 && now_ms < self.last_miss_ms + LAPSE_MS
    }
}

/// What one daemon knows of servers' silence.
#[derive(Debug, Default)]
pub struct SilenceDetector {
    /// Servers with misses.
    missed: HashMap<Rc<str>, Server>,
    heard_by_zone: HashMap<Rc<str>, u64>,
    heard_ms: Option<u64>,
}

impl SilenceDetector {
    /// Something came from a server, or a connection to it came about or was refused. True
    /// if it had been silent.
    pub fn record_contact(&mut self, server: &str, zone: &str, now_ms: u64) -> bool {
        let was_silent = self.is_silent(server, now_ms);
        self.missed.remove(server);
        self.heard_ms = Some(now_ms);
        match self.heard_by_zone.get_mut(zone) {
            Some(at_ms) => *at_ms = now_ms,
            None => {
                self.heard_by_zone.insert(Rc::from(zone), now_ms);
            }
        }
        was_silent
    }

    /// A connection to a server did not come about in time. True if it is silent from now on.
    pub fn record_connect_timeout(&mut self, server: &str, zone: &str, now_ms: u64) -> bool {
        let was_silent = self.is_silent(server, now_ms);
        let state = self.missed.entry(Rc::from(server)).or_default();
        if !state.holds(now_ms) {
            *state = Server {
                zone: Rc::from(zone),
                first_miss_ms: now_ms,
                ..Server::default()
            };
        }
        state.misses += 1;
        state.last_miss_ms = now_ms;
        !was_silent && self.is_silent(server, now_ms)
    }

    /// Whether nothing more is to be expected of a server for now.
    pub fn is_silent(&self, server: &str, now_ms: u64) -> bool {
        let Some(state) = self.missed.get(server) else {
            return false;
        };
        state.holds(now_ms) && state.misses >= self.needed(state, now_ms)
    }

    fn needed(&self, state: &Server, now_ms: u64) -> u32 {
        if self
            .heard_ms
            .is_none_or(|at_ms| at_ms < state.first_miss_ms)
        {
            MISSES_ALONE
        } else if self.is_zone_suspect(&state.zone, now_ms) {
            MISSES_IN_ZONE
        } else {
            MISSES
        }
    }

    /// Whether several servers of a zone do not let themselves be reached, and nothing was
    /// heard from there since.
    pub fn is_zone_suspect(&self, zone: &str, now_ms: u64) -> bool {
        let heard_ms = self.heard_by_zone.get(zone).copied();
        let missed = self.missed.values().filter(|state| {
            *state.zone == *zone
                && state.holds(now_ms)
                && heard_ms.is_none_or(|at_ms| at_ms < state.first_miss_ms)
        });
        missed.count() >= SERVERS_IN_DOUBT
    }

    /// Whether a connection to a server that was kept may be as dead as its machine: a new
    /// one tells before anything is sent.
    pub fn is_suspect(&self, server: &str, zone: &str, now_ms: u64) -> bool {
        let missed = self.missed.get(server);
        missed.is_some_and(|state| state.holds(now_ms)) || self.is_zone_suspect(zone, now_ms)
    }

    /// Forgets servers that `known` does not name, and misses that are over.
    pub fn retain(&mut self, known: &dyn Fn(&str) -> bool, now_ms: u64) {
        self.missed
            .retain(|server, state| known(server) && state.holds(now_ms));
    }
}
