//! Load balancing: chooses a server for one attempt.
//!
//! A request with an affinity key prefers the engine that the key maps to by rendezvous hashing,
//! because the prompt that it shares with earlier turns of its program is cached there. Without a
//! key, the least loaded server is chosen.

use crate::directory::ServerEntry;
use fieldhook_topology::zone::Distance;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One server as the gateway sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a ServerEntry,
    /// Distance of the server from the gateway.
    pub distance: Distance,
    /// Requests of this gateway that the server is processing.
    pub in_flight: u32,
    /// The server failed or refused a request recently.
    pub is_avoided: bool,
    /// The last attempt at the server failed.
    pub is_unhealthy: bool,
    /// The server has started recently and can handle only a few requests.
    pub is_cold: bool,
    /// There is an idle connection to the server.
    pub has_idle_connection: bool,
}

/// Properties of the request that affect the choice.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Key that keeps related requests together, if any.
    pub affinity: Option<&'a str>,
    /// Engine that the program was assigned to, if any.
    pub preferred: Option<&'a str>,
    /// Identities of the servers that this request was already sent to.
    pub tried: &'a [String],
}

/// Additional load of a server in another zone of the region, in requests.
const OTHER_ZONE_LOAD: f64 = 2.0;
/// Additional load of a server in another region, in requests. Traffic to it costs about twice
/// as much, and the round trip (24 ms in the deployment of three regions) takes a third of the
/// processing time of a call.
const OTHER_REGION_LOAD: f64 = 4.0;
/// Additional load of a server to which a connection has to be opened, in requests.
const CONNECTION_LOAD: f64 = 1.6;
/// Requests of this gateway at an engine of its own zone from which engines of the whole region
/// are considered.
const OWN_ZONE_FULL: u32 = 3;
/// Requests of this gateway at an engine from which the engine ranked next is chosen.
const AFFINITY_FULL: u32 = 6;

/// Chooses a server and returns its index in `candidates`. Prefers servers that are neither in
/// backoff nor unhealthy, then those that are not in backoff, then any that was not tried yet.
pub fn choose(candidates: &[Candidate<'_>], request: &Request<'_>, random: u64) -> Option<usize> {
    let is_untried = |index: &usize| !request.tried.contains(&candidates[*index].server.id);
    let healthy: Vec<usize> = (0..candidates.len())
        .filter(is_untried)
        .filter(|index| !candidates[*index].is_avoided && !candidates[*index].is_unhealthy)
        .collect();
    if let Some(index) = pick_healthy(candidates, &healthy, request, random) {
        return Some(index);
    }
    let not_avoided: Vec<usize> = (0..candidates.len())
        .filter(is_untried)
        .filter(|index| !candidates[*index].is_avoided)
        .collect();
    if let Some(index) = pick(candidates, &not_avoided, request, random) {
        return Some(index);
    }
    let any: Vec<usize> = (0..candidates.len()).filter(is_untried).collect();
    pick(candidates, &any, request, random)
}

/// Prefers servers that are not cold, unless the program is assigned to a cold one.
fn pick_healthy(
    candidates: &[Candidate<'_>],
    healthy: &[usize],
    request: &Request<'_>,
    random: u64,
) -> Option<usize> {
    let warm: Vec<usize> = healthy
        .iter()
        .copied()
        .filter(|index| !candidates[*index].is_cold)
        .collect();
    preferred(candidates, healthy, request)
        .or_else(|| pick(candidates, &warm, request, random))
        .or_else(|| by_load(candidates, healthy, random))
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
    let key = hash_key(key);
    let weight = |index: &usize| xxh3_64_with_seed(candidates[*index].server.id.as_bytes(), key);
    let in_flight = |index: &usize| candidates[*index].in_flight;
    let in_own_zone = allowed
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
    let least_loaded = || {
        allowed
            .iter()
            .min_by_key(|index| (in_flight(index), weight(index)))
    };
    in_own_zone
        .or_else(|| within(Distance::SameRegion))
        .or_else(|| within(Distance::OtherRegion))
        .or_else(least_loaded)
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

fn hash_key(key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), 0)
}
