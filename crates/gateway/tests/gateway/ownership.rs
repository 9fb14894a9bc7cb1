//! Partition ownership with several gateways on one log: owners that are lost, cut off or slow.

use crate::support::{Act, Gateway, Server, World, run};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_gateway::ledger::owner::LEDGER_TOPIC;
use fieldhook_ledger::message::{LedgerReply, LedgerRequest, QuotaEvent, QuotaRequest};
use fieldhook_log::api::Partition;
use fieldhook_log::reach::Reach;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

fn single_event() -> Act {
    Act::Events(vec!["one".to_owned()], None)
}

async fn turn(gateway: &Gateway, turn: &str, previous: Option<&str>) -> (u16, bool) {
    let previous = previous.map_or(String::new(), |turn| format!("Previous: {turn}\r\n"));
    let fields = format!("Request: {turn}\r\nProgram: p\r\n{previous}");
    let reply = gateway
        .ask("POST", "/chat/1", &fields, &format!("{turn};"))
        .await;
    (reply.head.status, reply.complete)
}

/// Orders two gateways: first the owner of the partition of program `p`, then the other one.
fn owner_first(a: Gateway, b: Gateway) -> (Gateway, Gateway) {
    let partition = fieldhook_ledger::partition_of("p", 2);
    let claim = a.daemon.owner.claims.claim(partition).expect("an owner");
    if a.daemon.owner.claims.is_mine(&claim) {
        (a, b)
    } else {
        (b, a)
    }
}

async fn two_gateways(world: &World, server: &Server) -> (Gateway, Gateway) {
    let a = world.ready(&[server]).await;
    let b = world.gateway("g2").await;
    b.wait_ready(1).await;
    // Wait until every partition has an owner.
    sleep(Duration::from_millis(900)).await;
    assert_eq!(turn(&a, "t1", None).await, (200, true));
    owner_first(a, b)
}

/// Guards against a chain that only the gateway which served it can continue, and against a gateway
/// that accepts a previous turn which was never stored.
#[test]
fn turns_continue_at_any_gateway() {
    run(async {
        let server = Server::start("s1", single_event()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        assert_eq!(turn(&other, "t2", Some("t1")).await, (200, true));
        assert_eq!(turn(&owner, "t3", Some("t2")).await, (200, true));
        assert_eq!(turn(&other, "t4", Some("never")).await, (404, true));
        let seen = server.seen.borrow();
        assert_eq!(seen[2].body, b"t1;one\nt2;one\nt3;");
    });
}

/// Guards against an owner that blocks its programs while it cannot reach the log, and that
/// continues to act as the owner after it was replaced.
#[test]
fn owner_without_the_log_is_replaced_and_then_fenced() {
    run(async {
        let server = Server::start("s1", single_event()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        owner.store.set_fault(LogFault::Silent);
        // The other gateway reaches the log: it waits for the owner, then takes over.
        let started = Instant::now();
        assert_eq!(turn(&other, "t2", Some("t1")).await, (200, true));
        assert!(started.elapsed() < Duration::from_secs(2));
        owner.store.set_fault(LogFault::None);
        sleep(Duration::from_millis(300)).await;
        assert_eq!(turn(&owner, "t3", Some("t2")).await, (200, true));
        assert_eq!(turn(&other, "t4", Some("t3")).await, (200, true));
    });
}

/// Guards against a planned stop after which clients wait until the owner counts as lost.
#[test]
fn owner_hands_over_on_a_planned_stop() {
    run(async {
        let server = Server::start("s1", single_event()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        fieldhook_gateway::drain::run(owner.daemon.clone()).await;
        let started = Instant::now();
        assert_eq!(turn(&other, "t2", Some("t1")).await, (200, true));
        assert!(started.elapsed() < Duration::from_millis(500));
    });
}

/// Guards against a replaced owner that refuses turns because it does not know the newest records:
/// a 404 or 402 would end a program that the new owner can continue.
#[test]
fn previous_owner_refuses_no_turn_from_outdated_state() {
    run(async {
        let server = Server::start("s1", single_event()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        // Cut off from the log, the owner does not learn that it was replaced.
        owner.store.set_fault(LogFault::Silent);
        assert_eq!(turn(&other, "t2", Some("t1")).await, (200, true));
        // Only the new owner knows this turn.
        assert_eq!(turn(&other, "t3", Some("t2")).await, (200, true));
        // The previous owner still holds the partition, but must not respond 404 from its outdated
        // state.
        let fields = "Request: t4\r\nProgram: p\r\nPrevious: t3\r\nDeadline: 600\r\n";
        let reply = owner.ask("POST", "/chat/1", fields, "x").await;
        assert_ne!(reply.head.status, 404);
        assert_ne!(reply.head.status, 402);
    });
}

/// Guards against a gateway that keeps asking a stopped owner, because it learns of claims only
/// from the log and cannot reach it.
#[test]
fn gateway_without_the_log_learns_new_owners_from_peers() {
    run(async {
        let server = Server::start("s1", single_event()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        let cut = world.gateway("g3").await;
        cut.wait_ready(1).await;
        sleep(Duration::from_millis(100)).await;
        cut.store.set_fault(LogFault::Silent);
        cut.daemon.log_health.record_failure();
        // The claim changes twice: the owner releases the partition in a planned stop, and the
        // other gateway claims it.
        fieldhook_gateway::drain::run(owner.daemon.clone()).await;
        assert_eq!(turn(&other, "t2", Some("t1")).await, (200, true));
        let started = Instant::now();
        assert_eq!(turn(&cut, "t3", Some("t2")).await, (200, true));
        assert!(
            started.elapsed() < Duration::from_millis(800),
            "{:?}",
            started.elapsed()
        );
    });
}

async fn wait_for_reach(gateway: &Gateway, reach: Reach) {
    let started = Instant::now();
    while gateway.daemon.ledger.reach.get() != reach {
        assert!(
            started.elapsed() < Duration::from_secs(4),
            "never {reach:?}"
        );
        sleep(Duration::from_millis(10)).await;
    }
}

/// Cuts a gateway off from the log and lets it notice: the log counts as lost when a call fails
/// more than 800 ms after the first failed one (`LOST_AFTER`).
async fn cut_off_from_log(gateway: &Gateway) {
    gateway.store.set_fault(LogFault::Silent);
    gateway.daemon.log_health.record_failure();
    sleep(Duration::from_millis(850)).await;
    gateway.daemon.log_health.record_failure();
}

/// Guards against programs that wait for an owner without the log although a peer could take over.
#[test]
fn cut_off_owner_has_its_partition_claimed_by_a_peer() {
    run(async {
        let server = Server::start("s1", single_event()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        // The in-memory log does not update `log_health`.
        let log_health = other.daemon.log_health.clone();
        ntex::rt::spawn(async move {
            loop {
                log_health.record_answer();
                sleep(Duration::from_millis(100)).await;
            }
        });
        cut_off_from_log(&owner).await;
        wait_for_reach(&owner, Reach::CutOff).await;
        assert!(!owner.daemon.is_ready(), "a cut-off gateway is ready");
        // No client uses the other gateway: the cut-off one requests the claim.
        let started = Instant::now();
        assert_eq!(turn(&owner, "t2", Some("t1")).await, (200, true));
        assert!(started.elapsed() < Duration::from_millis(600));
    });
}

/// Returns an owner's reply to a quota request of tenant `p`, which is counted in the same
/// partition as program `p`.
async fn quota_reply(owner: &Gateway) -> LedgerReply {
    let request = QuotaRequest {
        event: QuotaEvent::Request,
        tenant: "p".to_owned(),
        rate_per_s: 1.0,
        burst: 10.0,
        version: 1,
        program: None,
        route: "r".to_owned(),
        starts_program: false,
        max_wait_ms: 0,
    };
    let (sender, mut replies) = mpsc::unbounded_channel();
    let owner = &owner.daemon.owner;
    owner.handle(LedgerRequest::Quota(request), sender);
    replies.recv().await.expect("an answer")
}

/// Guards against a tenant exceeding its limit while a third of the machines are cut off from the
/// log. If the owner of the limit is among them, another gateway claims the partition without the
/// owner's knowledge. Gateways that still send requests to the previous owner must get no grants
/// from it in addition to those of the new owner.
#[test]
fn cut_off_owner_grants_no_tenant_requests() {
    run(async {
        let server = Server::start("s1", single_event()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        assert!(matches!(quota_reply(&owner).await, LedgerReply::Quota(_)));
        // The in-memory log does not update `log_health`.
        let log_health = other.daemon.log_health.clone();
        ntex::rt::spawn(async move {
            loop {
                log_health.record_answer();
                sleep(Duration::from_millis(100)).await;
            }
        });
        cut_off_from_log(&owner).await;
        wait_for_reach(&owner, Reach::CutOff).await;
        assert_eq!(quota_reply(&owner).await, LedgerReply::NotOwner(None));
    });
}

/// Guards against clients that wait until their deadline at a gateway that can reach neither the
/// log nor a peer, instead of trying another gateway.
#[test]
fn isolated_gateway_refuses_turns_at_once() {
    run(async {
        let server = Server::start("s1", single_event()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        let partition = fieldhook_ledger::partition_of("p", 2);
        let claim = other.daemon.owner.claims.claim(partition);
        assert!(claim.is_some_and(|claim| owner.daemon.owner.claims.is_mine(&claim)));
        cut_off_from_log(&other).await;
        wait_for_reach(&other, Reach::Outage).await;
        // The peers in this test do reply, so the state is set directly.
        other.daemon.ledger.reach.set(Reach::Isolated);
        let started = Instant::now();
        let fields = "Request: t2\r\nProgram: p\r\n";
        let reply = other.ask("POST", "/chat/1", fields, "x").await;
        assert_eq!(reply.head.status, 503);
        assert!(reply.head.headers.has("come-back-ms"));
        assert!(started.elapsed() < Duration::from_millis(100));
        assert!(!other.daemon.is_ready());
    });
}

/// On a link with little bandwidth a page takes longer than the first timeout. The partition has to
/// be loaded nevertheless.
#[test]
fn partition_with_slow_pages_is_loaded() {
    run(async {
        let server = Server::start("s1", single_event()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        let ledger = Partition {
            topic: LEDGER_TOPIC.to_owned(),
            number: fieldhook_ledger::partition_of("p", 2),
        };
        let slow = LogFault::Slow(Duration::from_millis(700));
        other.store.set_partition_fault(ledger, slow);
        fieldhook_gateway::drain::run(owner.daemon.clone()).await;
        let fields = "Request: t2\r\nProgram: p\r\nPrevious: t1\r\n";
        let mut status = 0;
        for _ in 0..4 {
            status = other.ask("POST", "/chat/1", fields, "x").await.head.status;
            if status == 200 {
                break;
            }
        }
        assert_eq!(status, 200);
    });
}

/// A partition of the log may be down for all gateways. Another owner could not append either, and
/// what the current owner has not appended yet would be lost.
#[test]
fn owner_keeps_a_partition_that_is_down_for_all_gateways() {
    run(async {
        let server = Server::start("s1", single_event()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        let number = fieldhook_ledger::partition_of("p", 2);
        for gateway in [&owner, &other] {
            let ledger = Partition {
                topic: LEDGER_TOPIC.to_owned(),
                number,
            };
            gateway.store.set_partition_fault(ledger, LogFault::Silent);
        }
        let fields = "Request: t2\r\nProgram: p\r\nBudget: 900\r\nMost: 40\r\n";
        assert!(other.ask("POST", "/resume/1", fields, "A").await.complete);
        sleep(Duration::from_millis(2_500)).await;
        let claim = other.daemon.owner.claims.claim(number).expect("an owner");
        assert!(owner.daemon.owner.claims.is_mine(&claim));
    });
}

/// A planned stop leaves no program uncertain, so new programs can start at the next owner while
/// the log is down.
#[test]
fn programs_start_without_the_log_after_a_planned_stop_of_the_owner() {
    run(async {
        let server = Server::start("s1", single_event()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        fieldhook_gateway::drain::run(owner.daemon.clone()).await;
        assert_eq!(turn(&other, "t2", Some("t1")).await, (200, true));
        sleep(Duration::from_millis(600)).await;
        other.store.set_fault(LogFault::Silent);
        let number = fieldhook_ledger::partition_of("p", 2);
        let names = (0..20).map(|name| format!("new{name}"));
        let programs = names.filter(|name| fieldhook_ledger::partition_of(name, 2) == number);
        for program in programs.take(2) {
            let started = Instant::now();
            let fields =
                format!("Request: {program}t\r\nProgram: {program}\r\nBudget: 90\r\nMost: 40\r\n");
            let reply = other.ask("POST", "/resume/1", &fields, "A").await;
            assert!(reply.complete, "{program}");
            assert!(started.elapsed() < Duration::from_millis(300));
        }
    });
}

/// Returns a program name in the same partition as program `p`.
fn program_in_partition_of_p(number: u32) -> String {
    let names = (0..).map(|salt| format!("new{number}-{salt}"));
    let partition_of = |name: &str| fieldhook_ledger::partition_of(name, 2);
    names
        .into_iter()
        .find(|name| partition_of(name) == partition_of("p"))
        .expect("one of many names")
}

/// A new owner does not know which programs the lost previous owner started, but what those may
/// have used is bounded. New programs therefore need not wait for the log.
#[test]
fn programs_start_during_a_log_outage_soon_after_owner_loss() {
    run(async {
        let server = Server::start("s1", single_event()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        owner.store.set_fault(LogFault::Silent);
        assert_eq!(turn(&other, "t2", Some("t1")).await, (200, true));
        sleep(Duration::from_millis(100)).await;
        other.store.set_fault(LogFault::Silent);
        for number in 0..3 {
            let started = Instant::now();
            let program = program_in_partition_of_p(number);
            let fields =
                format!("Request: {program}t\r\nProgram: {program}\r\nBudget: 180\r\nMost: 40\r\n");
            let reply = other.ask("POST", "/resume/1", &fields, "A").await;
            assert!(reply.complete && reply.head.status == 200, "{program}");
            assert!(started.elapsed() < Duration::from_millis(300), "{program}");
        }
    });
}

/// The budget that was reserved ahead, in an earlier record, covers a part of the turn's token
/// maximum. Output within that part is
/// sent while the log is down; only the rest would wait for it.
#[test]
fn turn_sends_output_within_its_reserved_budget_during_a_log_outage() {
    run(async {
        let server = Server::start("s1", single_event()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let first = "Request: f\r\nProgram: f\r\nBudget: 180\r\nMost: 40\r\n";
        assert!(gateway.ask("POST", "/resume/1", first, "A").await.complete);
        sleep(Duration::from_millis(600)).await;
        gateway.store.set_fault(LogFault::Silent);
        let fields = "Request: g\r\nProgram: g\r\nBudget: 180\r\nMost: 170\r\n";
        let started = Instant::now();
        assert!(gateway.ask("POST", "/resume/1", fields, "A").await.complete);
        assert!(started.elapsed() < Duration::from_millis(300));
    });
}
