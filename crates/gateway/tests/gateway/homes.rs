//! Homes of data: gateways of several regions, and who gets what a program says.

use crate::support::{
    Act, Gateway, LogCapture, Server, World, config, config_with_tenants, run, tenant,
};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_gateway::ledger::owner::OWNERS_TOPIC;
use fieldhook_log::api::{Append, LogStore, Partition};
use fieldhook_log::ownership::Ownership;
use fieldhook_topology::region::Set;
use fieldhook_topology::zone::Map;
use fieldhook_traffic::config::TrafficConfig;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Bytes that no record may reach: the input of one turn and its names fit in.
const LARGEST_RECORD: usize = 210 << 10;
/// Free partitions of the worlds.
const FREE: u32 = 2;
/// Time for the partitions of two daemons of a region to find their owners.
const SETTLED: Duration = Duration::from_millis(2_500);

fn events() -> Act {
    Act::Events(vec!["one".to_owned()], None)
}

fn map() -> Map {
    Map::new([
        ("a1", "a"),
        ("a2", "a"),
        ("b1", "b"),
        ("b2", "b"),
        ("c1", "c"),
    ])
}

/// The configuration of most tests, where conversations may stay in these regions.
fn chat_in(version: u64, regions: &[&str]) -> TrafficConfig {
    let mut config = config(version);
    let chat = config.routes.iter_mut().find(|route| route.name == "chat");
    chat.expect("a route").homes = Set::of(regions.iter().copied());
    config
}

struct Fleet {
    world: World,
    /// A server in each of the regions.
    at_a: Server,
    at_b: Server,
    gateways: Vec<(&'static str, Gateway)>,
}

impl Fleet {
    async fn start(first: TrafficConfig, zones: &[&'static str]) -> Self {
        let fleet = Self::start_now(first, zones, FREE).await;
        sleep(SETTLED).await;
        fleet
    }

    /// The same with so many free partitions, before these and others have owners.
    async fn start_now(first: TrafficConfig, zones: &[&'static str], free: u32) -> Self {
        let world = World::new().await;
        world.partitions.set(free);
        *world.zones.borrow_mut() = map();
        world.configs.borrow_mut()[0] = first;
        let at_a = Server::start("sa", events()).await;
        let at_b = Server::start("sb", events()).await;
        world.list_in(&at_a, "a1").await;
        world.list_in(&at_b, "b1").await;
        let mut gateways = Vec::new();
        for zone in zones {
            gateways.push((*zone, world.gateway_in(zone, zone).await));
        }
        for (_, gateway) in &gateways {
            gateway.wait_ready(2).await;
        }
        Self {
            world,
            at_a,
            at_b,
            gateways,
        }
    }

    fn at(&self, zone: &str) -> &Gateway {
        let found = self.gateways.iter().find(|(name, _)| *name == zone);
        &found.expect("a gateway").1
    }

    /// Zones whose gateways wrote or read records with this text.
    fn keepers(&self, text: &str) -> Vec<&'static str> {
        let keepers = self
            .gateways
            .iter()
            .filter(|(_, gateway)| gateway.spy.has_record_with(text));
        keepers.map(|(zone, _)| *zone).collect()
    }

    /// Puts a configuration into force everywhere.
    async fn publish(&self, config: TrafficConfig) {
        let version = config.version;
        self.world.configs.borrow_mut().push(config);
        let index = self.world.configs.borrow().len() - 1;
        self.world.publish(index).await;
        let begun = Instant::now();
        for (_, gateway) in &self.gateways {
            while gateway.daemon.owner.config.version() != version {
                assert!(begun.elapsed() < Duration::from_secs(4), "never in force");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }

    /// The gateway that owns the home partition of program `p` in region a.
    fn keeper(&self) -> &'static str {
        let homes = Set::of(["a"]);
        let ledger = &self.at("b1").daemon.ledger;
        let partition = ledger
            .home_partition("p", &homes)
            .expect("a home partition");
        // By the claim that b1 knows: a former owner without the log still believes in its own.
        let claim = ledger.owner.claims.claim(partition).expect("a claim");
        let owner = self
            .gateways
            .iter()
            .find(|(_, gateway)| gateway.daemon.owner.claims.is_mine(&claim));
        owner.expect("an owner").0
    }
}

/// Runs a turn of program `p`; its input is its name.
async fn turn(gateway: &Gateway, turn: &str, previous: Option<&str>) -> (u16, bool) {
    let previous = previous.map_or(String::new(), |turn| format!("Previous: {turn}\r\n"));
    let fields = format!("Request: {turn}\r\nProgram: p\r\nBudget: 9000\r\nMost: 40\r\n{previous}");
    let reply = gateway
        .ask("POST", "/chat/1", &fields, &format!("{turn}-said;"))
        .await;
    (reply.head.status, reply.whole)
}

fn last_body(server: &Server) -> String {
    let seen = server.seen.borrow();
    let last = seen.last().expect("a request");
    String::from_utf8_lossy(&last.body).into_owned()
}

/// The same, tried again as clients do while an owner is replaced.
async fn turn_in_the_end(gateway: &Gateway, name: &str, previous: &str) {
    let begun = Instant::now();
    while turn(gateway, name, Some(previous)).await != (200, true) {
        assert!(begun.elapsed() < Duration::from_secs(10), "never served");
    }
}

#[test]
fn without_homes_nobody_claims_for_them() {
    run(async {
        let fleet = Fleet::start(config(1), &["a1", "b1"]).await;
        assert_eq!(turn(fleet.at("a1"), "t1", None).await, (200, true));
        let claims = &fleet.at("a1").daemon.owner.claims;
        assert!(claims.partitions() > FREE);
        for partition in 0..claims.partitions() {
            assert_eq!(claims.claim(partition).is_some(), partition < FREE);
        }
    });
}

#[test]
fn kept_chains_stay_in_their_homes_when_owners_are_lost() {
    run(async {
        let fleet = Fleet::start(chat_in(1, &["a"]), &["a1", "a2", "b1", "b2"]).await;
        // The client is in the other region all the time.
        let b = fleet.at("b1");
        assert_eq!(turn(b, "t1", None).await, (200, true));
        assert_eq!(turn(fleet.at("b2"), "t2", Some("t1")).await, (200, true));
        let first = fleet.keeper();
        // Its owner loses the log: only a daemon of the region may take over.
        fleet.at(first).store.set_fault(LogFault::Silent);
        turn_in_the_end(b, "t3", "t2").await;
        let second = fleet.keeper();
        assert!(
            second != first && second.starts_with('a'),
            "{first} {second}"
        );
        assert_eq!(turn(b, "t4", Some("t3")).await, (200, true));
        assert_eq!(
            last_body(&fleet.at_a),
            "t1-said;one\nt2-said;one\nt3-said;one\nt4-said;"
        );
        for text in ["t1-said", "t2-said", "t3-said", "t4-said"] {
            let keepers = fleet.keepers(text);
            assert!(!keepers.is_empty());
            assert!(
                keepers.iter().all(|zone| zone.starts_with('a')),
                "{keepers:?}"
            );
        }
        assert_eq!(fleet.at_b.count(), 0, "served outside its homes");
    });
}

/// Has the log say that the home partition of program `p` belongs to a daemon that is gone.
async fn lose_keeper(fleet: &Fleet) -> SocketAddr {
    let gone = SocketAddr::from(([127, 0, 0, 1], 9));
    let gateway = fleet.at("b1");
    let keeper = gateway.daemon.ledger.home_partition("p", &Set::of(["a"]));
    let record = Ownership::claim_record(keeper.expect("a home partition"), gone, 77);
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

#[test]
fn an_only_owner_without_the_log_is_replaced_by_its_region() {
    run(async {
        let mut fleet = Fleet::start(chat_in(1, &["a"]), &["a1", "b1"]).await;
        assert_eq!(turn(fleet.at("b1"), "t1", None).await, (200, true));
        // It owns all home partitions: who else is there is not known from claims.
        let late = fleet.world.gateway_in("a2", "a2").await;
        late.wait_ready(2).await;
        fleet.gateways.push(("a2", late));
        fleet.at("a1").store.set_fault(LogFault::Silent);
        turn_in_the_end(fleet.at("b1"), "t2", "t1").await;
        assert_eq!(fleet.keeper(), "a2");
        assert!(!fleet.keepers("t2-said").contains(&"b1"));
    });
}

#[test]
fn daemons_of_a_region_find_its_lost_owner_by_themselves() {
    run(async {
        let fleet = Fleet::start(chat_in(1, &["a"]), &["a1", "a2", "b1"]).await;
        let b = fleet.at("b1");
        assert_eq!(turn(b, "t1", None).await, (200, true));
        lose_keeper(&fleet).await;
        // No client asks at a gateway of the region.
        sleep(SETTLED).await;
        assert_eq!(turn(b, "t2", Some("t1")).await, (200, true));
        assert!(fleet.keeper().starts_with('a'));
        assert_eq!(last_body(&fleet.at_a), "t1-said;one\nt2-said;");
        assert!(!fleet.keepers("t1-said").contains(&"b1"));
    });
}

#[test]
fn a_lost_owner_is_not_replaced_from_another_region() {
    run(async {
        let fleet = Fleet::start(chat_in(1, &["a"]), &["b1", "b2"]).await;
        let gone = lose_keeper(&fleet).await;
        sleep(Duration::from_millis(100)).await;
        for name in ["t1", "t2"] {
            assert_eq!(turn(fleet.at("b1"), name, None).await, (503, true));
        }
        let ledger = &fleet.at("b2").daemon.ledger;
        let keeper = ledger
            .home_partition("p", &Set::of(["a"]))
            .expect("a partition");
        let claim = ledger.owner.claims.claim(keeper).expect("a claim");
        assert_eq!(claim.address, Some(gone));
        assert!(fleet.keepers("t1-said").is_empty());
        assert_eq!([fleet.at_a.count(), fleet.at_b.count()], [0, 0]);
    });
}

#[test]
fn an_attempt_is_judged_by_the_homes_of_its_moment() {
    run(async {
        let fleet = Fleet::start(config(1), &["a1", "b1"]).await;
        fleet.at_a.set(Act::NotRun);
        fleet.at_b.set(Act::NotRun);
        let asking = async {
            let fields = "Request: t1\r\nProgram: p\r\n";
            fleet.at("b1").ask("POST", "/safe/1", fields, "x").await
        };
        let narrowing = async {
            while fleet.at_b.count() == 0 {
                sleep(Duration::from_millis(1)).await;
            }
            let mut narrowed = config(2);
            for route in &mut narrowed.routes {
                route.homes = Set::of(["a"]);
            }
            fleet.publish(narrowed).await;
            (fleet.at_a.count(), fleet.at_b.count())
        };
        let (reply, (at_a, at_b)) = futures_util::future::join(asking, narrowing).await;
        assert_eq!(reply.head.status, 503);
        assert!(fleet.at_a.count() > at_a, "not tried again");
        assert_eq!(fleet.at_b.count(), at_b, "sent out of its homes");
    });
}

#[test]
fn what_a_turn_said_is_kept_in_the_homes_of_its_end() {
    run(async {
        let fleet = Fleet::start(config(1), &["a1", "a2", "b1"]).await;
        let b = fleet.at("b1");
        let answer = Act::Slow(
            Duration::from_millis(700),
            "id: 0\ndata: one\n\n".to_owned(),
        );
        fleet.at_a.set(answer.clone());
        fleet.at_b.set(answer);
        let narrowing = async {
            while fleet.at_a.count() + fleet.at_b.count() == 0 {
                sleep(Duration::from_millis(1)).await;
            }
            fleet.publish(chat_in(2, &["a"])).await;
        };
        let (outcome, ()) = futures_util::future::join(turn(b, "t1", None), narrowing).await;
        assert_eq!(outcome, (200, true));
        let keepers = fleet.keepers("t1-said");
        assert!(!keepers.is_empty());
        assert!(
            keepers.iter().all(|zone| zone.starts_with('a')),
            "{keepers:?}"
        );
        fleet.at_a.set(events());
        assert_eq!(turn(b, "t2", Some("t1")).await, (200, true));
        assert_eq!(last_body(&fleet.at_a), "t1-said;one\nt2-said;");
    });
}

#[test]
fn a_chain_longer_than_a_record_is_moved_in_pieces() {
    run(async {
        let fleet = Fleet::start(config(1), &["a1", "a2", "b1"]).await;
        let b = fleet.at("b1");
        let long = Act::Events(vec!["x".repeat(150_000)], None);
        fleet.at_a.set(long.clone());
        fleet.at_b.set(long);
        assert_eq!(turn(b, "t1", None).await, (200, true));
        assert_eq!(turn(b, "t2", Some("t1")).await, (200, true));
        assert_eq!(turn(b, "t3", Some("t2")).await, (200, true));
        fleet.publish(chat_in(2, &["a"])).await;
        sleep(SETTLED).await;
        fleet.at_a.set(events());
        assert_eq!(turn(b, "t4", Some("t3")).await, (200, true));
        assert_eq!(turn(fleet.at("a2"), "t5", Some("t4")).await, (200, true));
        let said = "x".repeat(150_000);
        let wanted =
            format!("t1-said;{said}\nt2-said;{said}\nt3-said;{said}\nt4-said;one\nt5-said;");
        assert!(last_body(&fleet.at_a) == wanted);
        let largest = fleet
            .gateways
            .iter()
            .map(|(_, gateway)| gateway.spy.largest());
        assert!(largest.max() < Some(LARGEST_RECORD));
    });
}

#[test]
fn the_line_of_a_refusal_names_the_rule_of_place() {
    run(async {
        let lines = LogCapture::start();
        let mut first = config(1);
        for route in &mut first.routes {
            route.homes = Set::of(["c"]);
        }
        let fleet = Fleet::start(first, &["a1", "b1"]).await;
        let fields = "Request: r1\r\n";
        let reply = fleet.at("b1").ask("POST", "/safe/1", fields, "x").await;
        assert_eq!(reply.head.status, 503);
        assert!(reply.head.headers.has("come-back-ms"));
        let told = lines.with_event("no_server_in_place");
        assert_eq!(told.len(), 1);
        assert!(told[0].contains("\"not_home\":2") && told[0].contains("region is not allowed"));
        assert_eq!([fleet.at_a.count(), fleet.at_b.count()], [0, 0]);
        assert!(lines.with_event("homes_unservable").is_empty());
    });
}

#[test]
fn an_owner_that_leaves_hands_over_within_its_region() {
    run(async {
        let fleet = Fleet::start(chat_in(1, &["a"]), &["a1", "a2", "b1"]).await;
        let b = fleet.at("b1");
        assert_eq!(turn(b, "t1", None).await, (200, true));
        let leaving = fleet.at(fleet.keeper()).daemon.clone();
        fieldhook_gateway::drain::run(leaving).await;
        sleep(SETTLED).await;
        assert_eq!(turn(b, "t2", Some("t1")).await, (200, true));
        assert!(
            fleet
                .keepers("t2-said")
                .iter()
                .all(|zone| zone.starts_with('a'))
        );
        assert!(!fleet.keepers("t2-said").is_empty());
    });
}

#[test]
fn narrowed_homes_move_a_living_chain_and_wider_ones_lose_none() {
    run(async {
        let fleet = Fleet::start(config(1), &["a1", "a2", "b1"]).await;
        let b = fleet.at("b1");
        assert_eq!(turn(b, "t1", None).await, (200, true));
        fleet.publish(chat_in(2, &["a"])).await;
        sleep(SETTLED).await;
        let before = fleet.at_b.count();
        assert_eq!(turn(b, "t2", Some("t1")).await, (200, true));
        assert_eq!(last_body(&fleet.at_a), "t1-said;one\nt2-said;");
        assert_eq!(turn(fleet.at("a1"), "t3", Some("t2")).await, (200, true));
        assert_eq!(last_body(&fleet.at_a), "t1-said;one\nt2-said;one\nt3-said;");
        assert_eq!(fleet.at_b.count(), before, "served outside its homes");
        for text in ["t2-said", "t3-said"] {
            let keepers = fleet.keepers(text);
            assert!(!keepers.is_empty());
            assert!(
                keepers.iter().all(|zone| zone.starts_with('a')),
                "{keepers:?}"
            );
        }
        // A turn may be tried again from where the chain was before.
        assert_eq!(turn(b, "t4", Some("t1")).await, (200, true));
        // Homes that are taken away lose nothing.
        fleet.publish(config(3)).await;
        assert_eq!(turn(b, "t5", Some("t3")).await, (200, true));
        let bodies = [last_body(&fleet.at_a), last_body(&fleet.at_b)];
        let whole = "t1-said;one\nt2-said;one\nt3-said;one\nt5-said;";
        assert!(bodies.iter().any(|body| body == whole), "{bodies:?}");
    });
}

#[test]
fn a_budget_stays_where_it_is_when_homes_change() {
    run(async {
        let fleet = Fleet::start(config(1), &["a1", "b1"]).await;
        let b = fleet.at("b1");
        let spend = async |name: &str| {
            let fields = format!("Request: {name}\r\nProgram: p\r\nBudget: 60\r\nMost: 20\r\n");
            let reply = b.ask("POST", "/chat/1", &fields, "x").await;
            // The end of a turn is told beside its answer.
            sleep(Duration::from_millis(100)).await;
            reply.head.status
        };
        // Each reserves twenty tokens and uses ten: the sixth finds fifty used.
        for name in ["t1", "t2", "t3"] {
            assert_eq!(spend(name).await, 200);
        }
        fleet.publish(chat_in(2, &["a"])).await;
        sleep(SETTLED).await;
        for name in ["t4", "t5"] {
            assert_eq!(spend(name).await, 200);
        }
        assert_eq!(spend("t6").await, 402);
    });
}

#[test]
fn without_a_daemon_in_its_homes_a_request_is_refused_at_once_and_never_run() {
    run(async {
        let fleet = Fleet::start(chat_in(1, &["c"]), &["a1", "b1"]).await;
        let at_c = Server::start("sc", events()).await;
        fleet.world.list_in(&at_c, "c1").await;
        fleet.at("b1").wait_ready(3).await;
        let begun = Instant::now();
        let fields = "Request: t1\r\nProgram: p\r\n";
        let reply = fleet
            .at("b1")
            .ask("POST", "/chat/1", fields, "t1-said;")
            .await;
        assert_eq!(reply.head.status, 503);
        assert!(reply.head.headers.has("come-back-ms"));
        assert!(
            begun.elapsed() < Duration::from_secs(1),
            "{:?}",
            begun.elapsed()
        );
        assert!(fleet.keepers("t1-said").is_empty());
        let sent = [&fleet.at_a, &fleet.at_b, &at_c].map(Server::count);
        assert_eq!(sent, [0, 0, 0]);
    });
}

#[test]
fn homes_lost_with_their_daemons_give_503_and_no_leak() {
    run(async {
        let fleet = Fleet::start(chat_in(1, &["a"]), &["a1", "b1", "b2"]).await;
        let b = fleet.at("b1");
        assert_eq!(turn(b, "t1", None).await, (200, true));
        fieldhook_gateway::drain::run(fleet.at("a1").daemon.clone()).await;
        for name in ["t2", "t3"] {
            assert_eq!(turn(b, name, Some("t1")).await, (503, true));
        }
        assert_eq!(fleet.keepers("t1-said"), ["a1"]);
        assert_eq!(fleet.at_a.count(), 1);
        assert_eq!(fleet.at_b.count(), 0);
    });
}

#[test]
fn turns_right_after_a_start_are_served_in_their_homes() {
    run(async {
        // Its only daemon claims all by itself, one after the other within several seconds.
        let fleet = Fleet::start_now(chat_in(1, &["a"]), &["a1", "b1"], 4).await;
        let b = fleet.at("b1");
        let ledger = &b.daemon.ledger;
        let homes = Set::of(["a"]);
        let names: Vec<String> = (0..12).map(|number| format!("p{number}")).collect();
        let mut keepers: Vec<_> = names
            .iter()
            .map(|p| ledger.home_partition(p, &homes))
            .collect();
        keepers.sort();
        keepers.dedup();
        assert_eq!(keepers.len(), 4, "{keepers:?}");
        let asked = names.iter().map(async |program| {
            let fields = format!("Request: t-{program}\r\nProgram: {program}\r\n");
            b.ask("POST", "/chat/1", &fields, "said;").await.head.status
        });
        let answers = futures_util::future::join_all(asked).await;
        assert!(answers.iter().all(|status| *status == 200), "{answers:?}");
        assert_eq!([fleet.at_a.count(), fleet.at_b.count()], [12, 0]);
        assert!(!fleet.keepers("said;").contains(&"b1"));
    });
}

#[test]
fn an_owner_that_reads_its_home_partition_slowly_is_awaited() {
    run(async {
        let fleet = Fleet::start(config(1), &["a1", "b1"]).await;
        // Nobody has claimed for region a: its daemon begins to once it is named as a home.
        let slow = LogFault::Slow(Duration::from_millis(250));
        fleet.at("a1").store.set_fault(slow);
        fleet.publish(chat_in(2, &["a"])).await;
        let begun = Instant::now();
        assert_eq!(turn(fleet.at("b1"), "t1", None).await, (200, true));
        let took = begun.elapsed();
        assert!(took > Duration::from_millis(600), "not slow: {took:?}");
        assert!(!fleet.keepers("t1-said").contains(&"b1"));
    });
}

#[test]
fn homes_with_nothing_in_common_refuse_truthfully() {
    run(async {
        let lines = LogCapture::start();
        let mut red = tenant("red", "k1");
        red.homes = Set::of(["b"]);
        let mut blue = tenant("blue", "k2");
        blue.homes = Set::of(["a", "b"]);
        let mut first = config_with_tenants(1, vec![red, blue]);
        for route in &mut first.routes {
            route.homes = Set::of(["a"]);
        }
        let fleet = Fleet::start(first, &["a1", "b1"]).await;
        for path in ["/safe/1", "/unsafe/1", "/chat/1"] {
            let fields = "Request: r1\r\nProgram: p\r\nKey: k1\r\n";
            let reply = fleet.at("b1").ask("POST", path, fields, "x").await;
            assert_eq!(reply.head.status, 503, "{path}");
            assert!(reply.head.headers.has("come-back-ms"));
        }
        assert_eq!(fleet.at_a.count() + fleet.at_b.count(), 0);
        let told = lines.with_event("homes_unservable");
        let names_both = |line: &String| line.contains("\"chat\"") && line.contains("\"red\"");
        assert!(told.iter().any(names_both), "{told:?}");
        let refused = lines.with_event("refused_for_home");
        assert_eq!(refused.len(), 3, "{refused:?}");
        let fields = "Request: r2\r\nProgram: p\r\nKey: k2\r\n";
        let reply = fleet.at("b1").ask("POST", "/chat/1", fields, "x").await;
        assert_eq!(reply.head.status, 200);
        assert_eq!([fleet.at_a.count(), fleet.at_b.count()], [1, 0]);
    });
}
