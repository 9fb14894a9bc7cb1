//! Clients and servers that read slowly: the memory held for them is bounded, and other peers are
//! not affected.

use crate::support::{Act, Gateway, LogCapture, Server, World, run};
use fieldhook_gateway::settings::SlowPeers;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

const KIB: usize = 1 << 10;
/// More than the socket buffers between two peers hold.
const LARGE: usize = 12 << 20;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns a text without short repetitions, so that misplaced bytes are detected.
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

async fn wait_until_memory_is_freed(gateway: &Gateway) {
    let deadline = Instant::now() + ms(3_000);
    while gateway.daemon.memory.used_bytes() > 0 {
        assert!(Instant::now() < deadline, "memory was not freed");
        sleep(ms(5)).await;
    }
}

/// Guards against buffering complete responses: a slow client kept its 16 MB response in memory
/// twice.
#[test]
fn large_response_to_a_slow_client_uses_little_memory() {
    run(async {
        let body = text(LARGE);
        let server = Server::start("s1", Act::Answer(200, body.clone())).await;
        let (_world, gateway) = gateway(bounds(LARGE, 64 * KIB), &server).await;
        let mut client = gateway.small_buffer_client().await;
        client.send("GET", "/safe/1", "Request: a\r\n", "").await;
        for _ in 0..60 {
            sleep(ms(5)).await;
            assert!(gateway.daemon.memory.used_bytes() <= 128 * KIB as u64);
        }
        let reply = client.reply().await;
        assert!(reply.complete);
        assert!(reply.text() == body, "the body differs");
        wait_until_memory_is_freed(&gateway).await;
    });
}

/// Guards against a client that keeps memory and a server connection in use without reading.
#[test]
fn client_that_reads_nothing_is_disconnected() {
    run(async {
        let lines = LogCapture::start();
        let server = Server::start("s1", Act::Answer(200, text(LARGE))).await;
        let stalled = SlowPeers {
            stall_ms: 300,
            ..bounds(LARGE, 64 * KIB)
        };
        let (_world, gateway) = gateway(stalled, &server).await;
        let mut client = gateway.small_buffer_client().await;
        client.send("GET", "/safe/1", "Request: a\r\n", "").await;
        sleep(ms(100)).await;
        assert!(gateway.daemon.memory.used_bytes() > 0);
        wait_until_memory_is_freed(&gateway).await;
        let logged = lines.with_event("client_stalled");
        assert_eq!(logged.len(), 1, "{logged:?}");
        assert!(logged[0].contains("\"request\":\"a\""), "{logged:?}");
        assert_eq!(gateway.daemon.pools.status("s1", "z1", 0).in_flight, 0);
    });
}

/// Guards against memory that is used up by stalled clients, so that all others are refused.
#[test]
fn hundred_stalled_clients_do_not_block_others() {
    run(async {
        let lines = LogCapture::start();
        let server = Server::start("s1", Act::Large(LARGE)).await;
        let limit = 4 << 20;
        let (_world, gateway) = gateway(bounds(limit, 256 * KIB), &server).await;
        let mut stalled = Vec::new();
        for number in 0..100 {
            let mut client = gateway.small_buffer_client().await;
            let fields = format!("Request: r{number}\r\n");
            client.send("GET", "/safe/1", &fields, "").await;
            stalled.push(client);
        }
        sleep(ms(300)).await;
        server.set(Act::Answer(200, text(200 * KIB)));
        let started = Instant::now();
        let mut served = 0;
        while started.elapsed() < ms(3_000) {
            let held = gateway.daemon.memory.used_bytes();
            assert!(held <= limit as u64, "{held} bytes");
            let reply = gateway.ask("GET", "/safe/2", "Request: b\r\n", "").await;
            assert_eq!(reply.head.status, 200);
            assert_eq!(reply.body.len(), 200 * KIB);
            served += 1;
            sleep(ms(20)).await;
        }
        assert!(served > 20, "{served}");
        // Some stalled clients were disconnected to free memory, which is logged.
        let logged = lines.with_event("client_stalled");
        assert!(!logged.is_empty());
        drop(stalled);
        wait_until_memory_is_freed(&gateway).await;
    });
}

/// Guards against a server that stays occupied for as long as its client takes to read.
#[test]
fn server_is_read_at_full_speed_while_its_client_is_slow() {
    run(async {
        let events: Vec<String> = (0..200).map(|_| text(KIB)).collect();
        let server = Server::start("s1", Act::Events(events.clone(), None)).await;
        let (_world, gateway) = gateway(bounds(LARGE, 512 * KIB), &server).await;
        let mut client = gateway.small_buffer_client().await;
        client
            .send("POST", "/resume/1", "Request: a\r\n", "x")
            .await;
        sleep(ms(300)).await;
        let in_flight = gateway.daemon.pools.status("s1", "z1", 0).in_flight;
        assert_eq!(in_flight, 0, "the server still waits for the client");
        // Read one byte at a time.
        let mut first = [0; 64];
        for byte in &mut first {
            *byte = client.stream.read_u8().await.expect("a byte");
            sleep(ms(1)).await;
        }
        client.buffer.extend_from_slice(&first);
        let reply = client.reply().await;
        assert!(reply.complete);
        let data = reply.text().matches("data: ").count();
        assert_eq!(data, events.len());
        wait_until_memory_is_freed(&gateway).await;
    });
}

/// A server that accepts connections but never reads.
async fn non_reading_server() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Guards against a request that waits without a limit for a server which accepts no more data.
#[test]
fn server_that_stops_reading_times_out_at_the_deadline() {
    run(async {
        let mut server = Server::start("s1", Act::Silent).await;
        let (_listener, address) = non_reading_server().await;
        server.address = address;
        let (_world, gateway) = gateway(bounds(4 * LARGE, 64 * KIB), &server).await;
        let fields = "Request: a\r\nDeadline: 900\r\n";
        let body = text(LARGE);
        let started = Instant::now();
        let reply = gateway.ask("POST", "/unsafe/1", fields, &body).await;
        assert_eq!(reply.head.status, 504);
        assert!(started.elapsed() < ms(1_500), "{:?}", started.elapsed());
        wait_until_memory_is_freed(&gateway).await;
    });
}

/// Guards against a request that may have run although its client got a retry response.
#[test]
fn body_over_the_memory_limit_is_refused_before_sending() {
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
        wait_until_memory_is_freed(&gateway).await;
    });
}

/// Guards against idle connections that each hold a read buffer.
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
        assert_eq!(gateway.daemon.memory.used_bytes(), 0);
    });
}
