//! The servers that exist, and which incarnation of each is in force
//! (docs/design/incarnations.md).

use super::unreadable::{Report, Source};
use crate::daemon::Daemon;
use fieldhook_log::api::{KeyedRecord, Partition};
use fieldhook_log::follow::{Follower, Update};
use fieldhook_traffic::directory::{DirectoryChange, ServerEntry};
use std::borrow::Cow;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between reads: changes of several servers come in one answer. While the log answers,
/// nothing is believed of a former incarnation for longer than this and one answer of the log.
const PAUSE: Duration = Duration::from_millis(150);

/// Entries that other writers left.
const FOREIGN: Source = Source {
    event: "server_unreadable",
    kind: "server",
    remedy: "it names no server to use until its entry is written anew",
};

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
            Update::Listing(records) => take_listing(&daemon, &records, follower.position()),
            Update::Records(records) => take_all(&daemon, &records),
        }
        sleep(PAUSE).await;
    }
}

/// Takes in all entries that there are, read where the topic ended at `end`.
fn take_listing(daemon: &Daemon, records: &[(u64, KeyedRecord)], end: u64) {
    let listed: HashSet<Cow<'_, str>> = records.iter().map(|(_, record)| name_of(record)).collect();
    let gone = daemon
        .directory
        .borrow_mut()
        .retain(&|name| listed.contains(name), end);
    for id in gone {
        daemon.cold.forget(&id);
        tracing::info!(event = "server_gone", server = id, cause = "not listed");
    }
    take_all(daemon, records);
    daemon.cold.listed();
}

fn take_all(daemon: &Daemon, records: &[(u64, KeyedRecord)]) {
    let mut foreign = Report::new(FOREIGN, &daemon.metrics);
    for (offset, record) in records {
        take(daemon, *offset, record, &mut foreign);
    }
}

fn take(daemon: &Daemon, offset: u64, record: &KeyedRecord, foreign: &mut Report<'_>) {
    let name = name_of(record);
    if record.value.is_empty() {
        remove(daemon, &name, offset, "removed");
        return;
    }
    let is_news = daemon.directory.borrow().is_news(&name, offset);
    match read(daemon, record) {
        Ok(entry) => take_entry(daemon, &name, entry, offset),
        Err(problem) if is_news => {
            foreign.add(&record.key, Some(offset), &problem);
            remove(daemon, &name, offset, "unreadable");
        }
        // It was said when it was new.
        Err(_) => {}
    }
}

/// The name that a record is known by: a foreign one may be no text.
fn name_of(record: &KeyedRecord) -> Cow<'_, str> {
    String::from_utf8_lossy(&record.key)
}

/// Reads an entry; its name is text, since a server is told whom a request is meant for.
fn read(daemon: &Daemon, record: &KeyedRecord) -> Result<ServerEntry, String> {
    let name = std::str::from_utf8(&record.key).map_err(|_| "its name is no text".to_owned())?;
    daemon.dialect.server_entry(name, &record.value)
}

fn take_entry(daemon: &Daemon, name: &str, entry: ServerEntry, offset: u64) {
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
    let Some(id) = daemon.directory.borrow_mut().remove(name, offset) else {
        return;
    };
    daemon.cold.forget(&id);
    tracing::info!(event = "server_gone", server = id, cause, offset);
}
