//! The known servers, as reported by service discovery.

use crate::hash_ring::{HashRange, HashRing};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// One incarnation of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Identity of this incarnation, see [`identity`]. All state about a server is stored by
    /// identity, so that nothing carries over from one incarnation to the next.
    pub id: String,
    /// Name of the server in service discovery, by which it also knows itself. The name may stay
    /// the same when the server restarts.
    pub name: String,
    /// Service that the server belongs to.
    pub service: String,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Zone of the server.
    pub zone: String,
    /// Requests that the server processes concurrently.
    pub slots: u32,
    /// The server is shutting down and accepts no new work.
    pub draining: bool,
    /// How much longer the server is cold, in milliseconds, at the time the entry was written.
    pub cold_ms: u64,
    /// Version of the server's software. Versions have no order. `None` if the entry states none.
    pub software_version: Option<Rc<str>>,
}

/// Software of a server. A stream may continue only at a server of the same software, because what
/// two versions write does not fit together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Software {
    /// Published version.
    Version(Rc<str>),
    /// The version is not published, so nothing but this incarnation is known to run it. Contains
    /// its identity.
    Unpublished(Rc<str>),
}

impl Software {
    /// Software of an incarnation that publishes this version.
    pub fn new(version: Option<&str>, id: &str) -> Self {
        match version {
            Some(version) => Self::Version(Rc::from(version)),
            None => Self::Unpublished(Rc::from(id)),
        }
    }
}

impl ServerEntry {
    /// Whether the entry tells when the process started. The name may then be used again by a later
    /// process; otherwise each process has a name of its own.
    pub fn reports_start(&self) -> bool {
        self.id != self.name
    }

    /// Unix time at which the process started, in milliseconds, if the entry tells.
    pub fn started_ms(&self) -> Option<u64> {
        let start = self.id.strip_prefix(&self.name)?;
        start.strip_prefix(START_MARK)?.parse().ok()
    }

    /// Software of this incarnation.
    pub fn software(&self) -> Software {
        Software::new(self.software_version.as_deref(), &self.id)
    }
}

/// Separates the name of a server from its start in an identity.
const START_MARK: char = '~';

/// Returns the identity of an incarnation: the server's name, followed by the Unix time of its
/// start in milliseconds if the server reports it.
pub fn identity(name: &str, started_ms: Option<u64>) -> String {
    match started_ms {
        Some(started_ms) => format!("{name}{START_MARK}{started_ms}"),
        None => name.to_owned(),
    }
}

/// Effect of an entry on the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// The server was not known before.
    Added,
    /// A known server has restarted, so that all earlier state about it is invalid. Its identity may
    /// be the same if it does not report its start; its software has changed then.
    Restarted,
    /// A known server has started to drain.
    Draining,
    /// The entry changes nothing that callers have to act on.
    Unchanged,
}

/// Minimum number of removed names whose last revision is kept. A larger fleet keeps as many as
/// it has servers, because one release may replace all of them.
const MIN_REMOVED_NAMES: usize = 10_000;

/// The newest record of a name. A record in the topic holds the entry of a server or removes a
/// name.
struct NameRecord {
    /// Identity of the server, or `None` if the record removed the name.
    id: Option<String>,
    /// Offset of the record in its topic.
    revision: u64,
}

/// Servers of a service that accept new work.
#[derive(Debug, Default)]
pub struct ActiveServers {
    /// The servers in one ring.
    pub all: HashRing,
    /// The servers by zone.
    pub zones: BTreeMap<String, HashRing>,
    /// The servers by software.
    software: HashMap<Software, HashRing>,
    /// Number of changes. Results derived from the servers are valid while it stays the same.
    pub version: u64,
}

impl ActiveServers {
    fn insert(&mut self, server: Rc<ServerEntry>) {
        let zone = self.zones.entry(server.zone.clone()).or_default();
        zone.insert(server.clone());
        let running = self.software.entry(server.software()).or_default();
        running.insert(server.clone());
        self.all.insert(server);
        self.version += 1;
    }

    fn remove(&mut self, server: &ServerEntry) {
        if let Some(zone) = self.zones.get_mut(&server.zone) {
            zone.remove(&server.id);
        }
        let software = server.software();
        if let Some(running) = self.software.get_mut(&software) {
            running.remove(&server.id);
            if running.is_empty() {
                self.software.remove(&software);
            }
        }
        self.all.remove(&server.id);
        self.version += 1;
    }

    /// Iterates over one server of each software.
    pub fn of_each_software(&self) -> impl Iterator<Item = &Rc<ServerEntry>> {
        let rings = self.software.values();
        rings.filter_map(|ring| ring.iter_from(HashRange::FULL, 0).next())
    }

    /// Returns the servers that run this software, at least one.
    pub fn running(&self, software: &Software) -> Option<&HashRing> {
        self.software.get(software)
    }
}

/// The known servers by identity.
///
/// Draining is final for an identity: an older entry that is read again never makes a draining
/// server accept work. Of two incarnations of a name, the one whose entry was written later is
/// current, regardless of their start times, because the clocks of servers may be set back. A
/// record or listing that is older than the newest known record of a name is ignored.
#[derive(Default)]
pub struct Directory {
    servers: HashMap<String, Rc<ServerEntry>>,
    /// Servers that accept new work, by service.
    services: HashMap<String, ActiveServers>,
    names: HashMap<String, NameRecord>,
    /// Identity of the server at each address.
    addresses: HashMap<SocketAddr, String>,
    /// Number of names whose newest record removed them.
    removed_names: usize,
}

impl Directory {
    /// Applies an entry with the given offset in its topic. The entry may come from a listing
    /// that is older than the known records.
    pub fn insert(&mut self, mut entry: ServerEntry, revision: u64) -> DirectoryChange {
        let known = self.names.get(&entry.name);
        if known.is_some_and(|known| revision < known.revision) {
            return DirectoryChange::Unchanged;
        }
        let previous = known
            .and_then(|known| known.id.clone())
            .filter(|id| *id != entry.id);
        if let Some(id) = &previous {
            self.drop_server(id);
        }
        let known = self.servers.get(&entry.id);
        let has_new_software =
            known.is_some_and(|server| server.software_version != entry.software_version);
        let was_draining = !has_new_software && known.is_some_and(|server| server.draining);
        let change = match (known, entry.draining) {
            (None, _) if previous.is_some() => DirectoryChange::Restarted,
            (Some(_), _) if has_new_software => DirectoryChange::Restarted,
            (None, _) => DirectoryChange::Added,
            (Some(_), true) if !was_draining => DirectoryChange::Draining,
            _ => DirectoryChange::Unchanged,
        };
        entry.draining |= was_draining;
        let id = Some(entry.id.clone());
        self.set_record(&entry.name, NameRecord { id, revision });
        self.replace_server(entry);
        change
    }

    /// Adds a server, or replaces the entry with the same identity.
    fn replace_server(&mut self, entry: ServerEntry) {
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
        self.addresses.insert(server.address, server.id.clone());
        self.servers.insert(server.id.clone(), server);
    }

    fn drop_server(&mut self, id: &str) {
        let Some(server) = self.servers.remove(id) else {
            return;
        };
        if self.identity_at(server.address) == Some(id) {
            self.addresses.remove(&server.address);
        }
        if let Some(service) = self.services.get_mut(&server.service) {
            service.remove(&server);
        }
    }

    /// Whether a record with the given offset in its topic is newer than the known one of its
    /// name.
    pub fn is_newer(&self, name: &str, revision: u64) -> bool {
        let known = self.names.get(name);
        known.is_none_or(|known| revision > known.revision)
    }

    /// Removes a name because of a record with the given offset, which says that it is no longer
    /// in discovery or which describes no valid server. Returns the identity that the name had.
    /// The offset is kept, so that an older entry does not add the server again.
    pub fn remove(&mut self, name: &str, revision: u64) -> Option<String> {
        if !self.is_newer(name, revision) {
            return None;
        }
        let previous = self.set_record(name, NameRecord { id: None, revision });
        if self.removed_names > MIN_REMOVED_NAMES.max(self.servers.len()) {
            self.names.retain(|_, known| known.id.is_some());
            self.removed_names = 0;
        }
        self.drop_previous_server(previous?)
    }

    /// Sets the newest record of a name. Returns the previous one.
    fn set_record(&mut self, name: &str, record: NameRecord) -> Option<NameRecord> {
        self.removed_names += usize::from(record.id.is_none());
        let previous = self.names.insert(name.to_owned(), record);
        self.removed_names -= usize::from(
            previous
                .as_ref()
                .is_some_and(|previous| previous.id.is_none()),
        );
        previous
    }

    /// Drops the server of a previous record. Returns its identity.
    fn drop_previous_server(&mut self, previous: NameRecord) -> Option<String> {
        let id = previous.id?;
        self.drop_server(&id);
        Some(id)
    }

    /// Returns the identity of a name's current incarnation.
    pub fn current_identity(&self, name: &str) -> Option<&str> {
        self.names.get(name)?.id.as_deref()
    }

    /// Returns the identity of the server that was listed last at an address.
    pub fn identity_at(&self, address: SocketAddr) -> Option<&str> {
        self.addresses.get(&address).map(String::as_str)
    }

    /// Applies a complete listing that was read when the topic ended at offset `end`. Removes the
    /// names that are neither listed nor have a later record. Returns the removed identities.
    pub fn retain(&mut self, listed: &dyn Fn(&str) -> bool, end: u64) -> Vec<String> {
        let is_removed =
            |name: &String, known: &mut NameRecord| known.revision < end && !listed(name);
        let removed: Vec<NameRecord> = self
            .names
            .extract_if(is_removed)
            .map(|(_, known)| known)
            .collect();
        self.removed_names -= removed.iter().filter(|known| known.id.is_none()).count();
        removed
            .into_iter()
            .filter_map(|known| self.drop_previous_server(known))
            .collect()
    }

    /// Returns the servers of a service that accept new work.
    pub fn active_servers(&self, service: &str) -> Option<&ActiveServers> {
        self.services.get(service)
    }

    /// Iterates over the zones in which a service has servers that accept new work.
    pub fn zones_of(&self, service: &str) -> impl Iterator<Item = &str> {
        let zones = self
            .active_servers(service)
            .map(|active| active.zones.iter());
        let zones = zones.into_iter().flatten();
        zones
            .filter(|(_, ring)| !ring.is_empty())
            .map(|(zone, _)| zone.as_str())
    }

    /// Returns up to `max` servers of each zone and each of these services that accept new work,
    /// starting at the ring position that `number` maps to.
    pub fn sample_zones<'a>(
        &'a self,
        services: impl Iterator<Item = &'a str>,
        max: usize,
        number: u64,
    ) -> BTreeMap<&'a str, Vec<&'a ServerEntry>> {
        let mut servers_by_zone: BTreeMap<&str, Vec<&ServerEntry>> = BTreeMap::new();
        let rings = services
            .filter_map(|service| self.active_servers(service))
            .flat_map(|active| &active.zones);
        for (zone, ring) in rings {
            let servers = ring.iter_from(HashRange::FULL, number).take(max);
            servers_by_zone
                .entry(zone)
                .or_default()
                .extend(servers.map(|server| &**server));
        }
        servers_by_zone.retain(|_, servers| !servers.is_empty());
        servers_by_zone
    }

    /// Whether a server is known and accepts new work.
    pub fn accepts_work(&self, id: &str) -> bool {
        self.servers.get(id).is_some_and(|server| !server.draining)
    }

    /// Returns the entry of a server.
    pub fn entry(&self, id: &str) -> Option<&ServerEntry> {
        self.servers.get(id).map(|server| &**server)
    }

    /// Returns the number of known servers, including draining ones.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns the number of names whose newest record is kept, with or without a server.
    pub fn known_names(&self) -> usize {
        self.names.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Iterates over all entries.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.values().map(|server| &**server)
    }
}
