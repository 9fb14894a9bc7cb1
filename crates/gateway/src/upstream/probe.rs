//! Probes whether the machine of a server can be reached, and waits for a response only as long as
//! it can. docs/design/zones-lost.md discusses the design.

use super::connection::ServerConnection;
use crate::daemon::Daemon;
use fieldhook_traffic::directory::ServerEntry;
use std::io::ErrorKind;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Timeout of a probe: eight times the round trip to the farthest region, and less than the one
/// second after which TCP retransmits a lost packet.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// A timeout that fires this much late shows that this process was paused.
const PROCESS_PAUSE: Duration = Duration::from_millis(150);
/// Minimum silence before a server is probed.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(150);
/// Pause while another task probes the same server.
const SHARED_PROBE_PAUSE: Duration = Duration::from_millis(30);

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The machine responded, even if the server did not accept the connection.
    Reachable,
    /// Nothing came back from the machine.
    Unreachable,
    /// This process was paused, so the result is meaningless.
    Inconclusive,
}

/// Probes a server by opening a connection. A connection that is established goes to the pool.
pub async fn probe(daemon: &Daemon, server: &ServerEntry) -> ProbeOutcome {
    let started = Instant::now();
    daemon.metrics.connections.inc();
    let connected = ServerConnection::connect(server.address, PROBE_TIMEOUT).await;
    let outcome = match &connected {
        Err(_) if started.elapsed() > PROBE_TIMEOUT + PROCESS_PAUSE => ProbeOutcome::Inconclusive,
        Err(error) if is_unreachable(error.kind()) => ProbeOutcome::Unreachable,
        Ok(_) | Err(_) => ProbeOutcome::Reachable,
    };
    record(daemon, server, outcome);
    if let Ok(connection) = connected {
        daemon.pools.release(&server.id, connection, None);
    }
    outcome
}

/// Returns whether a connect error means that nothing came back from the machine.
pub fn is_unreachable(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
    )
}

/// Records the result of a probe, and logs when it changes whether the server counts as silent.
pub fn record(daemon: &Daemon, server: &ServerEntry, outcome: ProbeOutcome) {
    let now_ms = daemon.now_ms();
    let has_changed = match outcome {
        ProbeOutcome::Reachable => daemon.pools.mark_responsive(server, now_ms),
        ProbeOutcome::Unreachable => daemon.pools.mark_unresponsive(server, now_ms),
        ProbeOutcome::Inconclusive => false,
    };
    if !has_changed {
        return;
    }
    let silent = outcome == ProbeOutcome::Unreachable;
    let label = if silent { "silent" } else { "heard_again" };
    daemon.metrics.silence.with_label_values(&[label]).inc();
    tracing::info!(
        event = "server_silence",
        server = server.id,
        zone = server.zone,
        silent,
        zone_in_doubt = daemon.pools.is_zone_suspect(&server.zone, now_ms)
    );
}

/// Waits for `response`, and returns `None` if the machine of the server becomes silent first.
/// `expected` is the time after which a response of the server counts as overdue.
pub async fn with_silence_detection<T>(
    daemon: &Daemon,
    server: &ServerEntry,
    expected: Duration,
    response: impl Future<Output = T>,
) -> Option<T> {
    let response = pin!(response);
    let silence = pin!(wait_until_silent(
        daemon,
        server,
        expected.max(MIN_PROBE_DELAY)
    ));
    tokio::select! {
        biased;
        received = response => {
            daemon.pools.mark_responsive(server, daemon.now_ms());
            Some(received)
        }
        () = silence => None,
    }
}

/// Returns once the server counts as silent.
async fn wait_until_silent(daemon: &Daemon, server: &ServerEntry, probe_delay: Duration) {
    sleep(probe_delay).await;
    loop {
        if daemon.pools.is_silent(&server.id, daemon.now_ms()) {
            return;
        }
        if daemon.pools.answered_probe_within(&server.id, probe_delay) {
            sleep(probe_delay).await;
            continue;
        }
        let Some(guard) = daemon.pools.begin_probe(&server.id) else {
            sleep(SHARED_PROBE_PAUSE).await;
            continue;
        };
        let outcome = probe(daemon, server).await;
        drop(guard);
        if outcome == ProbeOutcome::Reachable {
            daemon.pools.record_probe_answer(&server.id);
            sleep(probe_delay * 2).await;
        }
    }
}
