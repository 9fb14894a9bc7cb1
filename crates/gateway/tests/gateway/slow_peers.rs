//! Clients and servers that are slow to read: what is held for them is bounded, and nobody else
//! notices.

use crate::support::{Act, Gateway, Lines, Server, World, run};
use fieldhook_gateway::settings::SlowPeers;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

const KIB: usize = 1 << 10;
/// More than lies in the buffers of the machine between two ends.
const LARGE: usize = 12 << 20;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A text in which no two places nearby look alike.
fn text(length: usize) -> String {
    let numbers = (0..).flat_map(|number: u64| format!("{number:x}.").into_bytes());
    String::from_utf8(numbers.take(length).collect()).expect("text")
}

fn bounds(held: usize, connection_bytes: usize) -> SlowPeers {
    SlowPeers {
        held_bytes: held as u64,
        connection_bytes,
        ..SlowPeers::default()
    }
}

async fn gateway(bounds: SlowPeers, server: &Server) -> (World, Gateway) {
    let world = World::new().await;
    world.slow_peers.set(bounds);
    world.configs.borrow_mut()[0].limits.body_bytes = LARGE;
    world.configs.borrow_mut()[0].limits.header_timeout_ms = 4_000;
    let gateway = world.ready(&[server]).await;
    (world, gateway)
}

async fn holds_nothing(gateway: &Gateway) {
    let until = Instant::now() + ms(3_000);
    while gateway.daemon.memory.held() > 0 {
        assert!(Instant::now() < until, "held on");
        sleep(ms(5)).await;
    }
}

/// It was read whole before: one such client took 16 MB twice.
#[test]
fn a_large_answer_reaches_a_slow_client_whole_and_takes_little_memory() {
    run(async {
        let body = text(LARGE);
        let server = Server::start("s1", Act::Answer(200, body.clone())).await;
        let (_world, gateway) = gateway(bounds(LARGE, 64 * KIB), &server).await;
        let mut client = gateway.narrow_client().await;
        client.send("GET", "/safe/1", "Request: a\r\n", "").await;
        for _ in 0..60 {
            sleep(ms(5)).await;
            assert!(gateway.daemon.memory.held() <= 128 * KIB as u64);
        }
        let reply = client.reply().await;
        assert!(reply.whole);
        assert!(reply.text() == body, "not the same bytes");
        holds_nothing(&gateway).await;
    });
}

#[test]
fn a_client_that_reads_nothing_is_left_after_a_while() {
    run(async {
        let lines = Lines::start();
        let server = Server::start("s1", Act::Answer(200, text(LARGE))).await;
        let stalled = SlowPeers {
            stall_ms: 300,
            ..bounds(LARGE, 64 * KIB)
        };
        let (_world, gateway) = gateway(stalled, &server).await;
        let mut client = gateway.narrow_client().await;
        client.send("GET", "/safe/1", "Request: a\r\n", "").await;
        sleep(ms(100)).await;
        assert!(gateway.daemon.memory.held() > 0);
        holds_nothing(&gateway).await;
        let told = lines.of("client_stalled");
        assert_eq!(told.len(), 1, "{told:?}");
        assert!(told[0].contains("\"request\":\"a\""), "{told:?}");
        assert_eq!(gateway.daemon.pools.status("s1", "z1", 0).in_flight, 0);
    });
}

#[test]
fn a_hundred_clients_that_read_nothing_leave_room_for_one_that_does() {
    run(async {
        let lines = Lines::start();
        let server = Server::start("s1", Act::Large(LARGE)).await;
        let limit = 4 << 20;
        let (_world, gateway) = gateway(bounds(limit, 256 * KIB), &server).await;
        let mut stuck = Vec::new();
        for number in 0..100 {
            let mut client = gateway.narrow_client().await;
            let fields = format!("Request: r{number}\r\n");
            client.send("GET", "/safe/1", &fields, "").await;
            stuck.push(client);
        }
        sleep(ms(300)).await;
        server.set(Act::Answer(200, text(200 * KIB)));
        let begun = Instant::now();
        let mut served = 0;
        while begun.elapsed() < ms(3_000) {
            let held = gateway.daemon.memory.held();
            assert!(held <= limit as u64, "{held} bytes");
            let reply = gateway.ask("GET", "/safe/2", "Request: b\r\n", "").await;
            assert_eq!(reply.head.status, 200);
            assert_eq!(reply.body.len(), 200 * KIB);
            served += 1;
            sleep(ms(20)).await;
        }
        assert!(served > 20, "{served}");
        // Some had to give up what others needed; which is told.
        let told = lines.of("client_stalled");
        assert!(!told.is_empty());
        drop(stuck);
        holds_nothing(&gateway).await;
    });
}

#[test]
fn a_server_is_read_at_its_own_pace_while_its_client_is_slow() {
    run(async {
        let events: Vec<String> = (0..200).map(|_| text(KIB)).collect();
        let server = Server::start("s1", Act::Events(events.clone(), None)).await;
        let (_world, gateway) = gateway(bounds(LARGE, 512 * KIB), &server).await;
        let mut client = gateway.narrow_client().await;
        client
            .send("POST", "/resume/1", "Request: a\r\n", "x")
            .await;
        sleep(ms(300)).await;
        let in_flight = gateway.daemon.pools.status("s1", "z1", 0).in_flight;
        assert_eq!(in_flight, 0, "the server still waits for the client");
        // A byte at a time.
        let mut first = [0; 64];
        for byte in &mut first {
            *byte = client.stream.read_u8().await.expect("a byte");
            sleep(ms(1)).await;
        }
        client.buffer.extend_from_slice(&first);
        let reply = client.reply().await;
        assert!(reply.whole);
        let data = reply.text().matches("data: ").count();
        assert_eq!(data, events.len());
        holds_nothing(&gateway).await;
    });
}

/// A server that takes the connection and reads nothing.
async fn deaf_server() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

#[test]
fn a_server_that_stops_reading_holds_a_request_no_longer_than_its_deadline() {
    run(async {
        let mut server = Server::start("s1", Act::Silent).await;
        let (_listener, address) = deaf_server().await;
        server.address = address;
        let (_world, gateway) = gateway(bounds(4 * LARGE, 64 * KIB), &server).await;
        let fields = "Request: a\r\nDeadline: 900\r\n";
        let body = text(LARGE);
        let begun = Instant::now();
        let reply = gateway.ask("POST", "/unsafe/1", fields, &body).await;
        assert_eq!(reply.head.status, 504);
        assert!(begun.elapsed() < ms(1_500), "{:?}", begun.elapsed());
        holds_nothing(&gateway).await;
    });
}

#[test]
fn a_body_that_finds_no_room_is_refused_before_anything_is_sent() {
    run(async {
        let server = Server::start("s1", Act::Answer(200, "fine".to_owned())).await;
        let (_world, gateway) = gateway(bounds(100 * KIB, 64 * KIB), &server).await;
        let body = text(80 * KIB);
        let fields = "Request: a\r\n";
        let reply = gateway.ask("POST", "/unsafe/1", fields, &body).await;
        assert_eq!(reply.head.status, 503);
        assert!(reply.head.headers.has("come-back-ms"));
        assert_eq!(server.count(), 0);
        let reply = gateway.ask("POST", "/unsafe/1", fields, "small").await;
        assert_eq!(reply.head.status, 200);
        holds_nothing(&gateway).await;
    });
}

/// Each held a buffer before, also while nothing came.
#[test]
fn idle_connections_hold_no_buffers() {
    run(async {
        let server = Server::start("s1", Act::Answer(200, "fine".to_owned())).await;
        let (_world, gateway) = gateway(bounds(KIB, KIB), &server).await;
        let mut idle = Vec::new();
        for number in 0..50 {
            let mut client = gateway.client().await;
            let fields = format!("Request: r{number}\r\n");
            client.send("GET", "/safe/1", &fields, "").await;
            assert_eq!(client.reply().await.head.status, 200);
            idle.push(client);
        }
        assert_eq!(gateway.daemon.memory.held(), 0);
    });
}
