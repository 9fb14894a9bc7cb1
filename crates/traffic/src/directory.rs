//! The servers that exist, as their service discovery tells them.

use std::collections::HashMap;
use std::net::SocketAddr;

/// One incarnation of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Identity; a restart has a new one.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Zone that it stands in.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// It is about to leave and takes no new work.
    pub draining: bool,
    /// How much longer it is cold, in milliseconds, as it said when this entry was written.
    pub cold_ms: u64,
}

/// What became of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A server that was not known.
    Added,
    /// A known server has begun to leave.
    Draining,
    /// Nothing that matters here.
    Unchanged,
}

/// Known servers by identity. Leaving is final for an identity: an older entry
/// that is read again never makes a leaving server take work.
#[derive(Default)]
pub struct Directory {
    servers: HashMap<String, ServerEntry>,
    version: u64,
}

impl Directory {
    /// Takes an entry.
    pub fn insert(&mut self, mut entry: ServerEntry) -> DirectoryChange {
        let known = self.servers.get(&entry.id);
        let was_draining = known.is_some_and(|server| server.draining);
        let change = match (known, entry.draining) {
            (None, _) => DirectoryChange::Added,
            (Some(_), true) if !was_draining => DirectoryChange::Draining,
            _ => DirectoryChange::Unchanged,
        };
        entry.draining |= was_draining;
        if change != DirectoryChange::Unchanged {
            self.version += 1;
        }
        self.servers.insert(entry.id.clone(), entry);
        change
    }

    /// Drops an entry that is gone from discovery.
    pub fn remove(&mut self, id: &str) -> bool {
        let known = self.servers.remove(id).is_some();
        self.version += u64::from(known);
        known
    }

    /// Counts the changes of which servers take work: what was worked out from them holds
    /// as long as this stays the same.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Keeps only the identities that a complete listing named.
    pub fn retain(&mut self, listed: &dyn Fn(&str) -> bool) -> Vec<String> {
        let gone: Vec<String> = self
            .servers
            .keys()
            .filter(|id| !listed(id))
            .cloned()
            .collect();
        for id in &gone {
            self.remove(id);
        }
        gone
    }

    /// Servers of a service that take new work.
    pub fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ServerEntry> + 'a {
        self.servers
            .values()
            .filter(move |server| server.service == service && !server.draining)
    }

    /// Whether this server may still get new work.
    pub fn takes_work(&self, id: &str) -> bool {
        self.servers.get(id).is_some_and(|server| !server.draining)
    }

    /// The entry of a server.
    pub fn entry(&self, id: &str) -> Option<&ServerEntry> {
        self.servers.get(id)
    }

    /// Known servers, leaving ones included.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.values()
    }
}
