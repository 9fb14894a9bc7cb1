//! Engines for the turns of programs whose partitions are owned here.

use crate::cold::ColdServers;
use crate::upstream::pool::Pools;
use crate::zone_state::ZoneState;
use fieldhook_ledger::message::{CloseTurn, OpenTurn, PlacementRequest};
use fieldhook_ledger::partition_of;
use fieldhook_topology::region::Set;
use fieldhook_topology::zone::Distance;
use fieldhook_traffic::assignment::{Engine, Settings, Table, Turn};
use fieldhook_traffic::candidates::{Draw, WEIGHED_WHOLE, draw};
use fieldhook_traffic::cold;
use fieldhook_traffic::directory::{Directory, ServerEntry, Serving};
use fieldhook_traffic::groups::{Groups, group_count};
use fieldhook_traffic::ring::{Arc, place};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::time::Instant;

/// Engines drawn from a group that are enough to choose from: fewer are left where zones are
/// evacuated or regions not allowed, and the turn goes to any group then.
const FEWEST_DRAWN: usize = 8;

/// Groups of a service's engines, as of a version of these.
struct Division {
    version: u64,
    groups: Rc<Groups>,
}

/// Assigns engines, from the servers and their health as this daemon knows them.
pub struct Assigner {
    directory: Rc<RefCell<Directory>>,
    pools: Rc<Pools>,
    pub(super) zone_state: Rc<ZoneState>,
    cold: Rc<ColdServers>,
    table: RefCell<Table>,
    divisions: RefCell<HashMap<String, Division>>,
    partitions: u32,
    /// Partitions owned here.
    owned: RefCell<Vec<u32>>,
    started: Instant,
}

impl Assigner {
    /// An assigner of no programs. These are divided among so many partitions.
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
            table: RefCell::new(Table::new(Settings::default())),
            divisions: RefCell::default(),
            partitions: partitions.max(1),
            owned: RefCell::default(),
            started: Instant::now(),
        }
    }

    /// These partitions are owned here.
    pub fn set_owned(&self, partitions: Vec<u32>) {
        self.owned.replace(partitions);
    }

    /// The engine that a turn should run at, if it needs one and one is known.
    pub fn assign(&self, open: &OpenTurn) -> Option<String> {
        let placement = open.placement.as_ref()?;
        let now_ms = self.started.elapsed().as_millis() as u64;
        let directory = self.directory.borrow();
        let serving = directory.serving(&placement.service)?;
        let partition = partition_of(&open.program, self.partitions);
        let (mut engines, share) = match serving.all.len() <= WEIGHED_WHOLE {
            true => self.engines_of_few(&placement.service, serving, partition),
            false => self.engines_of_many(&directory, serving, open, placement, partition),
        };
        engines.retain(|engine| !self.pools.status(engine.id, engine.zone, now_ms).avoided);
        self.keep_allowed(&mut engines, placement);
        self.limit_cold(&mut engines, &directory);
        let turn = Turn {
            id: &open.turn,
            program: &open.program,
            prefix: placement.prefix_hash,
        };
        let engine = self
            .table
            .borrow_mut()
            .assign(&turn, &engines, share, now_ms)?;
        Some(engine.to_string())
    }

    /// All engines of a small service, and the part of its group's programs that this daemon
    /// sees.
    fn engines_of_few<'a>(
        &self,
        service: &str,
        serving: &'a Serving,
        partition: u32,
    ) -> (Vec<Engine<'a>>, f64) {
        let groups = self.groups(service, serving);
        let home = groups.of_partition(partition);
        let mut engines = engines(serving);
        for engine in &mut engines {
            engine.is_home = groups.of_engine(engine.id) == Some(home);
        }
        (engines, self.share(groups.count(), home))
    }

    /// Engines of a large service to weigh for a turn: some of the group, drawn by the beginning
    /// of the prompt so that all who share it draw the same, and the one that the program is
    /// at. A group is a part of the order of engines: nothing is divided anew where one comes
    /// or goes.
    fn engines_of_many<'a>(
        &self,
        directory: &'a Directory,
        serving: &'a Serving,
        open: &OpenTurn,
        placement: &PlacementRequest,
        partition: u32,
    ) -> (Vec<Engine<'a>>, f64) {
        let count = group_count(serving.all.len(), self.partitions);
        let home = partition % count;
        let arc = Arc::of(home, count);
        let homes = homes(placement);
        let servers = self.zone_state.with_rule(&homes, &placement.zone, |rule| {
            let is_usable = |server: &ServerEntry| rule.serve(&server.zone).is_ok();
            let from = |arc| Draw {
                zone: &placement.zone,
                arc,
                number: placement.prefix_hash,
            };
            let drawn = draw(serving, &from(arc), &is_usable).servers;
            match drawn.len() >= FEWEST_DRAWN {
                true => drawn,
                false => draw(serving, &from(Arc::WHOLE), &is_usable).servers,
            }
        });
        let mut servers: Vec<&ServerEntry> = servers.into_iter().map(|server| &**server).collect();
        let table = self.table.borrow();
        let former = table.engine_of(&open.program);
        let former = former.and_then(|id| directory.entry(id)).filter(|server| {
            let is_drawn = servers.iter().any(|drawn| drawn.id == server.id);
            !is_drawn && !server.draining && server.service == placement.service
        });
        servers.extend(former);
        let engines = servers.into_iter().map(|server| Engine {
            is_home: arc.contains(place(&server.id)),
            ..engine(server)
        });
        (engines.collect(), self.share(count, home))
    }

    /// Keeps engines whose places may serve the turn, and tells how far they are from it.
    fn keep_allowed(&self, engines: &mut Vec<Engine<'_>>, placement: &PlacementRequest) {
        let homes = homes(placement);
        self.zone_state.with_rule(&homes, &placement.zone, |rule| {
            engines.retain_mut(|engine| match rule.serve(engine.zone) {
                Ok(distance) => {
                    engine.distance = distance;
                    true
                }
                Err(_) => false,
            });
        });
    }

    /// Cold engines have as many places as what they bear fills.
    fn limit_cold(&self, engines: &mut [Engine<'_>], directory: &Directory) {
        for engine in engines {
            let entry = directory.entry(engine.id);
            let cold = entry.and_then(|entry| self.cold.cold_limits(entry));
            if let Some(cold) = cold {
                engine.is_cold = true;
                engine.slots = engine.slots.min(cold::slots(&cold));
            }
        }
    }

    /// A turn has ended.
    pub fn end(&self, close: &CloseTurn) {
        let mut table = self.table.borrow_mut();
        table.end(&close.turn);
        if let Some(engine) = &close.engine {
            table.ran_at(&close.program, engine);
        }
    }

    /// The groups of a service's engines, divided anew where these have changed.
    fn groups(&self, service: &str, serving: &Serving) -> Rc<Groups> {
        let version = serving.version;
        let mut divisions = self.divisions.borrow_mut();
        if let Some(known) = divisions.get(service)
            && known.version == version
        {
            return known.groups.clone();
        }
        let groups = Rc::new(Groups::divide(&engines(serving), self.partitions));
        let current = Division {
            version,
            groups: groups.clone(),
        };
        divisions.insert(service.to_owned(), current);
        groups
    }

    /// The part of the programs of one of so many groups that this daemon sees as an owner.
    fn share(&self, groups: u32, group: u32) -> f64 {
        let owned = self.owned.borrow();
        let of_group = owned
            .iter()
            .filter(|partition| **partition % groups.max(1) == group);
        let partitions_of_group = f64::from(self.partitions) / f64::from(groups.max(1));
        of_group.count() as f64 / partitions_of_group
    }
}

fn homes(placement: &PlacementRequest) -> Set {
    match &placement.regions {
        Some(regions) => Set::Only(regions.iter().map(|region| Rc::from(&**region)).collect()),
        None => Set::All,
    }
}

/// Engines of a service that take new work, in an order of their own.
fn engines(serving: &Serving) -> Vec<Engine<'_>> {
    let all = serving.all.from(Arc::WHOLE, 0);
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
        is_home: false,
        is_cold: false,
    }
}
