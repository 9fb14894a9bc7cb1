//! The servers that exist, as their service discovery tells them.

use crate::hash_ring::{HashRange, HashRing};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

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

/// Names without a server that are remembered for the place of their last record, at least. A
/// fleet remembers as many as it has servers: they may all be replaced in one release.
const LEAST_GONE: usize = 10_000;

/// The newest record of a name.
struct Known {
    /// Identity of its server; none where the record took the name out of use.
    id: Option<String>,
    /// Place of the record in its topic.
    revision: u64,
}

/// Servers of a service that take new work.
#[derive(Debug, Default)]
pub struct ActiveServers {
    /// All of them.
    pub all: HashRing,
    /// Those of each zone.
    pub zones: BTreeMap<String, HashRing>,
    /// Counts their changes: what was worked out from them holds as long as this stays the same.
    pub version: u64,
}

impl ActiveServers {
    fn insert(&mut self, server: Rc<ServerEntry>) {
        let zone = self.zones.entry(server.zone.clone()).or_default();
        zone.insert(server.clone());
        self.all.insert(server);
        self.version += 1;
    }

    fn remove(&mut self, server: &ServerEntry) {
        if let Some(zone) = self.zones.get_mut(&server.zone) {
            zone.remove(&server.id);
        }
        self.all.remove(&server.id);
        self.version += 1;
    }
}

/// Known servers by identity. Leaving is final for an identity: an older entry
/// that is read again never makes a leaving server take work. Of two incarnations of one name
/// the one whose entry was written later is in force; clocks of servers may step back. A
/// record or a listing that is older than what is known of a name changes nothing.
#[derive(Default)]
pub struct Directory {
    servers: HashMap<String, Rc<ServerEntry>>,
    /// Those that take new work, by service.
    services: HashMap<String, ActiveServers>,
    names: HashMap<String, Known>,
    /// Names that are known to have no server.
    gone: usize,
}

impl Directory {
    /// Takes an entry of this place in its topic. A listing may be older than what is known.
    pub fn insert(&mut self, mut entry: ServerEntry, revision: u64) -> DirectoryChange {
        let known = self.names.get(&entry.name);
        if known.is_some_and(|known| revision < known.revision) {
            return DirectoryChange::Unchanged;
        }
        let former = known
            .and_then(|known| known.id.clone())
            .filter(|id| *id != entry.id);
        if let Some(id) = &former {
            self.drop_server(id);
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
        let id = Some(entry.id.clone());
        self.know(&entry.name, Known { id, revision });
        self.put_server(entry);
        change
    }

    /// Puts a server in place of what was known of its identity.
    fn put_server(&mut self, entry: ServerEntry) {
        if self
            .servers
            .get(&entry.id)
            .is_some_and(|known| **known == entry)
        {
            return;
        }
        self.drop_server(&entry.id);
        let server = Rc::new(entry);
        if !server.draining {
            let service = self.services.entry(server.service.clone()).or_default();
            service.insert(server.clone());
        }
        self.servers.insert(server.id.clone(), server);
    }

    fn drop_server(&mut self, id: &str) {
        let Some(server) = self.servers.remove(id) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&server.service) {
            service.remove(&server);
        }
    }

    /// Whether a record of this place in the topic is newer than what is known of its name.
    pub fn is_newer(&self, name: &str, revision: u64) -> bool {
        let known = self.names.get(name);
        known.is_none_or(|known| revision > known.revision)
    }

    /// Takes a name out of use whose record of this place says that it is gone from discovery,
    /// or names no server: the identity that it had. The place is remembered, so that an older
    /// entry does not bring the server back.
    pub fn remove(&mut self, name: &str, revision: u64) -> Option<String> {
        if !self.is_newer(name, revision) {
            return None;
        }
        let former = self.know(name, Known { id: None, revision });
        if self.gone > LEAST_GONE.max(self.servers.len()) {
            self.names.retain(|_, known| known.id.is_some());
            self.gone = 0;
        }
        self.end(former?)
    }

    /// Takes in the newest record of a name; what was known of it before.
    fn know(&mut self, name: &str, known: Known) -> Option<Known> {
        self.gone += usize::from(known.id.is_none());
        let former = self.names.insert(name.to_owned(), known);
        self.gone -= usize::from(former.as_ref().is_some_and(|former| former.id.is_none()));
        former
    }

    /// Drops the server of a name; its identity.
    fn end(&mut self, former: Known) -> Option<String> {
        let id = former.id?;
        self.drop_server(&id);
        Some(id)
    }

    /// Identity of a name's incarnation in force.
    pub fn current_identity(&self, name: &str) -> Option<&str> {
        self.names.get(name)?.id.as_deref()
    }

    /// Keeps only the names that a complete listing holds, read where the topic ended at
    /// `end`, and those whose records are later: the identities that are gone.
    pub fn retain(&mut self, listed: &dyn Fn(&str) -> bool, end: u64) -> Vec<String> {
        let is_gone = |name: &String, known: &mut Known| known.revision < end && !listed(name);
        let gone: Vec<Known> = self
            .names
            .extract_if(is_gone)
            .map(|(_, known)| known)
            .collect();
        self.gone -= gone.iter().filter(|known| known.id.is_none()).count();
        gone.into_iter()
            .filter_map(|known| self.end(known))
            .collect()
    }

    /// Servers of a service that take new work.
    pub fn active_servers(&self, service: &str) -> Option<&ActiveServers> {
        self.services.get(service)
    }

    /// Zones in which a service has servers that take new work.
    pub fn zones_of(&self, service: &str) -> impl Iterator<Item = &str> {
        let zones = self
            .active_servers(service)
            .map(|serving| serving.zones.iter());
        let zones = zones.into_iter().flatten();
        zones
            .filter(|(_, ring)| !ring.is_empty())
            .map(|(zone, _)| zone.as_str())
    }

    /// Some servers of each zone that take new work, from the place on that a number stands for.
    pub fn sample_zones(&self, most: usize, number: u64) -> BTreeMap<&str, Vec<&ServerEntry>> {
        let mut some: BTreeMap<&str, Vec<&ServerEntry>> = BTreeMap::new();
        let rings = self.services.values().flat_map(|serving| &serving.zones);
        for (zone, ring) in rings {
            let servers = ring.iter_from(HashRange::FULL, number).take(most);
            some.entry(zone)
                .or_default()
                .extend(servers.map(|server| &**server));
        }
        some.retain(|_, servers| !servers.is_empty());
        some
    }

    /// Whether this server may still get new work.
    pub fn accepts_work(&self, id: &str) -> bool {
        self.servers.get(id).is_some_and(|server| !server.draining)
    }

    /// The entry of a server.
    pub fn entry(&self, id: &str) -> Option<&ServerEntry> {
        self.servers.get(id).map(|server| &**server)
    }

    /// Known servers, leaving ones included.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Names of which the last record is remembered, with a server or without.
    pub fn known_names(&self) -> usize {
        self.names.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.values().map(|server| &**server)
    }
}
