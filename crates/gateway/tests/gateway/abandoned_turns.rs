//! Turns whose clients leave while the gateway asks the owner of their program.
//!
//! Guards against leaked token reservations. A client may disconnect just when the owner opens its
//! turn and reserves its maximum tokens. If the gateway then drops its call to the owner together
//! with the request, the reply of the owner is lost and the end of the turn is never reported.
//! Every later attempt of the program is refused because its budget is spent. This was observed
//! after a loss of all power, and only for programs whose clients disconnected before their gateway
//! had logged `turn_opened`.

use crate::support::{Act, Gateway, Server, World, run};
use fieldhook_ledger::message::OpenTurn;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Covers one turn but not two at the same time.
const BUDGET: &str = "Budget: 60\r\nMost: 40\r\n";
/// Programs per test; with this many, each of the two gateways owns some of their partitions.
const PROGRAMS: usize = 8;
/// Maximum time from a client's disconnect until its gateway starts to report the end of the turn,
/// if it reports one.
const REPORT_STARTS_WITHIN: Duration = Duration::from_millis(5);
/// Maximum time until the owner knows the end of a turn.
const REPORTED_WITHIN: Duration = Duration::from_secs(2);

/// Starts two gateways that have both asked the owner of each partition before.
async fn two_gateways(world: &World, server: &Server) -> [Gateway; 2] {
    let a = world.ready(&[server]).await;
    let b = world.gateway("g2").await;
    b.wait_ready(1).await;
    // Wait until every partition has an owner.
    sleep(Duration::from_millis(900)).await;
    for gateway in [&a, &b] {
        for number in 0..PROGRAMS {
            let fields = format!(
                "Request: w{number}-{}\r\nProgram: p{number}\r\n",
                gateway.address
            );
            let reply = gateway.ask("POST", "/chat/1", &fields, "x").await;
            assert_eq!(reply.head.status, 200);
        }
    }
    [a, b]
}

/// Sends a request for a turn and disconnects at once.
async fn send_and_disconnect(gateway: &Gateway, fields: &str) {
    let mut client = gateway.client().await;
    client.send("POST", "/chat/1", fields, "x").await;
}

#[test]
fn client_leaving_while_its_turn_opens_frees_the_reservation() {
    run(async {
        let act = Act::Events(vec!["one".to_owned()], None);
        let server = Server::start("s1", act).await;
        let world = World::new().await;
        for gateway in two_gateways(&world, &server).await {
            for number in 0..PROGRAMS {
                let program = format!("Program: q{number}-{}\r\n{BUDGET}", gateway.address);
                let first = format!("Request: left{number}\r\n{program}");
                send_and_disconnect(&gateway, &first).await;
                sleep(Duration::from_millis(50)).await;
                let deadline = Instant::now() + REPORTED_WITHIN;
                let mut tries = 0;
                loop {
                    tries += 1;
                    let next = format!("Request: next{number}-{tries}\r\n{program}");
                    let reply = gateway.ask("POST", "/chat/1", &next, "x").await;
                    if reply.head.status == 200 {
                        break;
                    }
                    assert_eq!(reply.head.status, 402);
                    assert!(
                        Instant::now() < deadline,
                        "program {number} is still refused"
                    );
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
    });
}

/// Guards against a process that exits before it has reported the end of an abandoned turn, which
/// leaks the reservation.
#[test]
fn planned_stop_waits_until_ends_of_abandoned_turns_are_reported() {
    run(async {
        let act = Act::Events(vec!["one".to_owned()], None);
        let server = Server::start("s1", act).await;
        let world = World::new().await;
        world.partitions.set(1);
        let [a, b] = two_gateways(&world, &server).await;
        let a_is_owner = a.daemon.owner.held_count() > 0;
        let (owner, other) = if a_is_owner { (a, b) } else { (b, a) };
        let mut pending_reports = 0;
        for number in 0..PROGRAMS {
            let fields = format!("Request: left{number}\r\nProgram: q{number}\r\n{BUDGET}");
            send_and_disconnect(&other, &fields).await;
            // The stop begins while the end of the last turn is being reported.
            let started = Instant::now();
            while other.daemon.ledger.pending_closes.get() == 0
                && started.elapsed() < REPORT_STARTS_WITHIN
            {
                tokio::task::yield_now().await;
            }
            pending_reports = pending_reports.max(other.daemon.ledger.pending_closes.get());
        }
        assert!(pending_reports > 0, "no end was being reported");
        fieldhook_gateway::drain::run(other.daemon.clone()).await;
        assert_eq!(other.daemon.ledger.pending_closes.get(), 0);
        for number in 0..PROGRAMS {
            let fields = format!("Request: next{number}\r\nProgram: q{number}\r\n{BUDGET}");
            let reply = owner.ask("POST", "/chat/1", &fields, "x").await;
            assert_eq!(reply.head.status, 200, "program {number}");
        }
    });
}

/// Opens a turn at the owner on behalf of a gateway that never reports its end.
async fn open_without_ending(gateway: &Gateway, program: &str) -> OpenTurn {
    let mut request = OpenTurn {
        tenant: None,
        turn: format!("lost-{program}"),
        attempt: 1,
        program: program.to_owned(),
        session: Some("a".to_owned()),
        previous: None,
        wants_chain: true,
        retains_context: true,
        supplies_chain: false,
        budget: Some(60),
        max_tokens: 40,
        assignment: None,
        home_partition: None,
    };
    let ledger = &gateway.daemon.ledger;
    let deadline = Instant::now() + REPORTED_WITHIN;
    let opened = ledger.open(&mut request, &Cell::default(), deadline).await;
    assert!(opened.is_ok(), "the owner did not open the turn");
    request
}

/// Guards against a reservation leaked by a lost gateway: the next turn of the same session must
/// replace it instead of getting 402.
#[test]
fn next_turn_of_a_session_is_served_after_its_gateway_was_lost() {
    run(async {
        let act = Act::Events(vec!["one".to_owned()], None);
        let server = Server::start("s1", act).await;
        let world = World::new().await;
        let [a, b] = two_gateways(&world, &server).await;
        for number in 0..PROGRAMS {
            let program = format!("q{number}");
            open_without_ending(&a, &program).await;
            let before = server.count();
            let other = format!("Request: other{number}\r\nProgram: {program}\r\nSession: b\r\n");
            let reply = b.ask("POST", "/chat/1", &(other + BUDGET), "x").await;
            assert_eq!(reply.head.status, 402, "{program} in another session");
            assert_eq!(
                server.count(),
                before,
                "a refused request was sent to the server"
            );
            let next = format!("Request: next{number}\r\nProgram: {program}\r\nSession: a\r\n");
            let reply = b.ask("POST", "/chat/1", &(next + BUDGET), "x").await;
            assert_eq!(reply.head.status, 200, "{program}");
        }
    });
}

/// Guards against an end that arrives after the next turn has replaced the reservation, and changes
/// what is counted so that the budget no longer covers another turn.
#[test]
fn late_end_of_a_turn_does_not_block_the_next_turn_of_its_session() {
    run(async {
        let act = Act::Events(vec!["one".to_owned()], None);
        let server = Server::start("s1", act).await;
        let world = World::new().await;
        let [a, b] = two_gateways(&world, &server).await;
        for number in 0..PROGRAMS {
            let program = format!("q{number}");
            let abandoned = open_without_ending(&a, &program).await;
            let fields = format!("Program: {program}\r\nSession: a\r\n{BUDGET}");
            let next = format!("Request: next{number}\r\n{fields}");
            let reply = b.ask("POST", "/chat/1", &next, "x").await;
            assert_eq!(reply.head.status, 200, "{program}");
            let ledger = &a.daemon.ledger;
            let end = abandoned.cancellation();
            let recording = ledger.close(&end, Instant::now() + REPORTED_WITHIN).await;
            assert!(
                recording.is_durable(),
                "the end of the turn was not recorded"
            );
            // Ten tokens are used, so the budget covers one more turn.
            let last = format!("Request: last{number}\r\n{fields}");
            let reply = b.ask("POST", "/chat/1", &last, "x").await;
            assert_eq!(reply.head.status, 200, "{program}, last turn");
        }
    });
}
