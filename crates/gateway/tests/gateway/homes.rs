//! Home regions: the contents of a program are stored and served only in its home regions.

use crate::support::{
    Act, Gateway, LogCapture, Server, World, config, config_with_tenants, run, tenant,
};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_gateway::ledger::owner::OWNERS_TOPIC;
use fieldhook_log::api::{Append, LogStore, Partition};
use fieldhook_log::ownership::Ownership;
use fieldhook_topology::region::RegionSet;
use fieldhook_topology::zone::Map;
use fieldhook_traffic::config::TrafficConfig;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Size in bytes that every record must stay below. It has room for the input of one turn (200 KiB)
/// and the names.
const RECORD_SIZE_LIMIT: usize = 210 << 10;
/// Number of global partitions in most tests.
const GLOBAL_PARTITIONS: u32 = 2;
/// Time until all partitions have owners, with two daemons per region.
const OWNERS_SETTLED: Duration = Duration::from_millis(2_500);

fn single_event() -> Act {
    Act::Events(vec!["one".to_owned()], None)
}

fn zone_map() -> Map {
    Map::new([
        ("a1", "a"),
        ("a2", "a"),
        ("b1", "b"),
        ("b2", "b"),
        ("c1", "c"),
    ])
}

/// Returns the configuration of most tests, with these home regions for route `chat`.
fn chat_in(version: u64, regions: &[&str]) -> TrafficConfig {
    let mut config = config(version);
    let chat = config.routes.iter_mut().find(|route| route.name == "chat");
    chat.expect("a route").allowed_regions = RegionSet::from_names(regions.iter().copied());
    config
}

/// Gateways and servers in several regions.
struct Deployment {
    world: World,
    /// Server in region a.
    server_a: Server,
    /// Server in region b.
    server_b: Server,
    gateways: Vec<(&'static str, Gateway)>,
}

impl Deployment {
    async fn start(initial: TrafficConfig, zones: &[&'static str]) -> Self {
        let deployment = Self::start_unsettled(initial, zones, GLOBAL_PARTITIONS).await;
        sleep(OWNERS_SETTLED).await;
        deployment
    }

    /// Like `start`, but with this number of global partitions and without waiting until all
    /// partitions have owners.
    async fn start_unsettled(
        initial: TrafficConfig,
        zones: &[&'static str],
        global_count: u32,
    ) -> Self {
        let world = World::new().await;
        world.partitions.set(global_count);
        *world.zones.borrow_mut() = zone_map();
        world.configs.borrow_mut()[0] = initial;
        let server_a = Server::start("sa", single_event()).await;
        let server_b = Server::start("sb", single_event()).await;
        world.list_in(&server_a, "a1").await;
        world.list_in(&server_b, "b1").await;
        let mut gateways = Vec::new();
        for zone in zones {
            gateways.push((*zone, world.gateway_in(zone, zone).await));
        }
        for (_, gateway) in &gateways {
            gateway.wait_ready(2).await;
        }
        Self {
            world,
            server_a,
            server_b,
            gateways,
        }
    }

    fn at(&self, zone: &str) -> &Gateway {
        let found = self.gateways.iter().find(|(name, _)| *name == zone);
        &found.expect("a gateway").1
    }

    /// Returns the zones whose gateways wrote records with this text to the log or read them.
    fn zones_handling(&self, text: &str) -> Vec<&'static str> {
        let storing = self
            .gateways
            .iter()
            .filter(|(_, gateway)| gateway.recording.has_record_with(text));
        storing.map(|(zone, _)| *zone).collect()
    }

    /// Publishes a configuration and waits until every gateway applies it.
    async fn publish(&self, config: TrafficConfig) {
        let version = config.version;
        self.world.configs.borrow_mut().push(config);
        let index = self.world.configs.borrow().len() - 1;
        self.world.publish(index).await;
        let started = Instant::now();
        for (_, gateway) in &self.gateways {
            while gateway.daemon.owner.config.version() != version {
                assert!(
                    started.elapsed() < Duration::from_secs(4),
                    "configuration not applied"
                );
                sleep(Duration::from_millis(10)).await;
            }
        }
    }

    /// Returns the zone whose gateway owns the home partition of program `p` in region a.
    fn home_owner(&self) -> &'static str {
        let homes = RegionSet::from_names(["a"]);
        let ledger = &self.at("b1").daemon.ledger;
        let partition = ledger
            .home_partition("p", &homes)
            .expect("a home partition");
        // Ask b1, because a replaced owner without the log still believes that it owns the
        // partition.
        let claim = ledger.owner.claims.claim(partition).expect("a claim");
        let owner = self
            .gateways
            .iter()
            .find(|(_, gateway)| gateway.daemon.owner.claims.is_mine(&claim));
        owner.expect("an owner").0
    }
}

/// Runs a turn of program `p`, whose input is the turn's name with `-said;` appended.
async fn turn(gateway: &Gateway, turn: &str, previous: Option<&str>) -> (u16, bool) {
    let previous = previous.map_or(String::new(), |turn| format!("Previous: {turn}\r\n"));
    let fields = format!("Request: {turn}\r\nProgram: p\r\nBudget: 9000\r\nMost: 40\r\n{previous}");
    let reply = gateway
        .ask("POST", "/chat/1", &fields, &format!("{turn}-said;"))
        .await;
    (reply.head.status, reply.complete)
}

fn last_body(server: &Server) -> String {
    let seen = server.seen.borrow();
    let last = seen.last().expect("a request");
    String::from_utf8_lossy(&last.body).into_owned()
}

/// Like [`turn`], but repeated until it is served, as clients do while an owner is replaced.
async fn turn_until_served(gateway: &Gateway, name: &str, previous: &str) {
    let started = Instant::now();
    while turn(gateway, name, Some(previous)).await != (200, true) {
        assert!(started.elapsed() < Duration::from_secs(10), "never served");
    }
}

/// Guards against daemons that claim partitions which no program uses.
#[test]
fn home_partitions_are_unclaimed_without_home_regions() {
    run(async {
        let deployment = Deployment::start(config(1), &["a1", "b1"]).await;
        assert_eq!(turn(deployment.at("a1"), "t1", None).await, (200, true));
        let claims = &deployment.at("a1").daemon.owner.claims;
        assert!(claims.partitions() > GLOBAL_PARTITIONS);
        for partition in 0..claims.partitions() {
            assert_eq!(
                claims.claim(partition).is_some(),
                partition < GLOBAL_PARTITIONS
            );
        }
    });
}

/// Guards against a replacement of an owner that moves contents out of the home regions.
#[test]
fn stored_chains_stay_in_home_regions_when_owners_are_lost() {
    run(async {
        let deployment = Deployment::start(chat_in(1, &["a"]), &["a1", "a2", "b1", "b2"]).await;
        // The client always uses the other region.
        let b = deployment.at("b1");
        assert_eq!(turn(b, "t1", None).await, (200, true));
        assert_eq!(
            turn(deployment.at("b2"), "t2", Some("t1")).await,
            (200, true)
        );
        let first = deployment.home_owner();
        // The owner loses the log: only a daemon of its region may take over.
        deployment.at(first).store.set_fault(LogFault::Silent);
        turn_until_served(b, "t3", "t2").await;
        let second = deployment.home_owner();
        assert!(
            second != first && second.starts_with('a'),
            "{first} {second}"
        );
        assert_eq!(turn(b, "t4", Some("t3")).await, (200, true));
        assert_eq!(
            last_body(&deployment.server_a),
            "t1-said;one\nt2-said;one\nt3-said;one\nt4-said;"
        );
        for text in ["t1-said", "t2-said", "t3-said", "t4-said"] {
            let zones = deployment.zones_handling(text);
            assert!(!zones.is_empty());
            assert!(zones.iter().all(|zone| zone.starts_with('a')), "{zones:?}");
        }
        assert_eq!(
            deployment.server_b.count(),
            0,
            "served outside the home regions"
        );
    });
}

/// Appends a claim by which the home partition of program `p` belongs to a daemon that does not
/// exist.
async fn claim_for_lost_daemon(deployment: &Deployment) -> SocketAddr {
    let gone = SocketAddr::from(([127, 0, 0, 1], 9));
    let gateway = deployment.at("b1");
    let partition = gateway
        .daemon
        .ledger
        .home_partition("p", &RegionSet::from_names(["a"]));
    let record = Ownership::claim_record(partition.expect("a home partition"), gone, 77);
    let append = Append {
        partition: Partition {
            topic: OWNERS_TOPIC.to_owned(),
            number: 0,
        },
        records: vec![record],
        producer: None,
        expected_end: None,
        timeout: Duration::from_secs(1),
    };
    gateway.store.append(append).await.expect("appended");
    gone
}

/// Guards against a region without a new owner because the claims name no other daemon in it.
#[test]
fn sole_owner_without_the_log_is_replaced_within_its_region() {
    run(async {
        let mut deployment = Deployment::start(chat_in(1, &["a"]), &["a1", "b1"]).await;
        assert_eq!(turn(deployment.at("b1"), "t1", None).await, (200, true));
        // Gateway a1 owns all home partitions, so the claims name no other daemon of the region.
        let late = deployment.world.gateway_in("a2", "a2").await;
        late.wait_ready(2).await;
        deployment.gateways.push(("a2", late));
        deployment.at("a1").store.set_fault(LogFault::Silent);
        turn_until_served(deployment.at("b1"), "t2", "t1").await;
        assert_eq!(deployment.home_owner(), "a2");
        assert!(!deployment.zones_handling("t2-said").contains(&"b1"));
    });
}

/// Guards against a lost owner that is replaced only once a client uses a gateway of its region.
#[test]
fn lost_owner_is_replaced_without_client_requests_in_its_region() {
    run(async {
        let deployment = Deployment::start(chat_in(1, &["a"]), &["a1", "a2", "b1"]).await;
        let b = deployment.at("b1");
        assert_eq!(turn(b, "t1", None).await, (200, true));
        claim_for_lost_daemon(&deployment).await;
        // No client sends requests to a gateway of the region.
        sleep(OWNERS_SETTLED).await;
        assert_eq!(turn(b, "t2", Some("t1")).await, (200, true));
        assert!(deployment.home_owner().starts_with('a'));
        assert_eq!(last_body(&deployment.server_a), "t1-said;one\nt2-said;");
        assert!(!deployment.zones_handling("t1-said").contains(&"b1"));
    });
}

/// Guards against a home partition that is claimed by a daemon outside the home regions.
#[test]
fn lost_owner_is_not_replaced_from_another_region() {
    run(async {
        let deployment = Deployment::start(chat_in(1, &["a"]), &["b1", "b2"]).await;
        let gone = claim_for_lost_daemon(&deployment).await;
        sleep(Duration::from_millis(100)).await;
        for name in ["t1", "t2"] {
            assert_eq!(turn(deployment.at("b1"), name, None).await, (503, true));
        }
        let ledger = &deployment.at("b2").daemon.ledger;
        let partition = ledger
            .home_partition("p", &RegionSet::from_names(["a"]))
            .expect("a partition");
        let claim = ledger.owner.claims.claim(partition).expect("a claim");
        assert_eq!(claim.address, Some(gone));
        assert!(deployment.zones_handling("t1-said").is_empty());
        assert_eq!(
            [deployment.server_a.count(), deployment.server_b.count()],
            [0, 0]
        );
    });
}

/// Guards against a retry that uses the home regions of when the request arrived.
#[test]
fn attempts_follow_home_regions_changed_during_the_request() {
    run(async {
        let deployment = Deployment::start(config(1), &["a1", "b1"]).await;
        deployment.server_a.set(Act::NotRun);
        deployment.server_b.set(Act::NotRun);
        let request = async {
            let fields = "Request: t1\r\nProgram: p\r\n";
            deployment
                .at("b1")
                .ask("POST", "/safe/1", fields, "x")
                .await
        };
        let narrowing = async {
            while deployment.server_b.count() == 0 {
                sleep(Duration::from_millis(1)).await;
            }
            let mut narrowed = config(2);
            for route in &mut narrowed.routes {
                route.allowed_regions = RegionSet::from_names(["a"]);
            }
            deployment.publish(narrowed).await;
            (deployment.server_a.count(), deployment.server_b.count())
        };
        let (reply, (count_a, count_b)) = futures_util::future::join(request, narrowing).await;
        assert_eq!(reply.head.status, 503);
        assert!(
            deployment.server_a.count() > count_a,
            "no further attempt in region a"
        );
        assert_eq!(
            deployment.server_b.count(),
            count_b,
            "sent outside the home regions"
        );
    });
}

/// Guards against contents that are stored by the home regions of when the turn started.
#[test]
fn contents_are_stored_in_the_home_regions_at_the_end_of_the_turn() {
    run(async {
        let deployment = Deployment::start(config(1), &["a1", "a2", "b1"]).await;
        let b = deployment.at("b1");
        let answer = Act::Slow(
            Duration::from_millis(700),
            "id: 0\ndata: one\n\n".to_owned(),
        );
        deployment.server_a.set(answer.clone());
        deployment.server_b.set(answer);
        let narrowing = async {
            while deployment.server_a.count() + deployment.server_b.count() == 0 {
                sleep(Duration::from_millis(1)).await;
            }
            deployment.publish(chat_in(2, &["a"])).await;
        };
        let (outcome, ()) = futures_util::future::join(turn(b, "t1", None), narrowing).await;
        assert_eq!(outcome, (200, true));
        let zones = deployment.zones_handling("t1-said");
        assert!(!zones.is_empty());
        assert!(zones.iter().all(|zone| zone.starts_with('a')), "{zones:?}");
        deployment.server_a.set(single_event());
        assert_eq!(turn(b, "t2", Some("t1")).await, (200, true));
        assert_eq!(last_body(&deployment.server_a), "t1-said;one\nt2-said;");
    });
}

/// Guards against a chain that cannot be moved to the home regions because it exceeds one record.
#[test]
fn chain_larger_than_a_record_is_moved_in_parts() {
    run(async {
        let deployment = Deployment::start(config(1), &["a1", "a2", "b1"]).await;
        let b = deployment.at("b1");
        let long = Act::Events(vec!["x".repeat(150_000)], None);
        deployment.server_a.set(long.clone());
        deployment.server_b.set(long);
        assert_eq!(turn(b, "t1", None).await, (200, true));
        assert_eq!(turn(b, "t2", Some("t1")).await, (200, true));
        assert_eq!(turn(b, "t3", Some("t2")).await, (200, true));
        deployment.publish(chat_in(2, &["a"])).await;
        sleep(OWNERS_SETTLED).await;
        deployment.server_a.set(single_event());
        assert_eq!(turn(b, "t4", Some("t3")).await, (200, true));
        assert_eq!(
            turn(deployment.at("a2"), "t5", Some("t4")).await,
            (200, true)
        );
        let said = "x".repeat(150_000);
        let expected =
            format!("t1-said;{said}\nt2-said;{said}\nt3-said;{said}\nt4-said;one\nt5-said;");
        assert!(last_body(&deployment.server_a) == expected);
        let largest = deployment
            .gateways
            .iter()
            .map(|(_, gateway)| gateway.recording.largest());
        assert!(largest.max() < Some(RECORD_SIZE_LIMIT));
    });
}

/// Guards against a refusal that an operator cannot trace back to the home regions.
#[test]
fn log_line_of_a_refusal_names_the_placement_rule() {
    run(async {
        let lines = LogCapture::start();
        let mut initial = config(1);
        for route in &mut initial.routes {
            route.allowed_regions = RegionSet::from_names(["c"]);
        }
        let deployment = Deployment::start(initial, &["a1", "b1"]).await;
        let fields = "Request: r1\r\n";
        let reply = deployment
            .at("b1")
            .ask("POST", "/safe/1", fields, "x")
            .await;
        assert_eq!(reply.head.status, 503);
        assert!(reply.head.headers.has("come-back-ms"));
        let logged = lines.with_event("no_server_in_place");
        assert_eq!(logged.len(), 1);
        assert!(
            logged[0].contains("\"not_home\":2") && logged[0].contains("region is not allowed")
        );
        assert_eq!(
            [deployment.server_a.count(), deployment.server_b.count()],
            [0, 0]
        );
        assert!(lines.with_event("homes_unservable").is_empty());
    });
}

/// Guards against a planned stop that hands a home partition to a daemon of another region.
#[test]
fn stopping_owner_hands_over_within_its_region() {
    run(async {
        let deployment = Deployment::start(chat_in(1, &["a"]), &["a1", "a2", "b1"]).await;
        let b = deployment.at("b1");
        assert_eq!(turn(b, "t1", None).await, (200, true));
        let leaving = deployment.at(deployment.home_owner()).daemon.clone();
        fieldhook_gateway::drain::run(leaving).await;
        sleep(OWNERS_SETTLED).await;
        assert_eq!(turn(b, "t2", Some("t1")).await, (200, true));
        assert!(
            deployment
                .zones_handling("t2-said")
                .iter()
                .all(|zone| zone.starts_with('a'))
        );
        assert!(!deployment.zones_handling("t2-said").is_empty());
    });
}

/// Guards against a change of the home regions that loses a chain, or keeps storing and serving it
/// outside of them.
#[test]
fn narrowed_home_regions_move_a_chain_and_widened_ones_lose_none() {
    run(async {
        let deployment = Deployment::start(config(1), &["a1", "a2", "b1"]).await;
        let b = deployment.at("b1");
        assert_eq!(turn(b, "t1", None).await, (200, true));
        deployment.publish(chat_in(2, &["a"])).await;
        sleep(OWNERS_SETTLED).await;
        let before = deployment.server_b.count();
        assert_eq!(turn(b, "t2", Some("t1")).await, (200, true));
        assert_eq!(last_body(&deployment.server_a), "t1-said;one\nt2-said;");
        assert_eq!(
            turn(deployment.at("a1"), "t3", Some("t2")).await,
            (200, true)
        );
        assert_eq!(
            last_body(&deployment.server_a),
            "t1-said;one\nt2-said;one\nt3-said;"
        );
        assert_eq!(
            deployment.server_b.count(),
            before,
            "served outside the home regions"
        );
        for text in ["t2-said", "t3-said"] {
            let zones = deployment.zones_handling(text);
            assert!(!zones.is_empty());
            assert!(zones.iter().all(|zone| zone.starts_with('a')), "{zones:?}");
        }
        // A turn may also continue from a turn stored before the move.
        assert_eq!(turn(b, "t4", Some("t1")).await, (200, true));
        // Removing the home regions loses nothing.
        deployment.publish(config(3)).await;
        assert_eq!(turn(b, "t5", Some("t3")).await, (200, true));
        let bodies = [
            last_body(&deployment.server_a),
            last_body(&deployment.server_b),
        ];
        let whole = "t1-said;one\nt2-said;one\nt3-said;one\nt5-said;";
        assert!(bodies.iter().any(|body| body == whole), "{bodies:?}");
    });
}

/// Guards against a budget that starts again because the contents move to another partition.
#[test]
fn budget_is_preserved_when_home_regions_change() {
    run(async {
        let deployment = Deployment::start(config(1), &["a1", "b1"]).await;
        let b = deployment.at("b1");
        let spend = async |name: &str| {
            let fields = format!("Request: {name}\r\nProgram: p\r\nBudget: 60\r\nMost: 20\r\n");
            let reply = b.ask("POST", "/chat/1", &fields, "x").await;
            // The turn is closed in the background, after its response.
            sleep(Duration::from_millis(100)).await;
            reply.head.status
        };
        // Each turn reserves 20 tokens and uses 10: the sixth finds 50 of 60 used.
        for name in ["t1", "t2", "t3"] {
            assert_eq!(spend(name).await, 200);
        }
        deployment.publish(chat_in(2, &["a"])).await;
        sleep(OWNERS_SETTLED).await;
        for name in ["t4", "t5"] {
            assert_eq!(spend(name).await, 200);
        }
        assert_eq!(spend("t6").await, 402);
    });
}

/// Guards against a request that waits for, or is served without, a daemon that may store its turn.
#[test]
fn request_without_a_daemon_in_its_home_regions_is_refused_at_once_and_not_run() {
    run(async {
        let deployment = Deployment::start(chat_in(1, &["c"]), &["a1", "b1"]).await;
        let server_c = Server::start("sc", single_event()).await;
        deployment.world.list_in(&server_c, "c1").await;
        deployment.at("b1").wait_ready(3).await;
        let started = Instant::now();
        let fields = "Request: t1\r\nProgram: p\r\n";
        let reply = deployment
            .at("b1")
            .ask("POST", "/chat/1", fields, "t1-said;")
            .await;
        assert_eq!(reply.head.status, 503);
        assert!(reply.head.headers.has("come-back-ms"));
        assert!(
            started.elapsed() < Duration::from_secs(1),
            "{:?}",
            started.elapsed()
        );
        assert!(deployment.zones_handling("t1-said").is_empty());
        let sent = [&deployment.server_a, &deployment.server_b, &server_c].map(Server::count);
        assert_eq!(sent, [0, 0, 0]);
    });
}

/// Guards against contents that are stored or served elsewhere because no home region can do so.
#[test]
fn turns_get_503_and_contents_stay_in_home_regions_when_their_daemons_are_lost() {
    run(async {
        let deployment = Deployment::start(chat_in(1, &["a"]), &["a1", "b1", "b2"]).await;
        let b = deployment.at("b1");
        assert_eq!(turn(b, "t1", None).await, (200, true));
        fieldhook_gateway::drain::run(deployment.at("a1").daemon.clone()).await;
        for name in ["t2", "t3"] {
            assert_eq!(turn(b, name, Some("t1")).await, (503, true));
        }
        assert_eq!(deployment.zones_handling("t1-said"), ["a1"]);
        assert_eq!(deployment.server_a.count(), 1);
        assert_eq!(deployment.server_b.count(), 0);
    });
}

/// Guards against turns that are refused or served elsewhere while home partitions are being
/// claimed.
#[test]
fn turns_right_after_startup_are_served_in_their_home_regions() {
    run(async {
        // The only daemon of region a claims all home partitions, one after another, which takes
        // several seconds.
        let deployment = Deployment::start_unsettled(chat_in(1, &["a"]), &["a1", "b1"], 4).await;
        let b = deployment.at("b1");
        let ledger = &b.daemon.ledger;
        let homes = RegionSet::from_names(["a"]);
        let names: Vec<String> = (0..12).map(|number| format!("p{number}")).collect();
        let mut partitions: Vec<_> = names
            .iter()
            .map(|p| ledger.home_partition(p, &homes))
            .collect();
        partitions.sort();
        partitions.dedup();
        assert_eq!(partitions.len(), 4, "{partitions:?}");
        let requests = names.iter().map(async |program| {
            let fields = format!("Request: t-{program}\r\nProgram: {program}\r\n");
            b.ask("POST", "/chat/1", &fields, "said;").await.head.status
        });
        let answers = futures_util::future::join_all(requests).await;
        assert!(answers.iter().all(|status| *status == 200), "{answers:?}");
        assert_eq!(
            [deployment.server_a.count(), deployment.server_b.count()],
            [12, 0]
        );
        assert!(!deployment.zones_handling("said;").contains(&"b1"));
    });
}

/// Guards against a 503 while the only daemon of a region claims and loads a partition.
#[test]
fn owner_that_loads_its_home_partition_slowly_is_waited_for() {
    run(async {
        let deployment = Deployment::start(config(1), &["a1", "b1"]).await;
        // No home partition of region a is claimed: its daemon starts to claim them once the
        // configuration names the region as a home.
        let slow = LogFault::Slow(Duration::from_millis(250));
        deployment.at("a1").store.set_fault(slow);
        deployment.publish(chat_in(2, &["a"])).await;
        let started = Instant::now();
        assert_eq!(turn(deployment.at("b1"), "t1", None).await, (200, true));
        let took = started.elapsed();
        assert!(
            took > Duration::from_millis(600),
            "loading was not slow: {took:?}"
        );
        assert!(!deployment.zones_handling("t1-said").contains(&"b1"));
    });
}

/// Guards against a request that is served although its route and its tenant allow no common
/// region.
#[test]
fn disjoint_home_regions_are_refused_and_logged() {
    run(async {
        let lines = LogCapture::start();
        let mut red = tenant("red", "k1");
        red.allowed_regions = RegionSet::from_names(["b"]);
        let mut blue = tenant("blue", "k2");
        blue.allowed_regions = RegionSet::from_names(["a", "b"]);
        let mut initial = config_with_tenants(1, vec![red, blue]);
        for route in &mut initial.routes {
            route.allowed_regions = RegionSet::from_names(["a"]);
        }
        let deployment = Deployment::start(initial, &["a1", "b1"]).await;
        for path in ["/safe/1", "/unsafe/1", "/chat/1"] {
            let fields = "Request: r1\r\nProgram: p\r\nKey: k1\r\n";
            let reply = deployment.at("b1").ask("POST", path, fields, "x").await;
            assert_eq!(reply.head.status, 503, "{path}");
            assert!(reply.head.headers.has("come-back-ms"));
        }
        assert_eq!(deployment.server_a.count() + deployment.server_b.count(), 0);
        let logged = lines.with_event("homes_unservable");
        let names_both = |line: &String| line.contains("\"chat\"") && line.contains("\"red\"");
        assert!(logged.iter().any(names_both), "{logged:?}");
        let refused = lines.with_event("refused_for_home");
        assert_eq!(refused.len(), 3, "{refused:?}");
        let fields = "Request: r2\r\nProgram: p\r\nKey: k2\r\n";
        let reply = deployment
            .at("b1")
            .ask("POST", "/chat/1", fields, "x")
            .await;
        assert_eq!(reply.head.status, 200);
        assert_eq!(
            [deployment.server_a.count(), deployment.server_b.count()],
            [1, 0]
        );
    });
}
