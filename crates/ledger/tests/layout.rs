//! Assignment of programs to partitions, for random sets of allowed regions.

use fieldhook_ledger::layout::Layout;
use fieldhook_ledger::partition_of;
use fieldhook_topology::region::RegionSet;
use fieldhook_topology::zone::Map;
use quickcheck::{Gen, QuickCheck};

const NAMES: [&str; 6] = ["ash", "birch", "cedar", "elm", "fir", "oak"];
const PROGRAMS: u32 = 300;

fn map(regions: usize) -> Map {
    let zones: Vec<(String, &str)> = NAMES
        .iter()
        .take(regions)
        .flat_map(|region| {
            [
                (format!("{region}-1"), *region),
                (format!("{region}-2"), *region),
            ]
        })
        .collect();
    Map::new(zones.iter().map(|(zone, region)| (zone.as_str(), *region)))
}

/// A subset of the names, chosen by the bits of a number. Some may not be regions of the map.
fn allowed_regions(bits: u8) -> RegionSet {
    let chosen = NAMES
        .iter()
        .enumerate()
        .filter(|(index, _)| bits & (1 << index) != 0);
    let names: Vec<&str> = chosen.map(|(_, name)| *name).collect();
    match names.is_empty() {
        true => RegionSet::from_names(["nowhere"]),
        false => RegionSet::from_names(names),
    }
}

fn check(property: fn(u8, u8, u8) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 17))
        .tests(300)
        .quickcheck(property);
}

#[test]
fn contents_stay_within_allowed_regions() {
    fn property(regions: u8, partitions: u8, bits: u8) -> bool {
        let map = map(usize::from(regions % 7));
        let layout = Layout::new(u32::from(partitions % 12), &map);
        let allowed_regions = allowed_regions(bits);
        let known: Vec<_> = map.regions();
        let allowed = known
            .iter()
            .any(|region| allowed_regions.contains(Some(region)));
        (0..PROGRAMS).all(|number| {
            let program = format!("p{number}");
            match layout.home_partition(&program, &allowed_regions) {
                None => !allowed && !layout.has_allowed_region(&allowed_regions),
                Some(partition) => {
                    let region = layout.region(partition).expect("a region");
                    allowed
                        && layout.home_partitions().contains(&partition)
                        && allowed_regions.contains(Some(region))
                        && layout.may_store(partition, &allowed_regions)
                        && layout.home_partition(&program, &allowed_regions) == Some(partition)
                }
            }
        })
    }
    check(property);
}

#[test]
fn narrowing_allowed_regions_moves_only_affected_programs() {
    fn property(regions: u8, bits: u8, changed: u8) -> bool {
        let map = map(usize::from(regions % 7));
        let layout = Layout::new(8, &map);
        let (wide, narrow) = (allowed_regions(bits | changed), allowed_regions(bits));
        (0..PROGRAMS).all(|number| {
            let program = format!("p{number}");
            let before = layout.home_partition(&program, &wide);
            let after = layout.home_partition(&program, &narrow);
            let stays = before.is_some_and(|partition| layout.may_store(partition, &narrow));
            !stays || before == after
        })
    }
    check(property);
}

#[test]
fn unrestricted_programs_use_global_partitions() {
    let layout = Layout::new(8, &map(3));
    for number in 0..PROGRAMS {
        let program = format!("p{number}");
        assert_eq!(layout.home_partition(&program, &RegionSet::All), None);
        assert_eq!(
            layout.program_partition(&program),
            partition_of(&program, 8)
        );
        assert!(layout.may_store(layout.program_partition(&program), &RegionSet::All));
        assert!(!layout.may_store(layout.program_partition(&program), &allowed_regions(1)));
    }
    assert_eq!(Layout::new(8, &Map::default()).count(), 8);
}

#[test]
fn partitions_have_distinct_locations() {
    fn property(regions: u8, partitions: u8, _unused: u8) -> bool {
        let partitions = u32::from(partitions % 12);
        let layout = Layout::new(partitions, &map(usize::from(regions % 7)));
        let mut locations: Vec<_> = (0..layout.count())
            .map(|partition| layout.location(partition))
            .map(|location| (location.region, location.number))
            .collect();
        let fits = locations
            .iter()
            .all(|(_, number)| *number < partitions.max(1));
        locations.sort_unstable();
        locations.dedup();
        fits && locations.len() == layout.count() as usize
    }
    check(property);
}

#[test]
fn programs_spread_over_all_allowed_regions() {
    let layout = Layout::new(8, &map(4));
    let allowed_regions = RegionSet::from_names(["ash", "elm"]);
    for region in ["ash", "elm"] {
        let stored = (0..PROGRAMS).filter(|number| {
            let partition = layout.home_partition(&format!("p{number}"), &allowed_regions);
            let home_region = partition.and_then(|partition| layout.region(partition));
            home_region.is_some_and(|name| &**name == region)
        });
        let part = stored.count() as f64 / f64::from(PROGRAMS);
        assert!((0.35..0.65).contains(&part), "{region} {part}");
    }
}
