//! Partition owners over a log with faults: two concurrent claims never both succeed, an append of
//! a fenced owner is never accepted, and acknowledged records are on the log exactly once and in
//! order.

use fieldhook_emulator::log::memory::{LogFault, MemoryLog, SharedLog};
use fieldhook_log::api::{KeyedRecord, LogStore, Partition};
use fieldhook_log::appender::{AppendEnd, Appender, Outcome, Urgency, fence};
use fieldhook_log::claims::{ClaimError, Claims};
use fieldhook_log::log_health::LogHealth;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

const TOPIC: &str = "keyed.owners";
const PARTITIONS: u32 = 4;
const SHORT: Duration = Duration::from_millis(20);

fn run<F: Future<Output = ()> + 'static>(test: F) {
    ntex::rt::System::new("log-tests", ntex::rt::DefaultRuntime).block_on(test);
}

struct Daemon {
    store: Rc<MemoryLog>,
    claims: Rc<Claims>,
}

fn daemon(log: &Rc<SharedLog>, number: u16) -> Daemon {
    let store = Rc::new(MemoryLog::new(log.clone()));
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000 + number));
    let claims = Claims::new(
        store.clone(),
        Rc::default(),
        TOPIC,
        PARTITIONS,
        address,
        u64::from(number),
    );
    let claims = Rc::new(claims);
    ntex::rt::spawn(claims.clone().run_follow());
    Daemon { store, claims }
}

fn partition() -> Partition {
    Partition {
        topic: "keyed.work".to_owned(),
        number: 0,
    }
}

fn record(key: &str, value: &str) -> KeyedRecord {
    KeyedRecord {
        key: key.as_bytes().to_vec(),
        value: value.as_bytes().to_vec(),
    }
}

#[test]
fn one_of_concurrent_claims_wins() {
    run(async {
        let log = Rc::new(SharedLog::default());
        let daemons: Vec<Daemon> = (1..=6).map(|number| daemon(&log, number)).collect();
        sleep(SHORT).await;
        for partition in 0..PARTITIONS {
            let claiming = daemons
                .iter()
                .map(|daemon| daemon.claims.take_over(partition, None));
            let results = futures_util::future::join_all(claiming).await;
            let won = results.iter().filter(|result| result.is_ok()).count();
            assert_eq!(won, 1, "{results:?}");
        }
        sleep(SHORT).await;
        for partition in 0..PARTITIONS {
            let seen: Vec<_> = daemons
                .iter()
                .map(|daemon| daemon.claims.claim(partition))
                .collect();
            assert!(
                seen.iter()
                    .all(|claim| claim.is_some() && *claim == seen[0])
            );
        }
    });
}

#[test]
fn processes_of_the_same_incarnation_are_distinguished() {
    run(async {
        let log = Rc::new(SharedLog::default());
        let daemons: Vec<Rc<Claims>> = [7_001, 7_002]
            .into_iter()
            .map(|port| {
                let store = Rc::new(MemoryLog::new(log.clone()));
                let address = SocketAddr::from(([127, 0, 0, 1], port));
                let claims = Rc::new(Claims::new(
                    store,
                    Rc::default(),
                    TOPIC,
                    PARTITIONS,
                    address,
                    5,
                ));
                ntex::rt::spawn(claims.clone().run_follow());
                claims
            })
            .collect();
        sleep(SHORT).await;
        daemons[0].take_over(0, None).await.expect("claims");
        sleep(SHORT).await;
        let claim = daemons[1].claim(0).expect("follows the claim");
        assert!(daemons[0].is_mine(&claim));
        assert!(!daemons[1].is_mine(&claim));
    });
}

#[test]
fn take_over_with_an_outdated_epoch_fails() {
    run(async {
        let log = Rc::new(SharedLog::default());
        let (a, b, c) = (daemon(&log, 1), daemon(&log, 2), daemon(&log, 3));
        sleep(SHORT).await;
        a.claims.take_over(0, None).await.expect("claims");
        let first = a.claims.claim(0).map(|claim| claim.epoch);
        sleep(SHORT).await;
        b.claims.take_over(0, first).await.expect("takes over");
        // The third daemon has not read the second claim yet.
        assert_eq!(
            c.claims.take_over(0, first).await,
            Err(ClaimError::Overtaken)
        );
    });
}

#[test]
fn claim_applied_late_is_followed() {
    run(async {
        let log = Rc::new(SharedLog::default());
        let a = daemon(&log, 1);
        sleep(SHORT).await;
        a.store
            .set_fault(LogFault::AppliedLate(Duration::from_millis(350)));
        assert_eq!(
            a.claims.take_over(0, None).await,
            Err(ClaimError::NotAppended)
        );
        a.store.set_fault(LogFault::None);
        sleep(Duration::from_millis(200)).await;
        let claim = a.claims.claim(0).expect("follows its own late claim");
        assert!(a.claims.is_mine(&claim));
    });
}

#[test]
fn unowned_partitions_are_claimed() {
    run(async {
        let log = Rc::new(SharedLog::default());
        let daemons: Vec<Daemon> = (1..=4).map(|number| daemon(&log, number)).collect();
        for daemon in &daemons {
            ntex::rt::spawn(daemon.claims.clone().run_claim_unowned(Duration::ZERO));
        }
        sleep(Duration::from_millis(1_500)).await;
        for partition in 0..PARTITIONS {
            assert!(
                daemons[0].claims.claim(partition).is_some(),
                "partition {partition} has no owner"
            );
        }
    });
}

#[test]
fn fenced_owner_reports_its_records_as_lost() {
    run(async {
        let log = Rc::new(SharedLog::default());
        let store = Rc::new(MemoryLog::new(log.clone()));
        fence(store.as_ref(), partition(), 1, SHORT)
            .await
            .expect("sets the epoch");
        let old = Rc::new(Appender::new(partition(), 1, store.clone(), Rc::default()));
        fence(store.as_ref(), partition(), 2, SHORT)
            .await
            .expect("sets the epoch");
        let outcomes = Rc::new(RefCell::new(Vec::new()));
        for urgency in [Urgency::Now, Urgency::Soon] {
            let outcomes = outcomes.clone();
            let done = move |outcome| outcomes.borrow_mut().push(outcome);
            old.push(vec![record("k", "old")], urgency, Box::new(done));
        }
        assert_eq!(old.run(|_| {}).await, AppendEnd::Fenced);
        assert_eq!(*outcomes.borrow(), vec![Outcome::Lost, Outcome::Lost]);
        let page = store.newest(partition(), None, SHORT).await.expect("read");
        assert!(page.records.is_empty());
    });
}

#[test]
fn append_without_records_detects_a_later_owner() {
    run(async {
        let log = Rc::new(SharedLog::default());
        let store = Rc::new(MemoryLog::new(log.clone()));
        let appender = Rc::new(Appender::new(partition(), 5, store.clone(), Rc::default()));
        ntex::rt::spawn({
            let appender = appender.clone();
            async move {
                appender.run(|_| {}).await;
            }
        });
        let check = |appender: &Rc<Appender>| {
            let (sender, receiver) = tokio::sync::oneshot::channel();
            let done = move |outcome| {
                let _ = sender.send(outcome);
            };
            appender.push(Vec::new(), Urgency::Now, Box::new(done));
            receiver
        };
        assert_eq!(check(&appender).await, Ok(Outcome::Durable));
        fence(store.as_ref(), partition(), 6, SHORT)
            .await
            .expect("sets the epoch");
        assert_eq!(check(&appender).await, Ok(Outcome::Lost));
    });
}

/// A hanging append is repeated as soon as any other call to the log is answered.
#[test]
fn hanging_append_is_repeated_once_the_log_answers() {
    run(async {
        let log = Rc::new(SharedLog::default());
        let store = Rc::new(MemoryLog::new(log.clone()));
        let health = Rc::new(LogHealth::default());
        let appender = Rc::new(Appender::new(partition(), 1, store.clone(), health.clone()));
        let running = appender.clone();
        ntex::rt::spawn(async move {
            running.run(|_| {}).await;
        });
        store.set_fault(LogFault::Silent);
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let done = move |outcome| {
            let _ = sender.send(outcome);
        };
        appender.push(vec![record("k", "v")], Urgency::Now, Box::new(done));
        // By now the append has waited 600 ms for an answer.
        sleep(Duration::from_millis(600)).await;
        health.record_failure();
        store.set_fault(LogFault::None);
        health.record_answer();
        let ended = timeout(Duration::from_millis(100), receiver).await;
        assert_eq!(ended.ok(), Some(Ok(Outcome::Durable)));
    });
}

/// Appends one record and returns the time until it is durable.
async fn measure_append(store: &Rc<MemoryLog>, health: &Rc<LogHealth>) -> Duration {
    let appender = Rc::new(Appender::new(partition(), 1, store.clone(), health.clone()));
    let running = appender.clone();
    ntex::rt::spawn(async move {
        running.run(|_| {}).await;
    });
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let done = move |outcome| {
        let _ = sender.send(outcome);
    };
    let begun = tokio::time::Instant::now();
    appender.push(vec![record("k", "v")], Urgency::Now, Box::new(done));
    assert_eq!(receiver.await, Ok(Outcome::Durable));
    begun.elapsed()
}

/// A lost answer costs a few usual round trips, not a fixed timeout.
#[test]
fn lost_answer_is_repeated_after_a_few_round_trips() {
    run(async {
        let log = Rc::new(SharedLog::default());
        let store = Rc::new(MemoryLog::new(log.clone()));
        store.set_fault(LogFault::ResponseLost);
        let healing = store.clone();
        ntex::rt::spawn(async move {
            sleep(Duration::from_millis(30)).await;
            healing.set_fault(LogFault::None);
        });
        let took = measure_append(&store, &Rc::default()).await;
        assert!(took < Duration::from_millis(140), "{took:?}");
    });
}

/// A slow answer is still accepted after a repeat was sent, and raises the estimate for the next
/// append.
#[test]
fn slow_log_gets_no_needless_repeats() {
    run(async {
        let log = Rc::new(SharedLog::default());
        let store = Rc::new(MemoryLog::new(log.clone()));
        let health = Rc::new(LogHealth::default());
        store.set_fault(LogFault::Slow(Duration::from_millis(240)));
        let took = measure_append(&store, &health).await;
        assert!(took < Duration::from_millis(300), "{took:?}");
        let before = store.calls.get();
        measure_append(&store, &health).await;
        assert_eq!(store.calls.get() - before, 1);
    });
}

/// While the log is silent, appends are repeated often enough to notice its recovery soon.
#[test]
fn recovery_of_a_silent_log_is_noticed_soon() {
    run(async {
        let log = Rc::new(SharedLog::default());
        let store = Rc::new(MemoryLog::new(log.clone()));
        store.set_fault(LogFault::Silent);
        let healing = store.clone();
        let outage = Duration::from_millis(1_200);
        ntex::rt::spawn(async move {
            sleep(outage).await;
            healing.set_fault(LogFault::None);
        });
        let took = measure_append(&store, &Rc::default()).await;
        assert!(took < outage + Duration::from_millis(350), "{took:?}");
        assert!(store.calls.get() < 20, "{} calls", store.calls.get());
    });
}

/// Records that wait for a log that rejects calls are appended within a tenth of a second of its
/// recovery.
#[test]
fn recovery_of_a_rejecting_log_is_noticed_at_once() {
    run(async {
        for trial in 0..8 {
            let log = Rc::new(SharedLog::default());
            let store = Rc::new(MemoryLog::new(log.clone()));
            store.set_fault(LogFault::Busy);
            let healing = store.clone();
            let outage = Duration::from_millis(500 + trial * 30);
            ntex::rt::spawn(async move {
                sleep(outage).await;
                healing.set_fault(LogFault::None);
            });
            let took = measure_append(&store, &Rc::default()).await;
            assert!(took < outage + Duration::from_millis(140), "{took:?}");
        }
    });
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The owner queues a record.
    Push,
    /// Sets the fault of the log: see [`fault`].
    Fault(u8),
    /// Waits for 3 ms.
    Wait,
    /// A new owner fences the current one.
    NewOwner,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..=4 => Self::Push,
            5 => Self::Fault(u8::arbitrary(g)),
            6 => Self::Wait,
            _ => Self::NewOwner,
        }
    }
}

/// Fault for a random number. `None` is twice as likely as each of the others.
fn fault(number: u8) -> LogFault {
    match number % 7 {
        0 => LogFault::Down,
        1 => LogFault::ResponseLost,
        2 => LogFault::Slow(Duration::from_millis(5)),
        3 => LogFault::Busy,
        4 => LogFault::Reset,
        _ => LogFault::None,
    }
}

/// Appends numbered records through changing owners and faults. Every record reported durable is on
/// the log exactly once, and the records are in order.
fn acknowledged_records_are_on_the_log_once(steps: Vec<Step>) -> bool {
    let holds = Rc::new(RefCell::new(true));
    let result = holds.clone();
    run(async move {
        let log = Rc::new(SharedLog::default());
        let durable: Rc<RefCell<Vec<u64>>> = Rc::default();
        let mut epoch = 0;
        let mut next = 0_u64;
        let mut store = Rc::new(MemoryLog::new(log.clone()));
        let mut appender: Option<Rc<Appender>> = None;
        for step in steps {
            match (step, &appender) {
                (Step::NewOwner, _) | (_, None) => {
                    epoch += 1;
                    store = Rc::new(MemoryLog::new(log.clone()));
                    let _ = fence(store.as_ref(), partition(), epoch, SHORT).await;
                    let fresh = Rc::new(Appender::new(
                        partition(),
                        epoch,
                        store.clone(),
                        Rc::default(),
                    ));
                    let running = fresh.clone();
                    ntex::rt::spawn(async move {
                        running.run(|_| {}).await;
                    });
                    appender = Some(fresh);
                }
                (Step::Push, Some(appender)) => {
                    let number = next;
                    next += 1;
                    let durable = durable.clone();
                    let done = move |outcome| {
                        if outcome == Outcome::Durable {
                            durable.borrow_mut().push(number);
                        }
                    };
                    let record = record(&format!("{number}"), "v");
                    appender.push(vec![record], Urgency::Now, Box::new(done));
                }
                (Step::Fault(number), _) => store.set_fault(fault(number)),
                (Step::Wait, _) => sleep(Duration::from_millis(3)).await,
            }
        }
        store.set_fault(LogFault::None);
        let last = next;
        if let Some(appender) = &appender {
            let (sender, receiver) = tokio::sync::oneshot::channel();
            let done = move |outcome| {
                let _ = sender.send(outcome);
            };
            appender.push(
                vec![record(&format!("{last}"), "v")],
                Urgency::Now,
                Box::new(done),
            );
            let ended = timeout(Duration::from_secs(5), receiver).await;
            *result.borrow_mut() &= matches!(ended, Ok(Ok(Outcome::Durable)));
        }
        let batch = log
            .core
            .borrow_mut()
            .read(&partition(), 0)
            .expect("all history");
        let on_log: Vec<u64> = batch
            .records
            .iter()
            .filter_map(|(_, record)| std::str::from_utf8(&record.key).ok()?.parse().ok())
            .collect();
        let once = durable
            .borrow()
            .iter()
            .all(|number| on_log.iter().filter(|found| *found == number).count() == 1);
        let ordered = on_log.windows(2).all(|pair| pair[0] < pair[1]);
        *result.borrow_mut() &= once && ordered;
    });
    holds.take()
}

#[test]
fn acknowledged_records_are_on_the_log_once_and_in_order() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(24, 41))
        .tests(40)
        .quickcheck(acknowledged_records_are_on_the_log_once as fn(Vec<Step>) -> bool);
}

#[test]
fn ineligible_daemon_claims_nothing_and_replaces_no_owner() {
    run(async {
        let log = Rc::new(SharedLog::default());
        let (inside, outside) = (daemon(&log, 1), daemon(&log, 2));
        outside
            .claims
            .eligibility
            .set(Rc::new(|partition, _| partition != 0));
        sleep(SHORT).await;
        let refused = outside.claims.take_over(0, None).await;
        assert_eq!(refused, Err(ClaimError::NotEligible));
        inside.claims.take_over(0, None).await.expect("claims");
        sleep(SHORT).await;
        let epoch = outside.claims.claim(0).map(|claim| claim.epoch);
        let refused = outside.claims.take_over(0, epoch).await;
        assert_eq!(refused, Err(ClaimError::NotEligible));
        inside.claims.release(0, None).await.expect("released");
        for daemon in [&inside, &outside] {
            let claims = daemon.claims.clone();
            ntex::rt::spawn(claims.run_claim_unowned(Duration::ZERO));
        }
        inside.claims.stop_claiming();
        sleep(Duration::from_millis(3_000)).await;
        let claim = outside.claims.claim(0).expect("a release");
        assert_eq!(claim.address, None);
        let others = (1..PARTITIONS).filter(|partition| {
            let claim = outside.claims.claim(*partition);
            claim.is_some_and(|claim| outside.claims.is_mine(&claim))
        });
        assert!(others.count() > 0);
    });
}
