//! Follows the servers topic and keeps the server directory: the servers that exist and the
//! current incarnation of each (docs/design/incarnations.md).

use super::unreadable::{RecordSource, UnreadableReport};
use crate::daemon::Daemon;
use fieldhook_log::api::{KeyedRecord, Partition};
use fieldhook_log::follow::{Follower, Update};
use fieldhook_traffic::directory::{DirectoryChange, ServerEntry};
use std::borrow::Cow;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between reads, so that changes of several servers arrive in one reply. While the log
/// answers, an outdated incarnation is used for at most this pause plus one log call.
const PAUSE: Duration = Duration::from_millis(150);

/// Server entries that cannot be parsed.
const UNREADABLE_ENTRY: RecordSource = RecordSource {
    event: "server_unreadable",
    kind: "server",
    remedy: "the server is not used until a valid entry is written",
};

/// Follows the servers topic until the daemon exits.
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
            Update::Listing(records) => apply_listing(&daemon, &records, follower.position()),
            Update::Records(records) => DirectoryUpdate::new(&daemon).apply_all(&records),
        }
        daemon.registrations.servers_changed.notify_one();
        let server_count = daemon.directory.borrow().len();
        daemon.relay.set_server_count(server_count);
        sleep(PAUSE).await;
    }
}

/// Applies a listing of all entries; `end` is the end offset of the topic when it was read.
fn apply_listing(daemon: &Daemon, records: &[(u64, KeyedRecord)], end: u64) {
    let listed: HashSet<Cow<'_, str>> = records.iter().map(|(_, record)| name_of(record)).collect();
    let mut update = DirectoryUpdate::new(daemon);
    let removed = daemon
        .directory
        .borrow_mut()
        .retain(&|name| listed.contains(name), end);
    for id in removed {
        daemon.cold.remove(&id);
        update.log_removal(&id, "not listed", end);
    }
    update.apply_all(records);
    daemon.cold.finish_initial_listing();
    daemon.servers_listed.set(true);
    tracing::info!(event = "servers_listed", listed = records.len(), end);
}

/// Number of changes of one update that are logged individually, one line each; the remaining ones
/// are only counted. A listing of a large fleet has thousands.
const MAX_LOGGED_CHANGES: u32 = 20;

/// Applies one update of the topic to the directory and logs the changes.
struct DirectoryUpdate<'a> {
    daemon: &'a Daemon,
    unreadable: UnreadableReport<'a>,
    changed: u32,
    removed: u32,
}

impl<'a> DirectoryUpdate<'a> {
    fn new(daemon: &'a Daemon) -> Self {
        Self {
            daemon,
            unreadable: UnreadableReport::new(UNREADABLE_ENTRY, &daemon.metrics),
            changed: 0,
            removed: 0,
        }
    }

    fn apply_all(&mut self, records: &[(u64, KeyedRecord)]) {
        for (offset, record) in records {
            self.apply(*offset, record);
        }
    }

    fn apply(&mut self, offset: u64, record: &KeyedRecord) {
        let name = name_of(record);
        if record.value.is_empty() {
            self.remove(&name, offset, "removed");
            return;
        }
        let is_new = self.daemon.directory.borrow().is_newer(&name, offset);
        match parse_entry(self.daemon, record) {
            Ok(entry) => self.insert(&name, entry, offset),
            Err(problem) if is_new => {
                self.unreadable.add(&record.key, Some(offset), &problem);
                self.remove(&name, offset, "unreadable");
            }
            // Already logged when the record was new.
            Err(_) => {}
        }
    }

    fn insert(&mut self, name: &str, entry: ServerEntry, offset: u64) {
        let daemon = self.daemon;
        let previous = daemon
            .directory
            .borrow()
            .current_identity(name)
            .map(str::to_owned);
        let id = entry.id.clone();
        let server = entry.clone();
        let change = daemon.directory.borrow_mut().insert(entry, offset);
        let is_current = daemon.directory.borrow().current_identity(name) == Some(&id);
        if !is_current {
            return;
        }
        if let Some(previous) = previous.filter(|_| change == DirectoryChange::Restarted) {
            daemon.cold.remove(&previous);
            daemon.pools.close_idle(&previous);
            tracing::info!(
                event = "server_restarted",
                server = id,
                former = previous,
                offset
            );
        }
        daemon.cold.record_report(&server);
        if change != DirectoryChange::Unchanged {
            self.log_change(&server, offset);
        }
    }

    /// Logs a server that is new, has restarted or has started draining.
    fn log_change(&mut self, server: &ServerEntry, offset: u64) {
        self.changed += 1;
        if self.changed > MAX_LOGGED_CHANGES {
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
            software = server.software_version.as_deref(),
            offset,
        );
    }

    /// Removes the server with this name from the directory.
    fn remove(&mut self, name: &str, offset: u64, cause: &'static str) {
        let removed = self.daemon.directory.borrow_mut().remove(name, offset);
        if let Some(id) = removed {
            self.daemon.cold.remove(&id);
            self.log_removal(&id, cause, offset);
        }
    }

    /// Logs a server that was removed.
    fn log_removal(&mut self, id: &str, cause: &'static str, offset: u64) {
        self.removed += 1;
        if self.removed <= MAX_LOGGED_CHANGES {
            tracing::info!(event = "server_gone", server = id, cause, offset);
        }
    }
}

impl Drop for DirectoryUpdate<'_> {
    fn drop(&mut self) {
        let changed = self.changed.saturating_sub(MAX_LOGGED_CHANGES);
        let removed = self.removed.saturating_sub(MAX_LOGGED_CHANGES);
        if changed + removed > 0 {
            tracing::info!(
                event = "servers_changed",
                unnamed_known = changed,
                unnamed_gone = removed
            );
        }
    }
}

/// Returns the server name of a record. Keys written by other programs may not be valid UTF-8.
fn name_of(record: &KeyedRecord) -> Cow<'_, str> {
    String::from_utf8_lossy(&record.key)
}

/// Parses an entry. Its name has to be valid UTF-8, because requests to a server state which
/// server they are for.
fn parse_entry(daemon: &Daemon, record: &KeyedRecord) -> Result<ServerEntry, String> {
    let name = std::str::from_utf8(&record.key)
        .map_err(|_| "the server name is not valid UTF-8".to_owned())?;
    daemon.dialect.server_entry(name, &record.value)
}
