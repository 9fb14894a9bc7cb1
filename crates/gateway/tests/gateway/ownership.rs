//! Several gateways on one log: owners that are lost, cut off or late.

use crate::support::{Act, Gateway, Server, World, run};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_gateway::ledger::owner::LEDGER_TOPIC;
use fieldhook_ledger::message::{LedgerReply, LedgerRequest, QuotaEvent, QuotaRequest};
use fieldhook_log::api::Partition;
use fieldhook_log::reach::Reach;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

fn events() -> Act {
    Act::Events(vec!["one".to_owned()], None)
}

async fn turn(gateway: &Gateway, turn: &str, previous: Option<&str>) -> (u16, bool) {
    let previous = previous.map_or(String::new(), |turn| format!("Previous: {turn}\r\n"));
    let fields = format!("Request: {turn}\r\nProgram: p\r\n{previous}");
    let reply = gateway
        .ask("POST", "/chat/1", &fields, &format!("{turn};"))
        .await;
    (reply.head.status, reply.whole)
}

/// The gateway that owns the partition of program `p`, and the other one.
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
    sleep(Duration::from_millis(900)).await;
    assert_eq!(turn(&a, "t1", None).await, (200, true));
    owner_first(a, b)
}

#[test]
fn any_gateway_knows_the_turns_of_all() {
    run(async {
        let server = Server::start("s1", events()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        assert_eq!(turn(&other, "t2", Some("t1")).await, (200, true));
        assert_eq!(turn(&owner, "t3", Some("t2")).await, (200, true));
        assert_eq!(turn(&other, "t4", Some("never")).await, (404, true));
        let seen = server.seen.borrow();
        assert_eq!(seen[2].body, b"t1;one\nt2;one\nt3;");
    });
}

#[test]
fn an_owner_without_the_log_is_replaced_and_its_late_word_is_not_taken() {
    run(async {
        let server = Server::start("s1", events()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        owner.store.set_fault(LogFault::Silent);
        // The other one has the log: it waits for the owner, then takes over.
        let begun = Instant::now();
        assert_eq!(turn(&other, "t2", Some("t1")).await, (200, true));
        assert!(begun.elapsed() < Duration::from_secs(2));
        owner.store.set_fault(LogFault::None);
        sleep(Duration::from_millis(300)).await;
        assert_eq!(turn(&owner, "t3", Some("t2")).await, (200, true));
        assert_eq!(turn(&other, "t4", Some("t3")).await, (200, true));
    });
}

#[test]
fn an_owner_that_stops_hands_over() {
    run(async {
        let server = Server::start("s1", events()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        fieldhook_gateway::drain::run(owner.daemon.clone()).await;
        let begun = Instant::now();
        assert_eq!(turn(&other, "t2", Some("t1")).await, (200, true));
        assert!(begun.elapsed() < Duration::from_millis(500));
    });
}

#[test]
fn a_former_owner_that_wakes_refuses_nothing_by_old_beliefs() {
    run(async {
        let server = Server::start("s1", events()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        // Cut off the log, the owner does not hear that it was replaced.
        owner.store.set_fault(LogFault::Silent);
        assert_eq!(turn(&other, "t2", Some("t1")).await, (200, true));
        // A turn that only the new owner has heard of.
        assert_eq!(turn(&other, "t3", Some("t2")).await, (200, true));
        // The former one still believes in its partition: it must not say 404.
        let fields = "Request: t4\r\nProgram: p\r\nPrevious: t3\r\nDeadline: 600\r\n";
        let reply = owner.ask("POST", "/chat/1", fields, "x").await;
        assert_ne!(reply.head.status, 404);
        assert_ne!(reply.head.status, 402);
    });
}

#[test]
fn a_gateway_without_the_log_learns_of_new_owners_from_others() {
    run(async {
        let server = Server::start("s1", events()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        let cut = world.gateway("g3").await;
        cut.wait_ready(1).await;
        sleep(Duration::from_millis(100)).await;
        cut.store.set_fault(LogFault::Silent);
        cut.daemon.log_health.record_failure();
        // The partition moves twice, once with its old owner still there to say so.
        fieldhook_gateway::drain::run(owner.daemon.clone()).await;
        assert_eq!(turn(&other, "t2", Some("t1")).await, (200, true));
        let begun = Instant::now();
        assert_eq!(turn(&cut, "t3", Some("t2")).await, (200, true));
        assert!(
            begun.elapsed() < Duration::from_millis(800),
            "{:?}",
            begun.elapsed()
        );
    });
}

async fn wait_for_reach(gateway: &Gateway, reach: Reach) {
    let begun = Instant::now();
    while gateway.daemon.ledger.reach.get() != reach {
        assert!(begun.elapsed() < Duration::from_secs(4), "never {reach:?}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// A gateway whose calls to the log are not answered, and that has noticed.
async fn cut_off(gateway: &Gateway) {
    gateway.store.set_fault(LogFault::Silent);
    gateway.daemon.log_health.record_failure();
    sleep(Duration::from_millis(850)).await;
    gateway.daemon.log_health.record_failure();
}

#[test]
fn an_owner_that_is_cut_off_has_its_partition_claimed_by_one_that_is_not() {
    run(async {
        let server = Server::start("s1", events()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        // The log in memory leaves no trace in a gateway's contact.
        let log_health = other.daemon.log_health.clone();
        ntex::rt::spawn(async move {
            loop {
                log_health.record_answer();
                sleep(Duration::from_millis(100)).await;
            }
        });
        cut_off(&owner).await;
        wait_for_reach(&owner, Reach::CutOff).await;
        assert!(!owner.daemon.is_ready(), "clients should go elsewhere");
        // Nobody asks the other gateway: the one that is cut off does.
        let begun = Instant::now();
        assert_eq!(turn(&owner, "t2", Some("t1")).await, (200, true));
        assert!(begun.elapsed() < Duration::from_millis(600));
    });
}

/// What an owner says to a request of tenant `p`, whose limit is counted where program `p` is.
async fn quota_reply(owner: &Gateway) -> LedgerReply {
    let question = QuotaRequest {
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
    owner.handle(LedgerRequest::Quota(question), sender);
    replies.recv().await.expect("an answer")
}

/// Story: a third of the machines lose the log while the others have it. The owner of a tenant's
/// limit is one of them; another claims its partition, and it does not hear of that. Those that
/// still believe in it are let through by its count, beside the successor's, and a window holds
/// more than the limit.
#[test]
fn an_owner_that_is_cut_off_counts_for_no_tenant() {
    run(async {
        let server = Server::start("s1", events()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        assert!(matches!(quota_reply(&owner).await, LedgerReply::Quota(_)));
        let log_health = other.daemon.log_health.clone();
        ntex::rt::spawn(async move {
            loop {
                log_health.record_answer();
                sleep(Duration::from_millis(100)).await;
            }
        });
        cut_off(&owner).await;
        wait_for_reach(&owner, Reach::CutOff).await;
        assert_eq!(quota_reply(&owner).await, LedgerReply::NotOwner(None));
    });
}

#[test]
fn a_gateway_that_reaches_nobody_says_so_at_once() {
    run(async {
        let server = Server::start("s1", events()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        let partition = fieldhook_ledger::partition_of("p", 2);
        let claim = other.daemon.owner.claims.claim(partition);
        assert!(claim.is_some_and(|claim| owner.daemon.owner.claims.is_mine(&claim)));
        cut_off(&other).await;
        wait_for_reach(&other, Reach::Outage).await;
        // The peers of the test answer, but this one is told otherwise.
        other.daemon.ledger.reach.set(Reach::Isolated);
        let begun = Instant::now();
        let fields = "Request: t2\r\nProgram: p\r\n";
        let reply = other.ask("POST", "/chat/1", fields, "x").await;
        assert_eq!(reply.head.status, 503);
        assert!(reply.head.headers.has("come-back-ms"));
        assert!(begun.elapsed() < Duration::from_millis(100));
        assert!(!other.daemon.is_ready());
    });
}

/// A narrow link takes its time for a page: the partition is read all the same, and once.
#[test]
fn a_partition_whose_pages_take_long_is_read_all_the_same() {
    run(async {
        let server = Server::start("s1", events()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        let ledger = Partition {
            topic: LEDGER_TOPIC.to_owned(),
            number: fieldhook_ledger::partition_of("p", 2),
        };
        let slow = LogFault::Slow(Duration::from_millis(700));
        other.store.set_fault_of(ledger, slow);
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

/// A part of the log may be down for all: another owner could do no more there, and what
/// the present one has not appended yet would be lost with it.
#[test]
fn an_owner_whose_partition_is_down_for_all_stays_the_owner() {
    run(async {
        let server = Server::start("s1", events()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        let number = fieldhook_ledger::partition_of("p", 2);
        for gateway in [&owner, &other] {
            let ledger = Partition {
                topic: LEDGER_TOPIC.to_owned(),
                number,
            };
            gateway.store.set_fault_of(ledger, LogFault::Silent);
        }
        let fields = "Request: t2\r\nProgram: p\r\nBudget: 900\r\nMost: 40\r\n";
        assert!(other.ask("POST", "/resume/1", fields, "A").await.whole);
        sleep(Duration::from_millis(2_500)).await;
        let claim = other.daemon.owner.claims.claim(number).expect("an owner");
        assert!(owner.daemon.owner.claims.is_mine(&claim));
    });
}

/// A planned stop leaves nothing in doubt: its successor's programs begin without the log.
#[test]
fn programs_begin_without_the_log_after_an_owner_stopped_in_order() {
    run(async {
        let server = Server::start("s1", events()).await;
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
            let begun = Instant::now();
            let fields =
                format!("Request: {program}t\r\nProgram: {program}\r\nBudget: 90\r\nMost: 40\r\n");
            let reply = other.ask("POST", "/resume/1", &fields, "A").await;
            assert!(reply.whole, "{program}");
            assert!(begun.elapsed() < Duration::from_millis(300));
        }
    });
}

/// A name whose partition is that of program `p`.
fn beside_p(number: u32) -> String {
    let names = (0..).map(|salt| format!("new{number}-{salt}"));
    let partition_of = |name: &str| fieldhook_ledger::partition_of(name, 2);
    names
        .into_iter()
        .find(|name| partition_of(name) == partition_of("p"))
        .expect("one of many names")
}

/// Whoever took over does not know what its predecessor began, but what that may have handed
/// out is bounded: new programs need not wait for the log.
#[test]
fn programs_begin_while_the_log_is_away_soon_after_their_owner_was_lost() {
    run(async {
        let server = Server::start("s1", events()).await;
        let world = World::new().await;
        let (owner, other) = two_gateways(&world, &server).await;
        owner.store.set_fault(LogFault::Silent);
        assert_eq!(turn(&other, "t2", Some("t1")).await, (200, true));
        sleep(Duration::from_millis(100)).await;
        other.store.set_fault(LogFault::Silent);
        for number in 0..3 {
            let begun = Instant::now();
            let program = beside_p(number);
            let fields =
                format!("Request: {program}t\r\nProgram: {program}\r\nBudget: 180\r\nMost: 40\r\n");
            let reply = other.ask("POST", "/resume/1", &fields, "A").await;
            assert!(reply.whole && reply.head.status == 200, "{program}");
            assert!(begun.elapsed() < Duration::from_millis(300), "{program}");
        }
    });
}

/// The mark holds a part of a turn's most: what it holds goes out, the rest waits for the log.
#[test]
fn a_turn_hands_out_what_its_budget_is_sure_of_while_the_log_is_away() {
    run(async {
        let short = Server::start("s1", events()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&short]).await;
        let first = "Request: f\r\nProgram: f\r\nBudget: 180\r\nMost: 40\r\n";
        assert!(gateway.ask("POST", "/resume/1", first, "A").await.whole);
        sleep(Duration::from_millis(600)).await;
        gateway.store.set_fault(LogFault::Silent);
        let fields = "Request: g\r\nProgram: g\r\nBudget: 180\r\nMost: 170\r\n";
        let begun = Instant::now();
        assert!(gateway.ask("POST", "/resume/1", fields, "A").await.whole);
        assert!(begun.elapsed() < Duration::from_millis(300));
    });
}
