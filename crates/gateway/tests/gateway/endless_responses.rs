//! Servers that send bytes without end in place of a response.

use crate::support::{Act, Gateway, Reply, Server, World, run};
use fieldhook_emulator::endless::Endless;
use fieldhook_gateway::settings::SlowPeers;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Bytes that a gateway may read before it gives such a response up. Stand-ins count what they
/// wrote, which includes the buffers of both sockets.
const MAX_SENT: usize = 8 << 20;
/// Time within which the connection has to be closed: half of the route's timeout.
const CLOSED_WITHIN: Duration = Duration::from_millis(1_000);

/// A gateway in front of a server that sends without end.
async fn gateway_with(world: &World, server: &Server) -> Gateway {
    world.list(server).await;
    let gateway = world.gateway("g1").await;
    gateway.wait_ready(1).await;
    gateway
}

/// Asserts that the server's connection was closed soon, and how many bytes it sent until then.
async fn assert_closed_early(server: &Server, kind: Endless, started: Instant) {
    while server.endless.get().1.is_none() {
        assert!(started.elapsed() < CLOSED_WITHIN, "{kind:?} is still read");
        sleep(Duration::from_millis(5)).await;
    }
    let (sent, _) = server.endless.get();
    assert!(sent <= MAX_SENT, "{kind:?}: {sent} bytes");
}

/// Guards against a server that takes the memory and the processor of a gateway until the deadline.
#[test]
fn stream_without_end_is_given_up_and_served_elsewhere() {
    run(async {
        for kind in Endless::ALL {
            let world = World::new().await;
            let endless = Server::start("s0", Act::Endless(kind)).await;
            let gateway = gateway_with(&world, &endless).await;
            let started = Instant::now();
            let asked = async {
                let fields = "Request: r\r\nDeadline: 6000\r\n";
                let mut client = gateway.client().await;
                client.send("POST", "/resume/1", fields, "word").await;
                client.reply_unless_closed().await
            };
            let seen = async {
                while endless.endless.get().0 == 0 {
                    sleep(Duration::from_millis(1)).await;
                }
                let events = vec!["word".to_owned(); 3];
                let other = Server::start("s1", Act::Events(events, None)).await;
                world.list(&other).await;
                assert_closed_early(&endless, kind, started).await;
                other
            };
            let (_, other) = futures_util::future::join(asked, seen).await;
            sleep(Duration::from_millis(400)).await;
            let reply = gateway
                .ask(
                    "POST",
                    "/resume/1",
                    "Request: again\r\nDeadline: 1500\r\n",
                    "word",
                )
                .await;
            assert_eq!(reply.head.status, 200, "{kind:?}");
            assert!(reply.complete, "{kind:?}");
            assert!(other.count() > 0, "{kind:?}");
        }
    });
}

/// Guards against a response whose end is never reached, on a route that is not a stream.
#[test]
fn response_without_end_is_given_up() {
    run(async {
        for kind in [Endless::Interim, Endless::OtherResponse, Endless::Trailers] {
            let world = World::new().await;
            let endless = Server::start("s0", Act::Endless(kind)).await;
            let gateway = gateway_with(&world, &endless).await;
            let started = Instant::now();
            let fields = "Request: r\r\nDeadline: 6000\r\n";
            let reply = gateway.ask("GET", "/safe/1", fields, "").await;
            assert_eq!(reply.head.status, 502, "{kind:?}");
            assert_closed_early(&endless, kind, started).await;
        }
    });
}

/// Guards against a large response that is forwarded for as long as its server sends.
#[test]
fn large_response_without_end_is_cut_at_the_deadline() {
    run(async {
        let world = World::new().await;
        let endless = Server::start("s0", Act::Endless(Endless::Body)).await;
        let gateway = gateway_with(&world, &endless).await;
        let started = Instant::now();
        let mut client = gateway.client().await;
        let fields = "Request: r\r\nDeadline: 700\r\n";
        client.send("GET", "/safe/1", fields, "").await;
        let reply = client.reply_unless_closed().await.expect("a reply");
        assert!(!reply.complete);
        assert!(started.elapsed() < Duration::from_millis(700) + CLOSED_WITHIN);
        while endless.endless.get().1.is_none() {
            assert!(started.elapsed() < Duration::from_millis(700) + CLOSED_WITHIN);
            sleep(Duration::from_millis(5)).await;
        }
    });
}

/// Guards against keep-alive comments of a sound server that count as bytes without end.
#[test]
fn comments_between_events_are_forwarded() {
    run(async {
        let comments = ": still working\n\n".repeat(200);
        let body = format!("{comments}id: 0\ndata: a\n\n{comments}id: 1\ndata: b\n\n");
        let server = Server::start("s0", Act::RawStream(body.clone())).await;
        let world = World::new().await;
        let gateway = gateway_with(&world, &server).await;
        let reply = gateway
            .ask("POST", "/resume/1", "Request: r\r\n", "word")
            .await;
        assert_eq!(reply.head.status, 200);
        assert!(reply.complete);
        assert_eq!(reply.text(), body);
    });
}

/// Guards against a turn whose comments use up the budget of its program.
#[test]
fn comments_use_no_budget() {
    run(async {
        let comments = ": still working\n\n".repeat(200);
        let body = format!("{comments}id: 0\ndata: a\n\n");
        let server = Server::start("s0", Act::RawStream(body)).await;
        let world = World::new().await;
        let gateway = gateway_with(&world, &server).await;
        for number in 0..3 {
            // Each event has ten tokens.
            let fields = format!("Request: r{number}\r\nProgram: p\r\nBudget: 40\r\nMost: 10\r\n");
            let reply = gateway.ask("POST", "/chat/1", &fields, "word").await;
            assert_eq!(reply.head.status, 200, "turn {number}");
            assert!(reply.complete, "turn {number}");
        }
    });
}

/// Sends a turn to a server whose stream of events never ends, and returns what the client gets.
async fn ask_for_endless_turn(world: &World, server: &Server, path: &str, fields: &str) -> Reply {
    let gateway = gateway_with(world, server).await;
    let started = Instant::now();
    let mut client = gateway.client().await;
    let fields = format!("Request: r\r\nProgram: p\r\nDeadline: 6000\r\n{fields}");
    client.send("POST", path, &fields, "word").await;
    let closed = assert_closed_early(server, Endless::Data, started);
    let (reply, ()) = futures_util::future::join(client.reply_unless_closed(), closed).await;
    let reply = reply.expect("a reply");
    assert!(reply.head.status == 502 || !reply.complete);
    while gateway.daemon.memory.used_bytes() > 0 {
        assert!(started.elapsed() < CLOSED_WITHIN, "memory stays in use");
        sleep(Duration::from_millis(5)).await;
    }
    reply
}

/// Guards against a turn that collects events, and spends tokens, until its deadline.
#[test]
fn stream_is_cut_after_the_maximum_tokens_of_the_turn() {
    run(async {
        for (path, budget) in [
            ("/chat/1", "Budget: 9000\r\n"),
            ("/chat/1", ""),
            ("/resume/1", "Budget: 9000\r\n"),
            ("/resume/1", ""),
        ] {
            let world = World::new().await;
            let server = Server::start("s0", Act::Endless(Endless::Data)).await;
            // Each event has ten tokens.
            let fields = format!("{budget}Most: 25\r\n");
            let reply = ask_for_endless_turn(&world, &server, path, &fields).await;
            let events = reply.text().matches("data: ").count();
            assert!(events <= 3, "{path} {budget}: {events} events");
        }
    });
}

/// Guards against a sound answer of the maximum length that is taken for one without end.
#[test]
fn stream_with_the_maximum_tokens_of_the_turn_is_complete() {
    run(async {
        let events = vec!["word".to_owned(); 3];
        let server = Server::start("s0", Act::Events(events, None)).await;
        let world = World::new().await;
        let gateway = gateway_with(&world, &server).await;
        for path in ["/chat/1", "/resume/1"] {
            let fields = "Request: r\r\nProgram: p\r\nMost: 25\r\n";
            let reply = gateway.ask("POST", path, fields, "word").await;
            assert_eq!(reply.head.status, 200, "{path}");
            assert!(reply.complete, "{path}");
        }
    });
}

/// Guards against the output of kept turns that takes all memory of the machine.
#[test]
fn output_kept_for_later_turns_is_limited_by_the_buffer_memory() {
    run(async {
        let world = World::new().await;
        world.slow_peers.set(SlowPeers {
            held_bytes: 512 << 10,
            ..SlowPeers::default()
        });
        let server = Server::start("s0", Act::Endless(Endless::Data)).await;
        ask_for_endless_turn(&world, &server, "/chat/1", "").await;
    });
}

/// Guards against many streams that each hold a part of an event, and together take all memory.
#[test]
fn partial_events_are_limited_by_the_buffer_memory() {
    const STREAMS: usize = 16;
    const PARTIAL_BYTES: usize = 200 << 10;
    const HELD_BYTES: u64 = 1 << 20;
    run(async {
        let world = World::new().await;
        world.slow_peers.set(SlowPeers {
            held_bytes: HELD_BYTES,
            ..SlowPeers::default()
        });
        let mut pieces = vec![format!("data: {}", "x".repeat(PARTIAL_BYTES))];
        pieces.extend(vec!["x".to_owned(); 100]);
        let server = Server::start("s0", Act::RawPieces(pieces)).await;
        let gateway = gateway_with(&world, &server).await;
        let mut clients = Vec::new();
        for number in 0..STREAMS {
            let mut client = gateway.client().await;
            let fields = format!("Request: r{number}\r\n");
            client.send("POST", "/resume/1", &fields, "word").await;
            clients.push(client);
        }
        let started = Instant::now();
        let mut most_used = 0;
        while started.elapsed() < CLOSED_WITHIN {
            most_used = most_used.max(gateway.daemon.memory.used_bytes());
            sleep(Duration::from_millis(5)).await;
        }
        assert!(most_used > HELD_BYTES / 2, "{most_used} bytes");
        assert!(most_used <= HELD_BYTES, "{most_used} bytes");
    });
}
