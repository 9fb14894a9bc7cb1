//! Places: distances, sets of regions, evacuations by revision.

use fieldhook_topology::evacuation::{Evacuations, State};
use fieldhook_topology::region::RegionSet;
use fieldhook_topology::zone::{Distance, ZoneMap};
use fieldhook_topology::zone_rule::{Denial, ZoneRule};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;

fn map() -> ZoneMap {
    ZoneMap::new([("a1", "a"), ("a2", "a"), ("b1", "b")])
}

#[test]
fn zones_of_one_region_are_nearer_than_others() {
    let map = map();
    assert_eq!(map.distance("a1", "a1"), Distance::SameZone);
    assert_eq!(map.distance("a1", "a2"), Distance::SameRegion);
    assert_eq!(map.distance("a1", "b1"), Distance::OtherRegion);
    assert_eq!(map.distance("a1", "unknown"), Distance::OtherRegion);
    assert!(Distance::SameZone < Distance::SameRegion);
    assert!(Distance::SameRegion < Distance::OtherRegion);
    let untold = ZoneMap::default();
    assert_eq!(untold.distance("x", "y"), Distance::SameRegion);
}

#[test]
fn sets_of_regions_bind_together() {
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
fn a_closed_zone_serves_nothing_and_keeps_what_it_has() {
    let map = map();
    let homes = RegionSet::from_names(["a"]);
    let mut evacuations = Evacuations::default();
    assert!(evacuations.apply("a2", State::Evacuated, 5, 100));
    let rule = ZoneRule {
        map: &map,
        evacuations: &evacuations,
        allowed_regions: &homes,
        from_zone: "a1",
    };
    assert_eq!(rule.serving_distance("a1"), Ok(Distance::SameZone));
    assert_eq!(rule.serving_distance("a2"), Err(Denial::Evacuated));
    assert_eq!(rule.serving_distance("b1"), Err(Denial::RegionNotAllowed));
    assert!(rule.may_store("a2") && !rule.may_store("b1"));
}

#[test]
fn a_stale_listing_opens_nothing() {
    let mut zones = Evacuations::default();
    zones.apply("z", State::Evacuated, 10, 0);
    assert!(zones.apply_listing(&[], 10, 1).is_empty());
    assert!(zones.is_evacuated("z"));
    assert_eq!(zones.apply_listing(&[], 12, 2).len(), 1);
    assert!(!zones.is_evacuated("z"));
    assert!(
        !zones.apply("z", State::Evacuated, 10, 3),
        "an old read closes nothing again"
    );
    assert_eq!(zones.opened_since_ms("z"), Some(2));
}

/// What reaches a daemon: a record that it reads or another daemon tells, at any time and in
/// any order, or a listing as of some end of the topic.
#[derive(Clone, Debug)]
enum News {
    Record(u8),
    Listing(u8),
}

impl Arbitrary for News {
    fn arbitrary(g: &mut Gen) -> Self {
        match bool::arbitrary(g) {
            true => Self::Record(u8::arbitrary(g)),
            false => Self::Listing(u8::arbitrary(g)),
        }
    }
}

/// The topic itself is the oracle: a daemon believes what the topic said at the newest
/// point that it has heard of.
fn believes_the_newest(topic: Vec<(u8, bool)>, news: Vec<News>) -> bool {
    const ZONES: [&str; 3] = ["x", "y", "z"];
    let topic: Vec<(&str, State)> = topic
        .into_iter()
        .map(|(zone, closes)| {
            let state = if closes {
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
        let told = topic[..end].iter().rev().find(|(name, _)| *name == zone);
        told.map_or(State::Open, |(_, state)| *state)
    };
    let mut zones = Evacuations::default();
    let mut heard: BTreeMap<&str, usize> = BTreeMap::new();
    for (now, item) in news.iter().enumerate() {
        match item {
            News::Record(number) => {
                let offset = usize::from(*number) % topic.len();
                let (zone, state) = topic[offset];
                zones.apply(zone, state, offset as u64, now as u64);
                let known = heard.entry(zone).or_default();
                *known = (*known).max(offset + 1);
            }
            News::Listing(number) => {
                let end = usize::from(*number) % (topic.len() + 1);
                let listed: Vec<&str> = ZONES
                    .into_iter()
                    .filter(|zone| state_at(zone, end) == State::Evacuated)
                    .collect();
                for zone in &listed {
                    let offset = topic[..end].iter().rposition(|(name, _)| name == zone);
                    let offset = offset.expect("it was evacuated") as u64;
                    zones.apply(zone, State::Evacuated, offset, now as u64);
                }
                zones.apply_listing(&listed, end as u64, now as u64);
                for zone in ZONES {
                    let known = heard.entry(zone).or_default();
                    *known = (*known).max(end);
                }
            }
        }
    }
    heard
        .iter()
        .all(|(zone, end)| zones.is_evacuated(zone) == (state_at(zone, *end) == State::Evacuated))
}

#[test]
fn what_is_believed_of_a_zone_never_goes_back() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 7))
        .tests(5_000)
        .quickcheck(believes_the_newest as fn(Vec<(u8, bool)>, Vec<News>) -> bool);
}
