//! Which engines the owner of a partition assigns: each partition has a group of them.
//!
//! An owner counts the turns that it lets begin. Where all owners assign all engines, each
//! sees a small part of an engine's load, and they pile up on the same ones without knowing
//! it. So the engines are divided into groups, a group belongs to as few partitions as leaves it
//! large enough, and the owner of a group's only partition sees all of its load
//! (docs/SIZE.md, round 1).
//!
//! All owners divide the same list alike, without a message between them. Owners whose
//! lists differ for a while share the engines they differ in, nothing worse.

use crate::assignment::Engine;
use std::collections::HashMap;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Engines of a group at least, so that a group can even out its programs and survives the
/// loss of some: with six, one in each zone of the largest deployments measured.
const SMALLEST_GROUP: usize = 6;

/// Engines divided into groups, and groups among partitions.
#[derive(Debug, Default)]
pub struct EngineGroups {
    count: u32,
    of: HashMap<Rc<str>, u32>,
}

impl EngineGroups {
    /// Divides engines: groups differ by one engine at most, and so do the engines that a
    /// group has of a zone while the zone has enough for all. An engine that comes or goes
    /// moves few others.
    pub fn divide(engines: &[Engine<'_>], partitions: u32) -> Self {
        let count = group_count(engines.len(), partitions);
        let mut groups = Self {
            count,
            of: HashMap::with_capacity(engines.len()),
        };
        let mut left = Vec::new();
        let mut zones: Vec<&str> = engines.iter().map(|engine| engine.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        for zone in zones {
            let of_zone: Vec<&str> = engines
                .iter()
                .filter(|engine| engine.zone == zone)
                .map(|engine| engine.id)
                .collect();
            left.extend(groups.place_evenly(&of_zone));
        }
        groups.place_in_smallest(left);
        groups
    }

    /// Number of groups.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// The group that a partition assigns.
    pub fn partition_group(&self, partition: u32) -> u32 {
        partition % self.count.max(1)
    }

    /// The group that an engine belongs to.
    pub fn engine_group(&self, engine: &str) -> Option<u32> {
        self.of.get(engine).copied()
    }

    /// Gives each group the same number of a zone's engines, by rendezvous hashing, and
    /// returns the rest.
    fn place_evenly<'a>(&mut self, engines: &[&'a str]) -> Vec<&'a str> {
        let each = engines.len() / self.count as usize;
        let mut room = vec![each; self.count as usize];
        let mut pairs: Vec<(u64, &str, u32)> = engines
            .iter()
            .flat_map(|engine| (0..self.count).map(|group| (weight(engine, group), *engine, group)))
            .collect();
        pairs.sort_unstable_by(|left, right| right.cmp(left));
        for (_, engine, group) in pairs {
            if room[group as usize] > 0 && !self.of.contains_key(engine) {
                room[group as usize] -= 1;
                self.of.insert(Rc::from(engine), group);
            }
        }
        let rest = engines.iter().filter(|id| !self.of.contains_key(**id));
        rest.copied().collect()
    }

    /// Gives what is left of all zones to the smallest groups.
    fn place_in_smallest(&mut self, mut engines: Vec<&str>) {
        let mut sizes = vec![0_u32; self.count as usize];
        for group in self.of.values() {
            sizes[*group as usize] += 1;
        }
        engines.sort_unstable_by_key(|engine| weight(engine, self.count));
        for engine in engines {
            let smallest = (0..self.count)
                .min_by_key(|group| (sizes[*group as usize], u64::MAX - weight(engine, *group)));
            if let Some(group) = smallest {
                sizes[group as usize] += 1;
                self.of.insert(Rc::from(engine), group);
            }
        }
    }
}

fn weight(engine: &str, group: u32) -> u64 {
    xxh3_64_with_seed(engine.as_bytes(), u64::from(group))
}

/// The most groups that leave each large enough, of those that belong to equally many
/// partitions each.
pub fn group_count(engines: usize, partitions: u32) -> u32 {
    let partitions = partitions.max(1);
    (1..=partitions)
        .rev()
        .filter(|groups| partitions.is_multiple_of(*groups))
        .find(|groups| engines >= *groups as usize * SMALLEST_GROUP)
        .unwrap_or(1)
}
