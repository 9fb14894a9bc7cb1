//! Request limits of tenants: all gateways together stay within them, also when the owner of a
//! tenant's partition changes.

use crate::support::{Act, Gateway, Reply, Server, World, config_with_tenants, run, tenant};
use fieldhook_traffic::tenants::{Limit, Tenant};
use std::time::Duration;
use tokio::time::sleep;

const BURST: u32 = 6;

/// A tenant whose limit allows hardly anything beyond its burst.
fn tenant_with_burst_only() -> Tenant {
    Tenant {
        limit: Some(Limit {
            rate_per_s: 0.2,
            burst: f64::from(BURST),
        }),
        ..tenant("red", "k1")
    }
}

async fn world_of(tenants: Vec<Tenant>) -> World {
    let world = World::new().await;
    world.configs.borrow_mut()[0] = config_with_tenants(1, tenants);
    world
}

async fn two_gateways(world: &World, server: &Server) -> [Gateway; 2] {
    let a = world.ready(&[server]).await;
    let b = world.gateway("g2").await;
    b.wait_ready(1).await;
    // Wait until every partition has an owner.
    sleep(Duration::from_millis(900)).await;
    [a, b]
}

async fn ask(gateway: &Gateway, number: usize) -> Reply {
    let fields = format!("Request: r{number}\r\nKey: k1\r\n");
    gateway.ask("POST", "/unsafe/1", &fields, "").await
}

async fn statuses(gateways: &[&Gateway], count: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..count {
        let gateway = gateways[number % gateways.len()];
        statuses.push(ask(gateway, number).await.head.status);
    }
    statuses
}

fn count_status(statuses: &[u16], status: u16) -> usize {
    statuses.iter().filter(|found| **found == status).count()
}

/// Guards against gateways that each grant the whole limit, and against a refusal without the time
/// of the next free slot.
#[test]
fn limit_is_shared_by_all_gateways() {
    run(async {
        let server = Server::start("s1", Act::Answer(200, "yes".to_owned())).await;
        let world = world_of(vec![tenant_with_burst_only(), tenant("blue", "k2")]).await;
        let [a, b] = two_gateways(&world, &server).await;
        let statuses = statuses(&[&a, &b], 10).await;
        assert_eq!(count_status(&statuses, 200), BURST as usize);
        assert_eq!(count_status(&statuses, 429), 10 - BURST as usize);
        assert_eq!(server.count(), BURST as usize);
        let mut usage_lines = Vec::new();
        for gateway in [&a, &b] {
            gateway.daemon.owner.record_tenant_usage();
            let metrics = gateway.daemon.metrics.text();
            let lines = metrics
                .lines()
                .filter(|line| line.contains("tenant_limit_used{"));
            usage_lines.extend(lines.map(str::to_owned));
        }
        assert_eq!(usage_lines.len(), 1, "{usage_lines:?}");
        assert!(usage_lines[0].contains("red"), "{usage_lines:?}");
        let refused = ask(&b, 11).await;
        let retry_ms = refused.head.headers.text("come-back-ms");
        let retry_ms: u64 = retry_ms.expect("a time").parse().expect("a number");
        // The next slot is free after five seconds.
        assert!((3_000..=5_000).contains(&retry_ms), "{retry_ms}");
        // Other tenants are not affected.
        let fields = "Request: other\r\nKey: k2\r\n";
        assert_eq!(
            a.ask("POST", "/unsafe/1", fields, "").await.head.status,
            200
        );
    });
}

/// Guards against a new owner that starts to count at zero, which would grant the burst again.
#[test]
fn new_owner_grants_no_second_burst() {
    run(async {
        let server = Server::start("s1", Act::Answer(200, "yes".to_owned())).await;
        let world = world_of(vec![tenant_with_burst_only()]).await;
        let [a, b] = two_gateways(&world, &server).await;
        assert_eq!(statuses(&[&a, &b], 6).await, [200; 6]);
        let partition = a.daemon.ledger.partition_of("red");
        let claim = a.daemon.owner.claims.claim(partition).expect("an owner");
        let (owner, other) = match a.daemon.owner.claims.is_mine(&claim) {
            true => (a, b),
            false => (b, a),
        };
        fieldhook_gateway::drain::run(owner.daemon.clone()).await;
        let statuses = statuses(&[&other], 4).await;
        assert_eq!(count_status(&statuses, 200), 0, "{statuses:?}");
    });
}

/// Guards against an owner that continues to grant by the limit of an older configuration.
#[test]
fn lowered_limit_applies_from_the_next_request() {
    run(async {
        let server = Server::start("s1", Act::Answer(200, "yes".to_owned())).await;
        let world = world_of(vec![tenant_with_burst_only()]).await;
        let mut lower = tenant_with_burst_only();
        lower.limit = Some(Limit {
            rate_per_s: 0.2,
            burst: 2.0,
        });
        world
            .configs
            .borrow_mut()
            .push(config_with_tenants(2, vec![lower]));
        let [a, b] = two_gateways(&world, &server).await;
        assert_eq!(ask(&a, 0).await.head.status, 200);
        world.publish(1).await;
        sleep(Duration::from_millis(300)).await;
        let statuses = statuses(&[&a, &b], 5).await;
        assert_eq!(count_status(&statuses, 200), 2, "{statuses:?}");
    });
}

/// Guards against a tenant limit that stops programs halfway, which wastes what they already used.
#[test]
fn program_is_refused_at_its_first_turn_or_not_at_all() {
    run(async {
        let server = Server::start("s1", Act::Events(vec!["one".to_owned()], None)).await;
        // Enough for one program, by the initial estimate of what a program needs.
        let mut red = tenant_with_burst_only();
        red.limit = Some(Limit {
            rate_per_s: 2.0,
            burst: 12.0,
        });
        let world = world_of(vec![red]).await;
        let [a, b] = two_gateways(&world, &server).await;
        let turn = |program: &str, number: usize, previous: Option<usize>| {
            let previous = previous.map(|previous| format!("Previous: {program}{previous}\r\n"));
            format!(
                "Request: {program}{number}\r\nProgram: {program}\r\nBudget: 900\r\nMost: 20\r\nKey: k1\r\n{}",
                previous.unwrap_or_default()
            )
        };
        let first = a.ask("POST", "/chat/1", &turn("p", 0, None), "A;").await;
        assert_eq!(first.head.status, 200);
        let refused = b.ask("POST", "/chat/1", &turn("q", 0, None), "A;").await;
        assert_eq!(refused.head.status, 429);
        assert!(refused.head.headers.has("come-back-ms"));
        for number in 1..8 {
            let fields = turn("p", number, Some(number - 1));
            let reply = [&a, &b][number % 2]
                .ask("POST", "/chat/1", &fields, "B;")
                .await;
            assert_eq!(reply.head.status, 200, "turn {number}");
        }
        assert_eq!(server.count(), 8);
    });
}

/// A tenant with three slots at once, then one every 700 ms; a request has 2,000 ms. The owner
/// grants 0.75 of the rate evenly, so a slot takes 525 ms / 0.75 = 700 ms. The remaining quarter of
/// the window of 5 s, 1.25 s of the rate, is granted at once together with the burst, which makes
/// three slots ([`fieldhook_traffic::sliding_window`]).
fn tenant_with_slow_refill() -> Tenant {
    let rate_per_s = 1.0 / 0.525;
    Tenant {
        limit: Some(Limit {
            rate_per_s,
            burst: 3.0 - rate_per_s * 1.25,
        }),
        ..tenant("red", "k1")
    }
}

/// A request of a running program waits for a slot that becomes free before its deadline, because a
/// refusal would end the program.
#[test]
fn request_waits_for_a_slot_before_its_deadline() {
    run(async {
        let server = Server::start("s1", Act::Answer(200, "yes".to_owned())).await;
        let world = world_of(vec![tenant_with_slow_refill()]).await;
        let gateway = world.ready(&[&server]).await;
        sleep(Duration::from_millis(900)).await;
        for number in 0..4 {
            assert_eq!(
                ask(&gateway, number).await.head.status,
                200,
                "call {number}"
            );
        }
        assert_eq!(server.count(), 4);
        let waits = gateway.daemon.metrics.quota.with_label_values(&["waits"]);
        assert!(waits.get() > 0);
    });
}

/// No slot is reserved for requests whose deadline passes before it is free; the next request that
/// can wait gets it.
#[test]
fn requests_that_cannot_wait_reserve_no_slot() {
    run(async {
        let server = Server::start("s1", Act::Answer(200, "yes".to_owned())).await;
        let world = world_of(vec![tenant_with_slow_refill()]).await;
        let gateway = world.ready(&[&server]).await;
        sleep(Duration::from_millis(900)).await;
        assert_eq!(statuses(&[&gateway], 3).await, [200; 3]);
        for number in 3..8 {
            let fields = format!("Request: r{number}\r\nKey: k1\r\nDeadline: 300\r\n");
            let reply = gateway.ask("POST", "/unsafe/1", &fields, "").await;
            assert_eq!(reply.head.status, 429, "call {number}");
        }
        assert_eq!(ask(&gateway, 8).await.head.status, 200);
        assert_eq!(server.count(), 4);
    });
}

/// Clients that disconnect during the first turns of their programs must not lower the estimate of
/// what programs of the route need, which would admit more programs than before. Their programs
/// must not stay charged either; a program is charged for all its expected requests when it starts
/// ([`fieldhook_traffic::quota`]).
#[test]
fn abandoned_programs_are_neither_charged_nor_counted_as_short() {
    run(async {
        let server = Server::start("s1", Act::Silent).await;
        // Enough for five programs by the initial estimate, and for one more every six seconds.
        let mut red = tenant_with_burst_only();
        red.limit = Some(Limit {
            rate_per_s: 2.0,
            burst: 50.0,
        });
        let world = world_of(vec![red]).await;
        let [a, b] = two_gateways(&world, &server).await;
        let fields = |name: &str| format!("Request: {name}\r\nProgram: {name}\r\nKey: k1\r\n");
        for (gateway, name) in [(&a, "l1"), (&b, "l2"), (&a, "l3")] {
            let mut client = gateway.client().await;
            client.send("POST", "/chat/1", &fields(name), "x").await;
            sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(server.count(), 3);
        // Wait until the owner counts the programs as ended, which it does when they have sent
        // nothing for 4,000 ms (`PROGRAM_TIMEOUT_MS`).
        sleep(Duration::from_millis(4_600)).await;
        let left = |gateway: &Gateway| {
            let metrics = &gateway.daemon.metrics;
            metrics.quota.with_label_values(&["left"]).get()
        };
        assert_eq!((left(&a), left(&b)), (2, 1));
        server.set(Act::Events(vec!["one".to_owned()], None));
        let mut statuses = Vec::new();
        for (gateway, number) in [&a, &b].into_iter().cycle().zip(0..6) {
            let fields = fields(&format!("p{number}"));
            let reply = gateway.ask("POST", "/chat/1", &fields, "x").await;
            statuses.push(reply.head.status);
        }
        assert_eq!(statuses, [200, 200, 200, 200, 200, 429]);
    });
}
