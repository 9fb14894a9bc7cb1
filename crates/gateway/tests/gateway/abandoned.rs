//! Turns whose clients leave while the owner of their program is asked.
//!
//! What users saw: after a loss of all power a program that went on from a kept turn was told at
//! each try, for as long as it asked, that its budget was spent, though nothing of it had run.
//! Order of events: its first try waits for an owner that reads its partition; the owner opens
//! the turn and reserves its most; in the same moment the client leaves, and the gateway drops
//! the question with the request. Cause: the end of a turn was told by whoever had the owner's
//! answer, and nobody had. Evidence: in a play of such a day just those programs were refused
//! whose clients left before their gateway had said `turn_opened`, and those who left a moment
//! after it were served.

use crate::support::{Act, Gateway, Server, World, run};
use fieldhook_ledger::message::OpenTurn;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Holds one turn and no second one beside it.
const BUDGET: &str = "Budget: 60\r\nMost: 40\r\n";
/// Programs of one test: which of two gateways owns their partition differs.
const PROGRAMS: usize = 8;
/// An end is under way so soon after its client left, where its gateway tells one.
const UNDER_WAY_WITHIN: Duration = Duration::from_millis(5);
/// How long the end of a turn may take to be known.
const KNOWN_WITHIN: Duration = Duration::from_secs(2);

/// Two gateways, which both have asked the owner of each partition before.
async fn two_gateways(world: &World, server: &Server) -> [Gateway; 2] {
    let a = world.ready(&[server]).await;
    let b = world.gateway("g2").await;
    b.wait_ready(1).await;
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

/// Asks for a turn and leaves at once.
async fn ask_and_leave(gateway: &Gateway, fields: &str) {
    let mut client = gateway.client().await;
    client.send("POST", "/chat/1", fields, "x").await;
}

#[test]
fn a_turn_whose_client_left_before_the_owners_answer_takes_nothing_of_the_budget() {
    run(async {
        let act = Act::Events(vec!["one".to_owned()], None);
        let server = Server::start("s1", act).await;
        let world = World::new().await;
        for gateway in two_gateways(&world, &server).await {
            for number in 0..PROGRAMS {
                let program = format!("Program: q{number}-{}\r\n{BUDGET}", gateway.address);
                let first = format!("Request: left{number}\r\n{program}");
                ask_and_leave(&gateway, &first).await;
                sleep(Duration::from_millis(50)).await;
                let until = Instant::now() + KNOWN_WITHIN;
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
                        Instant::now() < until,
                        "program {number} is refused for good"
                    );
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
    });
}

/// A process that ends with such an end untold leaves a reservation that nobody ends.
#[test]
fn a_planned_stop_waits_for_the_ends_of_turns_whose_clients_left() {
    run(async {
        let act = Act::Events(vec!["one".to_owned()], None);
        let server = Server::start("s1", act).await;
        let world = World::new().await;
        world.partitions.set(1);
        let [a, b] = two_gateways(&world, &server).await;
        let owns = a.daemon.owner.held_count() > 0;
        let (owner, other) = if owns { (a, b) } else { (b, a) };
        let mut left = 0;
        for number in 0..PROGRAMS {
            let fields = format!("Request: left{number}\r\nProgram: q{number}\r\n{BUDGET}");
            ask_and_leave(&other, &fields).await;
            // The stop begins while the end of the last one is told.
            let begun = Instant::now();
            while other.daemon.ledger.pending_closes.get() == 0
                && begun.elapsed() < UNDER_WAY_WITHIN
            {
                tokio::task::yield_now().await;
            }
            left = left.max(other.daemon.ledger.pending_closes.get());
        }
        assert!(left > 0, "no end was under way");
        fieldhook_gateway::drain::run(other.daemon.clone()).await;
        assert_eq!(other.daemon.ledger.pending_closes.get(), 0);
        for number in 0..PROGRAMS {
            let fields = format!("Request: next{number}\r\nProgram: q{number}\r\n{BUDGET}");
            let reply = owner.ask("POST", "/chat/1", &fields, "x").await;
            assert_eq!(reply.head.status, 200, "program {number}");
        }
    });
}

/// A turn that the owner opens for a gateway which tells nothing of it any more.
async fn open_and_fall_silent(gateway: &Gateway, program: &str) -> OpenTurn {
    let mut request = OpenTurn {
        tenant: None,
        turn: format!("lost-{program}"),
        attempt: 1,
        program: program.to_owned(),
        session: Some("a".to_owned()),
        previous: None,
        wants_chain: true,
        keeps_context: true,
        supplies_chain: false,
        budget: Some(60),
        max_tokens: 40,
        placement: None,
        home_partition: None,
    };
    let ledger = &gateway.daemon.ledger;
    let deadline = Instant::now() + KNOWN_WITHIN;
    let opened = ledger.open(&mut request, &Cell::default(), deadline).await;
    assert!(opened.is_ok(), "the owner did not open it");
    request
}

/// What users saw: 402 to the only try that a program made after its gateway was gone.
#[test]
fn the_next_try_of_a_line_is_served_where_the_gateway_of_the_former_one_is_lost() {
    run(async {
        let act = Act::Events(vec!["one".to_owned()], None);
        let server = Server::start("s1", act).await;
        let world = World::new().await;
        let [a, b] = two_gateways(&world, &server).await;
        for number in 0..PROGRAMS {
            let program = format!("q{number}");
            open_and_fall_silent(&a, &program).await;
            let before = server.count();
            let other = format!("Request: other{number}\r\nProgram: {program}\r\nSession: b\r\n");
            let reply = b.ask("POST", "/chat/1", &(other + BUDGET), "x").await;
            assert_eq!(reply.head.status, 402, "{program} of another line");
            assert_eq!(server.count(), before, "a refusal is true");
            let next = format!("Request: next{number}\r\nProgram: {program}\r\nSession: a\r\n");
            let reply = b.ask("POST", "/chat/1", &(next + BUDGET), "x").await;
            assert_eq!(reply.head.status, 200, "{program}");
        }
    });
}

#[test]
fn an_end_that_is_slow_to_be_told_does_not_refuse_the_next_try_of_its_line() {
    run(async {
        let act = Act::Events(vec!["one".to_owned()], None);
        let server = Server::start("s1", act).await;
        let world = World::new().await;
        let [a, b] = two_gateways(&world, &server).await;
        for number in 0..PROGRAMS {
            let program = format!("q{number}");
            let left = open_and_fall_silent(&a, &program).await;
            let fields = format!("Program: {program}\r\nSession: a\r\n{BUDGET}");
            let next = format!("Request: next{number}\r\n{fields}");
            let reply = b.ask("POST", "/chat/1", &next, "x").await;
            assert_eq!(reply.head.status, 200, "{program}");
            let ledger = &a.daemon.ledger;
            let end = left.cancellation();
            let is_told = ledger.close(&end, Instant::now() + KNOWN_WITHIN).await;
            assert!(is_told, "its end is not known");
            // Ten tokens are used: the budget holds one more turn.
            let last = format!("Request: last{number}\r\n{fields}");
            let reply = b.ask("POST", "/chat/1", &last, "x").await;
            assert_eq!(reply.head.status, 200, "{program} at last");
        }
    });
}
