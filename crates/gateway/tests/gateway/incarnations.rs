//! Entries of servers that start again under their name, and entries of other writers.

use crate::support::{Act, CONFIG, Gateway, LogCapture, SERVERS, Server, World, run};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_gateway::settings::Bounds;
use fieldhook_log::api::{Append, KeyedRecord, Partition};
use fieldhook_traffic::config::Cold;
use futures_util::future::{join, join_all};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// An entry is read at once; servers are looked at every 150 ms. The rest is for a busy machine.
const IN_FORCE: Duration = Duration::from_millis(600);
/// How long requests go on after what a test is about.
const AFTER: Duration = Duration::from_millis(1_200);

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

/// Lists the incarnation of a server that began at a time; when that was done.
async fn start_again(world: &World, server: &Server, born: u64, more: &str) -> Instant {
    let entry = format!("service {} born={born} {more}", server.address);
    world.put(SERVERS, &server.id, &entry).await;
    Instant::now()
}

/// A gateway that knows one incarnation of a server, and has connections to it.
async fn gateway_of(world: &World, server: &Server, born: u64) -> Gateway {
    start_again(world, server, born, "").await;
    let gateway = world.gateway("g1").await;
    gateway.wait_ready(1).await;
    ask(&gateway, 3).await;
    gateway
}

/// Asks all the time for so long; everything has to be served.
async fn ask_for(gateway: &Gateway, name: &str, time: Duration) {
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

/// Turns of a program one after another for so long; everything has to be served whole.
async fn converse(gateway: &Gateway, program: &str, time: Duration) {
    let until = Instant::now() + time;
    let mut previous = String::new();
    let mut number = 0;
    while Instant::now() < until {
        let turn = format!("{program}-t{number}");
        let fields = format!("Request: {turn}\r\nProgram: {program}\r\n{previous}");
        let reply = gateway.ask("POST", "/chat/1", &fields, "x;").await;
        assert_eq!((reply.head.status, reply.whole), (200, true), "{turn}");
        previous = format!("Previous: {turn}\r\n");
        number += 1;
    }
}

/// For how long after a moment a server got requests over connections from before it: these
/// were sent in belief of the incarnation of before. The stand-in leaves its connections open,
/// so that nothing but the belief ends their use.
fn believed_after(server: &Server, since: Instant) -> Duration {
    let seen = server.seen.borrow();
    let late = seen
        .iter()
        .filter(|seen| seen.accepted < since && seen.at > since);
    let last = late.map(|seen| seen.at - since).max();
    last.unwrap_or_default()
}

/// Requests that a server got later than this.
fn seen_after(server: &Server, since: Instant) -> usize {
    let seen = server.seen.borrow();
    seen.iter().filter(|seen| seen.at > since).count()
}

fn assert_believed_no_longer(server: &Server, since: Instant, bound: Duration) {
    let believed = believed_after(server, since);
    println!("a former incarnation was believed for {believed:?} of {bound:?}");
    assert!(believed <= bound, "believed for {believed:?}");
    assert!(
        seen_after(server, since + bound) > 0,
        "nothing came after the bound: nothing is shown"
    );
}

fn paced() -> Act {
    Act::Paced(
        vec!["one".to_owned(), "two".to_owned()],
        Duration::from_millis(15),
    )
}

#[test]
fn a_restart_while_turns_run_is_believed_within_the_bound() {
    run(async {
        let s1 = Server::start("s1", paced()).await;
        let world = World::new().await;
        start_again(&world, &s1, 1, "").await;
        let gateway = world.gateway("g1").await;
        gateway.wait_ready(1).await;
        let programs = ["p1", "p2", "p3", "p4"];
        let turns = programs.map(|program| converse(&gateway, program, AFTER + IN_FORCE));
        let restart = async {
            sleep(IN_FORCE).await;
            start_again(&world, &s1, 2, "").await
        };
        let (since, _) = join(restart, join_all(turns)).await;
        assert_believed_no_longer(&s1, since, IN_FORCE);
    });
}

/// What was missed is told by the next read; a read that hangs ends with its time-out, and
/// both within the time in which contact counts as disturbed.
#[test]
fn a_restart_beside_a_silent_log_is_believed_soon_after_it_answers() {
    const CONTACT: Duration = Duration::from_millis(2_000);
    run(async {
        let s1 = Server::start("s1", plain()).await;
        let world = World::new().await;
        world.bounds.set(Bounds {
            contact_ms: CONTACT.as_millis() as u64,
            ..Bounds::default()
        });
        let gateway = gateway_of(&world, &s1, 1).await;
        gateway.store.set_fault(LogFault::Silent);
        let since = start_again(&world, &s1, 2, "").await;
        // Nobody can know: the next process is met at the address of the one before.
        ask_for(&gateway, "dark", AFTER).await;
        assert!(believed_after(&s1, since) > Duration::ZERO);
        gateway.store.set_fault(LogFault::None);
        let answers = Instant::now();
        ask_for(&gateway, "light", CONTACT + AFTER).await;
        assert_believed_no_longer(&s1, answers, CONTACT);
    });
}

#[test]
fn a_restart_beside_a_loss_of_owners_is_believed_within_the_bound() {
    run(async {
        let s1 = Server::start("s1", paced()).await;
        let world = World::new().await;
        start_again(&world, &s1, 1, "").await;
        let a = world.gateway("g1").await;
        let b = world.gateway("g2").await;
        a.wait_ready(1).await;
        b.wait_ready(1).await;
        sleep(Duration::from_millis(900)).await;
        join(
            converse(&a, "p", Duration::from_millis(150)),
            converse(&b, "q", Duration::from_millis(150)),
        )
        .await;
        let partition = fieldhook_ledger::partition_of("p", 2);
        let claim = a.daemon.owner.claims.claim(partition).expect("an owner");
        let (owner, other) = match a.daemon.owner.claims.is_mine(&claim) {
            true => (a, b),
            false => (b, a),
        };
        // The owner hears of neither; what it assigned was assigned at the former incarnation.
        owner.store.set_fault(LogFault::Silent);
        let since = start_again(&world, &s1, 2, "").await;
        let turns = ["p", "r"].map(|program| converse(&other, program, IN_FORCE + AFTER));
        join_all(turns).await;
        assert_believed_no_longer(&s1, since, IN_FORCE);
    });
}

#[test]
fn two_restarts_within_a_second_are_believed_one_after_the_other() {
    run(async {
        let s1 = Server::start("s1", plain()).await;
        let world = World::new().await;
        let gateway = gateway_of(&world, &s1, 1).await;
        let restarts = async {
            let first = start_again(&world, &s1, 2, "").await;
            sleep(IN_FORCE).await;
            let second = start_again(&world, &s1, 3, "").await;
            sleep(IN_FORCE).await;
            // Both come in one read.
            start_again(&world, &s1, 4, "").await;
            (first, second, start_again(&world, &s1, 5, "").await)
        };
        let asking = ask_for(&gateway, "r", IN_FORCE * 2 + AFTER);
        let ((first, second, third), ()) = join(restarts, asking).await;
        for since in [first, second, third] {
            assert_believed_no_longer(&s1, since, IN_FORCE);
        }
        let directory = gateway.daemon.directory.borrow();
        assert_eq!(directory.identity_of("s1"), Some("s1~5"));
        assert_eq!(directory.len(), 1);
    });
}

/// The entry that was written last is in force, whatever the clock of its server said.
#[test]
fn a_restart_with_a_clock_that_stepped_back_is_believed_within_the_bound() {
    run(async {
        let s1 = Server::start("s1", plain()).await;
        let world = World::new().await;
        let gateway = gateway_of(&world, &s1, 9).await;
        let since = start_again(&world, &s1, 3, "").await;
        ask_for(&gateway, "r", AFTER).await;
        assert_believed_no_longer(&s1, since, IN_FORCE);
    });
}

#[test]
fn a_restart_during_its_drain_cuts_nothing_and_takes_work_within_the_bound() {
    run(async {
        let texts: Vec<String> = (0..40).map(|number| format!("e{number}")).collect();
        let s1 = Server::start("s1", Act::Paced(texts, Duration::from_millis(40))).await;
        let world = World::new().await;
        start_again(&world, &s1, 1, "").await;
        let gateway = world.gateway("g1").await;
        gateway.wait_ready(1).await;
        let long = gateway.ask("POST", "/resume/1", "Request: l\r\n", "x");
        let drain = async {
            sleep(Duration::from_millis(100)).await;
            s1.set(plain());
            start_again(&world, &s1, 1, "draining").await;
            sleep(IN_FORCE).await;
            let leaving = s1.count();
            let refused = gateway.ask("GET", "/safe/1", "Request: n\r\nDeadline: 100\r\n", "");
            assert_ne!(refused.await.head.status, 200, "a leaving server is used");
            assert_eq!(s1.count(), leaving);
            let since = start_again(&world, &s1, 2, "").await;
            sleep(IN_FORCE).await;
            ask(&gateway, 4).await;
            since
        };
        let (reply, since) = join(long, drain).await;
        assert!(reply.whole, "what ran at the former incarnation was cut");
        assert_eq!(reply.text().matches("data: ").count(), 40);
        assert_believed_no_longer(&s1, since, IN_FORCE);
    });
}

/// A pause after failures and the silence of its machine are not passed on to the next one.
#[test]
fn failures_and_silence_of_the_process_before_are_not_held_against_the_next() {
    run(async {
        let mut s1 = Server::start_with_power_switch("s1", Act::Reset).await;
        let world = World::new().await;
        start_again(&world, &s1, 1, "").await;
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
        let former = pools.status("s1~1", "z1", gateway.daemon.now_ms());
        assert!(former.unsound && former.avoided);
        s1.regain_power();
        s1.set(plain());
        start_again(&world, &s1, 2, "").await;
        sleep(IN_FORCE).await;
        let now_ms = gateway.daemon.now_ms();
        let next = pools.status("s1~2", "z1", now_ms);
        assert!(!next.unsound && !next.avoided && next.in_flight == 0);
        assert!(!pools.is_silent("s1~2", now_ms));
        ask(&gateway, 4).await;
    });
}

/// The process before was warm; the next one is cold from when it is learned, though its entry
/// does not say so.
#[test]
fn the_next_process_is_cold_though_the_one_before_was_warm() {
    run(async {
        let s1 = Server::start("s1", plain()).await;
        let world = World::new().await;
        world.configs.borrow_mut()[0].services[0].cold = Some(Cold {
            rate_per_s: 100.0,
            lasts_ms: 2_000,
        });
        let gateway = gateway_of(&world, &s1, 1).await;
        let is_cold = || {
            let directory = gateway.daemon.directory.borrow();
            let id = directory.identity_of("s1").expect("a server");
            let entry = directory.entry(id).expect("its entry");
            gateway.daemon.cold.cold_limits(entry).is_some()
        };
        assert!(!is_cold());
        start_again(&world, &s1, 2, "").await;
        sleep(IN_FORCE).await;
        assert!(is_cold());
    });
}

fn unreadable(gateway: &Gateway, kind: &str) -> u64 {
    let counter = &gateway.daemon.metrics.unreadable;
    counter.with_label_values(&[kind]).get()
}

/// The log drops records that nobody has read yet, so that all that is there is listed anew.
async fn list_anew(world: &World) {
    for topic in [SERVERS, CONFIG] {
        let unread = Append {
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
            timeout: IN_FORCE,
        };
        let appended = world.log.core.borrow_mut().append(&unread);
        assert!(appended.is_ok());
    }
    world.log.core.borrow_mut().forget_history();
    world.put(SERVERS, "later", "").await;
    world.put(CONFIG, "later", "").await;
    sleep(IN_FORCE).await;
}

#[test]
fn a_record_that_cannot_be_read_is_said_and_counted_once_however_often_it_comes() {
    run(async {
        let s1 = Server::start("s1", plain()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&s1]).await;
        let lines = LogCapture::start();
        let large = "x".repeat(1 << 20);
        world.put(SERVERS, "foreign", &large).await;
        world.put_bytes(SERVERS, b"\xff\xfe", b"service").await;
        world.put(CONFIG, "config", "nonsense").await;
        world.put_bytes(CONFIG, b"closed/\xff", b"{}").await;
        sleep(IN_FORCE).await;
        list_anew(&world).await;
        list_anew(&world).await;
        let said = [
            ("server_unreadable", "server", 2),
            ("config_unreadable", "configuration", 1),
            ("zone_unreadable", "evacuation", 1),
        ];
        for (event, kind, count) in said {
            let lines = lines.with_event(event);
            assert_eq!(lines.len(), count, "{event}: {lines:?}");
            assert_eq!(unreadable(&gateway, kind), count as u64, "{kind}");
            assert!(lines.iter().all(|line| line.len() < 1_000), "{event}");
        }
        // The others hold: the server, the configuration, and that no zone is evacuated.
        ask(&gateway, 4).await;
        let routes = gateway.daemon.routes.borrow();
        assert_eq!(routes.as_ref().map(|table| table.config.version), Some(1));
        assert_eq!(gateway.daemon.directory.borrow().len(), 1);
    });
}

#[test]
fn many_records_that_cannot_be_read_fill_no_log() {
    run(async {
        let s1 = Server::start("s1", plain()).await;
        let world = World::new().await;
        let gateway = world.ready(&[&s1]).await;
        let lines = LogCapture::start();
        for number in 0..300 {
            world.put(SERVERS, &format!("f{number}"), "\u{0}").await;
        }
        world.list(&s1).await;
        sleep(IN_FORCE).await;
        assert_eq!(unreadable(&gateway, "server"), 300);
        let said = lines.with_event("server_unreadable");
        assert!(said.len() <= 100, "{} lines", said.len());
        assert!(said.iter().any(|line| line.contains("unnamed")));
        ask(&gateway, 4).await;
    });
}

/// Keys and values of evacuations as any writer may leave them: those of no zone evacuate
/// nothing, and the operator's word on the others goes on.
#[test]
fn evacuations_of_other_writers_leave_the_others_in_force() {
    run(async {
        let s1 = Server::start("s1", plain()).await;
        let s2 = Server::start("s2", plain()).await;
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
        sleep(IN_FORCE).await;
        let zone_state = &gateway.daemon.zone_state;
        assert!(zone_state.is_evacuated("z1") && !zone_state.is_evacuated("z2"));
        assert!(unreadable(&gateway, "evacuation") > 250);
        let before = s1.count();
        ask(&gateway, 8).await;
        assert_eq!(s1.count(), before, "an evacuated zone is used");
        world.put(CONFIG, "closed/z1", "").await;
        ask_until(&gateway, &s1).await;
    });
}
