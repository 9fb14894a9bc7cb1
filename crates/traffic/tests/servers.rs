//! The server directory, the health of servers, and the choice of a server.

use fieldhook_topology::zone::Distance;
use fieldhook_traffic::balance::{Candidate, Request, choose};
use fieldhook_traffic::directory::{Directory, DirectoryChange, ServerEntry, Software, identity};
use fieldhook_traffic::health::{Health, Observation};
use fieldhook_traffic::idle_limit::IdleLimit;
use std::rc::Rc;

fn server(id: &str, zone: &str) -> ServerEntry {
    ServerEntry {
        id: id.to_owned(),
        name: id.to_owned(),
        service: "chat".to_owned(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: zone.to_owned(),
        slots: 4,
        draining: false,
        cold_ms: 0,
        software_version: None,
    }
}

fn candidate(server: &ServerEntry) -> Candidate<'_> {
    let distance = match &*server.zone {
        "z1" => Distance::SameZone,
        _ => Distance::SameRegion,
    };
    Candidate {
        server,
        distance,
        in_flight: 0,
        is_avoided: false,
        is_unhealthy: false,
        is_cold: false,
        has_idle_connection: true,
    }
}

fn request<'a>(affinity: Option<&'a str>, tried: &'a [String]) -> Request<'a> {
    Request {
        affinity,
        preferred: None,
        tried,
    }
}

#[test]
fn a_program_keeps_its_engine_when_others_change() {
    let servers: Vec<ServerEntry> = (0..8).map(|n| server(&format!("s{n}"), "z1")).collect();
    for program in 0..50 {
        let key = format!("p{program}");
        let all: Vec<Candidate<'_>> = servers.iter().map(candidate).collect();
        let first = choose(&all, &request(Some(&key), &[]), 1).expect("a server");
        let without_another: Vec<Candidate<'_>> = servers
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != (first + 1) % servers.len())
            .map(|(_, server)| candidate(server))
            .collect();
        let second = choose(&without_another, &request(Some(&key), &[]), 2).expect("a server");
        assert_eq!(without_another[second].server.id, servers[first].id);
    }
}

#[test]
fn engines_of_the_own_zone_are_preferred_until_they_are_busy() {
    let near = server("near", "z1");
    let far = server("far", "z2");
    let mut candidates = vec![candidate(&near), candidate(&far)];
    for program in 0..20 {
        let key = format!("p{program}");
        assert_eq!(choose(&candidates, &request(Some(&key), &[]), 1), Some(0));
    }
    candidates[0].in_flight = 6;
    assert_eq!(choose(&candidates, &request(Some("p"), &[]), 1), Some(1));
}

#[test]
fn failing_and_tried_servers_are_avoided() {
    let (a, b) = (server("a", "z1"), server("b", "z1"));
    let mut candidates = vec![candidate(&a), candidate(&b)];
    candidates[0].is_avoided = true;
    assert_eq!(choose(&candidates, &request(None, &[]), 7), Some(1));
    let tried = vec!["b".to_owned()];
    assert_eq!(choose(&candidates, &request(None, &tried), 7), Some(0));
    let both = vec!["a".to_owned(), "b".to_owned()];
    assert_eq!(choose(&candidates, &request(None, &both), 7), None);
}

#[test]
fn requests_without_affinity_go_to_the_least_loaded_server() {
    let (a, b) = (server("a", "z1"), server("b", "z1"));
    let mut candidates = vec![candidate(&a), candidate(&b)];
    candidates[0].in_flight = 3;
    assert_eq!(choose(&candidates, &request(None, &[]), 3), Some(1));
}

#[test]
fn draining_is_final_for_an_identity() {
    let mut directory = Directory::default();
    assert_eq!(
        directory.insert(server("a", "z1"), 1),
        DirectoryChange::Added
    );
    let draining = ServerEntry {
        draining: true,
        ..server("a", "z1")
    };
    assert_eq!(directory.insert(draining, 2), DirectoryChange::Draining);
    assert!(!directory.accepts_work("a"));
    // An older entry that is read again, and a newer one that is not draining.
    directory.insert(server("a", "z1"), 1);
    directory.insert(server("a", "z1"), 3);
    assert!(!directory.accepts_work("a"));
    let servers = directory.active_servers("chat");
    assert!(servers.is_none_or(|servers| servers.all.is_empty()));
}

/// An incarnation of server `a`.
fn incarnation(started_ms: u64, draining: bool) -> ServerEntry {
    ServerEntry {
        id: identity("a", Some(started_ms)),
        draining,
        ..server("a", "z1")
    }
}

#[test]
fn a_restarted_server_is_a_new_incarnation() {
    let mut directory = Directory::default();
    directory.insert(incarnation(100, false), 1);
    directory.insert(incarnation(100, true), 2);
    assert_eq!(
        directory.insert(incarnation(200, false), 3),
        DirectoryChange::Restarted
    );
    assert!(directory.accepts_work("a~200"));
    assert!(!directory.accepts_work("a~100"));
    assert_eq!(directory.len(), 1);
    // An entry from before the restart changes nothing.
    assert_eq!(
        directory.insert(incarnation(100, false), 1),
        DirectoryChange::Unchanged
    );
    assert!(directory.accepts_work("a~200"));
    // The server's clock was set back before the next restart.
    assert_eq!(
        directory.insert(incarnation(50, false), 4),
        DirectoryChange::Restarted
    );
    assert_eq!(directory.current_identity("a"), Some("a~50"));
    assert_eq!(directory.remove("a", 5), Some("a~50".to_owned()));
    assert!(directory.is_empty());
}

/// A server that does not report its start keeps its identity over a restart with other software.
#[test]
fn a_server_with_new_software_has_restarted() {
    let running = |version: &str, draining| ServerEntry {
        software_version: Some(Rc::from(version)),
        draining,
        ..server("a", "z1")
    };
    let mut directory = Directory::default();
    directory.insert(running("v1", false), 1);
    directory.insert(running("v1", true), 2);
    assert_eq!(
        directory.insert(running("v2", false), 3),
        DirectoryChange::Restarted
    );
    assert!(directory.accepts_work("a"));
    let servers = directory.active_servers("chat").expect("servers");
    assert!(servers.running(&Software::new(Some("v1"), "a")).is_none());
    assert!(servers.running(&Software::new(Some("v2"), "a")).is_some());
    // An entry from before the restart changes nothing.
    directory.insert(running("v1", true), 2);
    assert!(directory.accepts_work("a"));
}

#[test]
fn servers_missing_from_a_complete_listing_are_removed() {
    let mut directory = Directory::default();
    directory.insert(server("a", "z1"), 1);
    directory.insert(server("b", "z1"), 2);
    let removed = directory.retain(&|id| id == "b", 3);
    assert_eq!(removed, vec!["a".to_owned()]);
    assert!(!directory.accepts_work("a"));
    assert!(directory.accepts_work("b"));
}

#[test]
fn a_listing_older_than_a_server_does_not_remove_it() {
    let mut directory = Directory::default();
    directory.insert(server("a", "z1"), 1);
    directory.insert(server("b", "z1"), 7);
    let removed = directory.retain(&|_| false, 5);
    assert_eq!(removed, vec!["a".to_owned()]);
    assert!(directory.accepts_work("b"));
}

#[test]
fn an_older_record_neither_removes_nor_adds_a_server() {
    let mut directory = Directory::default();
    directory.insert(incarnation(1, false), 5);
    assert_eq!(directory.remove("a", 4), None);
    assert!(directory.accepts_work("a~1"));
    assert_eq!(directory.remove("a", 6), Some("a~1".to_owned()));
    assert!(!directory.is_newer("a", 6) && directory.is_newer("a", 7));
    directory.insert(incarnation(1, false), 5);
    assert!(!directory.accepts_work("a~1"));
    assert_eq!(directory.current_identity("a"), None);
    assert_eq!(
        directory.insert(incarnation(1, false), 7),
        DirectoryChange::Added
    );
    assert!(directory.accepts_work("a~1"));
}

#[test]
fn removed_names_do_not_fill_the_memory() {
    let mut directory = Directory::default();
    directory.insert(server("a", "z1"), 1);
    for number in 0..30_000_u64 {
        directory.remove(&format!("removed{number}"), number);
    }
    assert!(directory.known_names() <= 10_001);
    assert!(directory.accepts_work("a"));
    directory.retain(&|id| id == "a", 40_000);
    assert_eq!(directory.known_names(), 1);
}

#[test]
fn backoff_grows_with_failures_and_ends_with_a_completed_attempt() {
    let mut health = Health::default();
    health.observe(0, Observation::Failed);
    assert!(health.is_in_backoff(100) && !health.is_in_backoff(400));
    health.observe(400, Observation::Failed);
    assert!(health.is_in_backoff(900));
    health.observe(1_500, Observation::Completed);
    assert!(!health.is_in_backoff(1_500) && !health.is_unhealthy());
}

#[test]
fn a_stale_connection_does_not_affect_the_health() {
    let mut health = Health::default();
    health.observe(100, Observation::Stale);
    assert!(!health.is_in_backoff(101));
    assert!(!health.is_unhealthy());
}

#[test]
fn the_idle_limit_shrinks_after_a_stale_connection() {
    let mut idle_limit = IdleLimit::default();
    assert_eq!(idle_limit.limit_ms(0), None);
    idle_limit.record_stale(1_000, 700);
    let first = idle_limit.limit_ms(1_001).expect("a limit");
    assert!(first < 700);
    idle_limit.record_stale(1_100, 300);
    let second = idle_limit.limit_ms(1_101).expect("a limit");
    assert!(second < first);
    idle_limit.record_stale(1_200, 5_000);
    assert_eq!(
        idle_limit.limit_ms(1_201),
        Some(second),
        "a reset never raises the limit"
    );
    assert_eq!(idle_limit.limit_ms(60_000), None, "the limit expires");
}

#[test]
fn servers_of_the_same_region_are_preferred() {
    let zone = server("same-region", "z2");
    let region = server("other-region", "z3");
    let far = Candidate {
        distance: Distance::OtherRegion,
        ..candidate(&region)
    };
    for random in 0..50 {
        let candidates = [far, candidate(&zone)];
        let plain = choose(&candidates, &request(None, &[]), random);
        assert_eq!(plain, Some(1));
        let key = format!("p{random}");
        let kept = choose(&candidates, &request(Some(&key), &[]), random);
        assert_eq!(kept, Some(1));
    }
}
