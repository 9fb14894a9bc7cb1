//! Route lookup, and distribution of requests over services.

use fieldhook_traffic::config::{Route, RouteKind, TrafficConfig, WeightedService};
use fieldhook_traffic::round_robin::WeightedRoundRobin;
use fieldhook_traffic::route_table::{RouteTable, supersedes};
use quickcheck::{Gen, QuickCheck};

fn route(name: &str, host: &str, prefix: &str, services: &[(&str, u32)]) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 0,
        services: services
            .iter()
            .map(|(service, weight)| WeightedService {
                service: (*service).to_owned(),
                weight: *weight,
            })
            .collect(),
        max_attempts: 1,
        retains_context: false,
        retention_ms: 0,
        is_public: false,
        allowed_regions: Default::default(),
    }
}

fn table() -> RouteTable {
    let routes = vec![
        route("short", "a.example", "/x/", &[("one", 1)]),
        route("long", "a.example", "/x/y/", &[("two", 1)]),
        route("other", "b.example", "/x/", &[("three", 1)]),
    ];
    RouteTable::new(config(3, routes), None, 0)
}

fn config(version: u64, routes: Vec<Route>) -> TrafficConfig {
    TrafficConfig {
        version,
        routes,
        ..TrafficConfig::default()
    }
}

fn found(host: &str, path: &str) -> Option<String> {
    table()
        .find(host, path)
        .map(|entry| entry.route.name.clone())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    assert_eq!(found("a.example", "/x/1").as_deref(), Some("short"));
    assert_eq!(found("a.example", "/x/y/1").as_deref(), Some("long"));
    assert_eq!(found("b.example", "/x/y/1").as_deref(), Some("other"));
}

#[test]
fn host_case_port_and_query_do_not_matter() {
    assert_eq!(
        found("A.Example:8080", "/x/y/?q=/x/").as_deref(),
        Some("long")
    );
    assert_eq!(found("a.example", "/z?/x/").as_deref(), None);
}

#[test]
fn no_route_for_other_hosts_and_paths() {
    assert_eq!(found("c.example", "/x/1"), None);
    assert_eq!(found("a.example", "/xy/1"), None);
}

#[test]
fn only_higher_versions_replace_a_configuration() {
    assert!(supersedes(None, 1));
    assert!(supersedes(Some(4), 9));
    assert!(!supersedes(Some(4), 4));
    assert!(!supersedes(Some(4), 3));
}

/// After any number of requests, the count of each service differs from its share by at most the
/// number of services.
#[test]
fn shares_follow_weights_over_short_runs() {
    fn holds(weights: Vec<u8>, requests: u16, random: u64) -> bool {
        let weights: Vec<u32> = weights.iter().take(6).map(|w| u32::from(*w)).collect();
        let total: u32 = weights.iter().sum();
        let mut round_robin = WeightedRoundRobin::new(weights.clone(), random);
        if total == 0 {
            return round_robin.next().is_none();
        }
        let mut counts = vec![0_u32; weights.len()];
        for _ in 0..requests {
            match round_robin.next() {
                Some(index) => counts[index] += 1,
                None => return false,
            }
        }
        counts.iter().zip(&weights).all(|(count, weight)| {
            let expected = f64::from(*weight) * f64::from(requests) / f64::from(total);
            (f64::from(*count) - expected).abs() <= weights.len() as f64
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(300)
        .quickcheck(holds as fn(Vec<u8>, u16, u64) -> bool);
}

/// Returns how many requests each service gets when each daemon distributes `each` of them.
fn distribute(daemons: u64, each: u32, weights: &[u32]) -> Vec<u32> {
    let mut counts = vec![0; weights.len()];
    let mut random = fastrand::Rng::with_seed(daemons);
    for _ in 0..daemons {
        let mut round_robin = WeightedRoundRobin::new(weights.to_vec(), random.u64(..));
        for _ in 0..each {
            counts[round_robin.next().expect("a service")] += 1;
        }
    }
    counts
}

/// Guards against daemons that all start at the same position of the cycle: the service with the
/// largest weight then got all of these requests.
#[test]
fn a_thousand_daemons_with_a_request_each_follow_the_weights() {
    for daemons in [300, 1_000, 2_000] {
        for weights in [&[1, 99][..], &[50, 50], &[70, 20, 10], &[3, 0, 5]] {
            for each in [1, 2, 3] {
                let total: u32 = weights.iter().sum();
                let requests = daemons as u32 * each;
                let counts = distribute(daemons, each, weights);
                for (count, weight) in counts.iter().zip(weights) {
                    let share = f64::from(*count) / f64::from(requests);
                    let expected = f64::from(*weight) / f64::from(total);
                    // Allows four standard deviations of independent random choices.
                    let spread = 4.0 * (expected * (1.0 - expected) / f64::from(requests)).sqrt();
                    assert!(
                        (share - expected).abs() <= spread,
                        "{daemons} daemons, {each} each: {counts:?} for weights {weights:?}"
                    );
                }
            }
        }
    }
}

#[test]
fn a_new_configuration_continues_the_round_robin_of_a_route() {
    let services = [("one", 1), ("two", 1)];
    let routes = || vec![route("r", "a.example", "/x/", &services)];
    let mut table = RouteTable::new(config(1, routes()), None, 7);
    let mut counts = [0; 2];
    for version in 2..102 {
        let entry = table.find("a.example", "/x/").expect("a route");
        let service = entry.next_service().expect("a service");
        counts[usize::from(service == "two")] += 1;
        table = RouteTable::new(config(version, routes()), Some(&table), version);
    }
    assert_eq!(counts, [50, 50]);
}
