//! The configuration in force: read from the log, or learned from other daemons while the
//! log answers them and not this one.

use super::unreadable::{Report, Source};
use crate::daemon::Daemon;
use fieldhook_log::api::{KeyedRecord, Partition};
use fieldhook_log::follow::{Follower, Update};
use fieldhook_log::reach::Reach;
use fieldhook_topology::evacuation::State;
use fieldhook_traffic::config::TrafficConfig;
use fieldhook_traffic::homes;
use fieldhook_traffic::table::{RouteTable, supersedes};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between questions to other daemons: well within the time in which a configuration
/// has to be in force (2 s on the smallest deployment).
const PEER_PERIOD: Duration = Duration::from_millis(400);

/// Problems of one configuration that are named, a line each: the volume of logs is bounded.
const MOST_PROBLEMS: usize = 50;

/// Configurations that can't be read.
const FOREIGN_CONFIG: Source = Source {
    event: "config_unreadable",
    kind: "configuration",
    remedy: "the former one stays in force; publish a corrected one with a higher version",
};
/// Evacuations of what is no zone.
const FOREIGN_ZONE: Source = Source {
    event: "zone_unreadable",
    kind: "evacuation",
    remedy: "it evacuates nothing; evacuate zones by their names in the settings",
};

/// Follows the configuration for good.
pub async fn run(daemon: Rc<Daemon>) {
    let partition = Partition {
        topic: daemon.topics.config.clone(),
        number: 0,
    };
    let known = daemon.owner.config.clone();
    let mut follower = Follower::new(
        daemon.relay.clone(),
        daemon.log_health.clone(),
        partition,
        super::long_poll::max_config_wait(&daemon.settings),
    )
    .on_caught_up(Box::new(move |age_ms| known.confirm(age_ms)));
    loop {
        let (records, is_listing) = match follower.next_update().await {
            Update::Listing(records) => (records, true),
            Update::Records(records) => (records, false),
        };
        let listed = take_all(&daemon, &records);
        if is_listing {
            daemon
                .zone_state
                .apply_listing(&listed, follower.position());
        }
    }
}

/// Takes in the operator's records; the zones that they evacuate.
fn take_all<'a>(daemon: &Daemon, records: &'a [(u64, KeyedRecord)]) -> Vec<&'a str> {
    let mut evacuated = Vec::new();
    let mut foreign = Report::new(FOREIGN_ZONE, &daemon.metrics);
    for (offset, record) in records {
        if record.key == daemon.topics.config_key {
            take(daemon, Some(*offset), &record.value);
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
                let known = &daemon.owner.config;
                if known.is_first_refusal(Some(*offset), &record.key) {
                    foreign.add(&record.key, Some(*offset), problem);
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

/// Asks other daemons for the configuration while the log may answer them and not this one.
pub async fn poll_peers(daemon: Rc<Daemon>) {
    loop {
        sleep(PEER_PERIOD).await;
        let is_outage = daemon.ledger.reach.get() == Reach::Outage;
        let is_evacuation_state_stale = daemon.is_evacuation_state_stale();
        let may_be_behind = daemon.log_health.is_failing() && !is_outage;
        if !may_be_behind && !is_evacuation_state_stale {
            continue;
        }
        let version = daemon.owner.config.version();
        let answers = daemon.ledger.ask_for_config(version).await;
        if is_outage && !answers.is_empty() {
            daemon.zone_state.confirm();
        }
        for news in answers {
            if let Some(document) = news.document {
                take(&daemon, None, &document);
            }
            for evacuation in &news.evacuations {
                daemon.zone_state.apply_peer_status(evacuation);
            }
            if let Some(age_ms) = news.age_ms {
                daemon.owner.config.confirm(age_ms);
            }
        }
    }
}

/// The zone that a record of the operator's topic is about, if it is about one.
fn evacuated_zone<'a>(
    daemon: &Daemon,
    record: &'a KeyedRecord,
) -> Option<Result<&'a str, &'static str>> {
    if record.key.is_empty() {
        return Some(Err("it has no key"));
    }
    let name = record
        .key
        .strip_prefix(daemon.topics.evacuation_prefix.as_slice())?;
    Some(match std::str::from_utf8(name) {
        Ok(zone) if !zone.is_empty() => Ok(zone),
        _ => Err("its key names no zone"),
    })
}

/// Takes in a document; one that was learned from another daemon has no offset in the log.
fn take(daemon: &Daemon, offset: Option<u64>, document: &[u8]) {
    let config = match daemon.dialect.traffic_config(document) {
        Ok(config) => config,
        Err(problem) => {
            if daemon.owner.config.is_first_refusal(offset, document) {
                let key = &daemon.topics.config_key;
                Report::new(FOREIGN_CONFIG, &daemon.metrics).add(key, offset, &problem);
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
    take_homes(daemon, &config);
    let is_route = |name: &str| config.routes.iter().any(|route| route.name == name);
    daemon.response_times.retain(&is_route);
    daemon.stream_gaps.retain(&is_route);
    let turns = config.routes.iter().filter(|route| route.kind.is_stream());
    if let Some(longest_ms) = turns.map(|route| route.timeout_ms).max() {
        daemon.owner.set_longest_turn(longest_ms);
    }
    daemon.cold.set_config(&config);
    let former = daemon.routes.borrow().clone();
    let table = RouteTable::new(config, former.as_deref(), fastrand::u64(..));
    daemon.routes.replace(Some(Rc::new(table)));
    daemon.routes_changed.notify_waiters();
}

/// Takes in the homes of a configuration, and says what is wrong with them.
fn take_homes(daemon: &Daemon, config: &TrafficConfig) {
    daemon.zone_state.set_home_regions(homes::regions(config));
    let problems = homes::problems(config, &daemon.zone_state.map);
    for problem in problems.iter().take(MOST_PROBLEMS) {
        tracing::error!(
            event = "homes_unservable",
            version = config.version,
            route = problem.route,
            tenant = problem.tenant.as_deref(),
            problem = %problem.fault
        );
    }
    if let Some(more) = problems.len().checked_sub(MOST_PROBLEMS + 1) {
        tracing::error!(
            event = "homes_unservable",
            version = config.version,
            unnamed = more + 1,
            problem = "more pairs of route and tenant are wrong; mend those named first"
        );
    }
}
