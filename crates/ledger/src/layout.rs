//! Which partition keeps what a program says.
//!
//! Free partitions are owned by any daemon. Beside them each region has home partitions of
//! its own, owned by its daemons alone: they keep the contents of programs whose data may not
//! leave some regions. What holds no contents (budgets, order, engines, limits of tenants) is
//! at the program's free partition always, so it stays where it is when homes change.
//! docs/design/homes.md tells what was weighed.

use crate::partition_of;
use fieldhook_topology::region::Set;
use fieldhook_topology::zone::Map;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Home partitions of a region at most. Each costs a claim that all daemons read, and a region
/// has but a part of the daemons; four let as many of them take over at once.
const MAX_HOME_PARTITIONS: u32 = 4;

/// Where a partition stands in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Number of its region, in the order of their names; `None` for a free partition.
    pub region: Option<u32>,
    /// Its number within its topic.
    pub number: u32,
}

/// All partitions of a deployment: the free ones first, then those of each region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    free: u32,
    per_region: u32,
    regions: Vec<Rc<str>>,
}

impl Layout {
    /// The layout of topics of so many partitions over the regions of a map.
    pub fn new(partitions: u32, map: &Map) -> Self {
        let free = partitions.max(1);
        Self {
            free,
            per_region: free.min(MAX_HOME_PARTITIONS),
            regions: map.regions(),
        }
    }

    /// Number of free partitions.
    pub fn global_count(&self) -> u32 {
        self.free
    }

    /// Number of all partitions.
    pub fn count(&self) -> u32 {
        self.free + self.per_region * self.regions.len() as u32
    }

    /// The numbers of the home partitions.
    pub fn home_partitions(&self) -> std::ops::Range<u32> {
        self.free..self.count()
    }

    /// Where a partition stands in the log.
    pub fn location(&self, partition: u32) -> Location {
        let Some(home) = partition.checked_sub(self.free) else {
            return Location {
                region: None,
                number: partition,
            };
        };
        Location {
            region: Some(home / self.per_region),
            number: home % self.per_region,
        }
    }

    /// The region that a partition belongs to; `None` for a free one.
    pub fn region(&self, partition: u32) -> Option<&Rc<str>> {
        let region = self.location(partition).region?;
        self.regions.get(region as usize)
    }

    /// Whether contents of a program may be kept in a partition.
    pub fn may_store(&self, partition: u32, homes: &Set) -> bool {
        match self.region(partition) {
            Some(region) => homes.contains(Some(region)),
            None => homes.is_all(),
        }
    }

    /// Whether some region of the deployment is allowed.
    pub fn has_allowed_region(&self, homes: &Set) -> bool {
        homes.is_all() || self.allowed(homes).next().is_some()
    }

    /// The partition that orders a program, counts its budget and assigns its engine, and
    /// keeps its contents where nothing bounds these.
    pub fn program_partition(&self, program: &str) -> u32 {
        partition_of(program, self.free)
    }

    /// The home partition that keeps a program's contents. `None` where its homes bind
    /// nothing, or none of them is a region of this deployment.
    ///
    /// Of the allowed regions the one of the greatest weight is taken, and weights depend on
    /// the program and the region alone: when a region leaves the set, only its own programs
    /// move; when one joins, only those move that it takes.
    pub fn home_partition(&self, program: &str, homes: &Set) -> Option<u32> {
        if homes.is_all() {
            return None;
        }
        let weight = |name: &Rc<str>| {
            let seed = xxh3_64_with_seed(name.as_bytes(), 0);
            xxh3_64_with_seed(program.as_bytes(), seed)
        };
        let (index, _) = self
            .allowed(homes)
            .max_by_key(|(_, name)| (weight(name), *name))?;
        let first = self.free + index as u32 * self.per_region;
        Some(first + partition_of(program, self.per_region))
    }

    fn allowed<'a>(&'a self, homes: &'a Set) -> impl Iterator<Item = (usize, &'a Rc<str>)> {
        let regions = self.regions.iter().enumerate();
        regions.filter(|(_, name)| homes.contains(Some(name)))
    }
}
