//! Stops waiting for a server whose machine is no longer reachable.

use super::request::RequestContext;
use crate::upstream::connection::ExchangeError;
use crate::upstream::probe;
use fieldhook_traffic::directory::ServerEntry;
use tokio::time::Instant;

/// Waits for the next input from a server. For streams, stops as soon as the machine of the server
/// is unreachable, because the client benefits: an aborted turn is sent again, and a resumable
/// stream continues elsewhere. Other calls may not be repeatable and keep waiting, since the
/// network may recover before their deadline.
pub async fn abort_if_silent<T>(
    context: &RequestContext,
    server: &ServerEntry,
    response: impl Future<Output = Result<T, ExchangeError>>,
) -> Result<T, ExchangeError> {
    let route = &context.entry.route;
    if !route.kind.is_stream() {
        return response.await;
    }
    let stream_gaps = &context.daemon.stream_gaps;
    let started = Instant::now();
    let expected = stream_gaps.overdue_after(&route.name);
    let received = probe::with_silence_detection(&context.daemon, server, expected, response).await;
    if received.is_some() {
        stream_gaps.observe(&route.name, started.elapsed());
    }
    received.unwrap_or(Err(ExchangeError::ServerSilent))
}
