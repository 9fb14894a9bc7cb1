//! Streams that continue while servers of several software versions serve.

use crate::support::{Act, Gateway, SERVERS, Server, World, run};
use std::time::Duration;

/// Number of streams of a test. If the version were ignored, about half of them would mix versions.
const STREAMS: usize = 12;

/// A server of a software version whose events carry the name of that version.
async fn versioned_server(world: &World, id: &str, version: &str) -> Server {
    let server = Server::start(id, Act::Paced(texts(version), Duration::from_millis(20))).await;
    world.list_running(&server, version).await;
    server
}

fn texts(version: &str) -> Vec<String> {
    vec![version.to_owned(); 6]
}

/// Returns the versions in the events of a response body.
fn versions(body: &str) -> Vec<&str> {
    body.lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect()
}

/// Starts a stream and disconnects after its first event. Returns the version that sent it.
async fn begin_stream(gateway: &Gateway, id: &str) -> String {
    let mut client = gateway.client().await;
    let fields = format!("Request: {id}\r\n");
    client.send("POST", "/resume/1", &fields, "A;").await;
    let body = client.body_until("\n\n").await;
    versions(&body).first().expect("an event").to_string()
}

/// Resumes a stream after its first event under a new request id.
fn resume_fields(id: &str, resumed: &str) -> String {
    format!("Request: {id}\r\nResumes: {resumed}\r\nLast-Event: 0\r\n")
}

/// Guards against a stream that a client resumes at another daemon, where it goes on at a server of
/// another software version.
#[test]
fn stream_resumed_at_another_daemon_keeps_its_software_version() {
    run(async {
        let world = World::new().await;
        let _v1 = versioned_server(&world, "a", "v1").await;
        let _v2 = versioned_server(&world, "b", "v2").await;
        let first = world.gateway("g1").await;
        let second = world.gateway("g2").await;
        first.wait_ready(2).await;
        second.wait_ready(2).await;
        for number in 0..STREAMS {
            let id = format!("s{number}");
            let version = begin_stream(&first, &id).await;
            let fields = resume_fields(&format!("{id}-again"), &id);
            let reply = second.ask("POST", "/resume/1", &fields, "A;").await;
            assert_eq!(reply.head.status, 200);
            assert!(reply.complete);
            assert_eq!(versions(&reply.text()), vec![version; 5], "stream {id}");
        }
    });
}

/// Guards against a stream that breaks off and goes on in the same response at a server of another
/// software version.
#[test]
fn stream_continued_in_one_response_keeps_its_software_version() {
    run(async {
        let world = World::new().await;
        let servers = [("a", "v1"), ("b", "v1"), ("c", "v2"), ("d", "v2")];
        let mut running = Vec::new();
        for (id, version) in servers {
            let server = Server::start(id, Act::BreakUnlessResumed(texts(version), 2)).await;
            world.list_running(&server, version).await;
            running.push(server);
        }
        let gateway = world.gateway("g1").await;
        gateway.wait_ready(running.len()).await;
        for number in 0..STREAMS {
            let fields = format!("Request: s{number}\r\n");
            let reply = gateway.ask("POST", "/resume/1", &fields, "A;").await;
            assert_eq!(reply.head.status, 200);
            assert!(reply.complete, "stream s{number} broke off");
            let text = reply.text();
            let versions = versions(&text);
            assert_eq!(versions, vec![versions[0]; 6], "stream s{number}");
        }
    });
}

/// Without a published version nothing shows that another server could continue a stream.
#[test]
fn stream_of_a_server_without_a_version_does_not_continue_at_another() {
    run(async {
        let world = World::new().await;
        let mut running = Vec::new();
        for id in ["a", "b"] {
            let server = Server::start(id, Act::BreakUnlessResumed(texts(id), 2)).await;
            let entry = format!("service {}", server.address);
            world.put(SERVERS, id, &entry).await;
            running.push(server);
        }
        let gateway = world.gateway("g1").await;
        gateway.wait_ready(running.len()).await;
        let reply = gateway
            .ask("POST", "/resume/1", "Request: s1\r\n", "A;")
            .await;
        assert!(!reply.complete, "continued at another server");
        assert_eq!(versions(&reply.text()).len(), 2);
        assert_eq!(running[0].count() + running[1].count(), 1);
    });
}
