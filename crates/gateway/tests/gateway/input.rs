//! Invalid requests and configurations: they are refused without reaching a server, and the
//! configuration in use stays.

use crate::support::{Act, Server, World, config, run};
use std::time::Duration;
use tokio::time::sleep;

fn answer_ok() -> Act {
    Act::Answer(200, "ok".to_owned())
}

#[test]
fn ambiguous_and_malformed_requests_are_refused() {
    run(async {
        let server = Server::start("s1", answer_ok()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let cases: [(&str, u16); 8] = [
            (
                "POST /safe/1 HTTP/1.1\r\nRequest: a\r\nContent-Length: 0\r\n\r\n",
                400,
            ),
            (
                "POST /safe/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\nRequest: a\r\nContent-Length: 0\r\n\r\n",
                400,
            ),
            (
                "POST /safe/1 HTTP/1.1\r\nHost: test.example\r\nRequest: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                400,
            ),
            (
                "POST /safe/1 HTTP/1.1\r\nHost: test.example\r\nRequest: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                400,
            ),
            (
                "POST /safe/1 HTTP/1.1\r\nHost: test.example\r\nRequest: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                400,
            ),
            (
                "POST /safe/1 HTTP/1.1\r\nHost: test.example\r\nRequest: a\r\nTransfer-Encoding: chunked\r\n\r\nnonsense\r\n",
                400,
            ),
            ("no request at all\r\n\r\n", 400),
            (
                "GET http://elsewhere/ HTTP/1.1\r\nHost: test.example\r\n\r\n",
                400,
            ),
        ];
        for (message, status) in cases {
            let mut client = gateway.client().await;
            client.raw(message.as_bytes()).await;
            assert_eq!(client.reply().await.head.status, status, "{message}");
            assert!(client.is_closed().await, "{message}");
        }
        assert_eq!(server.count(), 0);
    });
}

#[test]
fn requests_over_the_limits_are_refused() {
    run(async {
        let server = Server::start("s1", answer_ok()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let long = format!("Request: a\r\nLong: {}\r\n", "x".repeat(3_000));
        let reply = gateway.ask("GET", "/safe/1", &long, "").await;
        assert_eq!(reply.head.status, 431);
        let reply = gateway
            .ask("POST", "/safe/1", "Request: a\r\n", &"x".repeat(10_001))
            .await;
        assert_eq!(reply.head.status, 413);
        let mut client = gateway.client().await;
        let chunked = format!(
            "POST /safe/1 HTTP/1.1\r\nHost: test.example\r\nRequest: a\r\nTransfer-Encoding: chunked\r\n\r\n2800\r\n{}",
            "x".repeat(0x2800)
        );
        client.raw(chunked.as_bytes()).await;
        assert_eq!(client.reply().await.head.status, 413);
        assert_eq!(server.count(), 0);
    });
}

#[test]
fn an_incomplete_request_is_not_forwarded() {
    run(async {
        let server = Server::start("s1", answer_ok()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let incomplete = "POST /unsafe/1 HTTP/1.1\r\nHost: test.example\r\nRequest: a\r\nContent-Length: 10\r\n\r\nhalf";
        let mut client = gateway.client().await;
        client.raw(incomplete.as_bytes()).await;
        drop(client);
        let mut slow = gateway.client().await;
        slow.raw(incomplete.as_bytes()).await;
        assert_eq!(slow.reply().await.head.status, 408);
        assert_eq!(server.count(), 0);
    });
}

#[test]
fn a_request_inside_a_body_is_not_executed() {
    run(async {
        let server = Server::start("s1", answer_ok()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let hidden = "GET /safe/hidden HTTP/1.1\r\nHost: test.example\r\nRequest: b\r\n\r\n";
        let reply = gateway
            .ask("POST", "/safe/1", "Request: a\r\n", hidden)
            .await;
        assert_eq!(reply.head.status, 200);
        sleep(Duration::from_millis(50)).await;
        let seen = server.seen.borrow();
        assert_eq!(seen.len(), 1);
        assert_eq!(seen[0].body, hidden.as_bytes());
    });
}

#[test]
fn unknown_routes_unknown_turns_and_malformed_fields_are_refused() {
    run(async {
        let server = Server::start("s1", answer_ok()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let cases = [
            ("/nowhere/1", "Request: a\r\n", 404),
            ("/safe/1", "", 400),
            (
                "/chat/1",
                "Request: a\r\nProgram: p\r\nBudget: many\r\n",
                400,
            ),
            (
                "/chat/1",
                "Request: a\r\nProgram: p\r\nDeadline: soon\r\n",
                400,
            ),
            (
                "/chat/1",
                "Request: a\r\nProgram: p\r\nPrevious: never\r\n",
                404,
            ),
        ];
        for (path, fields, status) in cases {
            let reply = gateway.ask("POST", path, fields, "x").await;
            assert_eq!(reply.head.status, status, "{path} {fields}");
        }
        assert_eq!(server.count(), 0);
    });
}

#[test]
fn without_a_configuration_requests_are_refused_with_a_retry_delay() {
    run(async {
        let world = World::new().await;
        world.put(crate::support::CONFIG, "config", "").await;
        let gateway = world.gateway("g1").await;
        let reply = gateway.ask("GET", "/safe/1", "Request: a\r\n", "").await;
        assert_eq!(reply.head.status, 503);
        assert!(reply.head.headers.has("come-back-ms"));
        assert!(!gateway.daemon.is_ready());
    });
}

#[test]
fn a_request_during_startup_waits_for_the_configuration() {
    run(async {
        let server = Server::start("s1", answer_ok()).await;
        let world = World::new().await;
        world.list(&server).await;
        world.put(crate::support::CONFIG, "config", "").await;
        let gateway = world.gateway("g1").await;
        let published = async {
            sleep(Duration::from_millis(120)).await;
            world.publish(0).await;
        };
        let request = gateway.ask("GET", "/safe/1", "Request: a\r\n", "");
        let (reply, ()) = futures_util::future::join(request, published).await;
        assert_eq!(reply.head.status, 200);
    });
}

#[test]
fn unreadable_and_older_configurations_leave_the_current_one_in_use() {
    run(async {
        let server = Server::start("s1", answer_ok()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let version = || {
            let routes = gateway.daemon.routes.borrow();
            routes.as_ref().map(|table| table.config.version)
        };
        world
            .put(crate::support::CONFIG, "config", "nonsense")
            .await;
        world
            .put(crate::support::SERVERS, "s9", "service nowhere")
            .await;
        sleep(Duration::from_millis(100)).await;
        assert_eq!(version(), Some(1));
        let mut newer = config(9);
        newer.routes.remove(0);
        world.configs.borrow_mut().extend([newer, config(5)]);
        world.publish(1).await;
        world.publish(2).await;
        sleep(Duration::from_millis(100)).await;
        assert_eq!(version(), Some(9));
        let reply = gateway.ask("GET", "/safe/1", "Request: a\r\n", "").await;
        assert_eq!(reply.head.status, 404, "the route was removed by version 9");
    });
}
