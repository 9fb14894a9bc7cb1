//! The servers that exist.

use crate::daemon::Daemon;
use fieldhook_log::api::{KeyedRecord, Partition};
use fieldhook_log::follow::{Follower, Update};
use fieldhook_traffic::directory::DirectoryChange;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between reads: changes of several servers come in one answer.
const PAUSE: Duration = Duration::from_millis(150);

/// Follows the servers for good.
pub async fn run(daemon: Rc<Daemon>) {
    let partition = Partition {
        topic: daemon.topics.servers.clone(),
        number: 0,
    };
    let mut follower = Follower::new(
        daemon.store.clone(),
        daemon.contact.clone(),
        partition,
        super::wait::of_servers(&daemon.settings, PAUSE),
    );
    loop {
        match follower.next_update().await {
            Update::Listing(records) => take_listing(&daemon, &records),
            Update::Records(records) => {
                for (offset, record) in &records {
                    take(&daemon, *offset, record);
                }
            }
        }
        sleep(PAUSE).await;
    }
}

fn take_listing(daemon: &Daemon, records: &[(u64, KeyedRecord)]) {
    let listed: HashSet<&[u8]> = records
        .iter()
        .map(|(_, record)| record.key.as_slice())
        .collect();
    let gone = daemon
        .directory
        .borrow_mut()
        .retain(&|id| listed.contains(id.as_bytes()));
    for id in gone {
        daemon.cold.forget(&id);
        tracing::info!(event = "server_gone", server = id, cause = "not listed");
    }
    for (offset, record) in records {
        take(daemon, *offset, record);
    }
    daemon.cold.listed();
}

fn take(daemon: &Daemon, offset: u64, record: &KeyedRecord) {
    let Ok(name) = std::str::from_utf8(&record.key) else {
        return;
    };
    if record.value.is_empty() {
        remove(daemon, name, offset, "removed");
        return;
    }
    let entry = match daemon.dialect.server_entry(name, &record.value) {
        Ok(entry) => entry,
        Err(problem) => {
            daemon.metrics.entries_unreadable.inc();
            tracing::error!(
                event = "server_unreadable",
                server = name,
                offset,
                problem,
                "it names no server to use until it is written anew"
            );
            remove(daemon, name, offset, "unreadable");
            return;
        }
    };
    let former = daemon
        .directory
        .borrow()
        .identity_of(name)
        .map(str::to_owned);
    let id = entry.id.clone();
    let (service, address) = (entry.service.clone(), entry.address);
    let (zone, cold_ms) = (entry.zone.clone(), entry.cold_ms);
    let draining = entry.draining;
    let told = entry.clone();
    let change = daemon.directory.borrow_mut().insert(entry, offset);
    let is_in_force = daemon.directory.borrow().identity_of(name) == Some(&id);
    if !is_in_force {
        return;
    }
    daemon.cold.told(&told);
    if let Some(former) = former.filter(|_| change == DirectoryChange::Restarted) {
        daemon.cold.forget(&former);
        tracing::info!(event = "server_restarted", server = id, former, offset);
    }
    if change != DirectoryChange::Unchanged {
        tracing::info!(
            event = "server_known",
            server = id,
            service,
            %address,
            zone,
            draining,
            cold_ms,
            offset,
        );
    }
}

/// A name has no server any more.
fn remove(daemon: &Daemon, name: &str, offset: u64, cause: &'static str) {
    let Some(id) = daemon.directory.borrow_mut().remove(name) else {
        return;
    };
    daemon.cold.forget(&id);
    tracing::info!(event = "server_gone", server = id, cause, offset);
}
