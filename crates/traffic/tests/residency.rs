//! Allowed regions of routes and tenants, and mistakes in their configuration.

use fieldhook_topology::region::RegionSet;
use fieldhook_topology::zone::Map;
use fieldhook_traffic::config::{Route, RouteKind, TrafficConfig};
use fieldhook_traffic::residency::{self, ProblemKind};
use fieldhook_traffic::tenants::Tenant;
use std::rc::Rc;

fn route(name: &str, regions: RegionSet) -> Route {
    Route {
        name: name.to_owned(),
        host: "test.example".to_owned(),
        path_prefix: format!("/{name}/"),
        kind: RouteKind::Safe,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 1,
        services: Vec::new(),
        max_attempts: 2,
        retains_context: false,
        retention_ms: 0,
        is_public: false,
        allowed_regions: regions,
    }
}

fn tenant(name: &str, regions: RegionSet) -> Tenant {
    Tenant {
        name: Rc::from(name),
        keys: Vec::new(),
        priority: None,
        limit: None,
        allowed_regions: regions,
    }
}

#[test]
fn allowed_regions_intersect_and_each_problem_names_its_route_or_tenant() {
    let map = Map::new([("a1", "a"), ("b1", "b")]);
    let config = TrafficConfig {
        routes: vec![
            route("anywhere", RegionSet::All),
            route("north", RegionSet::from_names(["a"])),
            route("typo", RegionSet::from_names(["b", "bb"])),
        ],
        tenants: Some(vec![
            tenant("free", RegionSet::All),
            tenant("red", RegionSet::from_names(["b"])),
            tenant("lost", RegionSet::from_names(["x"])),
        ]),
        ..TrafficConfig::default()
    };
    let tenants = config.tenants.as_deref().expect("tenants");
    assert_eq!(
        residency::allowed_regions(&config.routes[0], Some(&tenants[1])),
        RegionSet::from_names(["b"])
    );
    assert_eq!(
        residency::allowed_regions(&config.routes[1], None),
        RegionSet::from_names(["a"])
    );
    assert!(residency::allowed_regions(&config.routes[1], Some(&tenants[1])).is_empty());
    let regions: Vec<Rc<str>> = residency::named_regions(&config).into_iter().collect();
    assert_eq!(regions, ["a", "b", "bb", "x"].map(Rc::from));
    let problems: Vec<(Option<String>, Option<String>, ProblemKind)> =
        residency::find_problems(&config, &map)
            .into_iter()
            .map(|problem| {
                let tenant = problem.tenant.map(|name| name.to_string());
                (problem.route, tenant, problem.kind)
            })
            .collect();
    let owned = |name: &str| Some(name.to_owned());
    let unknown = |name: &str| ProblemKind::UnknownRegion(Rc::from(name));
    let expected = [
        (owned("typo"), None, unknown("bb")),
        (None, owned("lost"), unknown("x")),
        (owned("north"), owned("red"), ProblemKind::NoCommonRegion),
        (owned("north"), owned("lost"), ProblemKind::NoCommonRegion),
        (owned("typo"), owned("lost"), ProblemKind::NoCommonRegion),
    ];
    assert_eq!(problems, expected);
}

#[test]
fn unrestricted_regions_are_no_problem() {
    let config = TrafficConfig {
        routes: vec![route("anywhere", RegionSet::All)],
        tenants: Some(vec![tenant("free", RegionSet::All)]),
        ..TrafficConfig::default()
    };
    assert!(residency::find_problems(&config, &Map::default()).is_empty());
    assert!(residency::named_regions(&config).is_empty());
}
