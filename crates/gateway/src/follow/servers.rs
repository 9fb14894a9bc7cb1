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
        daemon.relay.clone(),
        daemon.log_health.clone(),
        partition,
        super::long_poll::max_server_wait(&daemon.settings, PAUSE),
    );
    loop {
        match follower.next_update().await {
            Update::Listing(records) => take_listing(&daemon, &records, follower.position()),
            Update::Records(records) => Changes::new(&daemon).take_all(&records),
        }
        let known = daemon.directory.borrow().len();
        daemon.relay.set_server_count(known);
        sleep(PAUSE).await;
    }
}

/// Takes in all entries that there are, read where the topic ended at `end`.
fn take_listing(daemon: &Daemon, records: &[(u64, KeyedRecord)], end: u64) {
    let listed: HashSet<Cow<'_, str>> = records.iter().map(|(_, record)| name_of(record)).collect();
    let mut changes = Changes::new(daemon);
    let gone = daemon
        .directory
        .borrow_mut()
        .retain(&|name| listed.contains(name), end);
    for id in gone {
        daemon.cold.remove(&id);
        changes.gone(&id, "not listed", end);
    }
    changes.take_all(records);
    daemon.cold.finish_initial_listing();
    daemon.servers_listed.set(true);
    tracing::info!(event = "servers_listed", listed = records.len(), end);
}

/// Changes that are named of one update, a line each; of the rest their numbers are said. A
/// listing of a fleet brings thousands.
const MOST_NAMED: u32 = 20;

/// What one update changes, and says.
struct Changes<'a> {
    daemon: &'a Daemon,
    foreign: Report<'a>,
    known: u32,
    gone: u32,
}

impl<'a> Changes<'a> {
    fn new(daemon: &'a Daemon) -> Self {
        Self {
            daemon,
            foreign: Report::new(FOREIGN, &daemon.metrics),
            known: 0,
            gone: 0,
        }
    }

    fn take_all(&mut self, records: &[(u64, KeyedRecord)]) {
        for (offset, record) in records {
            self.take(*offset, record);
        }
    }

    fn take(&mut self, offset: u64, record: &KeyedRecord) {
        let name = name_of(record);
        if record.value.is_empty() {
            self.remove(&name, offset, "removed");
            return;
        }
        let is_news = self.daemon.directory.borrow().is_news(&name, offset);
        match read(self.daemon, record) {
            Ok(entry) => self.take_entry(&name, entry, offset),
            Err(problem) if is_news => {
                self.foreign.add(&record.key, Some(offset), &problem);
                self.remove(&name, offset, "unreadable");
            }
            // It was said when it was new.
            Err(_) => {}
        }
    }

    fn take_entry(&mut self, name: &str, entry: ServerEntry, offset: u64) {
        let daemon = self.daemon;
        let former = daemon
            .directory
            .borrow()
            .identity_of(name)
            .map(str::to_owned);
        let id = entry.id.clone();
        let told = entry.clone();
        let change = daemon.directory.borrow_mut().insert(entry, offset);
        let is_in_force = daemon.directory.borrow().identity_of(name) == Some(&id);
        if !is_in_force {
            return;
        }
        daemon.cold.record_report(&told);
        if let Some(former) = former.filter(|_| change == DirectoryChange::Restarted) {
            daemon.cold.remove(&former);
            tracing::info!(event = "server_restarted", server = id, former, offset);
        }
        if change != DirectoryChange::Unchanged {
            self.known(&told, offset);
        }
    }

    /// Says a server that is new, or has begun to leave.
    fn known(&mut self, server: &ServerEntry, offset: u64) {
        self.known += 1;
        if self.known > MOST_NAMED {
            return;
        }
        tracing::info!(
            event = "server_known",
            server = server.id,
            service = server.service,
            address = %server.address,
            zone = server.zone,
            draining = server.draining,
            cold_ms = server.cold_ms,
            offset,
        );
    }

    /// A name has no server any more.
    fn remove(&mut self, name: &str, offset: u64, cause: &'static str) {
        let removed = self.daemon.directory.borrow_mut().remove(name, offset);
        if let Some(id) = removed {
            self.daemon.cold.remove(&id);
            self.gone(&id, cause, offset);
        }
    }

    /// Says a server that is gone.
    fn gone(&mut self, id: &str, cause: &'static str, offset: u64) {
        self.gone += 1;
        if self.gone <= MOST_NAMED {
            tracing::info!(event = "server_gone", server = id, cause, offset);
        }
    }
}

impl Drop for Changes<'_> {
    fn drop(&mut self) {
        let known = self.known.saturating_sub(MOST_NAMED);
        let gone = self.gone.saturating_sub(MOST_NAMED);
        if known + gone > 0 {
            tracing::info!(
                event = "servers_changed",
                unnamed_known = known,
                unnamed_gone = gone
            );
        }
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
