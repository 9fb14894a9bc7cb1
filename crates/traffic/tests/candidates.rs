//! The hash ring and the selection of candidates. The cost of a selection does not grow with the
//! fleet.

use fieldhook_traffic::candidates::{
    CandidateQuery, FULL_SCAN_MAX, select_candidates, select_running,
};
use fieldhook_traffic::directory::{Directory, ServerEntry, Software};
use fieldhook_traffic::hash_ring::{HashRange, ring_position};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const ZONES: usize = 6;

fn server(number: usize, draining: bool) -> ServerEntry {
    ServerEntry {
        id: format!("s{number}"),
        name: format!("s{number}"),
        service: format!("service{}", number % 2),
        address: ([127, 0, 0, 1], 80).into(),
        zone: format!("z{}", (number / 2) % ZONES),
        slots: 4,
        draining,
        cold_ms: 0,
        software_version: None,
    }
}

/// A server of `service0` that runs this software.
fn running(number: usize, version: Option<&str>) -> ServerEntry {
    ServerEntry {
        software_version: version.map(Rc::from),
        ..server(2 * number, false)
    }
}

/// Guards against a stream whose software is rare in a large service: no candidate runs it if the
/// candidates are taken from all servers.
#[test]
fn all_candidates_run_the_required_software() {
    let mut directory = Directory::default();
    for number in 0..10_000 {
        let version = if number % 2_000 == 7 { "v1" } else { "v2" };
        directory.insert(running(number, Some(version)), number as u64);
    }
    let servers = directory.active_servers("service0").expect("servers");
    let select = |version, start, usable: &dyn Fn(&ServerEntry) -> bool| {
        let query = CandidateQuery {
            zone: "z1",
            range: HashRange::FULL,
            start,
        };
        let software = Software::new(Some(version), "any");
        let selected = select_running(servers, &software, &query, usable);
        let ids = selected.servers.iter().map(|server| server.id.clone());
        (selected.examined, ids.collect::<Vec<_>>())
    };
    for start in [0, u64::MAX / 3, u64::MAX] {
        let (examined, ids) = select("v1", start, &|_| true);
        assert_eq!((examined, ids.len()), (5, 5));
        let (examined, ids) = select("v2", start, &|_| true);
        assert!(examined <= 128 && !ids.is_empty(), "{examined} examined");
        assert!(select("v3", start, &|_| true).1.is_empty());
        assert!(select("v1", start, &|_| false).1.is_empty());
    }
}

/// Without a published version nothing shows that two servers run the same software.
#[test]
fn server_without_a_version_is_the_only_one_of_its_software() {
    let mut directory = Directory::default();
    for number in 0..4 {
        directory.insert(running(number, None), number as u64);
    }
    let servers = directory.active_servers("service0").expect("servers");
    let own = servers.running(&Software::new(None, "s2")).expect("itself");
    assert_eq!(own.len(), 1);
    directory.remove("s2", 9);
    let servers = directory.active_servers("service0").expect("servers");
    assert!(servers.running(&Software::new(None, "s2")).is_none());
}

/// Creates a directory with `each` servers of each of two services.
fn fleet(each: usize) -> Directory {
    let mut directory = Directory::default();
    for number in 0..2 * each {
        directory.insert(server(number, false), number as u64);
    }
    directory
}

fn select(
    directory: &Directory,
    number: u64,
    usable: &dyn Fn(&ServerEntry) -> bool,
) -> (usize, Vec<String>) {
    let query = CandidateQuery {
        zone: "z1",
        range: HashRange::FULL,
        start: number,
    };
    let servers = directory.active_servers("service0").expect("servers");
    let selected = select_candidates(servers, &query, usable);
    let ids = selected.servers.iter().map(|server| server.id.clone());
    (selected.examined, ids.collect())
}

/// Guards against a selection that examines every server: with ten thousand servers, each request
/// examined all of them.
#[test]
fn examined_servers_do_not_grow_with_the_fleet() {
    let most = [100, 1_000, 10_000].map(|each| {
        let directory = fleet(each);
        let examined = (0..50).map(|number| select(&directory, number << 58, &|_| true).0);
        examined.max().expect("selections")
    });
    assert_eq!(most[0], 100, "all of a small service");
    assert!(most[1] <= FULL_SCAN_MAX, "{most:?}");
    assert_eq!(most[1], most[2]);
}

/// Half of the zones are evacuated, including the own zone.
#[test]
fn usable_servers_are_found_among_unusable_ones() {
    let directory = fleet(5_000);
    let usable = |server: &ServerEntry| !["z1", "z2", "z3"].contains(&&*server.zone);
    for number in 0..50 {
        let (examined, ids) = select(&directory, number << 58, &usable);
        assert!(ids.len() >= 16, "{} selected", ids.len());
        assert!(examined <= FULL_SCAN_MAX, "{examined}");
    }
}

#[test]
fn a_key_selects_mostly_the_same_servers_when_others_change() {
    let mut directory = fleet(2_000);
    let before: BTreeSet<String> = select(&directory, 7 << 60, &|_| true)
        .1
        .into_iter()
        .collect();
    for number in 0..400 {
        directory.insert(server(number * 10, true), 100_000 + number as u64);
        directory.insert(server(10_000 + number, false), 200_000 + number as u64);
    }
    let after: BTreeSet<String> = select(&directory, 7 << 60, &|_| true)
        .1
        .into_iter()
        .collect();
    let same = before.intersection(&after).count();
    assert!(same * 2 > before.len(), "{same} of {}", before.len());
}

#[test]
fn hash_ranges_partition_the_ring_and_are_iterated_once() {
    let directory = fleet(1_000);
    let all = &directory.active_servers("service0").expect("servers").all;
    for count in [1, 3, 16, 100] {
        let mut seen = BTreeSet::new();
        for index in 0..count {
            let range = HashRange::nth_of(index, count);
            let ids: Vec<&str> = all.iter_from(range, u64::MAX / 3).map(|s| &*s.id).collect();
            assert!(ids.iter().all(|id| range.contains(ring_position(id))));
            let size = ids.len();
            seen.extend(ids);
            let even = 1_000 / count as usize;
            assert!(
                count > 16 || size > even / 2 && size < even * 2,
                "{size} of {even}"
            );
        }
        assert_eq!(seen.len(), 1_000, "{count} ranges");
    }
}

#[derive(Clone, Debug)]
enum Step {
    Put(usize, bool),
    Remove(usize),
    Retain(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let which = usize::arbitrary(g) % 24;
        match u8::arbitrary(g) % 8 {
            0 => Self::Retain(which),
            1 | 2 => Self::Remove(which),
            _ => Self::Put(which, u8::arbitrary(g) % 4 == 0),
        }
    }
}

/// The active servers of a service are those that accept work, for any order of updates.
fn agrees_with_oracle(steps: Vec<Step>) -> bool {
    let mut directory = Directory::default();
    let mut oracle: BTreeMap<usize, bool> = BTreeMap::new();
    steps.into_iter().enumerate().all(|(at, step)| {
        let revision = at as u64 + 1;
        match step {
            Step::Put(which, draining) => {
                directory.insert(server(which, draining), revision);
                // Draining is final while the name is known.
                let known = oracle.entry(which).or_insert(draining);
                *known |= draining;
            }
            Step::Remove(which) => {
                directory.remove(&format!("s{which}"), revision);
                oracle.remove(&which);
            }
            Step::Retain(below) => {
                let is_listed = |name: &str| name[1..].parse::<usize>().is_ok_and(|n| n < below);
                directory.retain(&is_listed, revision);
                oracle.retain(|which, _| *which < below);
            }
        }
        ["service0", "service1"].iter().all(|service| {
            let expected: BTreeSet<String> = oracle
                .iter()
                .filter(|(which, draining)| {
                    !**draining && server(**which, false).service == *service
                })
                .map(|(which, _)| format!("s{which}"))
                .collect();
            let Some(servers) = directory.active_servers(service) else {
                return expected.is_empty();
            };
            let all: BTreeSet<String> = servers
                .all
                .iter_from(HashRange::FULL, 9)
                .map(|s| s.id.clone())
                .collect();
            let by_zone: BTreeSet<String> = servers
                .zones
                .iter()
                .flat_map(|(zone, ring)| {
                    ring.iter_from(HashRange::FULL, 9)
                        .filter(move |s| s.zone == *zone)
                })
                .map(|s| s.id.clone())
                .collect();
            all == expected && by_zone == expected
        })
    })
}

#[test]
fn active_servers_are_those_that_accept_work() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 3))
        .tests(500)
        .quickcheck(agrees_with_oracle as fn(Vec<Step>) -> bool);
}
