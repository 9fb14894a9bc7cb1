//! A request received on a kept-alive connection gets its response, whatever else happens to the
//! connection in the meantime.

use crate::support::{Act, Gateway, Server, World, run};
use fieldhook_gateway::daemon::ShutdownPhase;
use fieldhook_gateway::settings::SlowPeers;
use fieldhook_traffic::buffer_memory::Purpose;
use std::time::Duration;
use tokio::time::sleep;

const REQUEST: &str = "GET /safe/1 HTTP/1.1\r\nHost: test.example\r\nRequest: a\r\n\r\n";

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn slow() -> Act {
    Act::Slow(ms(400), "late".to_owned())
}

/// Receives a response on a connection, sends a second request on it, runs `during` while that
/// request is in flight, and checks that the request is answered.
async fn assert_answered_during<F: Future<Output = ()>>(
    world: World,
    during: impl FnOnce(Gateway, tokio::net::tcp::OwnedWriteHalf) -> F,
) {
    let server = Server::start("s1", Act::Answer(200, "first".to_owned())).await;
    let gateway = world.ready(&[&server]).await;
    let mut client = gateway.client().await;
    client.raw(REQUEST.as_bytes()).await;
    assert_eq!(client.reply().await.text(), "first");
    server.set(slow());
    client.raw(REQUEST.as_bytes()).await;
    while server.count() < 2 {
        sleep(ms(5)).await;
    }
    let (read, write) = client.stream.into_split();
    let during = during(gateway, write);
    let reply = async {
        let mut bytes = Vec::new();
        while !bytes.windows(4).any(|end| end == b"late") {
            read.readable().await.expect("open");
            match read.try_read_buf(&mut bytes) {
                Ok(0) => panic!(
                    "closed without a response: {}",
                    String::from_utf8_lossy(&bytes)
                ),
                Ok(_) => {}
                Err(error) => assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock),
            }
        }
        assert!(bytes.starts_with(b"HTTP/1.1 200"));
    };
    let timed = tokio::time::timeout(ms(3_000), reply);
    let (reply, ()) = futures_util::future::join(timed, during).await;
    assert!(reply.is_ok(), "no response in time");
}

/// The parse error concerns only the next request and must not close the connection too early.
#[test]
fn answered_despite_a_malformed_next_request() {
    run(async {
        assert_answered_during(World::new().await, |_gateway, write| async move {
            write.try_write(b"no request at all\r\n\r\n").expect("sent");
            sleep(ms(600)).await;
        })
        .await;
    });
}

/// The limit of bytes read ahead must not be taken for a closed connection.
#[test]
fn answered_despite_more_pipelined_requests_than_are_read_ahead() {
    run(async {
        assert_answered_during(World::new().await, |_gateway, write| async move {
            for _ in 0..4_000 {
                if write.try_write(REQUEST.as_bytes()).is_err() {
                    break;
                }
            }
            sleep(ms(600)).await;
        })
        .await;
    });
}

/// The idle timeout must not apply while a request is being served.
#[test]
fn answered_after_the_idle_timeout() {
    run(async {
        let world = World::new().await;
        world.configs.borrow_mut()[0].limits.idle_timeout_ms = 100;
        assert_answered_during(world, |_gateway, write| async move {
            sleep(ms(600)).await;
            drop(write);
        })
        .await;
    });
}

/// A planned stop must close only connections without a request.
#[test]
fn answered_during_a_planned_stop() {
    run(async {
        assert_answered_during(World::new().await, |gateway, write| async move {
            let _ = gateway.daemon.shutdown.send(ShutdownPhase::Draining);
            sleep(ms(100)).await;
            let _ = gateway.daemon.shutdown.send(ShutdownPhase::Refusing);
            let _ = gateway.daemon.close_idle.send(true);
            sleep(ms(500)).await;
            drop(write);
        })
        .await;
    });
}

/// A lack of buffer memory must not end a request that was already accepted.
#[test]
fn answered_while_others_use_all_memory() {
    run(async {
        let world = World::new().await;
        world.slow_peers.set(SlowPeers {
            held_bytes: 4_096,
            ..SlowPeers::default()
        });
        assert_answered_during(world, |gateway, write| async move {
            let held = gateway.daemon.memory.open(Purpose::InProgress);
            assert!(held.grow(4_096).is_ok());
            sleep(ms(600)).await;
            drop(write);
        })
        .await;
    });
}
