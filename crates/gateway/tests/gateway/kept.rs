//! A request that was passed on from a kept connection gets its answer on it, whatever else
//! happens to the connection meanwhile.

use crate::support::{Act, Gateway, Server, World, run};
use fieldhook_gateway::daemon::Stopping;
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

/// Has a client get an answer on a connection, send a second request on it, and then do or
/// suffer something while that is under way: it is answered.
async fn is_answered_beside<F: Future<Output = ()>>(
    world: World,
    beside: impl FnOnce(Gateway, tokio::net::tcp::OwnedWriteHalf) -> F,
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
    let happening = beside(gateway, write);
    let reply = async {
        let mut bytes = Vec::new();
        while !bytes.windows(4).any(|end| end == b"late") {
            read.readable().await.expect("open");
            match read.try_read_buf(&mut bytes) {
                Ok(0) => panic!(
                    "closed without an answer: {}",
                    String::from_utf8_lossy(&bytes)
                ),
                Ok(_) => {}
                Err(error) => assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock),
            }
        }
        assert!(bytes.starts_with(b"HTTP/1.1 200"));
    };
    let timed = tokio::time::timeout(ms(3_000), reply);
    let (reply, ()) = futures_util::future::join(timed, happening).await;
    assert!(reply.is_ok(), "no answer in time");
}

#[test]
fn beside_a_broken_head_that_follows() {
    run(async {
        is_answered_beside(World::new().await, |_gateway, write| async move {
            write.try_write(b"no request at all\r\n\r\n").expect("sent");
            sleep(ms(600)).await;
        })
        .await;
    });
}

#[test]
fn beside_more_requests_than_are_read_ahead() {
    run(async {
        is_answered_beside(World::new().await, |_gateway, write| async move {
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

#[test]
fn longer_than_a_connection_may_stay_idle() {
    run(async {
        let world = World::new().await;
        world.configs.borrow_mut()[0].limits.idle_timeout_ms = 100;
        is_answered_beside(world, |_gateway, write| async move {
            sleep(ms(600)).await;
            drop(write);
        })
        .await;
    });
}

#[test]
fn beside_a_planned_stop() {
    run(async {
        is_answered_beside(World::new().await, |gateway, write| async move {
            let _ = gateway.daemon.stopping.send(Stopping::Leaving);
            sleep(ms(100)).await;
            let _ = gateway.daemon.stopping.send(Stopping::Refusing);
            let _ = gateway.daemon.away.send(true);
            sleep(ms(500)).await;
            drop(write);
        })
        .await;
    });
}

#[test]
fn beside_others_that_take_all_memory() {
    run(async {
        let world = World::new().await;
        world.slow_peers.set(SlowPeers {
            held_bytes: 4_096,
            ..SlowPeers::default()
        });
        is_answered_beside(world, |gateway, write| async move {
            let held = gateway.daemon.memory.open(Purpose::Incoming);
            assert!(held.grow(4_096).is_ok());
            sleep(ms(600)).await;
            drop(write);
        })
        .await;
    });
}
