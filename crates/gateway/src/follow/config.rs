//! Follows the configuration topic. While the log answers other daemons but not this one, the
//! configuration comes from those daemons instead.

use super::unreadable::{RecordSource, UnreadableReport};
use crate::daemon::Daemon;
use fieldhook_log::api::{KeyedRecord, Partition};
use fieldhook_log::follow::{Follower, Update};
use fieldhook_log::reach::Reach;
use fieldhook_topology::evacuation::State;
use fieldhook_traffic::config::TrafficConfig;
use fieldhook_traffic::residency;
use fieldhook_traffic::route_table::{RouteTable, supersedes};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between requests to other daemons. It is well below the time within which a new
/// configuration has to be in use (2 s in the smallest deployment).
const PEER_POLL_PERIOD: Duration = Duration::from_millis(400);

/// Number of problems of one configuration that are logged individually, one line each, so that
/// the log volume stays bounded.
const MAX_LOGGED_PROBLEMS: usize = 50;

/// Configuration documents that cannot be parsed.
const UNREADABLE_CONFIG: RecordSource = RecordSource {
    event: "config_unreadable",
    kind: "configuration",
    remedy: "the previous configuration stays active; publish a corrected one with a higher version",
};
/// Evacuation records whose key does not name a zone.
const UNREADABLE_EVACUATION: RecordSource = RecordSource {
    event: "zone_unreadable",
    kind: "evacuation",
    remedy: "the record evacuates no zone; use the zone names from the settings",
};

/// Follows the configuration topic until the daemon exits.
pub async fn run(daemon: Rc<Daemon>) {
    let partition = Partition {
        topic: daemon.topics.config.clone(),
        number: 0,
    };
    let cache = daemon.owner.config.clone();
    let mut follower = Follower::new(
        daemon.relay.clone(),
        daemon.log_health.clone(),
        partition,
        super::long_poll::max_config_wait(&daemon.settings),
    )
    .on_caught_up(Box::new(move |age_ms| cache.confirm(age_ms)));
    loop {
        let (records, is_listing) = match follower.next_update().await {
            Update::Listing(records) => (records, true),
            Update::Records(records) => (records, false),
        };
        let listed = apply_all(&daemon, &records);
        if is_listing {
            daemon
                .zone_state
                .apply_listing(&listed, follower.position());
        }
    }
}

/// Applies records of the configuration topic; returns the zones that they evacuate.
fn apply_all<'a>(daemon: &Daemon, records: &'a [(u64, KeyedRecord)]) -> Vec<&'a str> {
    let mut evacuated = Vec::new();
    let mut unreadable = UnreadableReport::new(UNREADABLE_EVACUATION, &daemon.metrics);
    for (offset, record) in records {
        if record.key == daemon.topics.config_key {
            apply(daemon, Some(*offset), &record.value);
            continue;
        }
        let state = match record.value.is_empty() {
            true => State::Open,
            false => State::Evacuated,
        };
        let zone = match evacuated_zone(daemon, record) {
            None => continue,
            Some(Ok(zone)) => zone,
            Some(Err(problem)) => {
                let cache = &daemon.owner.config;
                if cache.is_first_rejection(Some(*offset), &record.key) {
                    unreadable.add(&record.key, Some(*offset), problem);
                }
                continue;
            }
        };
        daemon.zone_state.apply(zone, state, *offset, "log");
        if state == State::Evacuated {
            evacuated.push(zone);
        }
    }
    evacuated
}

/// Polls other daemons for the configuration while the log may answer them but not this one: its
/// calls fail, and it is not known to be down for all daemons ([`Reach::Outage`]). Also polls while
/// the known evacuations are too old to be used.
pub async fn poll_peers(daemon: Rc<Daemon>) {
    loop {
        sleep(PEER_POLL_PERIOD).await;
        let is_outage = daemon.ledger.reach.get() == Reach::Outage;
        let is_evacuation_state_stale = daemon.is_evacuation_state_stale();
        let may_be_behind = daemon.log_health.is_failing() && !is_outage;
        if !may_be_behind && !is_evacuation_state_stale {
            continue;
        }
        let version = daemon.owner.config.version();
        let replies = daemon.ledger.query_peer_configs(version).await;
        // During an outage the log cannot confirm the known evacuations; answers of other daemons
        // do.
        if is_outage && !replies.is_empty() {
            daemon.zone_state.accept_unconfirmed();
        }
        for update in replies {
            if let Some(document) = update.document {
                apply(&daemon, None, &document);
            }
            for evacuation in &update.evacuations {
                daemon.zone_state.apply_peer_status(evacuation);
            }
            if let Some(age_ms) = update.age_ms {
                daemon.owner.config.confirm(age_ms);
            }
        }
    }
}

/// Returns the zone of an evacuation record, or `None` if the record is of another kind.
fn evacuated_zone<'a>(
    daemon: &Daemon,
    record: &'a KeyedRecord,
) -> Option<Result<&'a str, &'static str>> {
    if record.key.is_empty() {
        return Some(Err("the record has no key"));
    }
    let name = record
        .key
        .strip_prefix(daemon.topics.evacuation_prefix.as_slice())?;
    Some(match std::str::from_utf8(name) {
        Ok(zone) if !zone.is_empty() => Ok(zone),
        _ => Err("the key does not name a zone"),
    })
}

/// Applies a configuration document. One that came from another daemon has no log offset.
fn apply(daemon: &Daemon, offset: Option<u64>, document: &[u8]) {
    let config = match daemon.dialect.traffic_config(document) {
        Ok(config) => config,
        Err(problem) => {
            if daemon.owner.config.is_first_rejection(offset, document) {
                let key = &daemon.topics.config_key;
                UnreadableReport::new(UNREADABLE_CONFIG, &daemon.metrics)
                    .add(key, offset, &problem);
            }
            return;
        }
    };
    let current = daemon
        .routes
        .borrow()
        .as_ref()
        .map(|table| table.config.version);
    if !supersedes(current, config.version) {
        return;
    }
    daemon.owner.config.set(config.version, document);
    daemon.metrics.config_version.set(config.version as i64);
    tracing::info!(
        event = "config_in_force",
        version = config.version,
        former = current,
        offset,
        routes = config.routes.len(),
        tenants = config.tenants.as_ref().map(Vec::len),
    );
    apply_homes(daemon, &config);
    let is_route = |name: &str| config.routes.iter().any(|route| route.name == name);
    daemon.response_times.retain(&is_route);
    daemon.stream_gaps.retain(&is_route);
    apply_turn_times(daemon, &config);
    daemon.cold.set_config(&config);
    let previous = daemon.routes.borrow().clone();
    let table = RouteTable::new(config, previous.as_deref(), fastrand::u64(..));
    daemon.routes.replace(Some(Rc::new(table)));
    daemon.routes_changed.notify_waiters();
}

/// Applies how long turns may take and are stored.
fn apply_turn_times(daemon: &Daemon, config: &TrafficConfig) {
    let streams = config.routes.iter().filter(|route| route.kind.is_stream());
    let longest_ms = streams.clone().map(|route| route.timeout_ms).max();
    let retention_ms = streams.map(|route| route.retention_ms).max();
    if let (Some(longest_ms), Some(retention_ms)) = (longest_ms, retention_ms) {
        daemon.owner.set_longest_turn(longest_ms, retention_ms);
    }
}

/// Applies the home regions of a configuration and logs routes and tenants that no region can
/// serve.
fn apply_homes(daemon: &Daemon, config: &TrafficConfig) {
    daemon
        .zone_state
        .set_home_regions(residency::named_regions(config));
    let problems = residency::find_problems(config, &daemon.zone_state.map);
    for problem in problems.iter().take(MAX_LOGGED_PROBLEMS) {
        tracing::error!(
            event = "homes_unservable",
            version = config.version,
            route = problem.route,
            tenant = problem.tenant.as_deref(),
            problem = %problem.kind
        );
    }
    if let Some(more) = problems.len().checked_sub(MAX_LOGGED_PROBLEMS + 1) {
        tracing::error!(
            event = "homes_unservable",
            version = config.version,
            unnamed = more + 1,
            problem = "more pairs of route and tenant have problems; fix the ones listed first"
        );
    }
}
