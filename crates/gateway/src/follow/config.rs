//! The configuration in force.

use crate::daemon::Daemon;
use fieldhook_log::api::{KeyedRecord, Partition};
use fieldhook_log::follow::{Follower, Update};
use fieldhook_traffic::table::{RouteTable, supersedes};
use std::rc::Rc;
use std::time::Duration;

/// How long a read waits for a change. Short, so that a connection that fell
/// silent is left before a change on it is overdue.
const WAIT: Duration = Duration::from_millis(1_500);

/// Follows the configuration for good.
pub async fn run(daemon: Rc<Daemon>) {
    let partition = Partition {
        topic: daemon.topics.config.clone(),
        number: 0,
    };
    let mut follower = Follower::new(
        daemon.store.clone(),
        daemon.contact.clone(),
        partition,
        WAIT,
    );
    loop {
        let records = match follower.next_update().await {
            Update::Listing(records) | Update::Records(records) => records,
        };
        for (offset, record) in &records {
            if record.key == daemon.topics.config_key {
                take(&daemon, *offset, record);
            }
        }
    }
}

fn take(daemon: &Daemon, offset: u64, record: &KeyedRecord) {
    let config = match daemon.dialect.traffic_config(&record.value) {
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
    daemon.metrics.config_version.set(config.version as i64);
    tracing::info!(
        event = "config_in_force",
        version = config.version,
        former = current,
        offset,
        routes = config.routes.len(),
    );
    let is_route = |name: &str| config.routes.iter().any(|route| route.name == name);
    daemon.answer_times.retain(&is_route);
    let turns = config.routes.iter().filter(|route| route.kind.is_stream());
    if let Some(longest_ms) = turns.map(|route| route.timeout_ms).max() {
        daemon.owner.set_longest_turn(longest_ms);
    }
    *daemon.routes.borrow_mut() = Some(Rc::new(RouteTable::new(config)));
    daemon.routes_changed.notify_waiters();
}
