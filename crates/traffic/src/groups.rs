//! Divides engines into groups, from which the owners of partitions assign engines.
//!
//! An owner counts only the turns that it assigns itself. If all owners assigned all engines,
//! each would see a small part of an engine's load, and several owners could overload the same
//! engines unknowingly. Engines are therefore divided into groups, and each group belongs to as
//! few partitions as its minimum size permits. If that is one partition, its owner sees the
//! whole load of the group (docs/SIZE.md).
//!
//! All owners compute the same groups from the same list without communication. If their lists
//! differ for a while, only the engines in which they differ are shared between groups.

use crate::assignment::Engine;
use std::collections::HashMap;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Minimum number of engines in a group, so that a group can balance its programs and survive the
/// loss of some engines. With six there is one in each zone of the largest measured deployments.
const MIN_GROUP_SIZE: usize = 6;

/// The groups of engines and their assignment to partitions.
#[derive(Debug, Default)]
pub struct EngineGroups {
    count: u32,
    group_by_engine: HashMap<Rc<str>, u32>,
}

impl EngineGroups {
    /// Divides engines into groups. The sizes of groups differ by at most one, and so do their
    /// numbers of engines in a zone if the zone has enough engines for all groups. An added or
    /// removed engine moves few others.
    pub fn divide(engines: &[Engine<'_>], partitions: u32) -> Self {
        let count = group_count(engines.len(), partitions);
        let mut groups = Self {
            count,
            group_by_engine: HashMap::with_capacity(engines.len()),
        };
        let mut remaining = Vec::new();
        let mut zones: Vec<&str> = engines.iter().map(|engine| engine.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        for zone in zones {
            let of_zone: Vec<&str> = engines
                .iter()
                .filter(|engine| engine.zone == zone)
                .map(|engine| engine.id)
                .collect();
            remaining.extend(groups.place_evenly(&of_zone));
        }
        groups.place_in_smallest(remaining);
        groups
    }

    /// Returns the number of groups.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the group from which a partition's owner assigns engines.
    pub fn partition_group(&self, partition: u32) -> u32 {
        partition % self.count.max(1)
    }

    /// Returns the group that an engine belongs to.
    pub fn engine_group(&self, engine: &str) -> Option<u32> {
        self.group_by_engine.get(engine).copied()
    }

    /// Assigns the same number of a zone's engines to each group by rendezvous hashing. Returns
    /// the remaining engines.
    fn place_evenly<'a>(&mut self, engines: &[&'a str]) -> Vec<&'a str> {
        let each = engines.len() / self.count as usize;
        let mut free_places = vec![each; self.count as usize];
        let mut pairs: Vec<(u64, &str, u32)> = engines
            .iter()
            .flat_map(|engine| (0..self.count).map(|group| (weight(engine, group), *engine, group)))
            .collect();
        pairs.sort_unstable_by(|left, right| right.cmp(left));
        for (_, engine, group) in pairs {
            if free_places[group as usize] > 0 && !self.group_by_engine.contains_key(engine) {
                free_places[group as usize] -= 1;
                self.group_by_engine.insert(Rc::from(engine), group);
            }
        }
        let rest = engines
            .iter()
            .filter(|id| !self.group_by_engine.contains_key(**id));
        rest.copied().collect()
    }

    /// Assigns the remaining engines of all zones to the smallest groups.
    fn place_in_smallest(&mut self, mut engines: Vec<&str>) {
        let mut sizes = vec![0_u32; self.count as usize];
        for group in self.group_by_engine.values() {
            sizes[*group as usize] += 1;
        }
        // No group has the index `count`. It serves as one more hash seed, so that the order is
        // independent of the weights in the groups.
        engines.sort_unstable_by_key(|engine| weight(engine, self.count));
        for engine in engines {
            let smallest = (0..self.count)
                .min_by_key(|group| (sizes[*group as usize], u64::MAX - weight(engine, *group)));
            if let Some(group) = smallest {
                sizes[group as usize] += 1;
                self.group_by_engine.insert(Rc::from(engine), group);
            }
        }
    }
}

fn weight(engine: &str, group: u32) -> u64 {
    xxh3_64_with_seed(engine.as_bytes(), u64::from(group))
}

/// Returns the largest number of groups that divides the number of partitions and leaves each
/// group large enough.
pub fn group_count(engines: usize, partitions: u32) -> u32 {
    let partitions = partitions.max(1);
    (1..=partitions)
        .rev()
        .filter(|groups| partitions.is_multiple_of(*groups))
        .find(|groups| engines >= *groups as usize * MIN_GROUP_SIZE)
        .unwrap_or(1)
}
