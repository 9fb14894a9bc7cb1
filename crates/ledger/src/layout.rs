//! Assigns programs to partitions.
//!
//! Global partitions may be owned by any daemon. Each region also has home partitions, which only
//! daemons of that region own. They store the contents of programs whose data must stay in certain
//! regions. State without contents (budgets, turn order, engine assignments, tenant limits) is
//! always kept in the program's global partition, so it does not move when the allowed regions of a
//! program change. docs/design/homes.md describes the alternatives that were considered.

use crate::partition_of;
use fieldhook_topology::region::RegionSet;
use fieldhook_topology::zone::Map;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of home partitions per region. Every partition adds a claim that all daemons
/// read, and a region has only some of the daemons. Four let up to four daemons take over a
/// region's partitions in parallel.
const MAX_HOME_PARTITIONS: u32 = 4;

/// Location of a partition in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Index of the region in the sorted list of region names; `None` for a global partition.
    pub region: Option<u32>,
    /// Number of the partition within its topic.
    pub number: u32,
}

/// All partitions of a deployment: first the global ones, then those of each region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    global_count: u32,
    homes_per_region: u32,
    regions: Vec<Rc<str>>,
}

impl Layout {
    /// Layout for `partitions` global partitions and the regions of a map. Each region gets as many
    /// home partitions, up to `MAX_HOME_PARTITIONS`.
    pub fn new(partitions: u32, map: &Map) -> Self {
        let global_count = partitions.max(1);
        Self {
            global_count,
            homes_per_region: global_count.min(MAX_HOME_PARTITIONS),
            regions: map.regions(),
        }
    }

    /// Number of global partitions.
    pub fn global_count(&self) -> u32 {
        self.global_count
    }

    /// Number of all partitions, global and home.
    pub fn count(&self) -> u32 {
        self.global_count + self.homes_per_region * self.regions.len() as u32
    }

    /// Range of the home partitions of all regions.
    pub fn home_partitions(&self) -> std::ops::Range<u32> {
        self.global_count..self.count()
    }

    /// Location of a partition in the log.
    pub fn location(&self, partition: u32) -> Location {
        let Some(home) = partition.checked_sub(self.global_count) else {
            return Location {
                region: None,
                number: partition,
            };
        };
        Location {
            region: Some(home / self.homes_per_region),
            number: home % self.homes_per_region,
        }
    }

    /// Region of a home partition; `None` for a global partition.
    pub fn region(&self, partition: u32) -> Option<&Rc<str>> {
        let region = self.location(partition).region?;
        self.regions.get(region as usize)
    }

    /// Whether a partition may store the contents of a program with these allowed regions.
    pub fn may_store(&self, partition: u32, allowed_regions: &RegionSet) -> bool {
        match self.region(partition) {
            Some(region) => allowed_regions.contains(Some(region)),
            None => allowed_regions.is_all(),
        }
    }

    /// Whether at least one region of the deployment is allowed.
    pub fn has_allowed_region(&self, allowed_regions: &RegionSet) -> bool {
        allowed_regions.is_all() || self.allowed_regions(allowed_regions).next().is_some()
    }

    /// Global partition of a program. It orders the turns, counts the budget, assigns the engine,
    /// and stores the contents of programs that are not restricted to regions.
    pub fn program_partition(&self, program: &str) -> u32 {
        partition_of(program, self.global_count)
    }

    /// Home partition that stores the contents of a program. `None` if the program is not
    /// restricted to regions, or if none of its allowed regions is in this deployment.
    ///
    /// Regions are chosen by rendezvous hashing: each allowed region gets a weight that depends
    /// only on the program and the region, and the highest weight wins. If a region is removed from
    /// the set, only its own programs move; if one is added, only the programs that it wins move.
    pub fn home_partition(&self, program: &str, allowed_regions: &RegionSet) -> Option<u32> {
        if allowed_regions.is_all() {
            return None;
        }
        let weight = |name: &Rc<str>| {
            let seed = xxh3_64_with_seed(name.as_bytes(), 0);
            xxh3_64_with_seed(program.as_bytes(), seed)
        };
        let (index, _) = self
            .allowed_regions(allowed_regions)
            .max_by_key(|(_, name)| (weight(name), *name))?;
        let first = self.global_count + index as u32 * self.homes_per_region;
        Some(first + partition_of(program, self.homes_per_region))
    }

    fn allowed_regions<'a>(
        &'a self,
        allowed_regions: &'a RegionSet,
    ) -> impl Iterator<Item = (usize, &'a Rc<str>)> {
        let regions = self.regions.iter().enumerate();
        regions.filter(|(_, name)| allowed_regions.contains(Some(name)))
    }
}
