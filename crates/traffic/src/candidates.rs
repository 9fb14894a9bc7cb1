//! Selects the candidate servers for a request: all servers of a small service. For a large
//! service, some servers of the daemon's zone and some of all zones.
//!
//! The cost of a request must not grow with the number of servers. A part of the servers is
//! enough. It is taken from the hash ring at a position that depends on the request's key: requests
//! with the same key get the same candidates, so that cached prompts and open connections are
//! reused.

use crate::directory::{ActiveServers, ServerEntry, Software};
use crate::hash_ring::HashRange;
use std::rc::Rc;

/// Number of servers of a service up to which all of them are candidates.
pub const FULL_SCAN_MAX: usize = 256;
/// Maximum number of candidates of the daemon's zone in a large service. It is several times the
/// number of servers that are full or in backoff for one daemon at the same time.
const MAX_FROM_ZONE: usize = 32;
/// Maximum number of candidates of all zones in a large service.
const MAX_FROM_ANYWHERE: usize = 32;
/// Servers examined per candidate. Several are needed because half of the zones may be
/// evacuated.
const EXAMINED_PER_CANDIDATE: usize = 4;

/// Where on the hash ring the candidates for a request are taken from.
#[derive(Clone, Copy, Debug)]
pub struct CandidateQuery<'a> {
    /// Zone of the daemon that received the request.
    pub zone: &'a str,
    /// Range of the hash ring that contains the candidates.
    pub range: HashRange,
    /// Hash of the request's key, which determines the position in the range to start from.
    pub start: u64,
}

/// Result of a selection.
#[derive(Debug, Default)]
pub struct Candidates<'a> {
    /// Candidate servers, ordered by identity and without duplicates.
    pub servers: Vec<&'a Rc<ServerEntry>>,
    /// Number of servers that were examined.
    pub examined: usize,
}

impl<'a> Candidates<'a> {
    fn add_usable(
        &mut self,
        servers: impl Iterator<Item = &'a Rc<ServerEntry>>,
        max: usize,
        is_usable: &dyn Fn(&ServerEntry) -> bool,
    ) {
        let examined = &mut self.examined;
        let usable = servers
            .take(max * EXAMINED_PER_CANDIDATE)
            .inspect(|_| *examined += 1)
            .filter(|server| is_usable(server))
            .take(max);
        self.servers.extend(usable);
    }

    fn sort(&mut self) {
        self.servers.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        self.servers.dedup_by(|a, b| a.id == b.id);
    }
}

/// Selects usable servers of a service that run the given software.
pub fn select_running<'a>(
    servers: &'a ActiveServers,
    software: &Software,
    query: &CandidateQuery<'_>,
    is_usable: &dyn Fn(&ServerEntry) -> bool,
) -> Candidates<'a> {
    let mut candidates = Candidates::default();
    if let Some(running) = servers.running(software) {
        let max = match running.len() <= FULL_SCAN_MAX {
            true => FULL_SCAN_MAX,
            false => MAX_FROM_ANYWHERE,
        };
        let servers = running.iter_from(query.range, query.start);
        candidates.add_usable(servers, max, is_usable);
    }
    candidates.sort();
    candidates
}

/// Selects usable servers of a service.
pub fn select_candidates<'a>(
    servers: &'a ActiveServers,
    query: &CandidateQuery<'_>,
    is_usable: &dyn Fn(&ServerEntry) -> bool,
) -> Candidates<'a> {
    let mut candidates = Candidates::default();
    if servers.all.len() <= FULL_SCAN_MAX {
        let all = servers.all.iter_from(query.range, query.start);
        candidates.add_usable(all, FULL_SCAN_MAX, is_usable);
    } else {
        if let Some(zone) = servers.zones.get(query.zone) {
            candidates.add_usable(
                zone.iter_from(query.range, query.start),
                MAX_FROM_ZONE,
                is_usable,
            );
        }
        let all = servers.all.iter_from(query.range, query.start);
        candidates.add_usable(all, MAX_FROM_ANYWHERE, is_usable);
    }
    candidates.sort();
    candidates
}
