//! Loss of a zone's power, and network partitions between zones. docs/design/zones-lost.md
//! lists the kinds of network partition.

use crate::support::{Act, Gateway, Reply, SERVERS, Server, World, run};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_ledger::message::{Envelope, LedgerReply, LedgerRequest};
use fieldhook_log::reach::Reach;
use fieldhook_topology::zone::Map;
use nanoserde::{DeBin, SerBin};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// Time after which an owner that has not replied is suspected to be lost.
const OWNER_TIMEOUT: Duration = Duration::from_millis(250);

/// A stream of one event.
fn one_event() -> Act {
    Act::Events(vec!["one".to_owned()], None)
}

/// A listener on which connections are established but never answered, which is what a gateway
/// that is already connected to a machine sees when the machine loses power.
async fn silent_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("binds")
}

async fn two_gateways(world: &World, servers: &[&Server]) -> (Gateway, Gateway) {
    let a = world.ready(servers).await;
    let b = world.gateway("g2").await;
    b.wait_ready(servers.len()).await;
    sleep(Duration::from_millis(900)).await;
    (a, b)
}

/// A gateway that asks a lost owner later than another gateway does not wait for its own
/// timeout once a new owner has claimed the partition.
#[test]
fn a_request_to_a_lost_owner_ends_when_another_claims_the_partition() {
    run(async {
        let server = Server::start("s1", one_event()).await;
        let world = World::new().await;
        let (a, b) = two_gateways(&world, &[&server]).await;
        let lost_owner = silent_listener().await;
        let partition = fieldhook_ledger::partition_of("p", 2);
        let address = lost_owner.local_addr().expect("an address");
        world.claim_for(partition, address).await;
        sleep(Duration::from_millis(50)).await;

        let first = ntex::rt::spawn(async move {
            let fields = "Request: t1\r\nProgram: p\r\n";
            a.ask("POST", "/chat/1", fields, "A;").await.complete
        });
        sleep(Duration::from_millis(200)).await;
        let begun = Instant::now();
        let fields = "Request: t2\r\nProgram: p\r\n";
        assert!(b.ask("POST", "/chat/1", fields, "B;").await.complete);
        let elapsed = begun.elapsed();
        assert!(
            elapsed < OWNER_TIMEOUT - Duration::from_millis(50),
            "{elapsed:?}"
        );
        assert!(first.await.expect("ended"));
    });
}

/// Polls until a value is found.
async fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(
            begun.elapsed() < Duration::from_secs(4),
            "{what}: not in time"
        );
        sleep(Duration::from_millis(5)).await;
    }
}

async fn wait_for_reach(gateway: &Gateway, reach: Reach) {
    let is_reached = || (gateway.daemon.ledger.reach.get() == reach).then_some(());
    wait_for(&format!("{reach:?}"), is_reached).await;
}

/// Sends a request in a task of its own, which goes on if the result is dropped.
fn ask(
    gateway: &Rc<Gateway>,
    path: &'static str,
    fields: &'static str,
) -> impl Future<Output = Reply> + use<> {
    let gateway = gateway.clone();
    let task = ntex::rt::spawn(async move { gateway.ask("POST", path, fields, "A;").await });
    async move { task.await.expect("answered") }
}

#[test]
fn a_turn_on_a_machine_that_lost_power_is_abandoned_early() {
    run(async {
        let mut server = Server::start_with_power_switch("s1", Act::Silent).await;
        let world = World::new().await;
        let gateway = Rc::new(world.ready(&[&server]).await);
        sleep(Duration::from_millis(900)).await;
        let begun = Instant::now();
        let turn = ask(&gateway, "/chat/1", "Request: t1\r\nProgram: p\r\n");
        wait_for("sent", || (server.count() == 1).then_some(())).await;
        server.lose_power().await;
        let reply = turn.await;
        assert_eq!(reply.head.status, 502);
        let elapsed = begun.elapsed();
        assert!(elapsed < Duration::from_millis(1_500), "{elapsed:?}");
    });
}

/// The machine of the server can be reached, so the gateway waits for the response.
#[test]
fn a_turn_on_a_slow_server_is_not_abandoned() {
    run(async {
        let slow = Act::Slow(Duration::from_millis(1_700), "not run".to_owned());
        let server = Server::start("s1", slow).await;
        let world = World::new().await;
        let gateway = Rc::new(world.ready(&[&server]).await);
        sleep(Duration::from_millis(900)).await;
        let begun = Instant::now();
        let reply = ask(&gateway, "/resume/1", "Request: t1\r\nProgram: p\r\n").await;
        assert!(begun.elapsed() > Duration::from_millis(1_600));
        assert!(reply.complete);
        assert_eq!(server.client_disconnects.get(), 0);
        assert_eq!(server.count(), 1);
    });
}

#[test]
fn a_non_retryable_call_is_awaited_until_its_timeout() {
    run(async {
        let mut server = Server::start_with_power_switch("s1", Act::Silent).await;
        let world = World::new().await;
        let gateway = Rc::new(world.ready(&[&server]).await);
        let begun = Instant::now();
        let call = ask(&gateway, "/unsafe/1", "Request: t1\r\n");
        wait_for("sent", || (server.count() == 1).then_some(())).await;
        server.lose_power().await;
        assert_eq!(call.await.head.status, 504);
        assert!(begun.elapsed() > Duration::from_millis(1_900));
    });
}

#[test]
fn a_resumable_stream_continues_on_another_machine_after_a_power_loss() {
    run(async {
        let mut lost = Server::start_with_power_switch("s1", Act::Silent).await;
        let other = Server::start("s2", one_event()).await;
        let world = World::new().await;
        let gateway = Rc::new(world.ready(&[&lost]).await);
        sleep(Duration::from_millis(900)).await;
        let begun = Instant::now();
        let turn = ask(&gateway, "/resume/1", "Request: t1\r\nProgram: p\r\n");
        wait_for("sent", || (lost.count() == 1).then_some(())).await;
        lost.lose_power().await;
        world.list(&other).await;
        let reply = turn.await;
        assert!(reply.complete && reply.head.status == 200);
        let elapsed = begun.elapsed();
        assert!(elapsed < Duration::from_millis(1_500), "{elapsed:?}");
        assert_eq!(other.count(), 1);
    });
}

/// A gateway in a zone that is partitioned from two other zones: owners and servers there do
/// not answer, the server of its own zone does.
struct PartitionedZone {
    world: World,
    gateway: Rc<Gateway>,
    local_server: Server,
    remote_servers: Vec<Server>,
    _owners: Vec<TcpListener>,
}

impl PartitionedZone {
    async fn new(fault: LogFault) -> Self {
        let world = World::new().await;
        let local_server = Server::start("near", one_event()).await;
        world.list_in(&local_server, "z2").await;
        let mut remote_servers = Vec::new();
        for zone in ["z1", "z3"] {
            let server = Server::start_with_power_switch(zone, one_event()).await;
            world.list_in(&server, zone).await;
            remote_servers.push(server);
        }
        let gateway = Rc::new(world.gateway_in("g1", "z2").await);
        gateway.wait_ready(3).await;
        sleep(Duration::from_millis(900)).await;
        let mut owners = Vec::new();
        for partition in 0..2 {
            let owner = silent_listener().await;
            let address = owner.local_addr().expect("an address");
            world.claim_for(partition, address).await;
            owners.push(owner);
        }
        sleep(Duration::from_millis(50)).await;
        for server in &mut remote_servers {
            server.lose_power().await;
        }
        gateway.store.set_fault(fault);
        Self {
            world,
            gateway,
            local_server,
            remote_servers,
            _owners: owners,
        }
    }

    /// Sends a turn to an owner in another zone and waits until the gateway detects the
    /// partition.
    async fn detect_partition(&self) {
        let begun = Instant::now();
        drop(ask(
            &self.gateway,
            "/chat/1",
            "Request: t1\r\nProgram: p\r\n",
        ));
        wait_for_reach(&self.gateway, Reach::Minority).await;
        assert!(begun.elapsed() < Duration::from_millis(1_200));
        assert!(
            !self.gateway.daemon.is_ready(),
            "a gateway in a minority is not ready"
        );
    }

    /// Checks that turns are refused at once with a time after which to retry, and that calls,
    /// which need no owner, are served.
    async fn check_degraded_service(&self) {
        let begun = Instant::now();
        for path in ["/chat/1", "/resume/1"] {
            let fields = "Request: t2\r\nProgram: p\r\nBudget: 90\r\nMost: 40\r\n";
            let reply = self.gateway.ask("POST", path, fields, "A;").await;
            assert_eq!(reply.head.status, 503);
            assert!(reply.head.headers.has("come-back-ms"));
            assert!(
                !reply.head.keep_alive,
                "the connection is closed so that the client reconnects elsewhere"
            );
        }
        assert!(begun.elapsed() < Duration::from_millis(200));
        let fields = "Request: c1\r\n";
        self.local_server.set(Act::Answer(200, "ok".to_owned()));
        let reply = self.gateway.ask("POST", "/unsafe/1", fields, "A").await;
        assert_eq!(reply.head.status, 200);
    }

    /// Ends the partition and checks that the gateway serves turns again.
    async fn heal(&mut self) {
        for server in &mut self.remote_servers {
            server.regain_power();
        }
        self.gateway.store.set_fault(LogFault::None);
        wait_for_reach(&self.gateway, Reach::Log).await;
        assert!(self.gateway.daemon.is_ready());
        self.local_server.set(one_event());
        let fields = "Request: t3\r\nProgram: p\r\n";
        let reply = self.gateway.ask("POST", "/chat/1", fields, "A;").await;
        assert!(reply.complete && reply.head.status == 200);
    }
}

#[test]
fn a_partitioned_zone_without_the_log_sends_its_clients_elsewhere() {
    run(async {
        let mut zone = PartitionedZone::new(LogFault::Silent).await;
        let mut idle = zone.gateway.client().await;
        zone.detect_partition().await;
        zone.check_degraded_service().await;
        // Idle connections are closed too, once the platform had time to send new ones to
        // other gateways.
        assert!(idle.is_closed().await);
        zone.heal().await;
    });
}

/// The majority takes over the partitions that it cannot reach. If the minority claimed them
/// back, the two sides would take them from each other in turn.
#[test]
fn a_partitioned_zone_with_the_log_claims_no_partitions() {
    run(async {
        let mut zone = PartitionedZone::new(LogFault::None).await;
        // The first request may claim a partition before the gateway detects that it is cut
        // off.
        zone.detect_partition().await;
        let owner = silent_listener().await;
        let address = owner.local_addr().expect("an address");
        for partition in 0..2 {
            zone.world.claim_for(partition, address).await;
        }
        sleep(Duration::from_millis(50)).await;
        zone.check_degraded_service().await;
        sleep(Duration::from_millis(600)).await;
        for partition in 0..2 {
            let claim = zone.gateway.daemon.owner.claims.claim(partition);
            assert_eq!(claim.and_then(|claim| claim.address), Some(address));
        }
        zone.heal().await;
    });
}

/// The gateways that are cut off are a third of the fleet, spread over all zones: they reach
/// all servers but few owners.
#[test]
fn a_minority_of_the_fleet_without_the_log_sends_its_clients_elsewhere() {
    run(async {
        let server = Server::start("s1", one_event()).await;
        let world = World::new().await;
        world.partitions.set(6);
        let gateway = Rc::new(world.ready(&[&server]).await);
        sleep(Duration::from_millis(900)).await;
        let mut owners = Vec::new();
        for partition in 0..6 {
            let owner = silent_listener().await;
            let address = owner.local_addr().expect("an address");
            world.claim_for(partition, address).await;
            owners.push(owner);
        }
        sleep(Duration::from_millis(50)).await;
        gateway.store.set_fault(LogFault::Silent);
        drop(ask(&gateway, "/chat/1", "Request: t1\r\nProgram: p\r\n"));
        wait_for_reach(&gateway, Reach::Minority).await;
        assert!(!gateway.daemon.is_ready());
    });
}

/// An owner that replies that it is still reading its partition. Its first connection is closed
/// after 200 ms, as happens to a connection after a long interruption of the network.
async fn recovering_owner() -> SocketAddr {
    let listener = silent_listener().await;
    let address = listener.local_addr().expect("an address");
    ntex::rt::spawn(async move {
        let (first, _) = listener.accept().await.expect("a connection");
        let _ = timeout(Duration::from_millis(200), answer_unavailable(first)).await;
        while let Ok((stream, _)) = listener.accept().await {
            ntex::rt::spawn(answer_unavailable(stream));
        }
    });
    address
}

/// Answers all requests of a connection with [`LedgerReply::Unavailable`].
async fn answer_unavailable(mut stream: TcpStream) {
    while let Ok(len) = stream.read_u32().await {
        let mut frame = vec![0; len as usize];
        stream.read_exact(&mut frame).await.expect("a frame");
        let request = Envelope::<LedgerRequest>::deserialize_bin(&frame).expect("a request");
        let answer = Envelope {
            call_id: request.call_id,
            body: LedgerReply::Unavailable,
        };
        let answer = answer.serialize_bin();
        let _ = stream.write_u32(answer.len() as u32).await;
        let _ = stream.write_all(&answer).await;
    }
}

/// An owner is asked on a new connection before it is replaced. Otherwise gateways that were cut off
/// would claim partitions from healthy owners as soon as the network is back.
#[test]
fn an_owner_whose_connection_closed_is_asked_on_a_new_one_before_it_is_replaced() {
    run(async {
        let server = Server::start("s1", one_event()).await;
        let world = World::new().await;
        let gateway = Rc::new(world.ready(&[&server]).await);
        sleep(Duration::from_millis(900)).await;
        let owner = recovering_owner().await;
        let partition = fieldhook_ledger::partition_of("p", 2);
        world.claim_for(partition, owner).await;
        sleep(Duration::from_millis(50)).await;
        drop(ask(
            &gateway,
            "/chat/1",
            "Request: t1\r\nProgram: p\r\nDeadline: 800\r\n",
        ));
        sleep(Duration::from_millis(700)).await;
        let claim = gateway.daemon.owner.claims.claim(partition);
        assert_eq!(claim.and_then(|claim| claim.address), Some(owner));
    });
}

/// Guards against a probe of an address that another writer published under a service of no route.
#[test]
fn only_servers_of_configured_services_are_probed() {
    run(async {
        let world = World::new().await;
        *world.zones.borrow_mut() = Map::new([("z1", "r"), ("z2", "r")]);
        let local = Server::start("s1", one_event()).await;
        let remote = Server::start("s2", one_event()).await;
        world.list_in(&local, "z1").await;
        world.list_in(&remote, "z2").await;
        let foreign = silent_listener().await;
        let address = foreign.local_addr().expect("an address");
        let entry = format!("nowhere {address} zone=z2");
        world.put(SERVERS, "foreign", &entry).await;
        let gateway = world.gateway("g1").await;
        gateway.wait_ready(3).await;
        let lost_owner = silent_listener().await;
        let partition = fieldhook_ledger::partition_of("p", 2);
        let owner = lost_owner.local_addr().expect("an address");
        world.claim_for(partition, owner).await;
        sleep(Duration::from_millis(50)).await;
        let fields = "Request: t1\r\nProgram: p\r\n";
        assert!(gateway.ask("POST", "/chat/1", fields, "A;").await.complete);
        let probed = timeout(Duration::from_millis(1_000), foreign.accept()).await;
        assert!(probed.is_err(), "the foreign address was probed");
    });
}
