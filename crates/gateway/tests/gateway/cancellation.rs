//! What is given up halfway leaves nothing behind, and nothing untrue
//! (docs/design/cancellation.md).

use crate::support::{Act, Server, World, run};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// An attempt is given up for another one while its connection still comes up: the request
/// was not sent, and its client may be told so.
#[test]
fn an_attempt_given_up_before_it_was_sent_has_not_run() {
    run(async {
        let mut servers = [
            Server::start_frail("a", Act::Silent).await,
            Server::start_frail("b", Act::Silent).await,
        ];
        let world = World::new().await;
        let gateway = world.ready(&[&servers[0], &servers[1]]).await;
        for server in &mut servers {
            server.lose_power().await;
        }
        // A quarter of this is waited for an answer, less than for a connection.
        let fields = "Request: r1\r\nDeadline: 800\r\n";
        let reply = gateway.ask("GET", "/safe/1", fields, "").await;
        assert_eq!(reply.head.status, 503, "{}", reply.text());
        assert!(reply.head.headers.has("come-back-ms"));
        assert!(servers.iter().all(|server| server.count() == 0));
    });
}

/// The rest of a refusal is read beside the request; where it never comes, nobody waits.
#[test]
fn a_refusal_that_is_cut_short_holds_its_connection_for_a_moment_only() {
    run(async {
        let (cut, sound) = (
            Server::start("a", Act::NotRunCutShort).await,
            Server::start("b", Act::Answer(200, "fine".to_owned())).await,
        );
        let world = World::new().await;
        // The one that refuses is in the gateway's own zone: it is asked first.
        world.list_in(&cut, "z1").await;
        world.list_in(&sound, "z2").await;
        let gateway = world.gateway_in("g1", "z1").await;
        gateway.wait_ready(2).await;
        let reply = gateway
            .ask("POST", "/unsafe/1", "Request: r1\r\n", "x")
            .await;
        assert_eq!(reply.text(), "fine");
        assert_eq!(cut.count(), 1);
        let until = Instant::now() + Duration::from_secs(3);
        while cut.closed_early.get() == 0 {
            assert!(Instant::now() < until, "its connection is still held");
            sleep(Duration::from_millis(20)).await;
        }
    });
}

/// A planned stop waits until no request is under way.
#[test]
fn a_request_whose_task_ends_early_is_under_way_no_more() {
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
