//! The configuration in force: read from the log, or learned from other daemons while the
//! log answers them and not this one.

use crate::daemon::Daemon;
use fieldhook_log::api::{KeyedRecord, Partition};
use fieldhook_log::follow::{Follower, Update};
use fieldhook_log::reach::Reach;
use fieldhook_topology::evacuation::State;
use fieldhook_traffic::table::{RouteTable, supersedes};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long a read waits for a change. Short, so that a connection that fell
/// silent is left before a change on it is overdue.
const WAIT: Duration = Duration::from_millis(1_500);
/// Pause between questions to other daemons: well within the time in which a configuration
/// has to be in force (2 s on the smallest deployment).
const PEER_PERIOD: Duration = Duration::from_millis(400);

/// Follows the configuration for good.
pub async fn run(daemon: Rc<Daemon>) {
    let partition = Partition {
        topic: daemon.topics.config.clone(),
        number: 0,
    };
    let known = daemon.owner.config.clone();
    let mut follower = Follower::new(
        daemon.store.clone(),
        daemon.contact.clone(),
        partition,
        WAIT,
    )
    .on_answer(Box::new(move || known.confirm(0)));
    loop {
        let (records, is_listing) = match follower.next_update().await {
            Update::Listing(records) => (records, true),
            Update::Records(records) => (records, false),
        };
        for (offset, record) in &records {
            if record.key == daemon.topics.config_key {
                take(&daemon, Some(*offset), &record.value);
            } else if let Some(zone) = evacuated_zone(&daemon, record) {
                let state = match record.value.is_empty() {
                    true => State::Open,
                    false => State::Evacuated,
                };
                daemon.places.take(zone, state, *offset, "log");
            }
        }
        if is_listing {
            let listed: Vec<&str> = records
                .iter()
                .filter(|(_, record)| !record.value.is_empty())
                .filter_map(|(_, record)| evacuated_zone(&daemon, record))
                .collect();
            daemon.places.retain_listed(&listed, follower.position());
        }
    }
}

/// Asks other daemons for the configuration while the log may answer them and not this one.
pub async fn run_peers(daemon: Rc<Daemon>) {
    loop {
        sleep(PEER_PERIOD).await;
        let may_be_behind = daemon.contact.failing() && daemon.ledger.reach.get() != Reach::Outage;
        if !may_be_behind {
            continue;
        }
        let version = daemon.owner.config.version();
        for news in daemon.ledger.ask_for_config(version).await {
            if let Some(document) = news.document {
                take(&daemon, None, &document);
            }
            for evacuation in &news.evacuations {
                daemon.places.learn(evacuation);
            }
            if let Some(age_ms) = news.age_ms {
                daemon.owner.config.confirm(age_ms);
            }
        }
    }
}

/// The zone that a record of the operator's topic is about, if it is about one.
fn evacuated_zone<'a>(daemon: &Daemon, record: &'a KeyedRecord) -> Option<&'a str> {
    let name = record
        .key
        .strip_prefix(daemon.topics.evacuations.as_slice())?;
    match std::str::from_utf8(name) {
        Ok(zone) if !zone.is_empty() => Some(zone),
        _ => {
            tracing::error!(event = "zone_unreadable", key = ?record.key,
                "evacuate zones by their names in the settings");
            None
        }
    }
}

/// Takes in a document; one that was learned from another daemon has no offset in the log.
fn take(daemon: &Daemon, offset: Option<u64>, document: &[u8]) {
    let config = match daemon.dialect.traffic_config(document) {
        Ok(config) => config,
        Err(problem) => {
            tracing::error!(
                event = "config_unreadable",
                offset,
                problem,
                "former one stays"
            );
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
    let is_route = |name: &str| config.routes.iter().any(|route| route.name == name);
    daemon.answer_times.retain(&is_route);
    daemon.pauses.retain(&is_route);
    let turns = config.routes.iter().filter(|route| route.kind.is_stream());
    if let Some(longest_ms) = turns.map(|route| route.timeout_ms).max() {
        daemon.owner.set_longest_turn(longest_ms);
    }
    *daemon.routes.borrow_mut() = Some(Rc::new(RouteTable::new(config)));
    daemon.routes_changed.notify_waiters();
}
