//! Evacuated zones: their servers get nothing, whatever else fails beside it.

use crate::support::{Act, CONFIG, Gateway, Reply, Server, World, run};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_gateway::settings::Bounds;
use fieldhook_ledger::message::EvacuationStatus;
use fieldhook_log::api::Partition;
use fieldhook_log::reach::Reach;
use fieldhook_topology::evacuation::State;
use fieldhook_topology::zone::ZoneMap;
use futures_util::future::join;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// The shortest bound of the deployments, and what daemons owe by then.
const BOUND: Duration = Duration::from_millis(5_000);

fn yes() -> Act {
    Act::Answer(200, "yes".to_owned())
}

fn one_event() -> Act {
    Act::Events(vec!["one".to_owned()], None)
}

/// A world of three zones, the third of another region, with a server in each.
struct Zones {
    world: World,
    servers: [Server; 3],
}

impl Zones {
    async fn new(act: Act) -> Self {
        let world = World::new().await;
        let zones = [("z1", "r"), ("z2", "r"), ("z3", "far")];
        world.zones.replace(ZoneMap::new(zones));
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

    async fn close(&self, zone: &str) {
        self.record(zone, "by the operator").await;
    }

    async fn open(&self, zone: &str) {
        self.record(zone, "").await;
    }

    async fn record(&self, zone: &str, value: &str) {
        let key = format!("closed/{zone}");
        self.world.put(CONFIG, &key, value).await;
    }

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

/// Waits until a condition holds that has to hold soon.
async fn until(what: &str, condition: impl Fn() -> bool) {
    let holds = async {
        while !condition() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    assert!(timeout(BOUND, holds).await.is_ok(), "{what}: never");
}

async fn wait_state(gateway: &Gateway, zone: &str, is_evacuated: bool) {
    let zone_state = &gateway.daemon.zone_state;
    let what = format!("{zone} evacuated: {is_evacuated}");
    until(&what, || zone_state.is_evacuated(zone) == is_evacuated).await;
}

/// Waits until an attempt at a server is under way, without letting anything else go by.
async fn until_chosen(gateway: &Gateway, server: &str) {
    let daemon = &gateway.daemon;
    let begun = Instant::now();
    while daemon.pools.status(server, "z1", daemon.now_ms()).in_flight == 0 {
        assert!(begun.elapsed() < BOUND, "{server} was never chosen");
        tokio::task::yield_now().await;
    }
}

/// A request of each kind: tool calls that may and may not be repeated, a turn, a stream.
async fn ask_all(gateway: &Gateway, name: &str) -> Vec<Reply> {
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
fn nothing_new_goes_to_an_evacuated_zone_until_it_is_opened() {
    run(async {
        let zones = Zones::new(one_event()).await;
        let gateway = zones.gateway("g1", "z1").await;
        sleep(Duration::from_millis(900)).await;
        ask_all(&gateway, "before").await;
        let before = zones.servers[0].count();
        assert_eq!(before, 4, "the own zone goes first");
        zones.close("z1").await;
        wait_state(&gateway, "z1", true).await;
        for number in 0..10 {
            for reply in ask_all(&gateway, &format!("closed-{number}")).await {
                assert!(reply.complete && reply.head.status == 200);
            }
        }
        assert_eq!(zones.servers[0].count(), before);
        zones.open("z1").await;
        wait_state(&gateway, "z1", false).await;
        ask_all(&gateway, "after").await;
        assert_eq!(zones.servers[0].count(), before + 4);
    });
}

/// The first attempt runs and breaks off while the zone is evacuated.
#[test]
fn repeats_after_a_failure_pass_an_evacuated_zone_by() {
    run(async {
        let zones = Zones::new(yes()).await;
        let gateway = zones.gateway("g1", "z2").await;
        zones.servers[1].set(Act::ResetAfter(Duration::from_millis(150)));
        let asked = gateway.ask("GET", "/safe/1", "Request: a\r\n", "");
        let closed = async {
            until("the first attempt", || zones.servers[1].count() == 1).await;
            zones.close("z1").await;
            wait_state(&gateway, "z1", true).await;
        };
        let (reply, ()) = join(asked, closed).await;
        assert_eq!(reply.text(), "yes");
        assert_eq!(zones.counts(), [0, 1, 1], "the zone near by is passed by");
    });
}

#[test]
fn a_request_that_waits_for_a_place_passes_an_evacuated_zone_by() {
    run(async {
        let zones = Zones::new(Act::NotRun).await;
        let gateway = zones.gateway("g1", "z1").await;
        let asked = gateway.ask("GET", "/safe/1", "Request: a\r\n", "");
        let closed = async {
            until("all refuse", || !zones.counts().contains(&0)).await;
            zones.close("z1").await;
            wait_state(&gateway, "z1", true).await;
            let refused = zones.servers[0].count();
            for server in &zones.servers {
                server.set(yes());
            }
            refused
        };
        let (reply, refused) = join(asked, closed).await;
        assert_eq!(reply.text(), "yes");
        assert_eq!(zones.servers[0].count(), refused);
    });
}

/// The server is chosen and its connection comes up when the zone is evacuated.
#[test]
fn an_attempt_that_waits_for_its_connection_is_withdrawn() {
    run(async {
        let zones = Zones::new(yes()).await;
        let gateway = zones.gateway("g1", "z1").await;
        let asked = gateway.ask("POST", "/unsafe/1", "Request: a\r\n", "");
        let closed = async {
            until_chosen(&gateway, "s1").await;
            let zone_state = &gateway.daemon.zone_state;
            zone_state.apply("z1", State::Evacuated, 1_000, "test");
        };
        let (reply, ()) = join(asked, closed).await;
        assert_eq!(reply.text(), "yes");
        let [closed, second, third] = zones.counts();
        assert_eq!((closed, second + third), (0, 1));
    });
}

#[test]
fn a_turn_assigned_by_an_owner_that_does_not_know_yet_goes_elsewhere() {
    run(async {
        let zones = Zones::new(one_event()).await;
        let owner = zones.gateway("g1", "z1").await;
        sleep(Duration::from_millis(900)).await;
        let asker = zones.gateway("g2", "z1").await;
        let fields = "Request: t1\r\nProgram: p\r\n";
        assert!(asker.ask("POST", "/chat/1", fields, "A;").await.complete);
        assert_eq!(zones.counts(), [1, 0, 0]);
        let partition = config_partition();
        owner.store.set_fault_of(partition, LogFault::Silent);
        zones.close("z1").await;
        wait_state(&asker, "z1", true).await;
        let fields = "Request: t2\r\nProgram: p\r\nPrevious: t1\r\n";
        let reply = asker.ask("POST", "/chat/1", fields, "B;").await;
        assert!(!owner.daemon.zone_state.is_evacuated("z1"));
        assert!(reply.complete && reply.head.status == 200);
        let [closed, second, third] = zones.counts();
        assert_eq!((closed, second + third), (1, 1));
    });
}

#[test]
fn what_runs_in_an_evacuated_zone_comes_to_its_end() {
    run(async {
        let zones = Zones::new(yes()).await;
        let texts: Vec<String> = (0..5).map(|number| format!("text {number}")).collect();
        let pause = Duration::from_millis(60);
        zones.servers[0].set(Act::Paced(texts.clone(), pause));
        let gateway = zones.gateway("g1", "z1").await;
        sleep(Duration::from_millis(900)).await;
        let stream = gateway.ask("POST", "/chat/1", "Request: a\r\nProgram: p\r\n", "A;");
        let call = async {
            until("the stream", || zones.servers[0].count() == 1).await;
            let slow = Act::Slow(Duration::from_millis(300), "slow".to_owned());
            zones.servers[0].set(slow);
            gateway.ask("POST", "/unsafe/1", "Request: b\r\n", "").await
        };
        let closed = async {
            until("the call", || zones.servers[0].count() == 2).await;
            zones.close("z1").await;
            wait_state(&gateway, "z1", true).await;
        };
        let (stream, (call, ())) = join(stream, join(call, closed)).await;
        assert!(stream.complete);
        for text in texts {
            assert!(stream.text().contains(&text));
        }
        assert_eq!(call.text(), "slow");
        assert_eq!(zones.counts(), [2, 0, 0]);
    });
}

#[test]
fn a_gateway_that_the_log_refuses_learns_of_an_evacuation_and_its_end_from_others() {
    run(async {
        let zones = Zones::new(yes()).await;
        // The first one owns all partitions and so is known to the other.
        let owner = zones.gateway("g1", "z1").await;
        sleep(Duration::from_millis(900)).await;
        let cut = zones.gateway("g2", "z1").await;
        sleep(Duration::from_millis(100)).await;
        cut.store.set_fault(LogFault::Silent);
        cut.daemon.log_health.record_failure();
        for is_evacuated in [true, false, true] {
            match is_evacuated {
                true => zones.close("z1").await,
                false => zones.open("z1").await,
            }
            wait_state(&owner, "z1", is_evacuated).await;
            wait_state(&cut, "z1", is_evacuated).await;
            let before = zones.servers[0].count();
            let reply = cut.ask("GET", "/safe/1", "Request: a\r\n", "").await;
            assert_eq!(reply.text(), "yes");
            let reached = zones.servers[0].count() > before;
            assert_eq!(reached, !is_evacuated);
        }
    });
}

#[test]
fn neither_old_news_nor_a_lapsed_history_opens_a_zone() {
    run(async {
        let zones = Zones::new(yes()).await;
        let gateway = zones.gateway("g1", "z1").await;
        zones.close("z1").await;
        wait_state(&gateway, "z1", true).await;
        let log = &zones.world.log.core;
        let end = log.borrow_mut().newest(&config_partition(), None).end;
        let zone_state = &gateway.daemon.zone_state;
        // A listing read before the record, another daemon that has not read it, and one
        // that knows the state before.
        zone_state.apply_listing(&[], end - 1);
        for revision in 0..end - 1 {
            zone_state.apply_peer_status(&EvacuationStatus {
                zone: "z1".to_owned(),
                is_evacuated: false,
                revision,
            });
        }
        assert!(zone_state.is_evacuated("z1"));
        // The history goes while the log is away: all is listed anew.
        gateway.store.set_fault(LogFault::Down);
        zones.world.publish(0).await;
        log.borrow_mut().forget_history();
        gateway.store.set_fault(LogFault::None);
        for _ in 0..20 {
            sleep(Duration::from_millis(25)).await;
            assert!(zone_state.is_evacuated("z1"));
            gateway.ask("GET", "/safe/1", "Request: a\r\n", "").await;
        }
        assert_eq!(zones.servers[0].count(), 0);
        // The end of the evacuation lapses with it.
        gateway.store.set_fault(LogFault::Down);
        zones.open("z1").await;
        log.borrow_mut().forget_history();
        gateway.store.set_fault(LogFault::None);
        wait_state(&gateway, "z1", false).await;
        zone_state.apply_peer_status(&EvacuationStatus {
            zone: "z1".to_owned(),
            is_evacuated: true,
            revision: end - 1,
        });
        assert!(!zone_state.is_evacuated("z1"), "old news closes nothing");
    });
}

#[test]
fn a_zone_that_is_evacuated_again_at_once_stays_evacuated() {
    run(async {
        let zones = Zones::new(yes()).await;
        let gateway = zones.gateway("g1", "z1").await;
        zones.close("z1").await;
        wait_state(&gateway, "z1", true).await;
        for round in 0..5 {
            zones.open("z1").await;
            if round % 2 == 0 {
                sleep(Duration::from_millis(20)).await;
            }
            zones.close("z1").await;
            sleep(Duration::from_millis(20)).await;
            assert!(gateway.daemon.zone_state.is_evacuated("z1"));
            gateway.ask("GET", "/safe/1", "Request: a\r\n", "").await;
        }
        assert_eq!(zones.servers[0].count(), 0);
    });
}

#[test]
fn a_gateway_that_starts_during_an_evacuation_serves_nothing_before_it_knows_it() {
    run(async {
        let zones = Zones::new(yes()).await;
        zones.close("z1").await;
        // Other records stand before and behind it.
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
fn a_gateway_that_starts_without_the_log_refuses_until_it_has_read() {
    run(async {
        let zones = Zones::new(yes()).await;
        zones.close("z1").await;
        let gateway = zones.world.gateway_in("g1", "z1").await;
        gateway.store.set_fault(LogFault::Down);
        let reply = gateway.ask("GET", "/safe/1", "Request: a\r\n", "").await;
        assert_eq!(reply.head.status, 503);
        assert!(reply.head.headers.has("come-back-ms"));
        gateway.store.set_fault(LogFault::None);
        gateway.wait_ready(3).await;
        let reply = gateway.ask("GET", "/safe/1", "Request: b\r\n", "").await;
        assert_eq!(reply.text(), "yes");
        assert_eq!(zones.servers[0].count(), 0);
    });
}

#[test]
fn two_zones_are_evacuated_at_once() {
    run(async {
        let zones = Zones::new(one_event()).await;
        let gateway = zones.gateway("g1", "z1").await;
        sleep(Duration::from_millis(900)).await;
        zones.close("z1").await;
        zones.close("z2").await;
        wait_state(&gateway, "z2", true).await;
        ask_all(&gateway, "both").await;
        assert_eq!(zones.counts(), [0, 0, 4]);
        zones.open("z2").await;
        wait_state(&gateway, "z2", false).await;
        for number in 0..6 {
            ask_all(&gateway, &format!("one-{number}")).await;
        }
        let [first, second, _] = zones.counts();
        assert_eq!(first, 0);
        assert!(second > 0);
    });
}

/// Keeps what is logged.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Lines {
    fn count(&self, word: &str) -> usize {
        let bytes = self.0.lock().expect("whole");
        String::from_utf8_lossy(&bytes).matches(word).count()
    }
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("whole").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn where_all_zones_are_evacuated_requests_are_refused_at_once() {
    let lines = Lines::default();
    let writer = lines.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_writer(move || writer.clone())
        .finish();
    let _guard = tracing::subscriber::set_default(subscriber);
    run(async move {
        let zones = Zones::new(one_event()).await;
        let gateway = zones.gateway("g1", "z1").await;
        sleep(Duration::from_millis(900)).await;
        for zone in ["z1", "z2", "z3"] {
            zones.close(zone).await;
        }
        wait_state(&gateway, "z3", true).await;
        for number in 0..3 {
            let begun = Instant::now();
            for reply in ask_all(&gateway, &format!("all-{number}")).await {
                assert_eq!(reply.head.status, 503);
                assert!(reply.head.headers.has("come-back-ms"));
            }
            // Four requests, each without the wait for a server that may be announced.
            let took = begun.elapsed();
            assert!(took < Duration::from_millis(120), "{took:?}");
        }
        assert_eq!(zones.counts(), [0, 0, 0]);
        assert_eq!(lines.count("all_zones_evacuated"), 1);
        zones.open("z2").await;
        wait_state(&gateway, "z2", false).await;
        for reply in ask_all(&gateway, "open").await {
            assert_eq!(reply.head.status, 200);
        }
        assert_eq!(zones.counts(), [0, 4, 0]);
    });
}

/// Stops this process, and with it all that runs in it.
fn stop(time: Duration) {
    std::thread::sleep(time);
}

async fn zones_of_bound(evacuation_ms: u64) -> Zones {
    let zones = Zones::new(yes()).await;
    zones.world.bounds.set(Bounds {
        evacuation_ms,
        ..zones.world.bounds.get()
    });
    zones
}

#[test]
fn a_gateway_that_wakes_from_a_freeze_confirms_what_it_knows_first() {
    run(async {
        let zones = zones_of_bound(2_500).await;
        let gateway = zones.gateway("g1", "z1").await;
        // Awake, it goes by what it knows for as long as an outage lasts.
        gateway.store.set_fault(LogFault::Down);
        sleep(Duration::from_millis(2_700)).await;
        let reply = gateway.ask("GET", "/safe/1", "Request: a\r\n", "").await;
        assert_eq!(reply.text(), "yes");
        zones.close("z1").await;
        stop(Duration::from_millis(2_600));
        for id in ["b", "c"] {
            let fields = format!("Request: {id}\r\n");
            let reply = gateway.ask("POST", "/unsafe/1", &fields, "").await;
            assert_eq!(reply.head.status, 503);
            assert!(reply.head.headers.has("come-back-ms"));
        }
        // The log is back: requests are served again, and not there.
        gateway.store.set_fault(LogFault::None);
        let begun = Instant::now();
        loop {
            let reply = gateway.ask("POST", "/unsafe/1", "Request: d\r\n", "").await;
            if reply.head.status == 200 {
                break;
            }
            let took = begun.elapsed();
            assert!(took < Duration::from_millis(1_500), "{took:?}");
        }
        let [closed, second, third] = zones.counts();
        assert_eq!((closed, second + third), (1, 1));
    });
}

/// The server was chosen before the stop, the connection is up behind it.
#[test]
fn an_attempt_that_a_freeze_met_is_withdrawn() {
    run(async {
        let zones = zones_of_bound(1_000).await;
        let gateway = zones.gateway("g1", "z1").await;
        gateway.store.set_fault(LogFault::Down);
        let asked = gateway.ask("POST", "/unsafe/1", "Request: a\r\n", "");
        let stopped = async {
            until_chosen(&gateway, "s1").await;
            zones.close("z1").await;
            stop(Duration::from_millis(1_100));
        };
        let (reply, ()) = join(asked, stopped).await;
        assert_eq!(reply.head.status, 503);
        assert_eq!(zones.counts(), [0, 0, 0]);
    });
}

#[test]
fn a_gateway_cut_off_from_log_and_others_refuses_once_what_it_knows_is_old() {
    run(async {
        let zones = zones_of_bound(2_500).await;
        let gateway = zones.gateway("g1", "z1").await;
        gateway.store.set_fault(LogFault::Down);
        gateway.daemon.ledger.reach.set(Reach::Isolated);
        let reply = gateway.ask("GET", "/safe/1", "Request: a\r\n", "").await;
        assert_eq!(reply.text(), "yes");
        // A read that is under way still confirms, for as long as it waits.
        sleep(Duration::from_millis(4_600)).await;
        let reply = gateway.ask("GET", "/safe/1", "Request: b\r\n", "").await;
        assert_eq!(reply.head.status, 503);
        assert_eq!(zones.counts(), [1, 0, 0]);
        // With the log away for all, nobody knows more, and the service goes on.
        gateway.daemon.ledger.reach.set(Reach::Outage);
        let reply = gateway.ask("GET", "/safe/1", "Request: c\r\n", "").await;
        assert_eq!(reply.text(), "yes");
    });
}
