//! The server that a request is sent to, of those that may serve it.

use super::attempt::Tried;
use super::request::RequestContext;
use fieldhook_topology::region::Set;
use fieldhook_traffic::balance::{self, Candidate, Request};
use fieldhook_traffic::directory::ServerEntry;

/// Chooses among servers that the request was not sent to, and that its places allow. Cold
/// ones that have no place now are passed over.
pub fn choose(context: &RequestContext, homes: &Set, tried: &Tried) -> Option<ServerEntry> {
    let daemon = &context.daemon;
    let service = context.service()?;
    let directory = daemon.directory.borrow();
    let now_ms = daemon.now_ms();
    let zone = &daemon.settings.zone;
    let mut candidates: Vec<Candidate<'_>> = daemon.places.with_rule(homes, zone, |rule| {
        let allowed = directory.serving(service).filter_map(|server| {
            let distance = rule.serve(&server.zone).ok()?;
            let is_cold = daemon.cold.cold(server).is_some();
            if is_cold && daemon.cold.denied_ms(&server.id).is_some() {
                return None;
            }
            let view = daemon.pools.view(&server.id, &server.zone, now_ms);
            Some(Candidate {
                server,
                distance,
                in_flight: view.in_flight,
                avoided: view.avoided,
                unsound: view.unsound,
                is_cold,
                has_idle_connection: view.has_idle_connection,
            })
        });
        allowed.collect()
    });
    candidates.sort_by(|left, right| left.server.id.cmp(&right.server.id));
    let is_stream = context.entry.route.kind.is_stream();
    let affinity = context.meta.program.as_deref().filter(|_| is_stream);
    let request = Request {
        affinity,
        preferred: context.engine.as_deref(),
        tried: &tried.servers,
    };
    let index = balance::choose(&candidates, &request, fastrand::u64(..))?;
    Some(candidates[index].server.clone())
}
