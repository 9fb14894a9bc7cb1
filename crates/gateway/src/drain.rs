//! The planned stop: no new clients, partitions handed over, requests finished.

use crate::daemon::{Daemon, ShutdownPhase};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Time left unused before the process would be killed.
const MARGIN: Duration = Duration::from_millis(600);

/// Part of the grace time after which new requests are refused: by then clients had
/// the time to hear that they should go elsewhere, and what came before has the time
/// to end.
const REFUSE_SHARE: f64 = 0.375;

/// Stops in order; returns when the process may end.
pub async fn run(daemon: Rc<Daemon>) {
    let started = Instant::now();
    let latest = started + Duration::from_millis(daemon.settings.grace_ms).saturating_sub(MARGIN);
    tracing::info!(
        event = "stopping",
        in_flight = daemon.in_flight.get(),
        connections = daemon.client_connections.get()
    );
    let _ = daemon.shutdown.send(ShutdownPhase::Draining);
    daemon.relay.stop_serving();
    let owner = daemon.owner.clone();
    ntex::rt::spawn(async move { owner.release().await });
    let refuse_at = started + Duration::from_millis(daemon.settings.grace_ms).mul_f64(REFUSE_SHARE);
    while Instant::now() < latest {
        if Instant::now() >= refuse_at && !daemon.is_refusing() {
            let _ = daemon.shutdown.send(ShutdownPhase::Refusing);
        }
        let idle = daemon.in_flight.get() == 0 && daemon.client_connections.get() == 0;
        let ends_told = daemon.ledger.pending_closes.get() == 0;
        if idle && ends_told && daemon.owner.held_count() == 0 {
            break;
        }
        sleep(CHECK_PERIOD).await;
    }
    tracing::info!(
        event = "stopped",
        in_flight = daemon.in_flight.get(),
        connections = daemon.client_connections.get(),
        ends_untold = daemon.ledger.pending_closes.get(),
        took_ms = started.elapsed().as_millis() as u64
    );
}
