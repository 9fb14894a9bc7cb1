//! Assigns engines to the turns of programs whose partitions this daemon owns. An engine is a
//! server that runs turns; the server directory lists it as a [`ServerEntry`].

use crate::cold::ColdServers;
use crate::upstream::pool::Pools;
use crate::zone_state::ZoneState;
use fieldhook_ledger::message::{AssignmentInput, CloseTurn, OpenTurn};
use fieldhook_ledger::partition_of;
use fieldhook_topology::region::RegionSet;
use fieldhook_topology::zone::Distance;
use fieldhook_traffic::assignment::{AssignmentSettings, AssignmentTable, Engine, Turn};
use fieldhook_traffic::candidates::{CandidateQuery, FULL_SCAN_MAX, select_candidates};
use fieldhook_traffic::cold;
use fieldhook_traffic::directory::{ActiveServers, Directory, ServerEntry};
use fieldhook_traffic::groups::{EngineGroups, group_count};
use fieldhook_traffic::hash_ring::{HashRange, ring_position};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::time::Instant;

/// Smallest number of candidates that are drawn from a group. If evacuated zones or disallowed
/// regions leave fewer, the candidates are drawn from all groups.
const MIN_CANDIDATES: usize = 8;

/// The engine groups of a service, computed for a version of its engine list.
struct CachedGroups {
    version: u64,
    groups: Rc<EngineGroups>,
}

/// Assigns engines according to the server directory and the engines' health as seen by this
/// daemon.
pub struct Assigner {
    directory: Rc<RefCell<Directory>>,
    pools: Rc<Pools>,
    pub(super) zone_state: Rc<ZoneState>,
    cold: Rc<ColdServers>,
    table: RefCell<AssignmentTable>,
    groups_by_service: RefCell<HashMap<String, CachedGroups>>,
    partitions: u32,
    /// Partitions that this daemon owns.
    owned: RefCell<Vec<u32>>,
    started: Instant,
}

impl Assigner {
    /// Creates an assigner; programs are distributed over this number of partitions.
    pub fn new(
        directory: Rc<RefCell<Directory>>,
        pools: Rc<Pools>,
        zone_state: Rc<ZoneState>,
        cold: Rc<ColdServers>,
        partitions: u32,
    ) -> Self {
        Self {
            directory,
            pools,
            zone_state,
            cold,
            table: RefCell::new(AssignmentTable::new(AssignmentSettings::default())),
            groups_by_service: RefCell::default(),
            partitions: partitions.max(1),
            owned: RefCell::default(),
            started: Instant::now(),
        }
    }

    /// Sets the partitions that this daemon owns.
    pub fn set_owned(&self, partitions: Vec<u32>) {
        self.owned.replace(partitions);
    }

    /// Returns the engine that a turn should run on, if it needs one and one is available.
    pub fn assign(&self, open: &OpenTurn) -> Option<String> {
        let input = open.assignment.as_ref()?;
        let now_ms = self.started.elapsed().as_millis() as u64;
        let directory = self.directory.borrow();
        let serving = directory.active_servers(&input.service)?;
        let partition = partition_of(&open.program, self.partitions);
        let (mut engines, owned_fraction) = match serving.all.len() <= FULL_SCAN_MAX {
            true => self.small_service_engines(&input.service, serving, partition),
            false => self.large_service_engines(&directory, serving, open, input, partition),
        };
        engines.retain(|engine| !self.pools.status(engine.id, engine.zone, now_ms).is_avoided);
        self.retain_allowed(&mut engines, input);
        self.limit_cold_slots(&mut engines, &directory);
        let turn = Turn {
            id: &open.turn,
            program: &open.program,
            prefix: input.prefix_hash,
        };
        let engine = self
            .table
            .borrow_mut()
            .assign(&turn, &engines, owned_fraction, now_ms)?;
        Some(engine.to_string())
    }

    /// Returns all engines of a small service, and the fraction of the programs of the partition's
    /// engine group that this daemon owns.
    fn small_service_engines<'a>(
        &self,
        service: &str,
        serving: &'a ActiveServers,
        partition: u32,
    ) -> (Vec<Engine<'a>>, f64) {
        let groups = self.groups(service, serving);
        let own_group = groups.partition_group(partition);
        let mut engines = sorted_engines(serving);
        for engine in &mut engines {
            engine.is_in_group = groups.engine_group(engine.id) == Some(own_group);
        }
        (engines, self.owned_fraction(groups.count(), own_group))
    }

    /// Returns the candidates for a turn from the engines of a large service, and the fraction of
    /// the programs of the partition's engine group that this daemon owns. The candidates are a
    /// sample of the group and the engine that the program last ran on. The sample is selected by
    /// the prompt prefix, so that turns that share a prefix get the same sample. A group is an arc
    /// of the hash ring of engines, so it need not be recomputed when an engine is added or
    /// removed.
    fn large_service_engines<'a>(
        &self,
        directory: &'a Directory,
        serving: &'a ActiveServers,
        open: &OpenTurn,
        input: &AssignmentInput,
        partition: u32,
    ) -> (Vec<Engine<'a>>, f64) {
        let count = group_count(serving.all.len(), self.partitions);
        let own_group = partition % count;
        let arc = HashRange::nth_of(own_group, count);
        let regions = allowed_regions(input);
        let servers = self.zone_state.with_rule(&regions, &input.zone, |rule| {
            let is_usable = |server: &ServerEntry| rule.serving_distance(&server.zone).is_ok();
            let from = |arc| CandidateQuery {
                zone: &input.zone,
                range: arc,
                start: input.prefix_hash,
            };
            let candidates = select_candidates(serving, &from(arc), &is_usable).servers;
            match candidates.len() >= MIN_CANDIDATES {
                true => candidates,
                false => select_candidates(serving, &from(HashRange::FULL), &is_usable).servers,
            }
        });
        let mut servers: Vec<&ServerEntry> = servers.into_iter().map(|server| &**server).collect();
        let table = self.table.borrow();
        let previous = table.assigned_engine(&open.program);
        let previous = previous
            .and_then(|id| directory.entry(id))
            .filter(|server| {
                let is_candidate = servers.iter().any(|candidate| candidate.id == server.id);
                !is_candidate && !server.draining && server.service == input.service
            });
        servers.extend(previous);
        let engines = servers.into_iter().map(|server| Engine {
            is_in_group: arc.contains(ring_position(&server.id)),
            ..engine(server)
        });
        (engines.collect(), self.owned_fraction(count, own_group))
    }

    /// Removes engines whose zones may not serve the turn, and sets the distance of the others.
    fn retain_allowed(&self, engines: &mut Vec<Engine<'_>>, input: &AssignmentInput) {
        let regions = allowed_regions(input);
        self.zone_state.with_rule(&regions, &input.zone, |rule| {
            engines.retain_mut(|engine| match rule.serving_distance(engine.zone) {
                Ok(distance) => {
                    engine.distance = distance;
                    true
                }
                Err(_) => false,
            });
        });
    }

    /// Limits the slots of cold engines to what their permitted request rate can fill.
    fn limit_cold_slots(&self, engines: &mut [Engine<'_>], directory: &Directory) {
        for engine in engines {
            let entry = directory.entry(engine.id);
            let cold = entry.and_then(|entry| self.cold.cold_limits(entry));
            if let Some(cold) = cold {
                engine.is_cold = true;
                engine.slots = engine.slots.min(cold::cold_slots(&cold));
            }
        }
    }

    /// Records that a turn has ended.
    pub fn end_turn(&self, close: &CloseTurn) {
        let mut table = self.table.borrow_mut();
        table.end_turn(&close.turn);
        if let Some(engine) = &close.engine {
            table.move_program(&close.program, engine);
        }
    }

    /// Returns the engine groups of a service, which are recomputed if its engines have changed.
    fn groups(&self, service: &str, serving: &ActiveServers) -> Rc<EngineGroups> {
        let version = serving.version;
        let mut groups_by_service = self.groups_by_service.borrow_mut();
        if let Some(cached) = groups_by_service.get(service)
            && cached.version == version
        {
            return cached.groups.clone();
        }
        let groups = Rc::new(EngineGroups::divide(
            &sorted_engines(serving),
            self.partitions,
        ));
        let current = CachedGroups {
            version,
            groups: groups.clone(),
        };
        groups_by_service.insert(service.to_owned(), current);
        groups
    }

    /// Returns the fraction of a group's programs whose partitions this daemon owns; `groups` is
    /// the number of groups.
    fn owned_fraction(&self, groups: u32, group: u32) -> f64 {
        let owned = self.owned.borrow();
        let of_group = owned
            .iter()
            .filter(|partition| **partition % groups.max(1) == group);
        let partitions_of_group = f64::from(self.partitions) / f64::from(groups.max(1));
        of_group.count() as f64 / partitions_of_group
    }
}

/// Returns the regions that may serve a turn.
fn allowed_regions(input: &AssignmentInput) -> RegionSet {
    match &input.regions {
        Some(regions) => {
            RegionSet::Only(regions.iter().map(|region| Rc::from(&**region)).collect())
        }
        None => RegionSet::All,
    }
}

/// Returns the engines of a service that accept new work, sorted by identity.
fn sorted_engines(serving: &ActiveServers) -> Vec<Engine<'_>> {
    let all = serving.all.iter_from(HashRange::FULL, 0);
    let mut engines: Vec<Engine<'_>> = all.map(|server| engine(server)).collect();
    engines.sort_by(|left, right| left.id.cmp(right.id));
    engines
}

fn engine(server: &ServerEntry) -> Engine<'_> {
    Engine {
        id: &server.id,
        zone: &server.zone,
        distance: Distance::SameRegion,
        slots: server.slots,
        is_in_group: false,
        is_cold: false,
    }
}
