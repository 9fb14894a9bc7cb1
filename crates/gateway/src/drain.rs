//! The planned stop: clients are moved to other daemons, partitions are handed over, and requests
//! in progress are finished.

use crate::daemon::{Daemon, PlannedStop, ShutdownPhase};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// The stop ends this long before the end of the grace period, when the process is killed.
const KILL_MARGIN: Duration = Duration::from_millis(600);

/// Fraction of the grace period after which new requests are refused. Until then clients have time
/// to move to other daemons; afterwards, requests in progress have time to finish. One that could not
/// be expected to finish is refused before, see [`Daemon::can_finish`].
const REFUSE_AFTER: f64 = 0.375;

/// Runs the planned stop. Returns when the process may exit.
pub async fn run(daemon: Rc<Daemon>) {
    let started = Instant::now();
    let grace = Duration::from_millis(daemon.settings.grace_ms);
    let deadline = started + grace.saturating_sub(KILL_MARGIN);
    let refuse_at = started + grace.mul_f64(REFUSE_AFTER);
    daemon.planned_stop.set(Some(PlannedStop {
        refuse_at,
        end: deadline,
    }));
    tracing::info!(
        event = "stopping",
        in_flight = daemon.in_flight.get(),
        connections = daemon.client_connections.get()
    );
    let _ = daemon.shutdown.send(ShutdownPhase::Draining);
    daemon.relay.stop_serving();
    let owner = daemon.owner.clone();
    ntex::rt::spawn(async move { owner.release().await });
    while Instant::now() < deadline {
        if daemon.is_refusing() {
            daemon.shutdown.send_if_modified(|phase| {
                std::mem::replace(phase, ShutdownPhase::Refusing) != ShutdownPhase::Refusing
            });
        }
        let idle = daemon.in_flight.get() == 0 && daemon.client_connections.get() == 0;
        let closes_reported = daemon.ledger.pending_closes.get() == 0;
        if idle && closes_reported && daemon.owner.held_count() == 0 {
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
