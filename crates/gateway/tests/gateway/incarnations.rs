//! Entries of servers that start again under their name, and entries of other writers.

use crate::support::{Act, Gateway, SERVERS, Server, World, run};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// An entry is read at once; servers are looked at every 150 ms.
const IN_FORCE: Duration = Duration::from_millis(600);

async fn ask(gateway: &Gateway, times: usize) {
    for number in 0..times {
        let fields = format!("Request: r{number}\r\n");
        let reply = gateway.ask("GET", "/safe/1", &fields, "").await;
        assert_eq!(reply.head.status, 200);
    }
}

/// Asks until a server was asked.
async fn ask_until(gateway: &Gateway, server: &Server) {
    let before = server.count();
    let until = Instant::now() + Duration::from_secs(3);
    while server.count() == before {
        assert!(Instant::now() < until, "{} gets nothing", server.id);
        ask(gateway, 4).await;
    }
}

fn plain() -> Act {
    Act::Answer(200, "ok".to_owned())
}

#[test]
fn an_entry_that_cannot_be_read_names_no_server_and_the_others_hold() {
    run(async {
        let s1 = Server::start("s1", plain()).await;
        let s2 = Server::start("s2", plain()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&s1]).await;
        ask_until(&gateway, &s1).await;
        world.list(&s2).await;
        world.put(SERVERS, "s1", "service nowhere").await;
        world.put(SERVERS, "other", "\u{0}").await;
        sleep(IN_FORCE).await;
        let before = s1.count();
        ask(&gateway, 12).await;
        assert_eq!(
            s1.count(),
            before,
            "a server without a readable entry is used"
        );
        world.list(&s1).await;
        let leaving = format!("service {} draining", s2.address);
        world.put(SERVERS, "s2", &leaving).await;
        ask_until(&gateway, &s1).await;
    });
}

#[test]
fn a_server_that_starts_again_under_its_name_takes_work_again() {
    run(async {
        let s1 = Server::start("s1", plain()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&s1]).await;
        let entry = |more: &str| format!("service {} {more}", s1.address);
        world.put(SERVERS, "s1", &entry("born=1 draining")).await;
        sleep(IN_FORCE).await;
        let reply = gateway.ask("GET", "/safe/1", "Request: r\r\nDeadline: 300\r\n", "");
        assert_ne!(reply.await.head.status, 200, "a leaving server is used");
        world.put(SERVERS, "s1", &entry("born=2")).await;
        ask_until(&gateway, &s1).await;
        // Its clock was set back meanwhile: another start all the same.
        world.put(SERVERS, "s1", &entry("born=2 draining")).await;
        world.put(SERVERS, "s1", &entry("born=1")).await;
        ask_until(&gateway, &s1).await;
    });
}

/// What is kept of the process before, here its connections, is not used for the next one.
#[test]
fn a_server_that_started_again_gets_connections_of_its_own() {
    run(async {
        let s1 = Server::start("s1", plain()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&s1]).await;
        let entry = |born: u64| format!("service {} born={born}", s1.address);
        world.put(SERVERS, "s1", &entry(1)).await;
        sleep(IN_FORCE).await;
        ask(&gateway, 3).await;
        let connections = gateway.daemon.metrics.connections.get();
        ask(&gateway, 3).await;
        assert_eq!(gateway.daemon.metrics.connections.get(), connections);
        world.put(SERVERS, "s1", &entry(2)).await;
        sleep(IN_FORCE).await;
        ask(&gateway, 3).await;
        assert_eq!(gateway.daemon.metrics.connections.get(), connections + 1);
        assert_eq!(gateway.daemon.directory.borrow().len(), 1);
    });
}
