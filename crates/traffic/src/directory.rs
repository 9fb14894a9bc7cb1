//! The servers that exist, as their service discovery tells them.

use std::collections::HashMap;
use std::net::SocketAddr;

/// One incarnation of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Identity of this incarnation, see [`identity`]: all that is believed of a server goes by
    /// it, so that nothing of a former incarnation is believed of the next one.
    pub id: String,
    /// Its name in service discovery, which it may keep when it starts again, and by which it
    /// knows itself.
    pub name: String,
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

/// Identity of an incarnation: the server's name, and the Unix time of its start, in
/// milliseconds, where it tells that.
pub fn identity(name: &str, born_ms: Option<u64>) -> String {
    match born_ms {
        Some(born_ms) => format!("{name}~{born_ms}"),
        None => name.to_owned(),
    }
}

/// What became of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A server that was not known.
    Added,
    /// A known server has started again: nothing holds that was known of it.
    Restarted,
    /// A known server has begun to leave.
    Draining,
    /// Nothing that matters here.
    Unchanged,
}

/// The newest entry of a name.
struct Known {
    id: String,
    /// Place of the entry in its topic.
    revision: u64,
}

/// Known servers by identity. Leaving is final for an identity: an older entry
/// that is read again never makes a leaving server take work. Of two incarnations of one name
/// the one whose entry was written later is in force; clocks of servers may step back.
#[derive(Default)]
pub struct Directory {
    servers: HashMap<String, ServerEntry>,
    names: HashMap<String, Known>,
    version: u64,
}

impl Directory {
    /// Takes an entry of this place in its topic. A listing may be older than what is known.
    pub fn insert(&mut self, mut entry: ServerEntry, revision: u64) -> DirectoryChange {
        let known = self.names.get(&entry.name);
        if known.is_some_and(|known| revision < known.revision) {
            return DirectoryChange::Unchanged;
        }
        let former = known
            .map(|known| known.id.clone())
            .filter(|id| *id != entry.id);
        if let Some(id) = &former {
            self.servers.remove(id);
        }
        let known = self.servers.get(&entry.id);
        let was_draining = known.is_some_and(|server| server.draining);
        let change = match (known, entry.draining) {
            (None, _) if former.is_some() => DirectoryChange::Restarted,
            (None, _) => DirectoryChange::Added,
            (Some(_), true) if !was_draining => DirectoryChange::Draining,
            _ => DirectoryChange::Unchanged,
        };
        entry.draining |= was_draining;
        if change != DirectoryChange::Unchanged {
            self.version += 1;
        }
        let id = entry.id.clone();
        self.names
            .insert(entry.name.clone(), Known { id, revision });
        self.servers.insert(entry.id.clone(), entry);
        change
    }

    /// Drops the entry of a name that is gone from discovery, or names no server any more:
    /// the identity that it had.
    pub fn remove(&mut self, name: &str) -> Option<String> {
        let known = self.names.remove(name)?;
        self.servers.remove(&known.id);
        self.version += 1;
        Some(known.id)
    }

    /// Identity of a name's incarnation in force.
    pub fn identity_of(&self, name: &str) -> Option<&str> {
        self.names.get(name).map(|known| known.id.as_str())
    }

    /// Counts the changes of which servers take work: what was worked out from them holds
    /// as long as this stays the same.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Keeps only the names that a complete listing holds: the identities that are gone.
    pub fn retain(&mut self, listed: &dyn Fn(&str) -> bool) -> Vec<String> {
        let names = self.names.keys().filter(|name| !listed(name));
        let gone: Vec<String> = names.cloned().collect();
        gone.iter().filter_map(|name| self.remove(name)).collect()
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
