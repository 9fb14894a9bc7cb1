//! Whether a request may be sent at this moment: the operator's word on evacuations goes
//! before the choice of a server, and once more right before the bytes go out.

use super::attempt::DispatchFailure;
use super::homes;
use super::request::RequestContext;
use fieldhook_topology::zone_rule::Denial;
use fieldhook_traffic::attempt::AttemptFailure;
use fieldhook_traffic::directory::ServerEntry;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a request waits until what is known of evacuations is confirmed. After a stop
/// of the process the log confirms it with one short read, which takes a few milliseconds
/// and a pause of up to 40 ms after the read that the stop had cut.
const CONFIRM_PATIENCE: Duration = Duration::from_millis(300);
/// Pause between looks at it.
const CONFIRM_PERIOD: Duration = Duration::from_millis(10);

/// Waits a moment where what is known of evacuations is too old to go by.
///
/// # Errors
/// It is still too old.
pub async fn confirm(context: &RequestContext) -> Result<(), DispatchFailure> {
    let daemon = &context.daemon;
    let until = Instant::now() + CONFIRM_PATIENCE;
    while daemon.is_doubtful() {
        if Instant::now() >= until {
            tracing::info!(
                event = "evacuations_uncertain",
                request = context.meta.id,
                word_age_ms = daemon.owner.config.age_ms(),
                reach = ?daemon.ledger.reach.get(),
                age_ms = context.age_ms()
            );
            return Err(DispatchFailure::Uncertain);
        }
        sleep(CONFIRM_PERIOD).await;
    }
    Ok(())
}

/// Whether a server that was chosen may still be sent to: while its connection came up it
/// may have begun to leave, its zone may have been evacuated, or this process stopped.
///
/// # Errors
/// It may not; nothing was sent.
pub fn still(context: &RequestContext, server: &ServerEntry) -> Result<(), DispatchFailure> {
    let daemon = &context.daemon;
    let cause = if !daemon.directory.borrow().accepts_work(&server.id) {
        "server_leaves"
    } else if daemon.places.is_evacuated(&server.zone) {
        "zone_evacuated"
    } else if !may_hold(context, server) {
        "homes_narrowed"
    } else if daemon.is_doubtful() {
        "evacuations_uncertain"
    } else {
        return Ok(());
    };
    tracing::info!(
        event = "attempt_failed",
        request = context.meta.id,
        server = server.id,
        outcome = "withdrawn",
        cause,
        age_ms = context.age_ms()
    );
    Err(DispatchFailure::Attempt(AttemptFailure::NotSent))
}

/// Whether the regions that the configuration of this moment allows hold a server.
fn may_hold(context: &RequestContext, server: &ServerEntry) -> bool {
    let places = &context.daemon.places;
    let homes = homes::now(context);
    places.with_rule(&homes, &server.zone, |rule| rule.may_store(&server.zone))
}

/// Why no server was found: all that could serve the request may stand in evacuated zones.
pub fn absence(context: &RequestContext) -> DispatchFailure {
    let daemon = &context.daemon;
    let Some(service) = context.service() else {
        return DispatchFailure::NoServer;
    };
    let directory = daemon.directory.borrow();
    let zone = &daemon.settings.zone;
    let homes = homes::now(context);
    let denials: Result<Vec<Denial>, ()> = daemon.places.with_rule(&homes, zone, |rule| {
        let zones = directory.zones_of(service);
        zones
            .map(|zone| rule.serving_distance(zone).err().ok_or(()))
            .collect()
    });
    match denials {
        Ok(denials) if denials.contains(&Denial::Evacuated) => DispatchFailure::Evacuated,
        _ => DispatchFailure::NoServer,
    }
}
