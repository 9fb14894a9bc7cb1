//! Cold servers: the request rate over all gateways together, and the responses to requests
//! beyond the limit.

use crate::support::{Act, CONFIG, Gateway, Reply, Server, World, config, run};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_gateway::settings::{Bounds, Cold as ColdTolerance};
use fieldhook_traffic::config::ColdLimit;
use futures_util::future::join_all;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const RATE_PER_S: f64 = 20.0;
/// Maximum number of requests in a second with the tolerance of these tests: 1.5 times the rate plus
/// 5 requests.
const MAX_IN_A_SECOND: usize = 35;
const SECOND: Duration = Duration::from_secs(1);
const REFUSAL_LIMIT: Duration = Duration::from_millis(250);
/// A cold period that is longer than a test.
const COLD_MS: u64 = 60_000;

fn ok() -> Act {
    Act::Answer(200, "yes".to_owned())
}

async fn world_with_cold(rate_per_s: f64, lasts_ms: u64) -> World {
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
    // Wait until every partition has an owner.
    sleep(Duration::from_millis(900)).await;
    gateways
}

/// The response to one request, and how long it took.
struct Outcome {
    reply: Reply,
    took: Duration,
}

/// Sends requests through a gateway at a constant rate without waiting for responses.
async fn send_steadily(
    gateway: Rc<Gateway>,
    name: String,
    count: usize,
    pause: Duration,
) -> Vec<Outcome> {
    let mut requests = Vec::new();
    for number in 0..count {
        let (gateway, id) = (gateway.clone(), format!("{name}-{number}"));
        requests.push(ntex::rt::spawn(async move {
            let started = Instant::now();
            let fields = format!("Request: {id}\r\n");
            let reply = gateway.ask("POST", "/unsafe/1", &fields, "").await;
            let took = started.elapsed();
            Outcome { reply, took }
        }));
        sleep(pause).await;
    }
    let ended = join_all(requests).await;
    ended.into_iter().map(|end| end.expect("ends")).collect()
}

/// Sends requests through all gateways at the same time.
async fn send_through_all(gateways: &[Rc<Gateway>], count: usize, pause: Duration) -> Vec<Outcome> {
    let sends = gateways.iter().enumerate().map(|(number, gateway)| {
        send_steadily(gateway.clone(), format!("r{number}"), count, pause)
    });
    join_all(sends).await.into_iter().flatten().collect()
}

/// Returns the maximum number of requests that arrived within one second.
fn max_in_a_second(server: &Server) -> usize {
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

/// Checks that requests that were not served were refused at once, with a retry time.
fn assert_refused_at_once(outcomes: &[Outcome]) {
    for outcome in outcomes {
        let status = outcome.reply.head.status;
        assert!(status == 200 || status == 503, "{status}");
        if status == 503 {
            assert!(outcome.took < REFUSAL_LIMIT, "{:?}", outcome.took);
            let time = outcome.reply.head.headers.text("come-back-ms");
            assert!(time.is_some_and(|time| time != "0"), "{time:?}");
        }
    }
}

/// Moves the gateway that owns the partition of a server to the front.
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
fn requests_are_served_at_the_cold_rate_if_all_servers_are_cold() {
    run(async {
        let server = Server::start("s1", ok()).await;
        let world = world_with_cold(RATE_PER_S, COLD_MS).await;
        world.list_cold(&server, COLD_MS).await;
        let gateways = gateways(&world, 3, 1).await;
        let outcomes = send_through_all(&gateways, 150, Duration::from_millis(20)).await;
        let max = max_in_a_second(&server);
        assert!(max <= MAX_IN_A_SECOND, "{max} in a second");
        // Three seconds at three quarters of the rate, and an initial burst.
        let served = count(&outcomes, 200);
        assert!((35..=70).contains(&served), "{served} served");
        assert_eq!(served, server.count());
        assert_refused_at_once(&outcomes);
    });
}

#[test]
fn stopped_owner_and_the_new_owner_share_the_limit() {
    run(async {
        let server = Server::start("s1", ok()).await;
        let world = world_with_cold(RATE_PER_S, COLD_MS).await;
        world.list_cold(&server, COLD_MS).await;
        let gateways = owner_first(gateways(&world, 3, 1).await, "s1");
        let owner = gateways[0].clone();
        ntex::rt::spawn(async move {
            sleep(Duration::from_millis(1_000)).await;
            fieldhook_gateway::drain::run(owner.daemon.clone()).await;
        });
        let outcomes = send_through_all(&gateways[1..], 300, Duration::from_millis(10)).await;
        let max = max_in_a_second(&server);
        assert!(max <= MAX_IN_A_SECOND, "{max} in a second");
        // The new owner grants permits as well.
        let after = arrived_after(&server, 1_800);
        assert!(after > 5, "{after} after the change");
        assert_refused_at_once(&outcomes);
    });
}

/// Counts the requests that arrived `after_ms` or more after the first.
fn arrived_after(server: &Server, after_ms: u64) -> usize {
    let seen = server.seen.borrow();
    let from = seen[0].at + Duration::from_millis(after_ms);
    seen.iter().filter(|seen| seen.at >= from).count()
}

#[test]
fn owner_cut_off_from_the_log_stops_granting_permits() {
    run(async {
        let server = Server::start("s1", ok()).await;
        let world = world_with_cold(RATE_PER_S, COLD_MS).await;
        world.list_cold(&server, COLD_MS).await;
        let gateways = owner_first(gateways(&world, 3, 1).await, "s1");
        let owner = gateways[0].clone();
        ntex::rt::spawn(async move {
            sleep(Duration::from_millis(700)).await;
            owner.store.set_fault(LogFault::Silent);
        });
        // Requests through the old owner still ask that owner for permits after the other gateways
        // know the new one.
        let outcomes = send_through_all(&gateways, 450, Duration::from_millis(10)).await;
        let max = max_in_a_second(&server);
        assert!(max <= MAX_IN_A_SECOND, "{max} in a second");
        let after = arrived_after(&server, 3_200);
        assert!(after > 5, "{after} after the change");
        assert_refused_at_once(&outcomes);
    });
}

#[test]
fn two_gateways_that_claim_ownership_do_not_both_grant_permits() {
    run(async {
        let server = Server::start("s1", ok()).await;
        let world = world_with_cold(RATE_PER_S, COLD_MS).await;
        world.list_cold(&server, COLD_MS).await;
        let gateways = owner_first(gateways(&world, 2, 1).await, "s1");
        let (owner, other) = (gateways[0].clone(), gateways[1].clone());
        ntex::rt::spawn(async move {
            sleep(Duration::from_millis(700)).await;
            // The old owner does not learn of the claim.
            owner.store.set_fault(LogFault::Silent);
            let claims = &other.daemon.owner.claims;
            let partition = other.daemon.ledger.partition_of("s1");
            let epoch = claims.claim(partition).map(|claim| claim.epoch);
            claims.take_over(partition, epoch).await.expect("claimed");
        });
        send_through_all(&gateways, 300, Duration::from_millis(10)).await;
        let max = max_in_a_second(&server);
        assert!(max as f64 <= RATE_PER_S, "{max} in a second");
        let after = arrived_after(&server, 1_800);
        assert!(after > 5, "{after} after the change");
    });
}

#[test]
fn cold_server_gets_no_requests_during_a_log_outage() {
    run(async {
        let server = Server::start("s1", ok()).await;
        let world = world_with_cold(RATE_PER_S, COLD_MS).await;
        world.list_cold(&server, COLD_MS).await;
        let gateways = gateways(&world, 2, 1).await;
        for gateway in &gateways {
            gateway.store.set_fault(LogFault::Silent);
        }
        sleep(Duration::from_millis(500)).await;
        let outcomes = send_through_all(&gateways, 20, Duration::from_millis(20)).await;
        assert_eq!(count(&outcomes, 503), 40);
        assert_eq!(server.count(), 0);
        assert_refused_at_once(&outcomes);
    });
}

/// A denied permit must not use up one of the attempts of a request.
#[test]
fn warm_servers_are_preferred_and_a_denied_permit_is_not_an_attempt() {
    run(async {
        let cold = Server::start("cold", ok()).await;
        let full = Server::start("full", Act::NotRun).await;
        let world = world_with_cold(2.0, COLD_MS).await;
        world.list_cold(&cold, COLD_MS).await;
        world.list(&full).await;
        let gateways = gateways(&world, 2, 2).await;
        full.set(ok());
        let outcomes = send_through_all(&gateways, 40, Duration::from_millis(10)).await;
        assert_eq!(count(&outcomes, 200), 80);
        assert_eq!(cold.count(), 0);
        assert_eq!(full.count(), 80);
        // With the warm server full, the cold one gets requests up to its limit. A request that is
        // denied there waits for the warm server.
        full.set(Act::NotRun);
        let warm_act = full.shared_act();
        ntex::rt::spawn(async move {
            sleep(Duration::from_millis(150)).await;
            warm_act.replace(ok());
        });
        let outcomes = send_through_all(&gateways[..1], 10, Duration::from_millis(5)).await;
        assert_eq!(count(&outcomes, 200), 10);
        assert!((1..=4).contains(&cold.count()), "{}", cold.count());
    });
}

#[test]
fn servers_of_a_reopened_zone_are_cold() {
    run(async {
        let server = Server::start("s1", ok()).await;
        let world = world_with_cold(RATE_PER_S, 1_500).await;
        world.list_in(&server, "z2").await;
        let gateways = gateways(&world, 2, 1).await;
        // Servers that exist when a gateway starts are warm unless they report to be cold.
        sleep(Duration::from_millis(700)).await;
        world.put(CONFIG, "closed/z2", "1").await;
        sleep(Duration::from_millis(300)).await;
        let closed = send_through_all(&gateways, 1, Duration::ZERO).await;
        assert_eq!(count(&closed, 503), 2);
        world.put(CONFIG, "closed/z2", "").await;
        sleep(Duration::from_millis(300)).await;
        let outcomes = send_through_all(&gateways, 50, Duration::from_millis(10)).await;
        let served = count(&outcomes, 200);
        assert!((5..=20).contains(&served), "{served} served");
        sleep(Duration::from_millis(1_500)).await;
        let outcomes = send_through_all(&gateways, 50, Duration::from_millis(10)).await;
        assert_eq!(count(&outcomes, 200), 100);
    });
}

#[test]
fn server_is_cold_after_it_was_unreachable() {
    run(async {
        let server = Server::start("s1", ok()).await;
        let world = world_with_cold(2.0, COLD_MS).await;
        world.list(&server).await;
        let gateways = gateways(&world, 1, 1).await;
        let directory = gateways[0].daemon.directory.clone();
        let entry = directory.borrow().entry("s1").cloned().expect("listed");
        let cold = &gateways[0].daemon.cold;
        assert_eq!(cold.cold_limits(&entry), None);
        cold.record_unreachable(&entry);
        assert!(cold.cold_limits(&entry).is_some());
        let outcomes = send_through_all(&gateways, 40, Duration::from_millis(30)).await;
        let served = count(&outcomes, 200);
        let permits = permit_metrics(&gateways[0]);
        assert!((1..=3).contains(&served), "{served} served, {permits}");
        assert_refused_at_once(&outcomes);
    });
}

/// Returns a gateway's metrics of permit requests.
fn permit_metrics(gateway: &Gateway) -> String {
    let text = gateway.daemon.metrics.text();
    let lines = text.lines().filter(|line| line.contains("cold_permits"));
    lines.collect::<Vec<_>>().join("; ")
}
