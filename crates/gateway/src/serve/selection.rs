//! Selects the server for a request.

use super::attempt::AttemptHistory;
use super::request::RequestContext;
use super::stream_origin;
use fieldhook_ledger::streams::StreamOrigin;
use fieldhook_topology::region::RegionSet;
use fieldhook_traffic::assignment::prefix_hash;
use fieldhook_traffic::balance::{self, Candidate, Request};
use fieldhook_traffic::candidates::{CandidateQuery, select_candidates, select_running};
use fieldhook_traffic::directory::ServerEntry;
use fieldhook_traffic::hash_ring::HashRange;

/// Selects one of the servers that were not tried yet and are in an allowed location. Skips cold
/// servers without capacity. A stream that has begun stays at the software of its origin.
pub fn choose(
    context: &RequestContext,
    homes: &RegionSet,
    history: &AttemptHistory,
    origin: Option<&StreamOrigin>,
) -> Option<ServerEntry> {
    let daemon = &context.daemon;
    let directory = daemon.directory.borrow();
    let serving = directory.active_servers(context.service()?)?;
    let now_ms = daemon.now_ms();
    let zone = &daemon.settings.zone;
    let is_stream = context.entry.route.kind.is_stream();
    let affinity = context.meta.program.as_deref().filter(|_| is_stream);
    let preferred = context.engine.as_deref();
    // Servers are sampled by the id of the program, so that its requests find the same engine
    // again, or else by the name of the daemon, so that requests use servers with open connections.
    let sampling_key = affinity.unwrap_or(&daemon.settings.name);
    let software = origin.map(stream_origin::required_software);
    let query = CandidateQuery {
        zone,
        range: HashRange::FULL,
        start: prefix_hash(sampling_key),
    };
    let servers = daemon.zone_state.with_rule(homes, zone, |rule| {
        let may_serve = |server: &ServerEntry| rule.serving_distance(&server.zone).is_ok();
        let is_usable =
            |server: &ServerEntry| may_serve(server) && !history.servers.contains(&server.id);
        let drawn = match &software {
            Some(software) => select_running(serving, software, &query, &is_usable),
            None => select_candidates(serving, &query, &is_usable),
        };
        let drawn = drawn.servers;
        let mut servers: Vec<&ServerEntry> = drawn.into_iter().map(|server| &**server).collect();
        let assigned = preferred.and_then(|id| directory.entry(id));
        let assigned = assigned.filter(|server| {
            let is_drawn = servers.iter().any(|drawn| drawn.id == server.id);
            let takes_work = !server.draining && Some(server.service.as_str()) == context.service();
            let is_compatible = software
                .as_ref()
                .is_none_or(|software| server.software() == *software);
            !is_drawn && takes_work && is_compatible && may_serve(server)
        });
        servers.extend(assigned);
        servers
    });
    let candidates: Vec<Candidate<'_>> = servers
        .into_iter()
        .filter_map(|server| candidate(context, server, now_ms))
        .collect();
    let request = Request {
        affinity,
        preferred,
        tried: &history.servers,
    };
    let index = balance::choose(&candidates, &request, fastrand::u64(..))?;
    Some(candidates[index].server.clone())
}

/// Returns the current state of a server, or `None` if it is cold and has no capacity.
fn candidate<'a>(
    context: &RequestContext,
    server: &'a ServerEntry,
    now_ms: u64,
) -> Option<Candidate<'a>> {
    let daemon = &context.daemon;
    let is_cold = daemon.cold.cold_limits(server).is_some();
    if is_cold && daemon.cold.denial_wait_ms(&server.id).is_some() {
        return None;
    }
    let status = daemon.pools.status(&server.id, &server.zone, now_ms);
    Some(Candidate {
        server,
        distance: daemon
            .zone_state
            .map
            .distance(&daemon.settings.zone, &server.zone),
        in_flight: status.in_flight,
        is_avoided: status.is_avoided,
        is_unhealthy: status.is_unhealthy,
        is_cold,
        has_idle_connection: status.has_idle_connection,
    })
}
