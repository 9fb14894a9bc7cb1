//! A log that counts what was appended against its room, beside the newest record of each key:
//! owners drop the history that they, and owners before them, left there.

use fieldhook_emulator::log::memory::{LogFault, MemoryLog, SharedLog};
use fieldhook_log::api::{Append, KeyedRecord, LogStore, Partition, StoreError, Trim};
use fieldhook_log::appender::{Appender, Outcome, Urgency, fence};
use fieldhook_log::trimmer::MAX_HISTORY_BYTES;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Bytes of a value; sixteen of them make [`MAX_HISTORY_BYTES`].
const VALUE: usize = MAX_HISTORY_BYTES / 16;
/// Keys that are written again and again.
const KEYS: usize = 20;
/// Room for the newest of each key, and for the history of some seconds beside them.
const ROOM: usize = 8 * MAX_HISTORY_BYTES;
/// Bytes that are appended: four times the room.
const APPENDS: usize = 4 * ROOM / VALUE;
/// Longer than any of it takes, and than a pause of the trimmer.
const LONG: Duration = Duration::from_secs(5);

fn run<F: Future<Output = ()> + 'static>(test: F) {
    ntex::rt::System::new("trimmer-tests", ntex::rt::DefaultRuntime).block_on(test);
}

fn place() -> Partition {
    Partition {
        topic: "keyed.work".to_owned(),
        number: 3,
    }
}

fn log_with_room() -> Rc<SharedLog> {
    let log = Rc::new(SharedLog::default());
    log.core.borrow_mut().set_room(ROOM);
    log
}

fn record(number: usize) -> KeyedRecord {
    KeyedRecord {
        key: format!("k{:02}", number % KEYS).into_bytes(),
        value: vec![(number % 251) as u8 + 1; VALUE],
    }
}

/// The newest record of each key, read as an owner reads it.
async fn newest(store: &MemoryLog) -> BTreeMap<Vec<u8>, Vec<u8>> {
    let page = store.newest(place(), None, LONG).await.expect("answers");
    assert_eq!(page.more_after, None);
    let records = page.records.into_iter();
    records
        .map(|(_, record)| (record.key, record.value))
        .collect()
}

/// An owner in force.
async fn owner(store: &Rc<MemoryLog>, epoch: u64) -> Rc<Appender> {
    fence(store.as_ref(), place(), epoch, LONG)
        .await
        .expect("fences");
    let appender = Appender::new(place(), epoch, store.clone(), Rc::default());
    let appender = Rc::new(appender);
    let appending = appender.clone();
    ntex::rt::spawn(async move { appending.run(|_| {}).await });
    appender
}

fn trims(appender: &Rc<Appender>) {
    let trimming = appender.clone();
    ntex::rt::spawn(async move { trimming.trimmer.run().await });
}

/// Appends one record; whether that was done within its time.
async fn append(appender: &Appender, number: usize) -> bool {
    let (sender, done) = oneshot::channel();
    let tell = Box::new(move |outcome| {
        let _ = sender.send(outcome);
    });
    appender.push(vec![record(number)], Urgency::Now, tell);
    timeout(LONG, done)
        .await
        .is_ok_and(|outcome| outcome == Ok(Outcome::Durable))
}

/// Fills the log as an owner that drops nothing does; how many appends it took.
async fn fill(store: &MemoryLog) -> usize {
    for number in 0..APPENDS {
        let append = Append {
            partition: place(),
            records: vec![record(number)],
            producer: None,
            expected_end: None,
            timeout: LONG,
        };
        match store.append(append).await {
            Ok(_) => {}
            Err(StoreError::Full) => return number,
            Err(error) => panic!("{error}"),
        }
    }
    panic!("the log is never full");
}

#[test]
fn the_history_of_an_owner_never_fills_the_log() {
    run(async {
        let log = log_with_room();
        let store = Rc::new(MemoryLog::new(log.clone()));
        let appender = owner(&store, 1).await;
        trims(&appender);
        for number in 0..APPENDS {
            assert!(append(&appender, number).await, "append {number}");
            // Half of it: what is appended while a call is under way, beside the bound.
            let history = log.core.borrow().kept() - KEYS.min(number + 1) * (VALUE + 3);
            assert!(
                history <= MAX_HISTORY_BYTES * 3 / 2,
                "{history} bytes of history"
            );
        }
        let latest = (APPENDS - KEYS..APPENDS).map(record);
        let latest = latest.map(|record| (record.key, record.value)).collect();
        assert_eq!(newest(&store).await, latest);
    });
}

#[test]
fn an_owner_makes_room_in_a_log_that_earlier_ones_filled() {
    run(async {
        let log = log_with_room();
        let store = Rc::new(MemoryLog::new(log));
        let filled = fill(&store).await;
        let before = newest(&store).await;
        let appender = owner(&store, 1).await;
        trims(&appender);
        appender.trimmer.inherit_history(filled as u64);
        assert!(append(&appender, filled).await);
        let mut after = before;
        after.insert(record(filled).key, record(filled).value);
        assert_eq!(newest(&store).await, after);
    });
}

#[test]
fn a_call_that_fails_is_made_again_and_holds_no_append_up() {
    run(async {
        let log = log_with_room();
        let store = Rc::new(MemoryLog::new(log));
        let filled = fill(&store).await;
        let appender = owner(&store, 1).await;
        trims(&appender);
        store.set_fault(LogFault::Down);
        appender.trimmer.inherit_history(filled as u64);
        tokio::time::sleep(Duration::from_millis(50)).await;
        store.set_fault(LogFault::None);
        assert!(append(&appender, filled).await);
    });
}

#[test]
fn a_late_call_of_a_former_owner_does_no_harm() {
    run(async {
        let log = log_with_room();
        let store = Rc::new(MemoryLog::new(log));
        let former = fill(&store).await;
        let appender = owner(&store, 2).await;
        trims(&appender);
        appender.trimmer.inherit_history(former as u64);
        for number in former..former + KEYS {
            assert!(append(&appender, number).await);
        }
        let kept = newest(&store).await;
        let late = Trim {
            partition: place(),
            before: former as u64 / 2,
            timeout: LONG,
        };
        store.trim(late).await.expect("trims");
        assert!(append(&appender, former + KEYS - 1).await);
        assert_eq!(newest(&store).await, kept);
    });
}
