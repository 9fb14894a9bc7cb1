//! Which servers are weighed for a request: all of a small service, and of a large one some near
//! ones and some from anywhere.
//!
//! What one request costs must not grow with the servers that exist. A part of them, drawn from
//! a place that a key stands for, serves as well: requests of one key are always drawn the same
//! part, so what an engine keeps is found again, and a daemon's connections are used again.

use crate::directory::{ActiveServers, ServerEntry};
use crate::hash_ring::HashRange;
use std::rc::Rc;

/// Servers of a service up to which all are weighed.
pub const FULL_SCAN_MAX: usize = 256;
/// Servers of the own zone that are weighed of a large service: several times those that are
/// ever full or resting of one daemon's requests.
const MOST_NEAR: usize = 32;
/// The same of all zones.
const MOST_ANYWHERE: usize = 32;
/// Servers that are looked at for each that is weighed: half of the zones may be evacuated.
const LOOKED_AT_EACH: usize = 4;

/// Where the servers for a request are drawn.
#[derive(Clone, Copy, Debug)]
pub struct CandidateQuery<'a> {
    /// Zone that the request comes through.
    pub zone: &'a str,
    /// Part of the order of servers that they stand in.
    pub range: HashRange,
    /// Number that the key of the request stands for.
    pub start: u64,
}

/// What was drawn.
#[derive(Debug, Default)]
pub struct Candidates<'a> {
    /// Servers to weigh, each once, by their identities.
    pub servers: Vec<&'a Rc<ServerEntry>>,
    /// Servers that were looked at for that.
    pub examined: usize,
}

impl<'a> Candidates<'a> {
    fn take(
        &mut self,
        servers: impl Iterator<Item = &'a Rc<ServerEntry>>,
        most: usize,
        is_usable: &dyn Fn(&ServerEntry) -> bool,
    ) {
        let looked_at = &mut self.examined;
        let usable = servers
            .take(most * LOOKED_AT_EACH)
            .inspect(|_| *looked_at += 1)
            .filter(|server| is_usable(server))
            .take(most);
        self.servers.extend(usable);
    }
}

/// Draws servers that are usable from a service.
pub fn select_candidates<'a>(
    serving: &'a ActiveServers,
    draw: &CandidateQuery<'_>,
    is_usable: &dyn Fn(&ServerEntry) -> bool,
) -> Candidates<'a> {
    let mut drawn = Candidates::default();
    if serving.all.len() <= FULL_SCAN_MAX {
        let all = serving.all.iter_from(draw.range, draw.start);
        drawn.take(all, FULL_SCAN_MAX, is_usable);
    } else {
        if let Some(zone) = serving.zones.get(draw.zone) {
            drawn.take(zone.iter_from(draw.range, draw.start), MOST_NEAR, is_usable);
        }
        let all = serving.all.iter_from(draw.range, draw.start);
        drawn.take(all, MOST_ANYWHERE, is_usable);
    }
    drawn.servers.sort_unstable_by(|a, b| a.id.cmp(&b.id));
    drawn.servers.dedup_by(|a, b| a.id == b.id);
    drawn
}
