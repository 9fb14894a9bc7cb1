//! Trying whether a server's machine lets itself be reached, and waiting for a server only
//! as long as it does. docs/design/zones-lost.md tells what was weighed.

use super::connection::ServerConnection;
use crate::daemon::Daemon;
use fieldhook_traffic::directory::ServerEntry;
use std::io::ErrorKind;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A machine answers within this time or not at all: eight times the way to the farthest
/// region and back, and below the second after which a lost packet is sent again.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// A time-out that fires this much late shows that the process did not run.
const WAKEUP_TOLERANCE: Duration = Duration::from_millis(150);
/// Nothing is tried earlier than after this much silence.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(150);
/// Pause while another waits for the outcome of the same try.
const SHARED_PROBE_PAUSE: Duration = Duration::from_millis(30);

/// What a try showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The machine answers, whatever its server does.
    Reachable,
    /// Nothing came back.
    Unreachable,
    /// This process did not run: nobody can tell.
    Inconclusive,
}

/// Tries a connection to a server; one that comes about is kept for a request.
pub async fn probe(daemon: &Daemon, server: &ServerEntry) -> ProbeOutcome {
    let started = Instant::now();
    daemon.metrics.connections.inc();
    let connected = ServerConnection::connect(server.address, PROBE_TIMEOUT).await;
    let outcome = match &connected {
        Err(_) if started.elapsed() > PROBE_TIMEOUT + WAKEUP_TOLERANCE => {
            ProbeOutcome::Inconclusive
        }
        Err(error) if is_unreachable(error.kind()) => ProbeOutcome::Unreachable,
        Ok(_) | Err(_) => ProbeOutcome::Reachable,
    };
    record(daemon, server, outcome);
    if let Ok(connection) = connected {
        daemon.pools.release(&server.id, connection, None);
    }
    outcome
}

/// Whether a failed connection shows that nothing came back from the machine.
pub fn is_unreachable(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
    )
}

/// Takes in what a try showed, and tells where that changes what is believed.
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
        zone_in_doubt = daemon.pools.is_zone_in_doubt(&server.zone, now_ms)
    );
}

/// Waits for what a server says next, and gives it up where its machine has gone silent:
/// `None` stands for that. `expected` is the time after which its answers were late so far.
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

/// Ends once a server is silent.
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
