//! Determines what this daemon can reach. It polls other daemons while its own log calls fail, and
//! probes the zones while an owner does not answer.

use crate::daemon::Daemon;
use crate::upstream::probe::{self, ProbeOutcome};
use fieldhook_log::reach::{Look, Reach, ReachTracker, Round};
use fieldhook_traffic::directory::ServerEntry;
use futures_util::future::join_all;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Pause between two assessments.
const ASSESSMENT_PERIOD: Duration = Duration::from_millis(200);
/// After this time in [`Reach::Minority`], a daemon has failed two of the platform's readiness
/// checks, which are sent every second, and gets no new connections. It then closes idle
/// connections.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(2_100);
/// Partition of the log that is probed. Any will do, since a network partition cuts off machines
/// and not single partitions.
const PROBED_PARTITION: u32 = 0;
/// Number of servers that are probed in each other zone: a single one may be down on its own.
const PROBED_PER_ZONE: usize = 2;

/// Assesses reachability until the daemon exits. Nothing is probed while the log and the owners
/// answer.
pub async fn run(daemon: Rc<Daemon>) {
    let ledger = daemon.ledger.clone();
    let mut tracker = ReachTracker::default();
    let mut changed = Instant::now();
    loop {
        sleep(ASSESSMENT_PERIOD).await;
        let closes_idle =
            ledger.reach.get() == Reach::Minority && changed.elapsed() >= CLOSE_IDLE_AFTER;
        daemon
            .close_idle
            .send_if_modified(|now| std::mem::replace(now, closes_idle) != closes_idle);
        let round = match ledger.log_health.is_lost() {
            true => ledger.poll_peers_for_log().await,
            false => Round::Heard,
        };
        let must_check = ledger.owner_timed_out.take() || tracker.reach() == Reach::Minority;
        let look = match must_check {
            true => Some(check_reachability(&daemon).await),
            false => None,
        };
        let Some(reach) = tracker.update_with(round, look) else {
            continue;
        };
        ledger.reach.set(reach);
        changed = Instant::now();
        tracing::info!(
            event = "reach_changed",
            ?reach,
            ?round,
            ?look,
            log_age_ms = ledger.log_health.ms_since_answer()
        );
        if matches!(reach, Reach::CutOff | Reach::Minority) {
            ledger.owner.claims.changed.notify_waiters();
        }
    }
}

/// Probes the zones, the owners and the log.
async fn check_reachability(daemon: &Daemon) -> Look {
    let (zones, (asked, answered), log) = tokio::join!(
        probe_zones(daemon),
        daemon.ledger.poll_reachable_peers(),
        reaches_log(daemon)
    );
    Look {
        asked,
        answered,
        log,
        ..zones
    }
}

/// Probes some servers of every other zone.
async fn probe_zones(daemon: &Daemon) -> Look {
    let own = daemon.zone_state.zone.to_string();
    let mut by_zone: BTreeMap<String, Vec<ServerEntry>> = {
        let directory = daemon.directory.borrow();
        let routes = daemon.routes.borrow();
        let services = routes.iter().flat_map(|table| &table.config.services);
        let services = services.map(|service| service.name.as_str());
        let sample = directory.sample_zones(services, PROBED_PER_ZONE, fastrand::u64(..));
        let to_owned = |servers: Vec<&ServerEntry>| servers.into_iter().cloned().collect();
        sample
            .into_iter()
            .map(|(zone, servers)| (zone.to_owned(), to_owned(servers)))
            .collect()
    };
    by_zone.entry(own.clone()).or_default();
    let first = by_zone.keys().next().cloned();
    let zones = by_zone.len();
    by_zone.remove(&own);
    let probes = by_zone
        .into_iter()
        .map(|(zone, servers)| async move { reaches_any(daemon, servers).await.then_some(zone) });
    let mut reached: Vec<String> = join_all(probes).await.into_iter().flatten().collect();
    reached.push(own);
    Look {
        zones,
        zones_reached: reached.len(),
        reaches_first: first.is_some_and(|first| reached.contains(&first)),
        ..Look::default()
    }
}

/// Whether the log answered recently or answers now.
async fn reaches_log(daemon: &Daemon) -> bool {
    let ledger = &daemon.ledger;
    ledger.log_health.answered_within(ASSESSMENT_PERIOD)
        || ledger.log_accepts_appends(PROBED_PARTITION).await
}

/// Whether at least one of a sample of the servers can be reached.
async fn reaches_any(daemon: &Daemon, mut servers: Vec<ServerEntry>) -> bool {
    fastrand::shuffle(&mut servers);
    servers.truncate(PROBED_PER_ZONE);
    let probes = servers.iter().map(|server| probe::probe(daemon, server));
    join_all(probes)
        .await
        .into_iter()
        .any(|probed| probed != ProbeOutcome::Unreachable)
}
