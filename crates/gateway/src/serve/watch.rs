//! Waiting for a server no longer than its machine lets itself be reached.

use super::request::RequestContext;
use crate::upstream::connection::ExchangeError;
use crate::upstream::probe;
use fieldhook_traffic::directory::ServerEntry;
use tokio::time::Instant;

/// Waits for what a server says next. Where an early end serves the client, that is no longer
/// than the server's machine lets itself be reached: a turn that broke off is sent anew, and
/// one that may be resumed goes on elsewhere. Calls that may not be repeated are waited for:
/// what is cut may come back within their time.
pub async fn watched<T>(
    context: &RequestContext,
    server: &ServerEntry,
    answer: impl Future<Output = Result<T, ExchangeError>>,
) -> Result<T, ExchangeError> {
    let route = &context.entry.route;
    if !route.kind.is_stream() {
        return answer.await;
    }
    let pauses = &context.daemon.pauses;
    let begun = Instant::now();
    let usual = pauses.overdue_after(&route.name);
    let heard = probe::with_silence_detection(&context.daemon, server, usual, answer).await;
    if heard.is_some() {
        pauses.observe(&route.name, begun.elapsed());
    }
    heard.unwrap_or(Err(ExchangeError::ServerSilent))
}
