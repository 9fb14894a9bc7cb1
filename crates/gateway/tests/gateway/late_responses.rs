//! Responses of servers that arrive once more, late, in the place of the next response on their
//! connection.

use crate::support::{Act, Server, World, run};
use std::collections::HashSet;
use std::time::Duration;
use tokio::time::sleep;

fn refused_once() -> Act {
    Act::NotRunOnceWithLateCopy("done".to_owned())
}

/// Guards against a late copy of a refusal that is taken for the response to the next attempt, which
/// runs, so that the request is sent and runs once more.
#[test]
fn refused_request_runs_once_if_its_refusal_arrives_again() {
    run(async {
        let server = Server::start("s1", refused_once()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let reply = gateway
            .ask("POST", "/unsafe/1", "Request: r1\r\n", "pay")
            .await;
        assert_eq!((reply.head.status, reply.text().as_str()), (200, "done"));
        assert_eq!(server.count(), 2, "one attempt is refused and one runs");
    });
}

/// The second attempt under the id comes from the client.
#[test]
fn request_sent_again_by_its_client_runs_once_if_its_refusal_arrives_again() {
    run(async {
        let server = Server::start("s1", refused_once()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        // Too little time for an attempt after the refusal.
        let fields = "Request: r1\r\nDeadline: 16\r\n";
        let reply = gateway.ask("POST", "/unsafe/1", fields, "pay").await;
        assert_eq!(reply.head.status, 503);
        let reply = gateway
            .ask("POST", "/unsafe/1", "Request: r1\r\n", "pay")
            .await;
        assert_eq!((reply.head.status, reply.text().as_str()), (200, "done"));
        assert_eq!(server.count(), 2, "one attempt is refused and one runs");
    });
}

/// Guards against a refusal without an id, which may belong to any request, that is taken for the
/// response to the newest one.
#[test]
fn refusal_without_an_id_does_not_show_that_a_request_did_not_run() {
    run(async {
        let server = Server::start("s1", Act::NotRunWithoutId).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let reply = gateway
            .ask("POST", "/unsafe/1", "Request: r1\r\n", "pay")
            .await;
        assert_eq!(reply.head.status, 502);
        assert_eq!(server.count(), 1);
    });
}

/// Guards against a connection that is opened for each refusal, just when servers are full.
#[test]
fn requests_that_are_refused_in_turn_share_connections() {
    run(async {
        let server = Server::start("s1", Act::NotRun).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let request = |number: u32| {
            let gateway = &gateway;
            async move {
                sleep(Duration::from_millis(5) * number).await;
                let fields = format!("Request: r{number}\r\n");
                gateway.ask("POST", "/unsafe/1", &fields, "pay").await
            }
        };
        let regain = async {
            while server.count() < 8 {
                sleep(Duration::from_millis(1)).await;
            }
            server.set(Act::Answer(200, "done".to_owned()));
        };
        let (a, b, ()) = futures_util::future::join3(request(0), request(1), regain).await;
        assert_eq!((a.head.status, b.head.status), (200, 200));
        let seen = server.seen.borrow();
        let connections: HashSet<_> = seen.iter().map(|seen| seen.accepted).collect();
        assert!(
            connections.len() <= 2,
            "{} connections for {} attempts",
            connections.len(),
            seen.len()
        );
    });
}

/// Guards against one request that takes many of the connections that a full server accepts.
#[test]
fn request_that_is_refused_again_and_again_keeps_few_connections_open() {
    run(async {
        let server = Server::start("s1", Act::NotRun).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let reply = gateway
            .ask("POST", "/unsafe/1", "Request: r1\r\n", "pay")
            .await;
        assert_eq!(reply.head.status, 503);
        let (attempts, connections) = (server.count(), server.connections.get());
        assert!(attempts >= 5, "only {attempts} attempts");
        assert!(connections <= 3, "{connections} open connections");
    });
}
