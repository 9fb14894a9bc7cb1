//! Zone distances, region sets, and evacuations by revision.

use fieldhook_topology::evacuation::{Evacuations, State};
use fieldhook_topology::region::RegionSet;
use fieldhook_topology::zone::{Distance, Map};
use fieldhook_topology::zone_rule::{ZoneDenial, ZoneRule};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;

fn map() -> Map {
    Map::new([("a1", "a"), ("a2", "a"), ("b1", "b")])
}

#[test]
fn zones_of_the_same_region_are_nearer() {
    let map = map();
    assert_eq!(map.distance("a1", "a1"), Distance::SameZone);
    assert_eq!(map.distance("a1", "a2"), Distance::SameRegion);
    assert_eq!(map.distance("a1", "b1"), Distance::OtherRegion);
    assert_eq!(map.distance("a1", "unknown"), Distance::OtherRegion);
    assert!(Distance::SameZone < Distance::SameRegion);
    assert!(Distance::SameRegion < Distance::OtherRegion);
    let unconfigured = Map::default();
    assert_eq!(unconfigured.distance("x", "y"), Distance::SameRegion);
}

#[test]
fn region_sets_intersect() {
    let both = RegionSet::from_names(["a", "b"]);
    let one = RegionSet::from_names(["b", "c"]);
    assert_eq!(both.intersection(&one), RegionSet::from_names(["b"]));
    assert_eq!(both.intersection(&RegionSet::All), both);
    assert!(RegionSet::from_names([]).is_all());
    let none = RegionSet::from_names(["a"]).intersection(&RegionSet::from_names(["b"]));
    assert!(none.is_empty() && !none.contains(Some("a")) && !none.contains(None));
    assert!(RegionSet::All.contains(None));
    assert!(!both.contains(None));
}

#[test]
fn an_evacuated_zone_serves_nothing_but_may_store() {
    let map = map();
    let allowed_regions = RegionSet::from_names(["a"]);
    let mut evacuations = Evacuations::default();
    assert!(evacuations.apply("a2", State::Evacuated, 5, 100));
    let rule = ZoneRule {
        map: &map,
        evacuations: &evacuations,
        allowed_regions: &allowed_regions,
        from_zone: "a1",
    };
    assert_eq!(rule.serving_distance("a1"), Ok(Distance::SameZone));
    assert_eq!(rule.serving_distance("a2"), Err(ZoneDenial::Evacuated));
    assert_eq!(
        rule.serving_distance("b1"),
        Err(ZoneDenial::RegionNotAllowed)
    );
    assert!(rule.may_store("a2") && !rule.may_store("b1"));
}

#[test]
fn a_stale_listing_ends_no_evacuation() {
    let mut zones = Evacuations::default();
    zones.apply("z", State::Evacuated, 10, 0);
    assert!(zones.apply_listing(&[], 10, 1).is_empty());
    assert!(zones.is_evacuated("z"));
    assert_eq!(zones.apply_listing(&[], 12, 2).len(), 1);
    assert!(!zones.is_evacuated("z"));
    assert!(
        !zones.apply("z", State::Evacuated, 10, 3),
        "a stale read must not evacuate the zone again"
    );
    assert_eq!(zones.opened_since_ms("z"), Some(2));
}

/// An update that reaches a daemon: a record that it reads or gets from another daemon, at any
/// time and in any order, or a listing that was read when the topic ended at some offset.
#[derive(Clone, Debug)]
enum Update {
    Record(u8),
    Listing(u8),
}

impl Arbitrary for Update {
    fn arbitrary(g: &mut Gen) -> Self {
        match bool::arbitrary(g) {
            true => Self::Record(u8::arbitrary(g)),
            false => Self::Listing(u8::arbitrary(g)),
        }
    }
}

/// The topic itself is the oracle: the known state of a zone is the state in the topic at the
/// newest offset that an update covered.
fn agrees_with_the_topic(topic: Vec<(u8, bool)>, updates: Vec<Update>) -> bool {
    const ZONES: [&str; 3] = ["x", "y", "z"];
    let topic: Vec<(&str, State)> = topic
        .into_iter()
        .map(|(zone, evacuates)| {
            let state = if evacuates {
                State::Evacuated
            } else {
                State::Open
            };
            (ZONES[usize::from(zone) % ZONES.len()], state)
        })
        .collect();
    if topic.is_empty() {
        return true;
    }
    let state_at = |zone: &str, end: usize| {
        let newest = topic[..end].iter().rev().find(|(name, _)| *name == zone);
        newest.map_or(State::Open, |(_, state)| *state)
    };
    let mut zones = Evacuations::default();
    let mut known_end: BTreeMap<&str, usize> = BTreeMap::new();
    for (now, item) in updates.iter().enumerate() {
        match item {
            Update::Record(number) => {
                let offset = usize::from(*number) % topic.len();
                let (zone, state) = topic[offset];
                zones.apply(zone, state, offset as u64, now as u64);
                let known = known_end.entry(zone).or_default();
                *known = (*known).max(offset + 1);
            }
            Update::Listing(number) => {
                let end = usize::from(*number) % (topic.len() + 1);
                let listed: Vec<&str> = ZONES
                    .into_iter()
                    .filter(|zone| state_at(zone, end) == State::Evacuated)
                    .collect();
                for zone in &listed {
                    let offset = topic[..end].iter().rposition(|(name, _)| name == zone);
                    let offset = offset.expect("an evacuation record") as u64;
                    zones.apply(zone, State::Evacuated, offset, now as u64);
                }
                zones.apply_listing(&listed, end as u64, now as u64);
                for zone in ZONES {
                    let known = known_end.entry(zone).or_default();
                    *known = (*known).max(end);
                }
            }
        }
    }
    known_end
        .iter()
        .all(|(zone, end)| zones.is_evacuated(zone) == (state_at(zone, *end) == State::Evacuated))
}

#[test]
fn the_known_state_of_a_zone_never_goes_back() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 7))
        .tests(5_000)
        .quickcheck(agrees_with_the_topic as fn(Vec<(u8, bool)>, Vec<Update>) -> bool);
}
