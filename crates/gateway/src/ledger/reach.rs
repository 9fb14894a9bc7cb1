//! Keeps the belief of what this daemon reaches, by asking others while its own calls to
//! the log fail, and by looking at the zones while an owner is silent.

use crate::daemon::Daemon;
use crate::upstream::probe::{self, ProbeOutcome};
use fieldhook_log::reach::{Look, Reach, ReachTracker, Round};
use fieldhook_traffic::directory::ServerEntry;
use futures_util::future::join_all;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const PERIOD: Duration = Duration::from_millis(200);
/// So long after it was last ready a daemon has missed two of the platform's questions, which
/// come every second, and gets no new connections.
const AWAY_AFTER: Duration = Duration::from_millis(2_100);
/// Partition of the log that is tried: a cut lies between machines.
const ANY_PARTITION: u32 = 0;
/// Servers of each other zone that are tried: one may be down by itself.
const TRIED_IN_ZONE: usize = 2;

/// Judges for good. Nobody is asked while the log and the owners answer.
pub async fn run(daemon: Rc<Daemon>) {
    let ledger = daemon.ledger.clone();
    let mut tracker = ReachTracker::default();
    let mut changed = Instant::now();
    loop {
        sleep(PERIOD).await;
        let away = ledger.reach.get() == Reach::Minority && changed.elapsed() >= AWAY_AFTER;
        daemon
            .close_idle
            .send_if_modified(|now| std::mem::replace(now, away) != away);
        let round = match ledger.log_health.is_lost() {
            true => ledger.ask_who_reaches_log().await,
            false => Round::Heard,
        };
        let in_doubt = ledger.silent_owner.take() || tracker.reach() == Reach::Minority;
        let look = match in_doubt {
            true => Some(look_around(&daemon).await),
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

/// What this daemon reaches of zones, owners and the log.
async fn look_around(daemon: &Daemon) -> Look {
    let (zones, (asked, answered), log) = tokio::join!(
        look_at_zones(daemon),
        daemon.ledger.ask_who_answers(),
        reaches_log(daemon)
    );
    Look {
        asked,
        answered,
        log,
        ..zones
    }
}

async fn look_at_zones(daemon: &Daemon) -> Look {
    let own = daemon.zone_state.zone.to_string();
    let mut by_zone: BTreeMap<String, Vec<ServerEntry>> = {
        let directory = daemon.directory.borrow();
        let some = directory.some_of_each_zone(TRIED_IN_ZONE, fastrand::u64(..));
        let owned = |servers: Vec<&ServerEntry>| servers.into_iter().cloned().collect();
        some.into_iter()
            .map(|(zone, servers)| (zone.to_owned(), owned(servers)))
            .collect()
    };
    by_zone.entry(own.clone()).or_default();
    let first = by_zone.keys().next().cloned();
    let zones = by_zone.len();
    by_zone.remove(&own);
    let looks = by_zone
        .into_iter()
        .map(|(zone, servers)| async move { reaches(daemon, servers).await.then_some(zone) });
    let mut reached: Vec<String> = join_all(looks).await.into_iter().flatten().collect();
    reached.push(own);
    Look {
        zones,
        zones_reached: reached.len(),
        reaches_first: first.is_some_and(|first| reached.contains(&first)),
        ..Look::default()
    }
}

/// Whether the log answered a moment ago, or does now.
async fn reaches_log(daemon: &Daemon) -> bool {
    let ledger = &daemon.ledger;
    ledger.log_health.answered_within(PERIOD) || ledger.reaches(ANY_PARTITION).await
}

/// Whether one of some servers lets itself be reached.
async fn reaches(daemon: &Daemon, mut servers: Vec<ServerEntry>) -> bool {
    fastrand::shuffle(&mut servers);
    servers.truncate(TRIED_IN_ZONE);
    let probes = servers.iter().map(|server| probe::probe(daemon, server));
    join_all(probes)
        .await
        .into_iter()
        .any(|probed| probed != ProbeOutcome::Unreachable)
}
