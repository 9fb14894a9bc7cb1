//! A zone that is lost at once, or cut off: docs/design/zones-lost.md has a row for each cut.

use crate::support::{Act, Gateway, Reply, Server, World, run};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_ledger::message::{Envelope, LedgerReply, LedgerRequest};
use fieldhook_log::reach::Reach;
use nanoserde::{DeBin, SerBin};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// Owners are asked for this long before they are suspected.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);

fn events() -> Act {
    Act::Events(vec!["one".to_owned()], None)
}

/// Connections come up, and nothing is said on them: a machine without power, as one sees it
/// that had a connection to it.
async fn mute() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("binds")
}

async fn two_gateways(world: &World, servers: &[&Server]) -> (Gateway, Gateway) {
    let a = world.ready(servers).await;
    let b = world.gateway("g2").await;
    b.wait_ready(servers.len()).await;
    sleep(Duration::from_millis(900)).await;
    (a, b)
}

/// One that asked a lost owner later than others does not wait its own time out, once a new
/// owner is known.
#[test]
fn a_question_to_a_lost_owner_ends_with_the_claim_of_another() {
    run(async {
        let server = Server::start("s1", events()).await;
        let world = World::new().await;
        let (a, b) = two_gateways(&world, &[&server]).await;
        let lost = mute().await;
        let partition = fieldhook_ledger::partition_of("p", 2);
        let address = lost.local_addr().expect("an address");
        world.claim_for(partition, address).await;
        sleep(Duration::from_millis(50)).await;

        let early = ntex::rt::spawn(async move {
            let fields = "Request: t1\r\nProgram: p\r\n";
            a.ask("POST", "/chat/1", fields, "A;").await.complete
        });
        sleep(Duration::from_millis(200)).await;
        let begun = Instant::now();
        let fields = "Request: t2\r\nProgram: p\r\n";
        assert!(b.ask("POST", "/chat/1", fields, "B;").await.complete);
        let took = begun.elapsed();
        assert!(took < ANSWER_LIMIT - Duration::from_millis(50), "{took:?}");
        assert!(early.await.expect("ended"));
    });
}

async fn wait_for<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = found() {
            return found;
        }
        assert!(begun.elapsed() < Duration::from_secs(4), "never {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

async fn wait_for_reach(gateway: &Gateway, reach: Reach) {
    let is_reached = || (gateway.daemon.ledger.reach.get() == reach).then_some(());
    wait_for(&format!("{reach:?}"), is_reached).await;
}

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
fn a_turn_at_a_machine_without_power_is_given_up_and_may_be_sent_anew() {
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
        let took = begun.elapsed();
        assert!(took < Duration::from_millis(1_500), "{took:?}");
    });
}

/// However long it takes: its machine lets itself be reached.
#[test]
fn a_turn_at_a_slow_engine_is_waited_for() {
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
fn a_call_that_may_not_be_repeated_is_waited_for_whatever_is_heard() {
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
fn a_stream_that_may_be_resumed_goes_on_at_a_machine_with_power() {
    run(async {
        let mut lost = Server::start_with_power_switch("s1", Act::Silent).await;
        let other = Server::start("s2", events()).await;
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
        let took = begun.elapsed();
        assert!(took < Duration::from_millis(1_500), "{took:?}");
        assert_eq!(other.count(), 1);
    });
}

/// A gateway in a zone that is cut off from two others: owners and servers there do not
/// answer, its own server does.
struct Cut {
    world: World,
    gateway: Rc<Gateway>,
    near: Server,
    far: Vec<Server>,
    _owners: Vec<TcpListener>,
}

impl Cut {
    async fn new(fault: LogFault) -> Self {
        let world = World::new().await;
        let near = Server::start("near", events()).await;
        world.list_in(&near, "z2").await;
        let mut far = Vec::new();
        for zone in ["z1", "z3"] {
            let server = Server::start_with_power_switch(zone, events()).await;
            world.list_in(&server, zone).await;
            far.push(server);
        }
        let gateway = Rc::new(world.gateway_in("g1", "z2").await);
        gateway.wait_ready(3).await;
        sleep(Duration::from_millis(900)).await;
        let mut owners = Vec::new();
        for partition in 0..2 {
            let owner = mute().await;
            let address = owner.local_addr().expect("an address");
            world.claim_for(partition, address).await;
            owners.push(owner);
        }
        sleep(Duration::from_millis(50)).await;
        for server in &mut far {
            server.lose_power().await;
        }
        gateway.store.set_fault(fault);
        Self {
            world,
            gateway,
            near,
            far,
            _owners: owners,
        }
    }

    async fn find_out(&self) {
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
            "clients should go elsewhere"
        );
    }

    /// Turns are refused at once with a time to come back; what needs no owner is served.
    async fn serves_what_it_can(&self) {
        let begun = Instant::now();
        for path in ["/chat/1", "/resume/1"] {
            let fields = "Request: t2\r\nProgram: p\r\nBudget: 90\r\nMost: 40\r\n";
            let reply = self.gateway.ask("POST", path, fields, "A;").await;
            assert_eq!(reply.head.status, 503);
            assert!(reply.head.headers.has("come-back-ms"));
            assert!(!reply.head.keep_alive, "its client would stay here");
        }
        assert!(begun.elapsed() < Duration::from_millis(200));
        let fields = "Request: c1\r\n";
        self.near.set(Act::Answer(200, "fine".to_owned()));
        let reply = self.gateway.ask("POST", "/unsafe/1", fields, "A").await;
        assert_eq!(reply.head.status, 200);
    }

    async fn heals(&mut self) {
        for server in &mut self.far {
            server.regain_power();
        }
        self.gateway.store.set_fault(LogFault::None);
        wait_for_reach(&self.gateway, Reach::Log).await;
        assert!(self.gateway.daemon.is_ready());
        self.near.set(events());
        let fields = "Request: t3\r\nProgram: p\r\n";
        let reply = self.gateway.ask("POST", "/chat/1", fields, "A;").await;
        assert!(reply.complete && reply.head.status == 200);
    }
}

#[test]
fn a_zone_cut_off_without_the_log_sends_its_clients_elsewhere() {
    run(async {
        let mut cut = Cut::new(LogFault::Silent).await;
        let mut idle = cut.gateway.client().await;
        cut.find_out().await;
        cut.serves_what_it_can().await;
        // Once the platform sends new connections elsewhere.
        assert!(idle.is_closed().await);
        cut.heals().await;
    });
}

/// The other zones take its partitions over; taken back from here, they would be taken in
/// turns.
#[test]
fn a_zone_cut_off_with_the_log_takes_no_partitions() {
    run(async {
        let mut cut = Cut::new(LogFault::None).await;
        // Whoever asks first may take one before anybody knows of the cut.
        cut.find_out().await;
        let owner = mute().await;
        let address = owner.local_addr().expect("an address");
        for partition in 0..2 {
            cut.world.claim_for(partition, address).await;
        }
        sleep(Duration::from_millis(50)).await;
        cut.serves_what_it_can().await;
        sleep(Duration::from_millis(600)).await;
        for partition in 0..2 {
            let claim = cut.gateway.daemon.owner.claims.claim(partition);
            assert_eq!(claim.and_then(|claim| claim.address), Some(address));
        }
        cut.heals().await;
    });
}

/// A third of the fleet, spread over the zones: all servers are reached, few owners are.
#[test]
fn a_part_of_the_fleet_without_the_log_sends_its_clients_elsewhere() {
    run(async {
        let server = Server::start("s1", events()).await;
        let world = World::new().await;
        world.partitions.set(6);
        let gateway = Rc::new(world.ready(&[&server]).await);
        sleep(Duration::from_millis(900)).await;
        let mut owners = Vec::new();
        for partition in 0..6 {
            let owner = mute().await;
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

/// An owner that says that it reads its partition. Its first connection ends as one does that
/// was cut off for long.
async fn healed_owner() -> SocketAddr {
    let listener = mute().await;
    let address = listener.local_addr().expect("an address");
    ntex::rt::spawn(async move {
        let (first, _) = listener.accept().await.expect("a connection");
        let _ = timeout(Duration::from_millis(200), say_unavailable(first)).await;
        while let Ok((stream, _)) = listener.accept().await {
            ntex::rt::spawn(say_unavailable(stream));
        }
    });
    address
}

async fn say_unavailable(mut stream: TcpStream) {
    while let Ok(len) = stream.read_u32().await {
        let mut frame = vec![0; len as usize];
        stream.read_exact(&mut frame).await.expect("a frame");
        let asked = Envelope::<LedgerRequest>::deserialize_bin(&frame).expect("a request");
        let answer = Envelope {
            call_id: asked.call_id,
            body: LedgerReply::Unavailable,
        };
        let answer = answer.serialize_bin();
        let _ = stream.write_u32(answer.len() as u32).await;
        let _ = stream.write_all(&answer).await;
    }
}

/// Once a cut is over, those who were cut off would else take partitions from owners that
/// are well.
#[test]
fn an_owner_whose_connection_ended_is_asked_on_a_new_one_before_it_is_replaced() {
    run(async {
        let server = Server::start("s1", events()).await;
        let world = World::new().await;
        let gateway = Rc::new(world.ready(&[&server]).await);
        sleep(Duration::from_millis(900)).await;
        let owner = healed_owner().await;
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
