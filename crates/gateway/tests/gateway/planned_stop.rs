//! Requests that arrive late in a planned stop.

use crate::support::{Act, Gateway, Server, World, config, run};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// The gateways of the tests refuse new requests 1,500 ms after the signal and exit after 3,400 ms.
const BEFORE_REFUSAL: Duration = Duration::from_millis(1_300);

/// How long a request waits for a server that is full.
const WAIT: Duration = Duration::from_millis(250);

/// Two gateways whose routes let requests take longer than a planned stop. The second one takes over
/// the partitions of the first.
async fn gateways_with_long_routes(server: &Server) -> [Gateway; 2] {
    let world = World::new().await;
    let mut long = config(1);
    for route in &mut long.routes {
        route.timeout_ms = 10_000;
    }
    world.configs.borrow_mut()[0] = long;
    world.list(server).await;
    let gateways = world.settled_gateways(&["g1", "g2"], 1).await;
    gateways.try_into().ok().expect("two gateways")
}

/// Sends the signal for a planned stop and returns when.
fn stop(gateway: &Gateway) -> Instant {
    ntex::rt::spawn(fieldhook_gateway::drain::run(gateway.daemon.clone()));
    Instant::now()
}

fn slow(ms: u64) -> Act {
    Act::Slow(Duration::from_millis(ms), "whole".to_owned())
}

fn paced(events: usize) -> Act {
    let events = vec!["word".to_owned(); events];
    Act::Paced(events, Duration::from_millis(50))
}

/// Guards against a request that is passed on to a server and cut when the process exits.
#[test]
fn request_that_would_outlast_the_stop_is_refused() {
    run(async {
        for (path, act) in [("/unsafe/1", slow(2_500)), ("/chat/1", paced(50))] {
            let server = Server::start("s1", act).await;
            let [gateway, _other] = gateways_with_long_routes(&server).await;
            let earlier = gateway.ask("POST", path, "Request: r1\r\n", "x").await;
            assert!(earlier.complete, "{path}");
            let mut open = gateway.client().await;
            let signal = stop(&gateway);
            sleep_until(signal + BEFORE_REFUSAL).await;
            open.send("POST", path, "Request: r2\r\n", "x").await;
            let reply = open.reply().await;
            assert_eq!(reply.head.status, 503, "{path}");
            assert!(reply.head.headers.has("come-back-ms"), "{path}");
            assert!(signal.elapsed() < BEFORE_REFUSAL + Duration::from_millis(200));
            assert_eq!(server.count(), 1, "{path}: sent to a server");
        }
    });
}

/// Guards against clients that are sent away although their requests would be served in time.
#[test]
fn request_that_would_finish_before_the_stop_is_served() {
    run(async {
        for (path, act) in [("/unsafe/1", slow(1_000)), ("/chat/1", paced(20))] {
            let server = Server::start("s1", act).await;
            let [gateway, _other] = gateways_with_long_routes(&server).await;
            gateway.ask("POST", path, "Request: r1\r\n", "x").await;
            let mut open = gateway.client().await;
            let signal = stop(&gateway);
            sleep_until(signal + BEFORE_REFUSAL).await;
            open.send("POST", path, "Request: r2\r\n", "x").await;
            let reply = open.reply().await;
            assert_eq!(reply.head.status, 200, "{path}");
            assert!(reply.complete, "{path}");
        }
    });
}

/// Guards against a request that waits for a server until the process is about to exit, and is then
/// passed on.
#[test]
fn request_that_waited_too_long_is_refused_and_not_sent() {
    run(async {
        let server = Server::start("s1", slow(1_600)).await;
        let [gateway, _other] = gateways_with_long_routes(&server).await;
        gateway
            .ask("POST", "/unsafe/1", "Request: r1\r\n", "x")
            .await;
        server.set(Act::NotRun);
        let mut open = gateway.client().await;
        let signal = stop(&gateway);
        sleep_until(signal + BEFORE_REFUSAL).await;
        open.send("POST", "/unsafe/2", "Request: r2\r\n", "x").await;
        sleep_until(signal + BEFORE_REFUSAL + WAIT).await;
        server.set(slow(1_600));
        let reply = open.reply().await;
        assert_eq!(reply.head.status, 503);
        assert!(signal.elapsed() < BEFORE_REFUSAL + 3 * WAIT);
    });
}

/// Guards against a request without known response times that is cut when the process exits.
#[test]
fn first_request_of_a_route_is_refused_if_its_deadline_comes_after_the_stop() {
    run(async {
        let server = Server::start("s1", slow(100)).await;
        let [gateway, _other] = gateways_with_long_routes(&server).await;
        let mut open = gateway.client().await;
        let mut other = gateway.client().await;
        stop(&gateway);
        sleep(Duration::from_millis(100)).await;
        open.send("POST", "/unsafe/1", "Request: r1\r\n", "x").await;
        assert_eq!(open.reply().await.head.status, 503);
        let fields = "Request: r2\r\nDeadline: 2000\r\n";
        other.send("POST", "/unsafe/2", fields, "x").await;
        assert_eq!(other.reply().await.head.status, 200);
    });
}
