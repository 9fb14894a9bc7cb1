//! Engine groups are even for any number of engines, and a removed engine moves few others.

use fieldhook_topology::zone::Distance;
use fieldhook_traffic::assignment::{AssignmentSettings, AssignmentTable, Engine, Turn};
use fieldhook_traffic::groups::EngineGroups;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::HashMap;

const SLOTS: u32 = 6;

/// Identity and zone of engines.
#[derive(Clone, Debug)]
struct Fleet(Vec<(String, String)>);

impl Fleet {
    fn new(engines: usize, zones: usize) -> Self {
        let engine = |number: usize| (format!("e{number}"), format!("z{}", number % zones.max(1)));
        Self((0..engines).map(engine).collect())
    }

    fn engines(&self) -> Vec<Engine<'_>> {
        self.0
            .iter()
            .map(|(id, zone)| Engine {
                id,
                zone,
                distance: Distance::SameZone,
                slots: SLOTS,
                is_in_group: true,
                is_cold: false,
            })
            .collect()
    }

    fn sizes(&self, groups: &EngineGroups, zone: Option<&str>) -> Vec<usize> {
        let mut sizes = vec![0; groups.count() as usize];
        for (id, engine_zone) in &self.0 {
            if zone.is_none_or(|zone| zone == engine_zone) {
                sizes[groups.engine_group(id).expect("in a group") as usize] += 1;
            }
        }
        sizes
    }
}

fn size_difference(sizes: &[usize]) -> usize {
    let most = sizes.iter().max().copied().unwrap_or(0);
    most - sizes.iter().min().copied().unwrap_or(0)
}

/// A fleet, and the number of partitions whose owners assign its engines.
#[derive(Clone, Debug)]
struct Case {
    engines: usize,
    zones: usize,
    partitions: u32,
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Self {
        let few = bool::arbitrary(g);
        let engines = usize::from(u16::arbitrary(g)) % if few { 14 } else { 300 };
        Self {
            engines: engines + 1,
            zones: usize::from(u8::arbitrary(g)) % 8 + 1,
            partitions: u32::from(u8::arbitrary(g)) % 130,
        }
    }
}

fn groups_are_even_for(case: Case) -> bool {
    let fleet = Fleet::new(case.engines, case.zones);
    let groups = EngineGroups::divide(&fleet.engines(), case.partitions);
    let partitions = case.partitions.max(1);
    // Six is the private `MIN_GROUP_SIZE`.
    let large_enough = groups.count() == 1 || case.engines >= 6 * groups.count() as usize;
    let zones_even = (0..case.zones).all(|zone| {
        let zone = format!("z{zone}");
        let of_zone = fleet
            .0
            .iter()
            .filter(|(_, engine_zone)| *engine_zone == zone)
            .count();
        let each = of_zone / groups.count() as usize;
        fleet
            .sizes(&groups, Some(&zone))
            .iter()
            .all(|size| *size >= each)
    });
    let every_group_has_partitions = partitions.is_multiple_of(groups.count());
    large_enough
        && zones_even
        && every_group_has_partitions
        && size_difference(&fleet.sizes(&groups, None)) <= 1
}

#[test]
fn groups_are_even() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 31))
        .tests(300)
        .quickcheck(groups_are_even_for as fn(Case) -> bool);
}

#[test]
fn each_group_has_at_least_six_engines_unless_there_is_only_one_group() {
    let count = |engines, partitions| {
        EngineGroups::divide(&Fleet::new(engines, 3).engines(), partitions).count()
    };
    assert_eq!(count(1, 16), 1);
    assert_eq!(count(11, 16), 1);
    assert_eq!(count(12, 16), 2);
    assert_eq!(count(45, 16), 4);
    assert_eq!(count(102, 16), 16);
    assert_eq!(count(740, 16), 16);
    assert_eq!(count(740, 128), 64);
}

#[test]
fn the_order_of_the_list_does_not_matter() {
    let fleet = Fleet::new(102, 6);
    let mut reversed = fleet.engines();
    reversed.reverse();
    let one = EngineGroups::divide(&fleet.engines(), 16);
    let other = EngineGroups::divide(&reversed, 16);
    for (id, _) in &fleet.0 {
        assert_eq!(one.engine_group(id), other.engine_group(id));
    }
}

#[test]
fn a_removed_engine_moves_few_others() {
    let fleet = Fleet::new(102, 6);
    let before = EngineGroups::divide(&fleet.engines(), 16);
    for removed in 0..102 {
        let mut remaining = fleet.clone();
        remaining.0.remove(removed);
        let after = EngineGroups::divide(&remaining.engines(), 16);
        let moved = remaining
            .0
            .iter()
            .filter(|(id, _)| before.engine_group(id) != after.engine_group(id));
        let moved = moved.count();
        assert!(moved <= 20, "{moved} of 101 moved");
    }
}

fn distance(from: &str, to: &str) -> Distance {
    match from == to {
        true => Distance::SameZone,
        false => Distance::SameRegion,
    }
}

/// Returns the open turns of each engine when the owners assign turns independently.
fn loads(fleet: &Fleet, partitions: u32, programs: u32) -> HashMap<String, u32> {
    let groups = EngineGroups::divide(&fleet.engines(), partitions);
    let mut owners: Vec<AssignmentTable> = (0..partitions)
        .map(|_| AssignmentTable::new(AssignmentSettings::default()))
        .collect();
    for program in 0..programs {
        let name = format!("p{program}");
        let partition = program * 7 % partitions;
        let group = groups.partition_group(partition);
        let mut engines = fleet.engines();
        let zone = format!("z{}", program % 6);
        for engine in &mut engines {
            engine.is_in_group = groups.engine_group(engine.id) == Some(group);
            engine.distance = distance(engine.zone, &zone);
        }
        let turn = Turn {
            id: &name,
            program: &name,
            prefix: u64::from(program % 8),
        };
        let share = f64::from(groups.count()) / f64::from(partitions);
        owners[partition as usize]
            .assign(&turn, &engines, share, 0)
            .expect("an engine");
    }
    let mut loads = HashMap::new();
    for (id, _) in &fleet.0 {
        let open = owners.iter().map(|owner| owner.open_turns(id)).sum();
        loads.insert(id.clone(), open);
    }
    loads
}

#[test]
fn independent_owners_load_all_engines_evenly() {
    let fleet = Fleet::new(102, 6);
    let loads = loads(&fleet, 16, 306);
    let most = loads.values().max().copied().unwrap_or(0);
    // There are three turns per engine, and an engine gets three before the next one is chosen.
    assert!(most <= 4, "{most} turns at one engine, 3 on average");
}

#[test]
fn programs_beyond_a_full_group_go_to_other_groups() {
    let fleet = Fleet::new(24, 6);
    let groups = EngineGroups::divide(&fleet.engines(), 4);
    assert_eq!(groups.count(), 4);
    let mut engines = fleet.engines();
    for engine in &mut engines {
        engine.is_in_group = groups.engine_group(engine.id) == Some(0);
        engine.distance = distance(engine.zone, "z1");
    }
    let mut owner = AssignmentTable::new(AssignmentSettings::default());
    for number in 0..100 {
        let name = format!("p{number}");
        let turn = Turn {
            id: &name,
            program: &name,
            prefix: 1,
        };
        owner.assign(&turn, &engines, 1.0, 0).expect("an engine");
    }
    let at = |is_in_group: bool| {
        let engines = engines
            .iter()
            .filter(|engine| engine.is_in_group == is_in_group);
        engines
            .map(|engine| owner.open_turns(engine.id))
            .sum::<u32>()
    };
    // Six engines with six slots each, and half as many queued turns.
    assert_eq!(at(true), 54);
    assert_eq!(at(false), 46);
}
