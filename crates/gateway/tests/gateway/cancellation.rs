//! Abandoned work releases its resources and is reported correctly (docs/design/cancellation.md).

use crate::support::{Act, Server, World, run};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// If an attempt is abandoned while its connection is still being established, the request was not
/// sent, and the client may receive a response saying that it was not run.
#[test]
fn attempt_abandoned_while_connecting_has_not_run() {
    run(async {
        let mut servers = [
            Server::start_with_power_switch("a", Act::Silent).await,
            Server::start_with_power_switch("b", Act::Silent).await,
        ];
        let world = World::new().await;
        let gateway = world.ready(&[&servers[0], &servers[1]]).await;
        for server in &mut servers {
            server.lose_power().await;
        }
        // The attempt timeout is a quarter of this, which is less than the connect timeout.
        let fields = "Request: r1\r\nDeadline: 800\r\n";
        let reply = gateway.ask("GET", "/safe/1", fields, "").await;
        assert_eq!(reply.head.status, 503, "{}", reply.text());
        assert!(reply.head.headers.has("come-back-ms"));
        assert!(servers.iter().all(|server| server.count() == 0));
    });
}

/// The rest of a refusal is read in the background; if it never arrives, nothing waits for it.
#[test]
fn truncated_refusal_releases_its_connection_soon() {
    run(async {
        let (truncating, responsive) = (
            Server::start("a", Act::NotRunTruncated).await,
            Server::start("b", Act::Answer(200, "fine".to_owned())).await,
        );
        let world = World::new().await;
        // The refusing server is in the zone of the gateway, so it is tried first.
        world.list_in(&truncating, "z1").await;
        world.list_in(&responsive, "z2").await;
        let gateway = world.gateway_in("g1", "z1").await;
        gateway.wait_ready(2).await;
        let reply = gateway
            .ask("POST", "/unsafe/1", "Request: r1\r\n", "x")
            .await;
        assert_eq!(reply.text(), "fine");
        assert_eq!(truncating.count(), 1);
        let deadline = Instant::now() + Duration::from_secs(3);
        while truncating.client_disconnects.get() == 0 {
            assert!(Instant::now() < deadline, "the connection is still open");
            sleep(Duration::from_millis(20)).await;
        }
    });
}

/// A planned stop waits until no request is in flight, so the request of a task that panics must
/// still be removed from the count.
#[test]
fn panicking_request_is_not_counted_as_in_flight() {
    run(async {
        let server = Server::start("a", Act::Answer(200, "fine".to_owned())).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let mut client = gateway.client().await;
        let fields = "Request: r1\r\nPanic: 1\r\n";
        client.send("GET", "/safe/1", fields, "").await;
        assert!(client.is_closed().await);
        let daemon = &gateway.daemon;
        assert_eq!(daemon.in_flight.get(), 0);
        assert_eq!(daemon.metrics.in_flight.get(), 0);
        assert_eq!(daemon.client_connections.get(), 0);
    });
}
