//! Forwarding of requests and responses, retries, cancellation and draining servers.

use crate::support::{Act, SERVERS, Server, World, run};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

fn respond_with(text: &str) -> Act {
    Act::Answer(200, text.to_owned())
}

/// Guards against changes to the target, the body or the fields of a forwarded request, against
/// forwarded hop-by-hop fields, and against a deadline that grows on the way.
#[test]
fn request_and_response_are_forwarded() {
    run(async {
        let server = Server::start("s1", Act::Answer(201, "made".to_owned())).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let mut client = gateway.client().await;
        client
            .raw(
                b"PUT /safe/a%20b?q=1&r=%2F HTTP/1.1\r\nhost: test.example\r\nRequest: id-7\r\n\
                Other: kept\r\nConnection: keep-alive, private\r\nPrivate: dropped\r\n\
                Deadline: 900\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
            )
            .await;
        let reply = client.reply().await;
        assert_eq!((reply.head.status, reply.text().as_str()), (201, "made"));
        assert_eq!(reply.head.headers.text("signed"), Some("yes"));
        let seen = server.seen.borrow()[0].clone();
        assert_eq!(seen.head.method, "PUT");
        assert_eq!(seen.head.target, "/safe/a%20b?q=1&r=%2F");
        assert_eq!(seen.body, b"abcde");
        assert_eq!(seen.head.headers.text("request"), Some("id-7"));
        assert_eq!(seen.head.headers.text("other"), Some("kept"));
        assert_eq!(seen.head.headers.text("server"), Some("s1"));
        assert!(!seen.head.headers.has("private"));
        let forwarded_ms: u64 = seen
            .head
            .headers
            .text("deadline")
            .unwrap_or("")
            .parse()
            .expect("a time");
        assert!(
            forwarded_ms <= 900,
            "deadline was extended: {forwarded_ms} ms"
        );
        // The same connection serves another request.
        client.send("GET", "/safe/2", "Request: id-8\r\n", "").await;
        assert_eq!(client.reply().await.head.status, 201);
    });
}

/// Guards against a second attempt of a non-retryable request that may have run.
#[test]
fn non_retryable_request_runs_at_most_once() {
    run(async {
        let (a, b) = (
            Server::start("a", Act::Reset).await,
            Server::start("b", Act::Reset).await,
        );
        let world = World::new().await;
        let gateway = world.ready(&[&a, &b]).await;
        let reply = gateway
            .ask("POST", "/unsafe/1", "Request: r1\r\n", "x")
            .await;
        assert_eq!(reply.head.status, 502);
        assert_eq!(a.count() + b.count(), 1);
    });
}

/// Guards against more attempts than the route allows, and against servers that stay unused after a
/// failure although no other is left.
#[test]
fn retryable_request_is_retried_up_to_the_attempt_limit() {
    run(async {
        let servers = [
            Server::start("a", Act::Reset).await,
            Server::start("b", Act::Reset).await,
            Server::start("c", Act::Reset).await,
        ];
        let world = World::new().await;
        let gateway = world.ready(&[&servers[0], &servers[1], &servers[2]]).await;
        let reply = gateway.ask("GET", "/safe/1", "Request: r1\r\n", "").await;
        assert_eq!(reply.head.status, 502);
        let attempts: usize = servers.iter().map(Server::count).sum();
        assert_eq!(attempts, 2, "the route allows two attempts");
        for server in &servers {
            server.set(respond_with("fine"));
        }
        let reply = gateway.ask("GET", "/safe/1", "Request: r2\r\n", "").await;
        assert_eq!(reply.text(), "fine");
    });
}

/// Guards against a request that uses up its time at a server whose response was lost.
#[test]
fn overdue_retryable_request_is_retried_before_its_deadline() {
    run(async {
        let (silent, responsive) = (
            Server::start("a", Act::Silent).await,
            Server::start("b", respond_with("fine")).await,
        );
        let world = World::new().await;
        // The silent server is in the zone of the gateway, so it is tried first.
        world.list_in(&silent, "z1").await;
        world.list_in(&responsive, "z2").await;
        let gateway = world.gateway_in("g1", "z1").await;
        gateway.wait_ready(2).await;
        let started = Instant::now();
        let fields = "Request: r1\r\nDeadline: 800\r\n";
        let reply = gateway.ask("GET", "/safe/1", fields, "").await;
        assert_eq!(reply.text(), "fine");
        assert!(
            started.elapsed() < Duration::from_millis(500),
            "waited for the silent server"
        );
        assert_eq!(silent.count(), 1);
        // The abandoned request is cancelled at the server.
        sleep(Duration::from_millis(50)).await;
        assert_eq!(silent.client_disconnects.get(), 1);
    });
}

/// Guards against a non-retryable request that is abandoned while its response may still arrive.
#[test]
fn overdue_non_retryable_request_waits_until_its_deadline() {
    run(async {
        let (a, b) = (
            Server::start("a", Act::Silent).await,
            Server::start("b", Act::Silent).await,
        );
        let world = World::new().await;
        let gateway = world.ready(&[&a, &b]).await;
        let started = Instant::now();
        let fields = "Request: r1\r\nDeadline: 600\r\n";
        let reply = gateway.ask("POST", "/unsafe/1", fields, "x").await;
        assert_eq!(reply.head.status, 504);
        assert!(
            started.elapsed() >= Duration::from_millis(550),
            "abandoned too early"
        );
        assert_eq!(a.count() + b.count(), 1);
    });
}

/// Guards against a refusal that is passed on although another server has capacity, and against one
/// that reaches the client late.
#[test]
fn refused_request_goes_to_another_server_or_gets_503() {
    run(async {
        let (a, b) = (
            Server::start("a", Act::NotRun).await,
            Server::start("b", Act::NotRun).await,
        );
        let world = World::new().await;
        let gateway = world.ready(&[&a, &b]).await;
        let started = Instant::now();
        let reply = gateway
            .ask("POST", "/unsafe/1", "Request: r1\r\n", "x")
            .await;
        assert_eq!(reply.head.status, 503);
        assert!(reply.head.headers.has("come-back-ms"));
        assert!(
            started.elapsed() < Duration::from_millis(500),
            "refusal was delayed"
        );
        b.set(respond_with("taken"));
        a.set(Act::NotRun);
        sleep(Duration::from_millis(100)).await;
        let reply = gateway
            .ask("POST", "/unsafe/2", "Request: r2\r\n", "x")
            .await;
        assert_eq!(reply.text(), "taken");
    });
}

/// Guards against a 503 while a server is full only for a moment.
#[test]
fn request_waits_for_a_full_server_to_regain_capacity() {
    run(async {
        let server = Rc::new(Server::start("a", Act::NotRun).await);
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let full_server = server.clone();
        ntex::rt::spawn(async move {
            sleep(Duration::from_millis(150)).await;
            full_server.set(respond_with("taken"));
        });
        let reply = gateway
            .ask("POST", "/unsafe/1", "Request: r1\r\n", "x")
            .await;
        assert_eq!(reply.text(), "taken");
    });
}

/// Guards against a client that gets the response to another request, because a server sent it late
/// on a reused connection.
#[test]
fn responses_to_other_requests_are_skipped() {
    run(async {
        let server = Server::start("s1", Act::OtherResponseFirst("mine".to_owned())).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        for number in 0..3 {
            let fields = format!("Request: r{number}\r\n");
            let reply = gateway.ask("POST", "/unsafe/1", &fields, "x").await;
            assert_eq!(reply.text(), "mine");
            assert_eq!(
                reply.head.headers.text("request"),
                Some(&*format!("r{number}"))
            );
        }
    });
}

/// Guards against a truncated response without a length that reaches the client as complete.
#[test]
fn response_without_length_is_complete_on_close_but_not_on_reset() {
    run(async {
        let server = Server::start("s1", Act::Unframed("all of it".to_owned(), false)).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let reply = gateway
            .ask("POST", "/unsafe/1", "Request: r1\r\n", "x")
            .await;
        assert_eq!(
            (reply.head.status, reply.text().as_str()),
            (200, "all of it")
        );
        server.set(Act::Unframed("part".to_owned(), true));
        let reply = gateway
            .ask("POST", "/unsafe/2", "Request: r2\r\n", "x")
            .await;
        assert_eq!(reply.head.status, 502);
    });
}

/// Guards against a server that continues to work for a client which has disconnected.
#[test]
fn client_disconnect_cancels_its_request() {
    run(async {
        let server = Server::start("s1", Act::Silent).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let mut client = gateway.client().await;
        client
            .send("POST", "/unsafe/1", "Request: r1\r\n", "x")
            .await;
        while server.count() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        drop(client);
        sleep(Duration::from_millis(200)).await;
        assert_eq!(server.client_disconnects.get(), 1);
        assert_eq!(gateway.daemon.in_flight.get(), 0);
    });
}

/// Guards against a client that waits past its deadline for a server which never responds.
#[test]
fn unanswered_request_ends_at_its_deadline() {
    run(async {
        let server = Server::start("s1", Act::Silent).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let started = Instant::now();
        let reply = gateway
            .ask("POST", "/unsafe/1", "Request: r1\r\nDeadline: 300\r\n", "x")
            .await;
        assert_eq!(reply.head.status, 504);
        let took = started.elapsed().as_millis();
        assert!((280..700).contains(&took), "{took} ms");
        assert_eq!(server.count(), 1);
    });
}

/// Guards against a draining server that is still selected, also if no other server is left.
#[test]
fn draining_server_gets_no_new_requests() {
    run(async {
        let (a, b) = (
            Server::start("a", respond_with("a")).await,
            Server::start("b", respond_with("b")).await,
        );
        let world = World::new().await;
        let gateway = world.ready(&[&a, &b]).await;
        let draining_entry = format!("service {} draining", a.address);
        world.put(SERVERS, "a", &draining_entry).await;
        sleep(Duration::from_millis(400)).await;
        let before = a.count();
        for number in 0..20 {
            let fields = format!("Request: r{number}\r\n");
            assert_eq!(gateway.ask("GET", "/safe/1", &fields, "").await.text(), "b");
        }
        assert_eq!(a.count(), before);
        world.put(SERVERS, "b", "").await;
        sleep(Duration::from_millis(400)).await;
        let reply = gateway.ask("GET", "/safe/1", "Request: last\r\n", "").await;
        assert_eq!(reply.head.status, 503);
    });
}

/// Guards against a planned stop that fails requests, either those in progress or those that arrive
/// on connections which are still open.
#[test]
fn planned_stop_finishes_requests_and_closes_connections() {
    run(async {
        let slow = Act::Slow(Duration::from_millis(400), "whole".to_owned());
        let server = Server::start("s1", slow).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let mut client = gateway.client().await;
        let mut idle = gateway.client().await;
        client
            .send("POST", "/unsafe/1", "Request: r1\r\n", "x")
            .await;
        while server.count() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        let daemon = gateway.daemon.clone();
        let stopped = ntex::rt::spawn(fieldhook_gateway::drain::run(daemon));
        sleep(Duration::from_millis(20)).await;
        assert!(!gateway.daemon.is_ready());
        // A request on a kept-alive connection that arrives after the stop began is served.
        idle.send("POST", "/unsafe/2", "Request: r2\r\n", "x").await;
        for client in [&mut client, &mut idle] {
            let reply = client.reply().await;
            assert_eq!(reply.text(), "whole");
            assert_eq!(reply.head.headers.text("connection"), Some("close"));
        }
        let _ = stopped.await;
        assert_eq!(gateway.daemon.in_flight.get(), 0);
    });
}

/// Guards against a request that is accepted so late in a planned stop that the process is killed
/// while it runs.
#[test]
fn planned_stop_refuses_requests_that_it_could_not_finish() {
    run(async {
        let slow = Act::Slow(Duration::from_millis(1_950), "whole".to_owned());
        let server = Server::start("s1", slow).await;
        let world = World::new().await;
        let gateway = world.ready(&[&server]).await;
        let mut client = gateway.client().await;
        let mut idle = gateway.client().await;
        client
            .send("POST", "/unsafe/1", "Request: r1\r\n", "x")
            .await;
        sleep(Duration::from_millis(100)).await;
        ntex::rt::spawn(fieldhook_gateway::drain::run(gateway.daemon.clone()));
        // Requests are refused after 0.375 (`drain::REFUSE_AFTER`) of the grace period of 4,000 ms,
        // that is, after 1,500 ms.
        sleep(Duration::from_millis(1_600)).await;
        idle.send("POST", "/unsafe/2", "Request: r2\r\n", "x").await;
        let reply = idle.reply().await;
        assert_eq!(reply.head.status, 503);
        assert_eq!(reply.head.headers.text("connection"), Some("close"));
        assert!(
            tokio::net::TcpStream::connect(gateway.address)
                .await
                .is_err()
        );
        assert_eq!(client.reply().await.text(), "whole");
        assert_eq!(server.count(), 1);
    });
}

/// Guards against retries that multiply the load on servers which are already full.
#[test]
fn retry_budget_bounds_attempts_when_all_servers_refuse() {
    run(async {
        let servers = [
            Server::start("s1", Act::NotRun).await,
            Server::start("s2", Act::NotRun).await,
        ];
        let world = World::new().await;
        let gateway = world.ready(&[&servers[0], &servers[1]]).await;
        let started = Instant::now();
        let requests = (0..100).map(|number| {
            let fields = format!("Request: r{number}\r\n");
            let gateway = &gateway;
            async move { gateway.ask("GET", "/safe/1", &fields, "").await }
        });
        for reply in futures_util::future::join_all(requests).await {
            assert_eq!(reply.head.status, 503);
            assert!(reply.head.headers.has("come-back-ms"));
        }
        let attempts = servers[0].count() + servers[1].count();
        // One attempt per request, plus the saved retry budget (`MAX_SAVED`), plus the retries
        // added each second (`PER_SECOND`).
        let max_attempts = 100 + 200 + 20 * (started.elapsed().as_secs() as usize + 1);
        assert!(
            attempts <= max_attempts,
            "{attempts} attempts, {max_attempts} allowed"
        );
    });
}
