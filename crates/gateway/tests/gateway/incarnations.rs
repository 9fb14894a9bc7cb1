//! Server directory entries: restarts of a server under the same name, and entries that cannot be
//! parsed.

use crate::support::{Act, CONFIG, Gateway, LogCapture, SERVERS, Server, World, run};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_gateway::settings::Bounds;
use fieldhook_log::api::{Append, KeyedRecord, Partition};
use fieldhook_traffic::config::ColdLimit;
use futures_util::future::{join, join_all};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Bound until a new entry takes effect. The servers topic is read every 150 ms; the rest is slack
/// for a busy machine.
const EFFECT_BOUND: Duration = Duration::from_millis(600);
/// How long requests continue after the event under test.
const CONTINUE_FOR: Duration = Duration::from_millis(1_200);

async fn ask(gateway: &Gateway, times: usize) {
    for number in 0..times {
        let fields = format!("Request: r{number}\r\n");
        let reply = gateway.ask("GET", "/safe/1", &fields, "").await;
        assert_eq!(reply.head.status, 200);
    }
}

/// Sends requests until the server gets one.
async fn ask_until_used(gateway: &Gateway, server: &Server) {
    let before = server.count();
    let until = Instant::now() + Duration::from_secs(3);
    while server.count() == before {
        assert!(Instant::now() < until, "{} gets no request", server.id);
        ask(gateway, 4).await;
    }
}

fn plain_answer() -> Act {
    Act::Answer(200, "ok".to_owned())
}

/// Guards against one unreadable entry that stops the directory from being updated, and against a
/// server that is used by its previous entry.
#[test]
fn unreadable_entry_removes_its_server_and_leaves_the_others() {
    run(async {
        let s1 = Server::start("s1", plain_answer()).await;
        let s2 = Server::start("s2", plain_answer()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&s1]).await;
        ask_until_used(&gateway, &s1).await;
        world.list(&s2).await;
        world.put(SERVERS, "s1", "service nowhere").await;
        world.put(SERVERS, "other", "\u{0}").await;
        sleep(EFFECT_BOUND).await;
        let before = s1.count();
        ask(&gateway, 12).await;
        assert_eq!(
            s1.count(),
            before,
            "a server with an unreadable entry is used"
        );
        world.list(&s1).await;
        let leaving = format!("service {} draining", s2.address);
        world.put(SERVERS, "s2", &leaving).await;
        ask_until_used(&gateway, &s1).await;
    });
}

/// Guards against a server that counts as draining for good because it restarted under its name.
#[test]
fn restarted_draining_server_gets_requests_again() {
    run(async {
        let s1 = Server::start("s1", plain_answer()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&s1]).await;
        let entry = |fields: &str| format!("service {} {fields}", s1.address);
        world.put(SERVERS, "s1", &entry("born=1 draining")).await;
        sleep(EFFECT_BOUND).await;
        let reply = gateway.ask("GET", "/safe/1", "Request: r\r\nDeadline: 300\r\n", "");
        assert_ne!(reply.await.head.status, 200, "a draining server is used");
        world.put(SERVERS, "s1", &entry("born=2")).await;
        ask_until_used(&gateway, &s1).await;
        // An earlier start time, because the server's clock was set back, is a restart as well.
        world.put(SERVERS, "s1", &entry("born=2 draining")).await;
        world.put(SERVERS, "s1", &entry("born=1")).await;
        ask_until_used(&gateway, &s1).await;
    });
}

/// State of the previous incarnation, here its connections, must not be used for the next one.
#[test]
fn restarted_server_gets_new_connections() {
    run(async {
        let s1 = Server::start("s1", plain_answer()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&s1]).await;
        let entry = |born: u64| format!("service {} born={born}", s1.address);
        world.put(SERVERS, "s1", &entry(1)).await;
        sleep(EFFECT_BOUND).await;
        ask(&gateway, 3).await;
        let connections = gateway.daemon.metrics.connections.get();
        ask(&gateway, 3).await;
        assert_eq!(gateway.daemon.metrics.connections.get(), connections);
        world.put(SERVERS, "s1", &entry(2)).await;
        sleep(EFFECT_BOUND).await;
        ask(&gateway, 3).await;
        assert_eq!(gateway.daemon.metrics.connections.get(), connections + 1);
        assert_eq!(gateway.daemon.directory.borrow().len(), 1);
    });
}

/// Publishes an incarnation of a server with the given start time; returns when this was done.
async fn publish_incarnation(world: &World, server: &Server, born: u64, fields: &str) -> Instant {
    let entry = format!("service {} born={born} {fields}", server.address);
    world.put(SERVERS, &server.id, &entry).await;
    Instant::now()
}

/// Starts a gateway that knows one incarnation of a server and has connections to it.
async fn gateway_with_incarnation(world: &World, server: &Server, born: u64) -> Gateway {
    publish_incarnation(world, server, born, "").await;
    let gateway = world.gateway("g1").await;
    gateway.wait_ready(1).await;
    ask(&gateway, 3).await;
    gateway
}

/// Sends requests continuously for a time; all have to be served.
async fn ask_continuously(gateway: &Gateway, name: &str, time: Duration) {
    let until = Instant::now() + time;
    let mut number = 0;
    while Instant::now() < until {
        let fields = format!("Request: {name}{number}\r\n");
        let reply = gateway.ask("GET", "/safe/1", &fields, "").await;
        assert_eq!(reply.head.status, 200, "{name}{number}");
        number += 1;
        sleep(Duration::from_millis(5)).await;
    }
}

/// Runs turns of a program one after another for a time; all have to complete.
async fn run_turns(gateway: &Gateway, program: &str, time: Duration) {
    let until = Instant::now() + time;
    let mut previous = String::new();
    let mut number = 0;
    while Instant::now() < until {
        let turn = format!("{program}-t{number}");
        let fields = format!("Request: {turn}\r\nProgram: {program}\r\n{previous}");
        let reply = gateway.ask("POST", "/chat/1", &fields, "x;").await;
        assert_eq!((reply.head.status, reply.complete), (200, true), "{turn}");
        previous = format!("Previous: {turn}\r\n");
        number += 1;
    }
}

/// Returns how long after `since` a server got requests over connections opened before `since`,
/// that is, over connections to the previous incarnation. The test server leaves its connections
/// open, so their use ends only when the gateway learns of the new incarnation.
fn stale_use_after(server: &Server, since: Instant) -> Duration {
    let seen = server.seen.borrow();
    let late = seen
        .iter()
        .filter(|seen| seen.accepted < since && seen.at > since);
    let last = late.map(|seen| seen.at - since).max();
    last.unwrap_or_default()
}

/// Returns the number of requests that a server got after `since`.
fn requests_after(server: &Server, since: Instant) -> usize {
    let seen = server.seen.borrow();
    seen.iter().filter(|seen| seen.at > since).count()
}

fn assert_stale_use_within(server: &Server, since: Instant, bound: Duration) {
    let stale = stale_use_after(server, since);
    println!("the previous incarnation was used for {stale:?}, bound {bound:?}");
    assert!(stale <= bound, "used for {stale:?}");
    assert!(
        requests_after(server, since + bound) > 0,
        "no request after the bound: the check proves nothing"
    );
}

fn paced_stream() -> Act {
    Act::Paced(
        vec!["one".to_owned(), "two".to_owned()],
        Duration::from_millis(15),
    )
}

/// Guards against turns that stay on connections to the previous incarnation while they continue.
#[test]
fn restart_during_turns_takes_effect_within_the_bound() {
    run(async {
        let s1 = Server::start("s1", paced_stream()).await;
        let world = World::new().await;
        publish_incarnation(&world, &s1, 1, "").await;
        let gateway = world.gateway("g1").await;
        gateway.wait_ready(1).await;
        let programs = ["p1", "p2", "p3", "p4"];
        let turns =
            programs.map(|program| run_turns(&gateway, program, CONTINUE_FOR + EFFECT_BOUND));
        let restart = async {
            sleep(EFFECT_BOUND).await;
            publish_incarnation(&world, &s1, 2, "").await
        };
        let (since, _) = join(restart, join_all(turns)).await;
        assert_stale_use_within(&s1, since, EFFECT_BOUND);
    });
}

/// A restart during a log outage is missed until the next read succeeds, and a hanging read first
/// has to end with its timeout. Both have to happen within `contact_ms` after the outage.
#[test]
fn restart_during_a_log_outage_takes_effect_soon_after_it() {
    const CONTACT: Duration = Duration::from_millis(2_000);
    run(async {
        let s1 = Server::start("s1", plain_answer()).await;
        let world = World::new().await;
        world.bounds.set(Bounds {
            contact_ms: CONTACT.as_millis() as u64,
            ..Bounds::default()
        });
        let gateway = gateway_with_incarnation(&world, &s1, 1).await;
        gateway.store.set_fault(LogFault::Silent);
        let since = publish_incarnation(&world, &s1, 2, "").await;
        // The gateway cannot know of the restart: it reaches the next incarnation at the old
        // address.
        ask_continuously(&gateway, "outage", CONTINUE_FOR).await;
        assert!(stale_use_after(&s1, since) > Duration::ZERO);
        gateway.store.set_fault(LogFault::None);
        let recovered = Instant::now();
        ask_continuously(&gateway, "after", CONTACT + CONTINUE_FOR).await;
        assert_stale_use_within(&s1, recovered, CONTACT);
    });
}

/// Guards against a new owner that assigns programs to the previous incarnation.
#[test]
fn restart_during_a_loss_of_owners_takes_effect_within_the_bound() {
    run(async {
        let s1 = Server::start("s1", paced_stream()).await;
        let world = World::new().await;
        publish_incarnation(&world, &s1, 1, "").await;
        let a = world.gateway("g1").await;
        let b = world.gateway("g2").await;
        a.wait_ready(1).await;
        b.wait_ready(1).await;
        // Wait until every partition has an owner.
        sleep(Duration::from_millis(900)).await;
        join(
            run_turns(&a, "p", Duration::from_millis(150)),
            run_turns(&b, "q", Duration::from_millis(150)),
        )
        .await;
        let partition = fieldhook_ledger::partition_of("p", 2);
        let claim = a.daemon.owner.claims.claim(partition).expect("an owner");
        let (owner, other) = match a.daemon.owner.claims.is_mine(&claim) {
            true => (a, b),
            false => (b, a),
        };
        // The owner learns neither of its replacement nor of the restart; its assignments refer to
        // the previous incarnation.
        owner.store.set_fault(LogFault::Silent);
        let since = publish_incarnation(&world, &s1, 2, "").await;
        let turns =
            ["p", "r"].map(|program| run_turns(&other, program, EFFECT_BOUND + CONTINUE_FOR));
        join_all(turns).await;
        assert_stale_use_within(&s1, since, EFFECT_BOUND);
    });
}

/// Guards against a directory that keeps an intermediate incarnation, or several of one server.
#[test]
fn restarts_in_quick_succession_take_effect_in_order() {
    run(async {
        let s1 = Server::start("s1", plain_answer()).await;
        let world = World::new().await;
        let gateway = gateway_with_incarnation(&world, &s1, 1).await;
        let restarts = async {
            let first = publish_incarnation(&world, &s1, 2, "").await;
            sleep(EFFECT_BOUND).await;
            let second = publish_incarnation(&world, &s1, 3, "").await;
            sleep(EFFECT_BOUND).await;
            // The next two restarts arrive in one read.
            publish_incarnation(&world, &s1, 4, "").await;
            (first, second, publish_incarnation(&world, &s1, 5, "").await)
        };
        let requests = ask_continuously(&gateway, "r", EFFECT_BOUND * 2 + CONTINUE_FOR);
        let ((first, second, third), ()) = join(restarts, requests).await;
        for since in [first, second, third] {
            assert_stale_use_within(&s1, since, EFFECT_BOUND);
        }
        let directory = gateway.daemon.directory.borrow();
        assert_eq!(directory.current_identity("s1"), Some("s1~5"));
        assert_eq!(directory.len(), 1);
    });
}

/// The entry that was written last applies, whatever start time the server's clock gave.
#[test]
fn restart_with_a_clock_set_back_takes_effect_within_the_bound() {
    run(async {
        let s1 = Server::start("s1", plain_answer()).await;
        let world = World::new().await;
        let gateway = gateway_with_incarnation(&world, &s1, 9).await;
        let since = publish_incarnation(&world, &s1, 3, "").await;
        ask_continuously(&gateway, "r", CONTINUE_FOR).await;
        assert_stale_use_within(&s1, since, EFFECT_BOUND);
    });
}

/// Guards against a new entry that closes the connections on which the previous incarnation still
/// finishes its streams.
#[test]
fn restart_during_drain_interrupts_no_stream_and_takes_effect_within_the_bound() {
    run(async {
        let texts: Vec<String> = (0..40).map(|number| format!("e{number}")).collect();
        let s1 = Server::start("s1", Act::Paced(texts, Duration::from_millis(40))).await;
        let world = World::new().await;
        publish_incarnation(&world, &s1, 1, "").await;
        let gateway = world.gateway("g1").await;
        gateway.wait_ready(1).await;
        let long = gateway.ask("POST", "/resume/1", "Request: l\r\n", "x");
        let drain = async {
            sleep(Duration::from_millis(100)).await;
            s1.set(plain_answer());
            publish_incarnation(&world, &s1, 1, "draining").await;
            sleep(EFFECT_BOUND).await;
            let draining_count = s1.count();
            let refused = gateway.ask("GET", "/safe/1", "Request: n\r\nDeadline: 100\r\n", "");
            assert_ne!(refused.await.head.status, 200, "a draining server is used");
            assert_eq!(s1.count(), draining_count);
            let since = publish_incarnation(&world, &s1, 2, "").await;
            sleep(EFFECT_BOUND).await;
            ask(&gateway, 4).await;
            since
        };
        let (reply, since) = join(long, drain).await;
        assert!(
            reply.complete,
            "the stream of the previous incarnation was interrupted"
        );
        assert_eq!(reply.text().matches("data: ").count(), 40);
        assert_stale_use_within(&s1, since, EFFECT_BOUND);
    });
}

/// The backoff after failures and the suspicion of a silent machine must not carry over to the next
/// incarnation of the server.
#[test]
fn failures_of_the_previous_incarnation_do_not_affect_the_next() {
    run(async {
        let mut s1 = Server::start_with_power_switch("s1", Act::Reset).await;
        let world = World::new().await;
        publish_incarnation(&world, &s1, 1, "").await;
        let gateway = world.gateway("g1").await;
        gateway.wait_ready(1).await;
        for number in 0..4 {
            let fields = format!("Request: u{number}\r\nDeadline: 400\r\n");
            gateway.ask("POST", "/unsafe/1", &fields, "").await;
        }
        s1.lose_power().await;
        for number in 0..5 {
            let fields = format!("Request: v{number}\r\nDeadline: 800\r\n");
            gateway.ask("POST", "/unsafe/1", &fields, "").await;
        }
        let pools = &gateway.daemon.pools;
        let previous = pools.status("s1~1", "z1", gateway.daemon.now_ms());
        assert!(previous.is_unhealthy && previous.is_avoided);
        s1.regain_power();
        s1.set(plain_answer());
        publish_incarnation(&world, &s1, 2, "").await;
        sleep(EFFECT_BOUND).await;
        let now_ms = gateway.daemon.now_ms();
        let next = pools.status("s1~2", "z1", now_ms);
        assert!(!next.is_unhealthy && !next.is_avoided && next.in_flight == 0);
        assert!(!pools.is_silent("s1~2", now_ms));
        ask(&gateway, 4).await;
    });
}

/// A restarted server is cold from the moment the restart is known, even if its entry does not say
/// so and the previous incarnation was warm.
#[test]
fn restarted_server_is_cold_although_the_previous_incarnation_was_warm() {
    run(async {
        let s1 = Server::start("s1", plain_answer()).await;
        let world = World::new().await;
        world.configs.borrow_mut()[0].services[0].cold = Some(ColdLimit {
            rate_per_s: 100.0,
            duration_ms: 2_000,
        });
        let gateway = gateway_with_incarnation(&world, &s1, 1).await;
        let is_cold = || {
            let directory = gateway.daemon.directory.borrow();
            let id = directory.current_identity("s1").expect("a server");
            let entry = directory.entry(id).expect("its entry");
            gateway.daemon.cold.cold_limits(entry).is_some()
        };
        assert!(!is_cold());
        publish_incarnation(&world, &s1, 2, "").await;
        sleep(EFFECT_BOUND).await;
        assert!(is_cold());
    });
}

fn unreadable_count(gateway: &Gateway, kind: &str) -> u64 {
    let counter = &gateway.daemon.metrics.unreadable;
    counter.with_label_values(&[kind]).get()
}

/// Makes the log drop records that were not read yet, which forces followers to list their topics
/// again.
async fn force_relisting(world: &World) {
    for topic in [SERVERS, CONFIG] {
        let unread_append = Append {
            partition: Partition {
                topic: topic.to_owned(),
                number: 0,
            },
            records: vec![KeyedRecord {
                key: b"later".to_vec(),
                value: Vec::new(),
            }],
            producer: None,
            expected_end: None,
            timeout: EFFECT_BOUND,
        };
        let appended = world.log.core.borrow_mut().append(&unread_append);
        assert!(appended.is_ok());
    }
    world.log.core.borrow_mut().drop_history();
    world.put(SERVERS, "later", "").await;
    world.put(CONFIG, "later", "").await;
    sleep(EFFECT_BOUND).await;
}

/// Guards against log output and counts that grow whenever a topic is listed again.
#[test]
fn unreadable_record_is_logged_and_counted_once_however_often_it_is_delivered() {
    run(async {
        let s1 = Server::start("s1", plain_answer()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&s1]).await;
        let lines = LogCapture::start();
        let large = "x".repeat(1 << 20);
        world.put(SERVERS, "foreign", &large).await;
        world.put_bytes(SERVERS, b"\xff\xfe", b"service").await;
        world.put(CONFIG, "config", "nonsense").await;
        world.put_bytes(CONFIG, b"closed/\xff", b"{}").await;
        sleep(EFFECT_BOUND).await;
        force_relisting(&world).await;
        force_relisting(&world).await;
        let expected = [
            ("server_unreadable", "server", 2),
            ("config_unreadable", "configuration", 1),
            ("zone_unreadable", "evacuation", 1),
        ];
        for (event, kind, count) in expected {
            let lines = lines.with_event(event);
            assert_eq!(lines.len(), count, "{event}: {lines:?}");
            assert_eq!(unreadable_count(&gateway, kind), count as u64, "{kind}");
            assert!(lines.iter().all(|line| line.len() < 1_000), "{event}");
        }
        // Valid state is unaffected: the server, the configuration, and that no zone is evacuated.
        ask(&gateway, 4).await;
        let routes = gateway.daemon.routes.borrow();
        assert_eq!(routes.as_ref().map(|table| table.config.version), Some(1));
        assert_eq!(gateway.daemon.directory.borrow().len(), 1);
    });
}

/// Guards against a log that is flooded by records of other writers.
#[test]
fn many_unreadable_records_produce_bounded_log_output() {
    run(async {
        let s1 = Server::start("s1", plain_answer()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&s1]).await;
        let lines = LogCapture::start();
        for number in 0..300 {
            world.put(SERVERS, &format!("f{number}"), "\u{0}").await;
        }
        world.list(&s1).await;
        sleep(EFFECT_BOUND).await;
        assert_eq!(unreadable_count(&gateway, "server"), 300);
        let logged = lines.with_event("server_unreadable");
        assert!(logged.len() <= 100, "{} lines", logged.len());
        assert!(logged.iter().any(|line| line.contains("unnamed")));
        ask(&gateway, 4).await;
    });
}

/// Other programs may write evacuation records with any key and value. Records whose key names no
/// zone must evacuate nothing, and must not disturb the operator's evacuations.
#[test]
fn unreadable_evacuation_records_do_not_affect_other_evacuations() {
    run(async {
        let s1 = Server::start("s1", plain_answer()).await;
        let s2 = Server::start("s2", plain_answer()).await;
        let world = World::new().await;
        world.list_in(&s1, "z1").await;
        world.list_in(&s2, "z2").await;
        let gateway = world.gateway("g1").await;
        gateway.wait_ready(2).await;
        world.put(CONFIG, "closed/z1", "{}").await;
        let mut rng = fastrand::Rng::with_seed(5);
        for _ in 0..300 {
            let mut key = b"closed/".to_vec();
            key.extend((0..rng.usize(1..40)).map(|_| rng.u8(128..)));
            let value: Vec<u8> = (0..rng.usize(0..40)).map(|_| rng.u8(..)).collect();
            world.put_bytes(CONFIG, &key, &value).await;
        }
        world.put(CONFIG, "closed/", "{}").await;
        sleep(EFFECT_BOUND).await;
        let zone_state = &gateway.daemon.zone_state;
        assert!(zone_state.is_evacuated("z1") && !zone_state.is_evacuated("z2"));
        assert!(unreadable_count(&gateway, "evacuation") > 250);
        let before = s1.count();
        ask(&gateway, 8).await;
        assert_eq!(s1.count(), before, "an evacuated zone is used");
        world.put(CONFIG, "closed/z1", "").await;
        ask_until_used(&gateway, &s1).await;
    });
}
