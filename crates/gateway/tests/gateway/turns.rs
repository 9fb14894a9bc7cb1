//! Turns of programs: chains, budgets, interrupted and resumed streams.

use crate::support::{Act, Reply, SERVERS, Seen, Server, World, config, run};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_traffic::config::{Service, WeightedService};
use std::time::Duration;
use tokio::time::{Instant, sleep};

fn events(texts: &[&str]) -> Act {
    Act::Events(texts.iter().map(|text| (*text).to_owned()).collect(), None)
}

/// Guards against a chain that lacks a turn, or contains one of another branch.
#[test]
fn turn_gets_the_complete_chain_of_previous_turns() {
    run(async {
        let server = Server::start("s1", events(&["one", "two"])).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let first = gateway
            .ask("POST", "/chat/1", "Request: t1\r\nProgram: p\r\n", "A;")
            .await;
        assert!(first.complete);
        assert_eq!(first.text(), "id: 0\ndata: one\n\nid: 1\ndata: two\n\n");
        server.set(events(&["three"]));
        let fields = "Request: t2\r\nProgram: p\r\nPrevious: t1\r\n";
        assert!(gateway.ask("POST", "/chat/1", fields, "B;").await.complete);
        let fields = "Request: t3\r\nProgram: p\r\nPrevious: t2\r\n";
        assert!(gateway.ask("POST", "/chat/1", fields, "C;").await.complete);
        // A branch from an earlier turn, and another program that continues the chain.
        let fields = "Request: t4\r\nProgram: p\r\nPrevious: t1\r\n";
        assert!(gateway.ask("POST", "/chat/1", fields, "D;").await.complete);
        let fields = "Request: t5\r\nProgram: other\r\nPrevious: t2\r\n";
        assert!(gateway.ask("POST", "/chat/1", fields, "E;").await.complete);
        let fields = "Request: t6\r\nProgram: other\r\nPrevious: t5\r\n";
        assert!(gateway.ask("POST", "/chat/1", fields, "F;").await.complete);
        let bodies: Vec<String> = server
            .seen
            .borrow()
            .iter()
            .map(|seen| String::from_utf8_lossy(&seen.body).into_owned())
            .collect();
        let wanted = [
            "A;",
            "A;one\ntwo\nB;",
            "A;one\ntwo\nB;three\nC;",
            "A;one\ntwo\nD;",
            "A;one\ntwo\nB;three\nE;",
            "A;one\ntwo\nB;three\nE;three\nF;",
        ];
        assert_eq!(bodies, wanted);
    });
}

/// Guards against an incomplete turn that is stored as if it were complete: a later turn would then
/// continue from output that the client never received in full.
#[test]
fn interrupted_turn_cannot_be_continued() {
    run(async {
        let broken = Act::Events(vec!["one".to_owned(), "two".to_owned()], Some(1));
        let server = Server::start("s1", broken).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let reply = gateway
            .ask("POST", "/chat/1", "Request: t1\r\nProgram: p\r\n", "A;")
            .await;
        assert!(!reply.complete, "an interrupted stream looks complete");
        assert_eq!(reply.text(), "id: 0\ndata: one\n\n");
        assert_eq!(server.count(), 1, "the turn ran twice");
        let fields = "Request: t2\r\nProgram: p\r\nPrevious: t1\r\n";
        let reply = gateway.ask("POST", "/chat/1", fields, "B;").await;
        assert_eq!(reply.head.status, 404);
    });
}

/// Guards against missing or repeated events where a stream moves to another server.
#[test]
fn resumable_stream_continues_at_another_server_without_gaps() {
    run(async {
        let texts: Vec<String> = (0..5).map(|number| format!("e{number}")).collect();
        let a = Server::start("a", Act::Events(texts.clone(), Some(2))).await;
        let b = Server::start("b", Act::Events(texts.clone(), Some(2))).await;
        let world = World::new().await;
        let gateway = world.ready(&[&a, &b]).await;
        let both = [&a, &b];
        let request = gateway.ask("POST", "/resume/1", "Request: t1\r\nProgram: p\r\n", "A;");
        let recovery = async {
            while a.count() + b.count() == 0 {
                sleep(Duration::from_millis(1)).await;
            }
            let other = both.iter().find(|server| server.count() == 0).expect("one");
            other.set(Act::Events(texts.clone(), None));
        };
        let (reply, ()) = futures_util::future::join(request, recovery).await;
        assert!(reply.complete);
        let wanted: String = texts
            .iter()
            .enumerate()
            .map(|(id, text)| format!("id: {id}\ndata: {text}\n\n"))
            .collect();
        assert_eq!(reply.text(), wanted);
    });
}

/// Guards against an event that was read together with invalid bytes: the stream must not continue
/// after it at another server unless the client has it.
#[test]
fn events_before_invalid_bytes_reach_the_client_once() {
    let endless = "x".repeat(300 << 10);
    let invalid = [
        "xx: 2\nxxxx: e2\n\nid: 3\ndata: e3\n\n",
        ": a comment\n\nid: 3\ndata: e3\n\n",
        "id: 4\ndata: e4\n\n",
        "id: 2\nda",
        &endless,
    ];
    let (first, second) = ("id: 0\ndata: e0\n\n", "id: 1\ndata: e1\n\n");
    for invalid in invalid {
        for pieces in [
            vec![format!("{first}{second}{invalid}")],
            vec![first.to_owned(), format!("{second}{invalid}")],
        ] {
            let name = format!("{} pieces, {:.20?}", pieces.len(), invalid);
            run(async move {
                let reply = continue_after(Act::RawPieces(pieces)).await;
                assert!(reply.complete, "{name}");
                let wanted: String = (0..4)
                    .map(|id| format!("id: {id}\ndata: e{id}\n\n"))
                    .collect();
                assert_eq!(reply.text(), wanted, "{name}");
            });
        }
    }
}

/// Asks for a stream that one server breaks off in this way and another one continues.
async fn continue_after(broken: Act) -> Reply {
    let a = Server::start("a", broken.clone()).await;
    let b = Server::start("b", broken).await;
    let world = World::new().await;
    let gateway = world.ready(&[&a, &b]).await;
    let request = gateway.ask("POST", "/resume/1", "Request: t1\r\nProgram: p\r\n", "A;");
    let recovery = async {
        while a.count() + b.count() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        let other = if a.count() == 0 { &a } else { &b };
        other.set(events(&["e0", "e1", "e2", "e3"]));
    };
    let (reply, ()) = futures_util::future::join(request, recovery).await;
    reply
}

/// Guards against a program that exceeds its budget, or is refused before it reaches it.
#[test]
fn turn_over_budget_is_refused_and_not_run() {
    run(async {
        let server = Server::start("s1", events(&["one", "two", "three"])).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let mut served = 0;
        for number in 0..6 {
            let fields = format!("Request: t{number}\r\nProgram: p\r\nBudget: 100\r\nMost: 40\r\n");
            match gateway
                .ask("POST", "/chat/1", &fields, "A;")
                .await
                .head
                .status
            {
                200 => served += 1,
                status => assert_eq!(status, 402),
            }
        }
        // A turn uses three events of ten tokens and reserves 40. Three turns fit, since the third
        // needs 60 + 40; a fourth one does not.
        assert_eq!(served, 3);
        assert_eq!(server.count(), 3);
    });
}

/// Guards against the events of one part of a split that are counted with the tokens of another: its
/// program would exceed its budget, or be refused before it reaches it.
#[test]
fn events_count_as_many_tokens_as_those_of_their_service() {
    run(async {
        for names in [["small", "large"], ["large", "small"]] {
            // A turn begins if its maximum of 80 tokens fits into what is left of 200. Two events have 20
            // tokens at the small service, so that 7 turns fit, and 80 at the large one.
            for (used, fitting) in [("small", 7), ("large", 2)] {
                let turns = complete_turns_of_split(names, used, 200).await;
                assert_eq!(turns, fitting, "{names:?}, {used}");
            }
        }
    });
}

/// Has a program take turns of two events on a route that is split between two services, of which
/// only one has a server, until its budget is spent. Returns the number of complete turns.
async fn complete_turns_of_split(names: [&str; 2], used: &str, budget: u64) -> u64 {
    let server = Server::start("s1", events(&["one", "two"])).await;
    let world = World::new().await;
    let mut split = config(1);
    let service = split.services[0].clone();
    split.services = vec![
        Service {
            name: "small".to_owned(),
            tokens_per_event: 10,
            ..service.clone()
        },
        Service {
            name: "large".to_owned(),
            tokens_per_event: 40,
            ..service
        },
    ];
    for route in &mut split.routes {
        route.services = names
            .map(|name| WeightedService {
                service: name.to_owned(),
                weight: u32::from(name == used),
            })
            .to_vec();
    }
    world.configs.borrow_mut()[0] = split;
    let entry = format!("{used} {} version=v1", server.address);
    world.put(SERVERS, &server.id, &entry).await;
    let gateway = world.settled_gateway("g1", 1).await;
    for turn in 0..20 {
        let fields = format!("Request: t{turn}\r\nProgram: p\r\nBudget: {budget}\r\nMost: 80\r\n");
        let reply = gateway.ask("POST", "/chat/1", &fields, "A;").await;
        match reply.head.status {
            200 => assert!(reply.complete),
            402 => return turn,
            status => panic!("turn {turn}: {status}"),
        }
    }
    panic!("the budget is never spent");
}

/// Guards against a client that gets a complete stream although its turn is not stored, so that the
/// next turn could not continue from it.
#[test]
fn stream_ends_only_after_the_turn_is_recorded() {
    run(async {
        let server = Server::start("s1", events(&["one"])).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        // The partition has an owner before the log stops answering.
        assert!(
            gateway
                .ask("POST", "/chat/1", "Request: t0\r\nProgram: p\r\n", "A;")
                .await
                .complete
        );
        gateway.store.set_fault(LogFault::Silent);
        let mut client = gateway.client().await;
        let started = Instant::now();
        client
            .send("POST", "/chat/1", "Request: t1\r\nProgram: p\r\n", "B;")
            .await;
        let store = gateway.store.clone();
        ntex::rt::spawn(async move {
            sleep(Duration::from_millis(500)).await;
            store.set_fault(LogFault::None);
        });
        let reply = client.reply().await;
        assert!(reply.complete);
        assert!(
            started.elapsed() > Duration::from_millis(450),
            "the stream ended before the turn was recorded"
        );
        // The log stays down past the turn's deadline: the stream must not end as if
        // it were complete.
        gateway.store.set_fault(LogFault::Down);
        let fields = "Request: t2\r\nProgram: p\r\nDeadline: 400\r\n";
        assert!(!gateway.ask("POST", "/chat/1", fields, "C;").await.complete);
    });
}

/// Guards against a stream that is cut off by its server and reaches the client as complete.
#[test]
fn stream_truncated_within_an_event_is_incomplete() {
    run(async {
        let truncated = Act::RawStream("id: 0\ndata: one\n\nid: 1\nda".to_owned());
        let server = Server::start("s1", truncated).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let reply = gateway
            .ask("POST", "/chat/1", "Request: t1\r\nProgram: p\r\n", "A;")
            .await;
        assert!(!reply.complete);
        assert_eq!(reply.text(), "id: 0\ndata: one\n\n");
    });
}

/// Guards against a gap in the events that is passed on to the client unnoticed.
#[test]
fn stream_with_a_missing_event_is_incomplete() {
    run(async {
        let gap = Act::RawStream("id: 0\ndata: one\n\nid: 2\ndata: three\n\n".to_owned());
        let server = Server::start("s1", gap).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let reply = gateway
            .ask("POST", "/chat/1", "Request: t1\r\nProgram: p\r\n", "A;")
            .await;
        // Nothing was sent yet, so the client gets an error status instead of a partial stream.
        assert_eq!(reply.head.status, 502);
    });
}

/// Guards against gateways that assign different engines to one program, where its prompt would not
/// be cached.
#[test]
fn turns_of_a_program_run_on_one_engine_through_any_gateway() {
    run(async {
        let world = World::new().await;
        let mut servers = Vec::new();
        for number in 0..4 {
            let server = Server::start(&format!("s{number}"), events(&["one"])).await;
            world.list_in(&server, ["z1", "z2"][number % 2]).await;
            servers.push(server);
        }
        let gateways = [
            world.gateway_in("g1", "z1").await,
            world.gateway_in("g2", "z2").await,
        ];
        for gateway in &gateways {
            gateway.wait_ready(servers.len()).await;
        }
        for program in 0..8 {
            for turn in 0..4 {
                let fields = format!("Request: p{program}t{turn}\r\nProgram: p{program}\r\n");
                let gateway = &gateways[turn % 2];
                assert!(gateway.ask("POST", "/chat/1", &fields, "A").await.complete);
            }
            let prefix = format!("p{program}t");
            let used = servers.iter().filter(|server| {
                let seen = server.seen.borrow();
                let id = |seen: &Seen| seen.head.headers.text("request").map(str::to_owned);
                seen.iter().filter_map(id).any(|id| id.starts_with(&prefix))
            });
            assert_eq!(
                used.count(),
                1,
                "number of engines used by program {program}"
            );
        }
    });
}

/// Guards against programs that wait for the log although their owner is running.
#[test]
fn programs_continue_and_start_during_a_log_outage() {
    run(async {
        let server = Server::start("s1", events(&["one"])).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let turn = |program: &str, number: u32| {
            format!(
                "Request: {program}t{number}\r\nProgram: {program}\r\n\
                 Budget: 180\r\nMost: 40\r\n"
            )
        };
        let before = turn("before", 0);
        assert!(
            gateway
                .ask("POST", "/resume/1", &before, "A")
                .await
                .complete
        );
        sleep(Duration::from_millis(600)).await;
        gateway.store.set_fault(LogFault::Silent);
        for number in 1..4 {
            for program in ["before", "inside"] {
                let started = Instant::now();
                let fields = turn(program, number);
                let reply = gateway.ask("POST", "/resume/1", &fields, "A").await;
                assert!(reply.complete, "turn {number} of {program}");
                assert!(started.elapsed() < Duration::from_millis(300));
            }
        }
    });
}

/// Guards against budgets that are deleted while their programs may still continue a turn.
#[test]
fn budgets_are_stored_as_long_as_the_routes_store_turns() {
    run(async {
        let world = World::new().await;
        let mut initial = config(1);
        let chat = initial.routes.iter_mut().find(|route| route.name == "chat");
        let chat = chat.expect("a route");
        (chat.timeout_ms, chat.retention_ms) = (30_000, 300_000);
        world.configs.borrow_mut()[0] = initial;
        let gateway = world.ready(&[]).await;
        let stored_ms = gateway.daemon.owner.program_retention_ms();
        assert!(stored_ms >= 30_000 + 300_000, "{stored_ms} ms");
    });
}
