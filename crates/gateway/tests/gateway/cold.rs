//! Cold servers: what arrives there through all gateways together, what becomes of the rest.

use crate::support::{Act, CONFIG, Gateway, Reply, Server, World, config, run};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_gateway::settings::{Bounds, Cold as ColdTolerance};
use fieldhook_traffic::config::ColdLimit;
use futures_util::future::join_all;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const RATE_PER_S: f64 = 20.0;
/// By the sheet: 1.5 times of what it bears and 5.
const MOST_IN_A_SECOND: usize = 35;
const SECOND: Duration = Duration::from_secs(1);
const AT_ONCE: Duration = Duration::from_millis(250);
/// Longer than a test.
const COLD_MS: u64 = 60_000;

fn yes() -> Act {
    Act::Answer(200, "yes".to_owned())
}

async fn world_of(rate_per_s: f64, lasts_ms: u64) -> World {
    let world = World::new().await;
    let mut config = config(1);
    config.services[0].cold = Some(ColdLimit {
        rate_per_s,
        duration_ms: lasts_ms,
    });
    world.configs.borrow_mut()[0] = config;
    world.bounds.set(Bounds {
        cold: ColdTolerance {
            overshoot: 1.5,
            slack: 5.0,
        },
        ..Bounds::default()
    });
    world
}

async fn gateways(world: &World, count: usize, servers: usize) -> Vec<Rc<Gateway>> {
    let mut gateways = Vec::new();
    for number in 0..count {
        let gateway = world.gateway(&format!("g{number}")).await;
        gateway.wait_ready(servers).await;
        gateways.push(Rc::new(gateway));
    }
    // Until every partition has its owner.
    sleep(Duration::from_millis(900)).await;
    gateways
}

/// What one request got, and how long it took.
struct Outcome {
    reply: Reply,
    took: Duration,
}

/// Sends requests through a gateway at an even pace, whatever becomes of them.
async fn flood(gateway: Rc<Gateway>, name: String, count: usize, pause: Duration) -> Vec<Outcome> {
    let mut under_way = Vec::new();
    for number in 0..count {
        let (gateway, id) = (gateway.clone(), format!("{name}-{number}"));
        under_way.push(ntex::rt::spawn(async move {
            let begun = Instant::now();
            let fields = format!("Request: {id}\r\n");
            let reply = gateway.ask("POST", "/unsafe/1", &fields, "").await;
            let took = begun.elapsed();
            Outcome { reply, took }
        }));
        sleep(pause).await;
    }
    let ended = join_all(under_way).await;
    ended.into_iter().map(|end| end.expect("ends")).collect()
}

/// Floods through all gateways at once.
async fn flood_all(gateways: &[Rc<Gateway>], count: usize, pause: Duration) -> Vec<Outcome> {
    let floods = gateways
        .iter()
        .enumerate()
        .map(|(number, gateway)| flood(gateway.clone(), format!("r{number}"), count, pause));
    join_all(floods).await.into_iter().flatten().collect()
}

/// The most requests that arrived within one second.
fn most_in_a_second(server: &Server) -> usize {
    let seen = server.seen.borrow();
    let windows = seen.iter().map(|first| {
        let of_window = seen
            .iter()
            .filter(|seen| seen.at >= first.at && seen.at < first.at + SECOND);
        of_window.count()
    });
    windows.max().unwrap_or(0)
}

fn count(outcomes: &[Outcome], status: u16) -> usize {
    let of_status = outcomes
        .iter()
        .filter(|outcome| outcome.reply.head.status == status);
    of_status.count()
}

/// What is not served is refused at once, with a time.
fn assert_refused_at_once(outcomes: &[Outcome]) {
    for outcome in outcomes {
        let status = outcome.reply.head.status;
        assert!(status == 200 || status == 503, "{status}");
        if status == 503 {
            assert!(outcome.took < AT_ONCE, "{:?}", outcome.took);
            let time = outcome.reply.head.headers.text("come-back-ms");
            assert!(time.is_some_and(|time| time != "0"), "{time:?}");
        }
    }
}

/// The gateway that counts for a server, and the others.
fn owner_first(mut gateways: Vec<Rc<Gateway>>, server: &str) -> Vec<Rc<Gateway>> {
    let partition = fieldhook_ledger::partition_of(server, 2);
    let is_owner = |gateway: &Rc<Gateway>| {
        let claims = &gateway.daemon.owner.claims;
        let claim = claims.claim(partition);
        claim.is_some_and(|claim| claims.is_mine(&claim))
    };
    let owner = gateways.iter().position(is_owner).expect("an owner");
    gateways.swap(0, owner);
    gateways
}

#[test]
fn where_all_servers_are_cold_service_goes_on_at_their_rate() {
    run(async {
        let server = Server::start("s1", yes()).await;
        let world = world_of(RATE_PER_S, COLD_MS).await;
        world.list_cold(&server, COLD_MS).await;
        let gateways = gateways(&world, 3, 1).await;
        let outcomes = flood_all(&gateways, 150, Duration::from_millis(20)).await;
        let most = most_in_a_second(&server);
        assert!(most <= MOST_IN_A_SECOND, "{most} in a second");
        // Three seconds at three quarters of its rate, and what goes out at once.
        let served = count(&outcomes, 200);
        assert!((35..=70).contains(&served), "{served} served");
        assert_eq!(served, server.count());
        assert_refused_at_once(&outcomes);
    });
}

#[test]
fn a_lost_owner_and_its_successor_keep_the_bound_together() {
    run(async {
        let server = Server::start("s1", yes()).await;
        let world = world_of(RATE_PER_S, COLD_MS).await;
        world.list_cold(&server, COLD_MS).await;
        let gateways = owner_first(gateways(&world, 3, 1).await, "s1");
        let owner = gateways[0].clone();
        ntex::rt::spawn(async move {
            sleep(Duration::from_millis(1_000)).await;
            fieldhook_gateway::drain::run(owner.daemon.clone()).await;
        });
        let outcomes = flood_all(&gateways[1..], 300, Duration::from_millis(10)).await;
        let most = most_in_a_second(&server);
        assert!(most <= MOST_IN_A_SECOND, "{most} in a second");
        // A successor grants as well.
        let after = arrived_after(&server, 1_800);
        assert!(after > 5, "{after} after the change");
        assert_refused_at_once(&outcomes);
    });
}

/// Requests that arrived so long after the first, in milliseconds.
fn arrived_after(server: &Server, after_ms: u64) -> usize {
    let seen = server.seen.borrow();
    let from = seen[0].at + Duration::from_millis(after_ms);
    seen.iter().filter(|seen| seen.at >= from).count()
}

#[test]
fn an_owner_that_is_cut_off_the_log_grants_nothing_beside_its_successor() {
    run(async {
        let server = Server::start("s1", yes()).await;
        let world = world_of(RATE_PER_S, COLD_MS).await;
        world.list_cold(&server, COLD_MS).await;
        let gateways = owner_first(gateways(&world, 3, 1).await, "s1");
        let owner = gateways[0].clone();
        ntex::rt::spawn(async move {
            sleep(Duration::from_millis(700)).await;
            owner.store.set_fault(LogFault::Silent);
        });
        // Those who come through the owner ask itself all the time, whatever others know.
        let outcomes = flood_all(&gateways, 450, Duration::from_millis(10)).await;
        let most = most_in_a_second(&server);
        assert!(most <= MOST_IN_A_SECOND, "{most} in a second");
        let after = arrived_after(&server, 3_200);
        assert!(after > 5, "{after} after the change");
        assert_refused_at_once(&outcomes);
    });
}

#[test]
fn two_who_both_believe_to_be_the_owner_do_not_grant_side_by_side() {
    run(async {
        let server = Server::start("s1", yes()).await;
        let world = world_of(RATE_PER_S, COLD_MS).await;
        world.list_cold(&server, COLD_MS).await;
        let gateways = owner_first(gateways(&world, 2, 1).await, "s1");
        let (owner, other) = (gateways[0].clone(), gateways[1].clone());
        ntex::rt::spawn(async move {
            sleep(Duration::from_millis(700)).await;
            // The former owner does not hear of the claim.
            owner.store.set_fault(LogFault::Silent);
            let claims = &other.daemon.owner.claims;
            let partition = other.daemon.ledger.partition_of("s1");
            let epoch = claims.claim(partition).map(|claim| claim.epoch);
            claims.take_over(partition, epoch).await.expect("claimed");
        });
        flood_all(&gateways, 300, Duration::from_millis(10)).await;
        let most = most_in_a_second(&server);
        assert!(most as f64 <= RATE_PER_S, "{most} in a second");
        let after = arrived_after(&server, 1_800);
        assert!(after > 5, "{after} after the change");
    });
}

#[test]
fn while_the_log_answers_nobody_a_cold_server_gets_nothing() {
    run(async {
        let server = Server::start("s1", yes()).await;
        let world = world_of(RATE_PER_S, COLD_MS).await;
        world.list_cold(&server, COLD_MS).await;
        let gateways = gateways(&world, 2, 1).await;
        for gateway in &gateways {
            gateway.store.set_fault(LogFault::Silent);
        }
        sleep(Duration::from_millis(500)).await;
        let outcomes = flood_all(&gateways, 20, Duration::from_millis(20)).await;
        assert_eq!(count(&outcomes, 503), 40);
        assert_eq!(server.count(), 0);
        assert_refused_at_once(&outcomes);
    });
}

#[test]
fn warm_servers_go_first_and_a_denial_is_no_attempt() {
    run(async {
        let cold = Server::start("cold", yes()).await;
        let full = Server::start("full", Act::NotRun).await;
        let world = world_of(2.0, COLD_MS).await;
        world.list_cold(&cold, COLD_MS).await;
        world.list(&full).await;
        let gateways = gateways(&world, 2, 2).await;
        full.set(yes());
        let outcomes = flood_all(&gateways, 40, Duration::from_millis(10)).await;
        assert_eq!(count(&outcomes, 200), 80);
        assert_eq!(cold.count(), 0);
        assert_eq!(full.count(), 80);
        // Where the warm one has no place the cold one gets what it bears, and a request
        // that is denied there waits for the warm one as before.
        full.set(Act::NotRun);
        let refilled = full.shared_act();
        ntex::rt::spawn(async move {
            sleep(Duration::from_millis(150)).await;
            refilled.replace(yes());
        });
        let outcomes = flood_all(&gateways[..1], 10, Duration::from_millis(5)).await;
        assert_eq!(count(&outcomes, 200), 10);
        assert!((1..=4).contains(&cold.count()), "{}", cold.count());
    });
}

#[test]
fn servers_of_a_zone_that_takes_part_again_count_as_cold() {
    run(async {
        let server = Server::start("s1", yes()).await;
        let world = world_of(RATE_PER_S, 1_500).await;
        world.list_in(&server, "z2").await;
        let gateways = gateways(&world, 2, 1).await;
        // Those that exist when a gateway starts are warm unless they say so.
        sleep(Duration::from_millis(700)).await;
        world.put(CONFIG, "closed/z2", "1").await;
        sleep(Duration::from_millis(300)).await;
        let closed = flood_all(&gateways, 1, Duration::ZERO).await;
        assert_eq!(count(&closed, 503), 2);
        world.put(CONFIG, "closed/z2", "").await;
        sleep(Duration::from_millis(300)).await;
        let outcomes = flood_all(&gateways, 50, Duration::from_millis(10)).await;
        let served = count(&outcomes, 200);
        assert!((5..=20).contains(&served), "{served} served");
        sleep(Duration::from_millis(1_500)).await;
        let outcomes = flood_all(&gateways, 50, Duration::from_millis(10)).await;
        assert_eq!(count(&outcomes, 200), 100);
    });
}

#[test]
fn a_server_that_took_no_connections_is_taken_for_cold_when_it_does_again() {
    run(async {
        let server = Server::start("s1", yes()).await;
        let world = world_of(2.0, COLD_MS).await;
        world.list(&server).await;
        let gateways = gateways(&world, 1, 1).await;
        let directory = gateways[0].daemon.directory.clone();
        let entry = directory.borrow().entry("s1").cloned().expect("listed");
        let cold = &gateways[0].daemon.cold;
        assert_eq!(cold.cold_limits(&entry), None);
        cold.record_unreachable(&entry);
        assert!(cold.cold_limits(&entry).is_some());
        let outcomes = flood_all(&gateways, 40, Duration::from_millis(30)).await;
        let served = count(&outcomes, 200);
        let permits = permits(&gateways[0]);
        assert!((1..=3).contains(&served), "{served} served, {permits}");
        assert_refused_at_once(&outcomes);
    });
}

/// What became of a gateway's questions.
fn permits(gateway: &Gateway) -> String {
    let text = gateway.daemon.metrics.text();
    let lines = text.lines().filter(|line| line.contains("cold_permits"));
    lines.collect::<Vec<_>>().join("; ")
}
