//! Engines for the turns of programs whose partitions are owned here.

use crate::places::Places;
use crate::upstream::pool::Pools;
use fieldhook_ledger::message::{CloseTurn, OpenTurn, Placement};
use fieldhook_ledger::partition_of;
use fieldhook_topology::region::Set;
use fieldhook_topology::zone::Distance;
use fieldhook_traffic::assignment::{Engine, Settings, Table, Turn};
use fieldhook_traffic::directory::Directory;
use fieldhook_traffic::groups::Groups;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::time::Instant;

/// Groups of a service's engines, as of a version of the directory.
struct Division {
    version: u64,
    groups: Rc<Groups>,
}

/// Assigns engines, from the servers and their health as this daemon knows them.
pub struct Assigner {
    directory: Rc<RefCell<Directory>>,
    pools: Rc<Pools>,
    pub(super) places: Rc<Places>,
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
        places: Rc<Places>,
        partitions: u32,
    ) -> Self {
        Self {
            directory,
            pools,
            places,
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
        let groups = self.groups(&placement.service, &directory);
        let home = groups.of_partition(partition_of(&open.program, self.partitions));
        let mut engines = engines(&directory, &placement.service);
        engines.retain(|engine| !self.pools.view(engine.id, engine.zone, now_ms).avoided);
        self.keep_allowed(&mut engines, placement);
        for engine in &mut engines {
            engine.is_home = groups.of_engine(engine.id) == Some(home);
        }
        let turn = Turn {
            id: &open.turn,
            program: &open.program,
            prefix: placement.prefix,
        };
        let share = self.share(&groups, home);
        let engine = self
            .table
            .borrow_mut()
            .assign(&turn, &engines, share, now_ms)?;
        Some(engine.to_string())
    }

    /// Keeps engines whose places may serve the turn, and tells how far they are from it.
    fn keep_allowed(&self, engines: &mut Vec<Engine<'_>>, placement: &Placement) {
        let homes = homes(placement);
        self.places.with_rule(&homes, &placement.zone, |rule| {
            engines.retain_mut(|engine| match rule.serve(engine.zone) {
                Ok(distance) => {
                    engine.distance = distance;
                    true
                }
                Err(_) => false,
            });
        });
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
    fn groups(&self, service: &str, directory: &Directory) -> Rc<Groups> {
        let version = directory.version();
        let mut divisions = self.divisions.borrow_mut();
        if let Some(known) = divisions.get(service)
            && known.version == version
        {
            return known.groups.clone();
        }
        let groups = Rc::new(Groups::divide(
            &engines(directory, service),
            self.partitions,
        ));
        let current = Division {
            version,
            groups: groups.clone(),
        };
        divisions.insert(service.to_owned(), current);
        groups
    }

    /// The part of a group's programs that this daemon sees as an owner.
    fn share(&self, groups: &Groups, group: u32) -> f64 {
        let owned = self.owned.borrow();
        let of_group = owned
            .iter()
            .filter(|partition| groups.of_partition(**partition) == group);
        let partitions_of_group = f64::from(self.partitions) / f64::from(groups.count());
        of_group.count() as f64 / partitions_of_group
    }
}

fn homes(placement: &Placement) -> Set {
    match &placement.regions {
        Some(regions) => Set::Only(regions.iter().map(|region| Rc::from(&**region)).collect()),
        None => Set::All,
    }
}

/// Engines of a service that take new work, in an order of their own.
fn engines<'a>(directory: &'a Directory, service: &'a str) -> Vec<Engine<'a>> {
    let mut engines: Vec<Engine<'a>> = directory
        .serving(service)
        .map(|server| Engine {
            id: &server.id,
            zone: &server.zone,
            distance: Distance::SameRegion,
            slots: server.slots,
            is_home: false,
        })
        .collect();
    engines.sort_by(|left, right| left.id.cmp(right.id));
    engines
}
