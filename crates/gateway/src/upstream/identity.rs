//! Asks the process at the address of a server which one it is.

use super::connection::ServerConnection;
use crate::daemon::Daemon;
use crate::http::write;
use fieldhook_traffic::directory::ServerEntry;
use fieldhook_traffic::process_identity::ProcessIdentity;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Maximum size of an answer, in bytes: a report of an engine has a few hundred.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Asks over a connection that has served no request. The answer holds for as long as the connection
/// is open. A connection without a complete answer cannot be used for anything else.
pub async fn ask(
    daemon: &Daemon,
    server: &ServerEntry,
    connection: &mut ServerConnection,
    limit: Duration,
) -> ProcessIdentity {
    let Some(bytes) = question(daemon, server) else {
        return ProcessIdentity::Unknown;
    };
    let started = Instant::now();
    let answer = timeout(limit, connection.query(&bytes, MAX_ANSWER_BYTES)).await;
    let status = match &answer {
        Ok(Ok((head, _))) => Some(head.status),
        _ => None,
    };
    let identity = match answer {
        Ok(Ok((head, body))) => {
            let dialect = &daemon.dialect;
            let statement = dialect.read_identity(head.status, &head.headers, &body);
            if let Some(started_ms) = statement.started_ms {
                daemon.pools.record_start(&server.id, started_ms);
            }
            let identity = statement.compare(server);
            connection.identity = Some(identity);
            identity
        }
        _ => {
            connection.mark_unusable();
            ProcessIdentity::Unknown
        }
    };
    let checks = &daemon.metrics.identity_checks;
    checks.with_label_values(&[identity.name()]).inc();
    if identity != ProcessIdentity::Same {
        tracing::info!(
            event = "server_identity",
            server = server.id,
            zone = server.zone,
            identity = identity.name(),
            status,
            took_ms = started.elapsed().as_millis() as u64,
            log_age_ms = daemon.log_health.ms_since_answer()
        );
    }
    identity
}

fn question(daemon: &Daemon, server: &ServerEntry) -> Option<Vec<u8>> {
    let routes = daemon.routes.borrow();
    let service = routes.as_ref()?.config.service(&server.service)?;
    let (target, headers) = daemon.dialect.identity_request(server, service)?;
    Some(write::request("GET", &target, &headers, b""))
}
