//! Servers in evacuated zones get no new requests, also while the log, an owner or the process
//! itself fails.

use crate::support::{Act, CONFIG, Gateway, Reply, Server, World, run};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_gateway::settings::Bounds;
use fieldhook_ledger::message::EvacuationStatus;
use fieldhook_log::api::Partition;
use fieldhook_log::reach::Reach;
use fieldhook_topology::evacuation::State;
use fieldhook_topology::zone::Map;
use futures_util::future::join;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Shortest time that a deployment allows for an evacuation to take effect; daemons have to
/// meet it.
const EVACUATION_LIMIT: Duration = Duration::from_millis(5_000);

/// A complete answer.
fn answer_ok() -> Act {
    Act::Answer(200, "ok".to_owned())
}

/// A stream of one event.
fn one_event() -> Act {
    Act::Events(vec!["one".to_owned()], None)
}

/// Three zones with a server each; the third zone is in another region.
struct Zones {
    world: World,
    servers: [Server; 3],
}

impl Zones {
    async fn new(act: Act) -> Self {
        let world = World::new().await;
        let zones = [("z1", "r"), ("z2", "r"), ("z3", "far")];
        world.zones.replace(Map::new(zones));
        let servers = [
            Server::start("s1", act.clone()).await,
            Server::start("s2", act.clone()).await,
            Server::start("s3", act).await,
        ];
        for (server, (zone, _)) in servers.iter().zip(zones) {
            world.list_in(server, zone).await;
        }
        Self { world, servers }
    }

    async fn gateway(&self, name: &str, zone: &str) -> Gateway {
        let gateway = self.world.gateway_in(name, zone).await;
        gateway.wait_ready(3).await;
        gateway
    }

    async fn evacuate(&self, zone: &str) {
        self.write_evacuation(zone, "by the operator").await;
    }

    async fn end_evacuation(&self, zone: &str) {
        self.write_evacuation(zone, "").await;
    }

    /// Writes the evacuation record of a zone; an empty value ends the evacuation.
    async fn write_evacuation(&self, zone: &str, value: &str) {
        let key = format!("closed/{zone}");
        self.world.put(CONFIG, &key, value).await;
    }

    /// Requests that each server received.
    fn counts(&self) -> [usize; 3] {
        [0, 1, 2].map(|index: usize| self.servers[index].count())
    }
}

fn config_partition() -> Partition {
    Partition {
        topic: CONFIG.to_owned(),
        number: 0,
    }
}

/// Waits until a condition holds, and fails if that takes longer than [`EVACUATION_LIMIT`].
async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let holds = async {
        while !condition() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    assert!(
        timeout(EVACUATION_LIMIT, holds).await.is_ok(),
        "{what}: not in time"
    );
}

async fn wait_evacuated(gateway: &Gateway, zone: &str, is_evacuated: bool) {
    let zone_state = &gateway.daemon.zone_state;
    let what = format!("{zone} evacuated: {is_evacuated}");
    wait_until(&what, || zone_state.is_evacuated(zone) == is_evacuated).await;
}

/// Waits until an attempt at a server is in flight. Yields instead of sleeping, so that it
/// returns before the attempt's connection is established.
async fn wait_for_attempt(gateway: &Gateway, server: &str) {
    let daemon = &gateway.daemon;
    let begun = Instant::now();
    while daemon.pools.status(server, "z1", daemon.now_ms()).in_flight == 0 {
        assert!(begun.elapsed() < EVACUATION_LIMIT, "no attempt at {server}");
        tokio::task::yield_now().await;
    }
}

/// Sends a request to each route: a call on the safe route (retryable) and one on the unsafe route
/// (not retryable), a turn and a resumable stream.
async fn request_all(gateway: &Gateway, name: &str) -> Vec<Reply> {
    let kinds = [
        ("GET", "/safe/1", ""),
        ("POST", "/unsafe/1", ""),
        ("POST", "/chat/1", "Program: p"),
        ("POST", "/resume/1", ""),
    ];
    let mut replies = Vec::new();
    for (method, path, fields) in kinds {
        let fields = match fields {
            "" => format!("Request: {name}{path}\r\n"),
            fields => format!("Request: {name}{path}\r\n{fields}-{name}\r\n"),
        };
        replies.push(gateway.ask(method, path, &fields, "A;").await);
    }
    replies
}

#[test]
fn an_evacuated_zone_gets_no_requests_until_the_evacuation_ends() {
    run(async {
        let zones = Zones::new(one_event()).await;
        let gateway = zones.gateway("g1", "z1").await;
        sleep(Duration::from_millis(900)).await;
        request_all(&gateway, "before").await;
        let before = zones.servers[0].count();
        assert_eq!(before, 4, "the gateway prefers its own zone");
        zones.evacuate("z1").await;
        wait_evacuated(&gateway, "z1", true).await;
        for number in 0..10 {
            for reply in request_all(&gateway, &format!("evacuated-{number}")).await {
                assert!(reply.complete && reply.head.status == 200);
            }
        }
        assert_eq!(zones.servers[0].count(), before);
        zones.end_evacuation("z1").await;
        wait_evacuated(&gateway, "z1", false).await;
        request_all(&gateway, "after").await;
        assert_eq!(zones.servers[0].count(), before + 4);
    });
}

/// The first attempt is running when the nearest other zone is evacuated, and fails after
/// that: its retry has to skip that zone.
#[test]
fn a_retry_skips_an_evacuated_zone() {
    run(async {
        let zones = Zones::new(answer_ok()).await;
        let gateway = zones.gateway("g1", "z2").await;
        zones.servers[1].set(Act::ResetAfter(Duration::from_millis(150)));
        let request = gateway.ask("GET", "/safe/1", "Request: a\r\n", "");
        let evacuation = async {
            wait_until("the first attempt", || zones.servers[1].count() == 1).await;
            zones.evacuate("z1").await;
            wait_evacuated(&gateway, "z1", true).await;
        };
        let (reply, ()) = join(request, evacuation).await;
        assert_eq!(reply.text(), "ok");
        assert_eq!(
            zones.counts(),
            [0, 1, 1],
            "the retry skips the nearest other zone"
        );
    });
}

#[test]
fn a_request_that_waits_for_a_free_server_skips_an_evacuated_zone() {
    run(async {
        let zones = Zones::new(Act::NotRun).await;
        let gateway = zones.gateway("g1", "z1").await;
        let request = gateway.ask("GET", "/safe/1", "Request: a\r\n", "");
        let evacuation = async {
            wait_until("refusals by all servers", || !zones.counts().contains(&0)).await;
            zones.evacuate("z1").await;
            wait_evacuated(&gateway, "z1", true).await;
            let refused = zones.servers[0].count();
            for server in &zones.servers {
                server.set(answer_ok());
            }
            refused
        };
        let (reply, refused) = join(request, evacuation).await;
        assert_eq!(reply.text(), "ok");
        assert_eq!(zones.servers[0].count(), refused);
    });
}

/// The zone is evacuated after the server was selected and before the request is sent, while
/// the connection is being established.
#[test]
fn an_attempt_that_waits_for_its_connection_is_withdrawn() {
    run(async {
        let zones = Zones::new(answer_ok()).await;
        let gateway = zones.gateway("g1", "z1").await;
        let request = gateway.ask("POST", "/unsafe/1", "Request: a\r\n", "");
        let evacuation = async {
            wait_for_attempt(&gateway, "s1").await;
            let zone_state = &gateway.daemon.zone_state;
            zone_state.apply("z1", State::Evacuated, 1_000, "test");
        };
        let (reply, ()) = join(request, evacuation).await;
        assert_eq!(reply.text(), "ok");
        let [evacuated, second, third] = zones.counts();
        assert_eq!((evacuated, second + third), (0, 1));
    });
}

#[test]
fn a_turn_assigned_to_an_evacuated_zone_by_an_uninformed_owner_goes_elsewhere() {
    run(async {
        let zones = Zones::new(one_event()).await;
        let owner = zones.gateway("g1", "z1").await;
        sleep(Duration::from_millis(900)).await;
        let gateway = zones.gateway("g2", "z1").await;
        let fields = "Request: t1\r\nProgram: p\r\n";
        assert!(gateway.ask("POST", "/chat/1", fields, "A;").await.complete);
        assert_eq!(zones.counts(), [1, 0, 0]);
        let partition = config_partition();
        owner.store.set_partition_fault(partition, LogFault::Silent);
        zones.evacuate("z1").await;
        wait_evacuated(&gateway, "z1", true).await;
        let fields = "Request: t2\r\nProgram: p\r\nPrevious: t1\r\n";
        let reply = gateway.ask("POST", "/chat/1", fields, "B;").await;
        assert!(!owner.daemon.zone_state.is_evacuated("z1"));
        assert!(reply.complete && reply.head.status == 200);
        let [evacuated, second, third] = zones.counts();
        assert_eq!((evacuated, second + third), (1, 1));
    });
}

#[test]
fn running_requests_in_an_evacuated_zone_complete() {
    run(async {
        let zones = Zones::new(answer_ok()).await;
        let texts: Vec<String> = (0..5).map(|number| format!("text {number}")).collect();
        let pause = Duration::from_millis(60);
        zones.servers[0].set(Act::Paced(texts.clone(), pause));
        let gateway = zones.gateway("g1", "z1").await;
        sleep(Duration::from_millis(900)).await;
        let stream = gateway.ask("POST", "/chat/1", "Request: a\r\nProgram: p\r\n", "A;");
        let call = async {
            wait_until("the stream", || zones.servers[0].count() == 1).await;
            let slow = Act::Slow(Duration::from_millis(300), "slow".to_owned());
            zones.servers[0].set(slow);
            gateway.ask("POST", "/unsafe/1", "Request: b\r\n", "").await
        };
        let evacuation = async {
            wait_until("the call", || zones.servers[0].count() == 2).await;
            zones.evacuate("z1").await;
            wait_evacuated(&gateway, "z1", true).await;
        };
        let (stream, (call, ())) = join(stream, join(call, evacuation)).await;
        assert!(stream.complete);
        for text in texts {
            assert!(stream.text().contains(&text));
        }
        assert_eq!(call.text(), "slow");
        assert_eq!(zones.counts(), [2, 0, 0]);
    });
}

#[test]
fn a_gateway_without_the_log_learns_of_evacuations_and_their_ends_from_others() {
    run(async {
        let zones = Zones::new(answer_ok()).await;
        // The first gateway owns all partitions, so the other one knows its address.
        let owner = zones.gateway("g1", "z1").await;
        sleep(Duration::from_millis(900)).await;
        let without_log = zones.gateway("g2", "z1").await;
        sleep(Duration::from_millis(100)).await;
        without_log.store.set_fault(LogFault::Silent);
        without_log.daemon.log_health.record_failure();
        for is_evacuated in [true, false, true] {
            match is_evacuated {
                true => zones.evacuate("z1").await,
                false => zones.end_evacuation("z1").await,
            }
            wait_evacuated(&owner, "z1", is_evacuated).await;
            wait_evacuated(&without_log, "z1", is_evacuated).await;
            let before = zones.servers[0].count();
            let reply = without_log
                .ask("GET", "/safe/1", "Request: a\r\n", "")
                .await;
            assert_eq!(reply.text(), "ok");
            let is_served_there = zones.servers[0].count() > before;
            assert_eq!(is_served_there, !is_evacuated);
        }
    });
}

#[test]
fn neither_outdated_statuses_nor_trimmed_records_end_an_evacuation() {
    run(async {
        let zones = Zones::new(answer_ok()).await;
        let gateway = zones.gateway("g1", "z1").await;
        zones.evacuate("z1").await;
        wait_evacuated(&gateway, "z1", true).await;
        let log = &zones.world.log.core;
        let end = log.borrow_mut().newest(&config_partition(), None).end;
        let zone_state = &gateway.daemon.zone_state;
        // A listing that was read before the evacuation record, and statuses from daemons
        // that have only read earlier records.
        zone_state.apply_listing(&[], end - 1);
        for revision in 0..end - 1 {
            zone_state.apply_peer_status(&EvacuationStatus {
                zone: "z1".to_owned(),
                is_evacuated: false,
                revision,
            });
        }
        assert!(zone_state.is_evacuated("z1"));
        // The log drops its history while the gateway cannot reach it; the gateway then lists
        // all records again.
        gateway.store.set_fault(LogFault::Down);
        zones.world.publish(0).await;
        log.borrow_mut().drop_history();
        gateway.store.set_fault(LogFault::None);
        for _ in 0..20 {
            sleep(Duration::from_millis(25)).await;
            assert!(zone_state.is_evacuated("z1"));
            gateway.ask("GET", "/safe/1", "Request: a\r\n", "").await;
        }
        assert_eq!(zones.servers[0].count(), 0);
        // The record that ends the evacuation is dropped with the history.
        gateway.store.set_fault(LogFault::Down);
        zones.end_evacuation("z1").await;
        log.borrow_mut().drop_history();
        gateway.store.set_fault(LogFault::None);
        wait_evacuated(&gateway, "z1", false).await;
        zone_state.apply_peer_status(&EvacuationStatus {
            zone: "z1".to_owned(),
            is_evacuated: true,
            revision: end - 1,
        });
        assert!(
            !zone_state.is_evacuated("z1"),
            "an outdated status started an evacuation"
        );
    });
}

#[test]
fn a_zone_that_is_evacuated_again_immediately_stays_evacuated() {
    run(async {
        let zones = Zones::new(answer_ok()).await;
        let gateway = zones.gateway("g1", "z1").await;
        zones.evacuate("z1").await;
        wait_evacuated(&gateway, "z1", true).await;
        for round in 0..5 {
            zones.end_evacuation("z1").await;
            if round % 2 == 0 {
                sleep(Duration::from_millis(20)).await;
            }
            zones.evacuate("z1").await;
            sleep(Duration::from_millis(20)).await;
            assert!(gateway.daemon.zone_state.is_evacuated("z1"));
            gateway.ask("GET", "/safe/1", "Request: a\r\n", "").await;
        }
        assert_eq!(zones.servers[0].count(), 0);
    });
}

#[test]
fn a_gateway_that_starts_during_an_evacuation_never_uses_the_zone() {
    run(async {
        let zones = Zones::new(answer_ok()).await;
        zones.evacuate("z1").await;
        // Other records whose keys sort before and after that of the evacuation.
        for number in 0..3_000 {
            let key = format!("{}/{number:04}", ["a", "m"][number % 2]);
            zones.world.put(CONFIG, &key, "x").await;
        }
        let gateway = zones.world.gateway_in("g1", "z1").await;
        let begun = Instant::now();
        let mut served = 0;
        while begun.elapsed() < Duration::from_millis(600) {
            let reply = gateway.ask("GET", "/safe/1", "Request: a\r\n", "").await;
            served += u32::from(reply.head.status == 200);
        }
        assert!(served > 0);
        assert_eq!(zones.servers[0].count(), 0);
    });
}

#[test]
fn a_gateway_that_starts_without_the_log_refuses_requests_until_it_has_read_it() {
    run(async {
        let zones = Zones::new(answer_ok()).await;
        zones.evacuate("z1").await;
        let gateway = zones.world.gateway_in("g1", "z1").await;
        gateway.store.set_fault(LogFault::Down);
        let reply = gateway.ask("GET", "/safe/1", "Request: a\r\n", "").await;
        assert_eq!(reply.head.status, 503);
        assert!(reply.head.headers.has("come-back-ms"));
        gateway.store.set_fault(LogFault::None);
        gateway.wait_ready(3).await;
        let reply = gateway.ask("GET", "/safe/1", "Request: b\r\n", "").await;
        assert_eq!(reply.text(), "ok");
        assert_eq!(zones.servers[0].count(), 0);
    });
}

#[test]
fn two_zones_can_be_evacuated_at_the_same_time() {
    run(async {
        let zones = Zones::new(one_event()).await;
        let gateway = zones.gateway("g1", "z1").await;
        sleep(Duration::from_millis(900)).await;
        zones.evacuate("z1").await;
        zones.evacuate("z2").await;
        wait_evacuated(&gateway, "z2", true).await;
        request_all(&gateway, "both").await;
        assert_eq!(zones.counts(), [0, 0, 4]);
        zones.end_evacuation("z2").await;
        wait_evacuated(&gateway, "z2", false).await;
        for number in 0..6 {
            request_all(&gateway, &format!("one-{number}")).await;
        }
        let [first, second, _] = zones.counts();
        assert_eq!(first, 0);
        assert!(second > 0);
    });
}

/// Captures log output.
#[derive(Clone, Default)]
struct LogOutput(Arc<Mutex<Vec<u8>>>);

impl LogOutput {
    fn count(&self, word: &str) -> usize {
        let bytes = self.0.lock().expect("whole");
        String::from_utf8_lossy(&bytes).matches(word).count()
    }
}

impl Write for LogOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("whole").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn requests_are_refused_at_once_if_all_zones_are_evacuated() {
    let log = LogOutput::default();
    let writer = log.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_writer(move || writer.clone())
        .finish();
    let _guard = tracing::subscriber::set_default(subscriber);
    run(async move {
        let zones = Zones::new(one_event()).await;
        let gateway = zones.gateway("g1", "z1").await;
        sleep(Duration::from_millis(900)).await;
        for zone in ["z1", "z2", "z3"] {
            zones.evacuate(zone).await;
        }
        wait_evacuated(&gateway, "z3", true).await;
        for number in 0..3 {
            let begun = Instant::now();
            for reply in request_all(&gateway, &format!("all-{number}")).await {
                assert_eq!(reply.head.status, 503);
                assert!(reply.head.headers.has("come-back-ms"));
            }
            // None of the four requests waits for a server to be announced.
            let elapsed = begun.elapsed();
            assert!(elapsed < Duration::from_millis(120), "{elapsed:?}");
        }
        assert_eq!(zones.counts(), [0, 0, 0]);
        assert_eq!(log.count("all_zones_evacuated"), 1);
        zones.end_evacuation("z2").await;
        wait_evacuated(&gateway, "z2", false).await;
        for reply in request_all(&gateway, "open").await {
            assert_eq!(reply.head.status, 200);
        }
        assert_eq!(zones.counts(), [0, 4, 0]);
    });
}

/// Simulates a pause of the process by blocking the thread on which everything runs.
fn pause_process(duration: Duration) {
    std::thread::sleep(duration);
}

async fn zones_with_limit(evacuation_ms: u64) -> Zones {
    let zones = Zones::new(answer_ok()).await;
    zones.world.bounds.set(Bounds {
        evacuation_ms,
        ..zones.world.bounds.get()
    });
    zones
}

#[test]
fn after_a_pause_a_gateway_confirms_evacuations_before_it_serves() {
    run(async {
        let zones = zones_with_limit(2_500).await;
        let gateway = zones.gateway("g1", "z1").await;
        // Without a pause, the gateway relies on what it knows while an outage lasts.
        gateway.store.set_fault(LogFault::Down);
        sleep(Duration::from_millis(2_700)).await;
        let reply = gateway.ask("GET", "/safe/1", "Request: a\r\n", "").await;
        assert_eq!(reply.text(), "ok");
        zones.evacuate("z1").await;
        pause_process(Duration::from_millis(2_600));
        for id in ["b", "c"] {
            let fields = format!("Request: {id}\r\n");
            let reply = gateway.ask("POST", "/unsafe/1", &fields, "").await;
            assert_eq!(reply.head.status, 503);
            assert!(reply.head.headers.has("come-back-ms"));
        }
        // Once the log is back, requests are served again, but not in the evacuated zone.
        gateway.store.set_fault(LogFault::None);
        let begun = Instant::now();
        loop {
            let reply = gateway.ask("POST", "/unsafe/1", "Request: d\r\n", "").await;
            if reply.head.status == 200 {
                break;
            }
            let elapsed = begun.elapsed();
            assert!(elapsed < Duration::from_millis(1_500), "{elapsed:?}");
        }
        let [evacuated, second, third] = zones.counts();
        assert_eq!((evacuated, second + third), (1, 1));
    });
}

/// The process is paused after the server was selected and before the connection is
/// established; the zone is evacuated meanwhile.
#[test]
fn an_attempt_interrupted_by_a_pause_is_withdrawn() {
    run(async {
        let zones = zones_with_limit(1_000).await;
        let gateway = zones.gateway("g1", "z1").await;
        gateway.store.set_fault(LogFault::Down);
        let request = gateway.ask("POST", "/unsafe/1", "Request: a\r\n", "");
        let paused = async {
            wait_for_attempt(&gateway, "s1").await;
            zones.evacuate("z1").await;
            pause_process(Duration::from_millis(1_100));
        };
        let (reply, ()) = join(request, paused).await;
        assert_eq!(reply.head.status, 503);
        assert_eq!(zones.counts(), [0, 0, 0]);
    });
}

#[test]
fn an_isolated_gateway_refuses_requests_once_its_knowledge_is_outdated() {
    run(async {
        let zones = zones_with_limit(2_500).await;
        let gateway = zones.gateway("g1", "z1").await;
        gateway.store.set_fault(LogFault::Down);
        gateway.daemon.ledger.reach.set(Reach::Isolated);
        let reply = gateway.ask("GET", "/safe/1", "Request: a\r\n", "").await;
        assert_eq!(reply.text(), "ok");
        // A long poll that began before the fault still returns and confirms the state, so wait
        // until it has ended.
        sleep(Duration::from_millis(4_600)).await;
        let reply = gateway.ask("GET", "/safe/1", "Request: b\r\n", "").await;
        assert_eq!(reply.head.status, 503);
        assert_eq!(zones.counts(), [1, 0, 0]);
        // If the log is unreachable for all, no daemon knows more, and service continues.
        gateway.daemon.ledger.reach.set(Reach::Outage);
        let reply = gateway.ask("GET", "/safe/1", "Request: c\r\n", "").await;
        assert_eq!(reply.text(), "ok");
    });
}
