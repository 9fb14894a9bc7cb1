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
const PROBE_LIMIT: Duration = Duration::from_millis(200);
/// A time-out that fires this much late shows that the process did not run.
const WOKEN_AFTER: Duration = Duration::from_millis(150);
/// Nothing is tried earlier than after this much silence.
const EARLIEST: Duration = Duration::from_millis(150);
/// Pause while another waits for the outcome of the same try.
const SHARED_PAUSE: Duration = Duration::from_millis(30);

/// What a try showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probed {
    /// The machine answers, whatever its server does.
    Answered,
    /// Nothing came back.
    Unanswered,
    /// This process did not run: nobody can tell.
    Unknown,
}

/// Tries a connection to a server; one that comes about is kept for a request.
pub async fn probe(daemon: &Daemon, server: &ServerEntry) -> Probed {
    let begun = Instant::now();
    daemon.metrics.connections.inc();
    let connected = ServerConnection::connect(server.address, PROBE_LIMIT).await;
    let probed = match &connected {
        Err(_) if begun.elapsed() > PROBE_LIMIT + WOKEN_AFTER => Probed::Unknown,
        Err(error) if is_unanswered(error.kind()) => Probed::Unanswered,
        Ok(_) | Err(_) => Probed::Answered,
    };
    note(daemon, server, probed);
    if let Ok(connection) = connected {
        daemon.pools.give_back(&server.id, connection, None);
    }
    probed
}

/// Whether a failed connection shows that nothing came back from the machine.
pub fn is_unanswered(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
    )
}

/// Takes in what a try showed, and tells where that changes what is believed.
pub fn note(daemon: &Daemon, server: &ServerEntry, probed: Probed) {
    let now_ms = daemon.now_ms();
    let changed = match probed {
        Probed::Answered => daemon.pools.heard(server, now_ms),
        Probed::Unanswered => daemon.pools.missed(server, now_ms),
        Probed::Unknown => false,
    };
    if !changed {
        return;
    }
    let silent = probed == Probed::Unanswered;
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
/// `None` stands for that. `usual` is the time after which its answers were late so far.
pub async fn until_silent<T>(
    daemon: &Daemon,
    server: &ServerEntry,
    usual: Duration,
    answer: impl Future<Output = T>,
) -> Option<T> {
    let answer = pin!(answer);
    let silence = pin!(silence(daemon, server, usual.max(EARLIEST)));
    tokio::select! {
        biased;
        answer = answer => {
            daemon.pools.heard(server, daemon.now_ms());
            Some(answer)
        }
        () = silence => None,
    }
}

/// Ends once a server is silent.
async fn silence(daemon: &Daemon, server: &ServerEntry, patience: Duration) {
    sleep(patience).await;
    loop {
        if daemon.pools.is_silent(&server.id, daemon.now_ms()) {
            return;
        }
        if daemon.pools.answered_try_within(&server.id, patience) {
            sleep(patience).await;
            continue;
        }
        let Some(probing) = daemon.pools.begin_probe(&server.id) else {
            sleep(SHARED_PAUSE).await;
            continue;
        };
        let probed = probe(daemon, server).await;
        drop(probing);
        if probed == Probed::Answered {
            daemon.pools.answered_try(&server.id);
            sleep(patience * 2).await;
        }
    }
}
