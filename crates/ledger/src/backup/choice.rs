//! Which daemon backs up the attempts of this one.

use std::collections::HashMap;
use std::net::SocketAddr;

/// How long a daemon that did not answer is not chosen again, in milliseconds.
const FAILURE_MS: u64 = 2_000;

/// Suitability of a daemon, best first. A zone may be lost as a whole.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Elsewhere,
    Unknown,
    Same,
}

/// Chooses the daemon that backs up the attempts of this one. Times are in milliseconds of the clock of
/// the caller.
pub struct BackupChoice {
    own_zone: String,
    zones: HashMap<SocketAddr, String>,
    /// Until when daemons that did not answer are not chosen.
    failed: HashMap<SocketAddr, u64>,
}

impl BackupChoice {
    /// Creates the choice of a daemon in this zone.
    pub fn new(own_zone: &str) -> Self {
        Self {
            own_zone: own_zone.to_owned(),
            zones: HashMap::new(),
            failed: HashMap::new(),
        }
    }

    /// A daemon has told its zone.
    pub fn set_zone(&mut self, address: SocketAddr, zone: String) {
        self.zones.insert(address, zone);
    }

    /// A daemon did not answer.
    pub fn set_failed(&mut self, address: SocketAddr, now_ms: u64) {
        self.failed.insert(address, now_ms + FAILURE_MS);
    }

    /// Returns the first of the most suitable daemons among these; `None` if there is none.
    pub fn choose(&mut self, candidates: &[SocketAddr], now_ms: u64) -> Option<SocketAddr> {
        self.failed.retain(|_, until_ms| now_ms < *until_ms);
        self.zones.retain(|address, _| candidates.contains(address));
        let mut usable = candidates.to_vec();
        usable.retain(|address| !self.failed.contains_key(address));
        usable.into_iter().min_by_key(|address| self.rank(*address))
    }

    /// Whether one of these daemons is more suitable than the current one.
    pub fn is_improvable(
        &mut self,
        current: SocketAddr,
        candidates: &[SocketAddr],
        now_ms: u64,
    ) -> bool {
        let best = self.choose(candidates, now_ms);
        best.is_some_and(|best| self.rank(best) < self.rank(current))
            && self.rank(current) == Rank::Same
    }

    fn rank(&self, address: SocketAddr) -> Rank {
        match self.zones.get(&address) {
            None => Rank::Unknown,
            Some(zone) if *zone == self.own_zone => Rank::Same,
            Some(_) => Rank::Elsewhere,
        }
    }
}
