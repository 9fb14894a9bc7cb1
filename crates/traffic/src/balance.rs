//! Choosing a server for one attempt.
//!
//! A request of a program prefers the engine that its program hashes to
//! (rendezvous hashing), so that the prompt it shares with earlier turns is
//! still cached there; without a key the least loaded server wins.

use crate::directory::ServerEntry;
use fieldhook_topology::zone::Distance;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One server as the gateway sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a ServerEntry,
    /// How far it is from the gateway.
    pub distance: Distance,
    /// Requests of this gateway that it works on.
    pub in_flight: u32,
    /// It failed or refused a moment ago.
    pub is_in_backoff: bool,
    /// It failed last time.
    pub is_unhealthy: bool,
    /// It bears only a few requests.
    pub is_cold: bool,
    /// An open connection waits for use.
    pub has_idle_connection: bool,
}

/// What the choice depends on besides the servers.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Key that keeps related requests together, if any.
    pub affinity: Option<&'a str>,
    /// Engine that the program was assigned to, if any.
    pub preferred: Option<&'a str>,
    /// Identities that this request was sent to before.
    pub tried: &'a [String],
}

/// Load, in requests, that a server of another zone counts as more.
const OTHER_ZONE_LOAD: f64 = 2.0;
/// Load, in requests, that a server of another region counts as more: bytes cost about twice
/// as much, and the way there and back (24 ms on the deployment of three regions) is a third
/// of what a call works.
const OTHER_REGION_LOAD: f64 = 4.0;
/// Load that opening a connection counts as.
const CONNECTION_LOAD: f64 = 1.6;
/// Requests of this gateway at an engine of its own zone from which on engines of
/// all zones are considered.
const OWN_ZONE_FULL: u32 = 3;
/// Requests of this gateway at an engine from which on the next choice is taken.
const AFFINITY_FULL: u32 = 6;

/// The server to send to, as an index of the candidates.
pub fn choose(candidates: &[Candidate<'_>], request: &Request<'_>, random: u64) -> Option<usize> {
    let fresh = |index: &usize| !request.tried.contains(&candidates[*index].server.id);
    let sound: Vec<usize> = (0..candidates.len())
        .filter(fresh)
        .filter(|index| !candidates[*index].is_in_backoff && !candidates[*index].is_unhealthy)
        .collect();
    if let Some(index) = pick_sound(candidates, &sound, request, random) {
        return Some(index);
    }
    let resting: Vec<usize> = (0..candidates.len())
        .filter(fresh)
        .filter(|index| !candidates[*index].is_in_backoff)
        .collect();
    if let Some(index) = pick(candidates, &resting, request, random) {
        return Some(index);
    }
    let any: Vec<usize> = (0..candidates.len()).filter(fresh).collect();
    pick(candidates, &any, request, random)
}

/// Warm servers go first, unless the program was assigned to a cold one.
fn pick_sound(
    candidates: &[Candidate<'_>],
    sound: &[usize],
    request: &Request<'_>,
    random: u64,
) -> Option<usize> {
    let warm: Vec<usize> = sound
        .iter()
        .copied()
        .filter(|index| !candidates[*index].is_cold)
        .collect();
    preferred(candidates, sound, request)
        .or_else(|| pick(candidates, &warm, request, random))
        .or_else(|| by_load(candidates, sound, random))
}

fn preferred(
    candidates: &[Candidate<'_>],
    allowed: &[usize],
    request: &Request<'_>,
) -> Option<usize> {
    let is_preferred = |index: &&usize| request.preferred == Some(&candidates[**index].server.id);
    allowed.iter().find(is_preferred).copied()
}

fn pick(
    candidates: &[Candidate<'_>],
    allowed: &[usize],
    request: &Request<'_>,
    random: u64,
) -> Option<usize> {
    if let Some(index) = preferred(candidates, allowed, request) {
        return Some(index);
    }
    match request.affinity {
        Some(key) => by_affinity(candidates, allowed, key),
        None => by_load(candidates, allowed, random),
    }
}

fn by_affinity(candidates: &[Candidate<'_>], allowed: &[usize], key: &str) -> Option<usize> {
    let key = hash(key);
    let weight = |index: &usize| xxh3_64_with_seed(candidates[*index].server.id.as_bytes(), key);
    let in_flight = |index: &usize| candidates[*index].in_flight;
    let near = allowed
        .iter()
        .filter(|index| candidates[**index].distance == Distance::SameZone)
        .filter(|index| in_flight(index) < OWN_ZONE_FULL)
        .max_by_key(|index| weight(index));
    let within = |farthest: Distance| {
        allowed
            .iter()
            .filter(|index| candidates[**index].distance <= farthest)
            .filter(|index| in_flight(index) < AFFINITY_FULL)
            .max_by_key(|index| weight(index))
    };
    let least = || {
        allowed
            .iter()
            .min_by_key(|index| (in_flight(index), weight(index)))
    };
    near.or_else(|| within(Distance::SameRegion))
        .or_else(|| within(Distance::OtherRegion))
        .or_else(least)
        .copied()
}

fn by_load(candidates: &[Candidate<'_>], allowed: &[usize], random: u64) -> Option<usize> {
    let load = |index: usize| {
        let candidate = &candidates[index];
        let mut load = f64::from(candidate.in_flight);
        load += match candidate.distance {
            Distance::SameZone => 0.0,
            Distance::SameRegion => OTHER_ZONE_LOAD,
            Distance::OtherRegion => OTHER_REGION_LOAD,
        };
        if !candidate.has_idle_connection {
            load += CONNECTION_LOAD;
        }
        load
    };
    allowed.iter().copied().min_by(|left, right| {
        let by_load = load(*left).total_cmp(&load(*right));
        let tie = |index: usize| xxh3_64_with_seed(&index.to_le_bytes(), random);
        by_load.then_with(|| tie(*left).cmp(&tie(*right)))
    })
}

fn hash(key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), 0)
}
