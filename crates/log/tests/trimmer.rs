//! Owners delete the history that they and earlier owners left, so that the log never fills up. Its
//! storage limit counts every appended record in addition to the newest record of each key.

use fieldhook_emulator::log::memory::{LogFault, MemoryLog, SharedLog};
use fieldhook_log::api::{Append, KeyedRecord, LogStore, Partition, StoreError, Trim};
use fieldhook_log::appender::{Appender, Outcome, Urgency, fence};
use fieldhook_log::trimmer::MAX_HISTORY_BYTES;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Bytes of a value; sixteen values make [`MAX_HISTORY_BYTES`].
const VALUE_BYTES: usize = MAX_HISTORY_BYTES / 16;
/// Number of keys, which are overwritten in turn.
const KEYS: usize = 20;
/// Storage limit: enough for the newest record of each key and some seconds of history.
const STORAGE_LIMIT: usize = 8 * MAX_HISTORY_BYTES;
/// Number of appends, which together exceed the storage limit four times.
const APPENDS: usize = 4 * STORAGE_LIMIT / VALUE_BYTES;
/// Longer than any step takes, including a pause of the trimmer.
const TIMEOUT: Duration = Duration::from_secs(5);

fn run<F: Future<Output = ()> + 'static>(test: F) {
    ntex::rt::System::new("trimmer-tests", ntex::rt::DefaultRuntime).block_on(test);
}

fn partition() -> Partition {
    Partition {
        topic: "keyed.work".to_owned(),
        number: 3,
    }
}

fn log_with_storage_limit() -> Rc<SharedLog> {
    let log = Rc::new(SharedLog::default());
    log.core.borrow_mut().set_storage_limit(STORAGE_LIMIT);
    log
}

fn record(number: usize) -> KeyedRecord {
    KeyedRecord {
        key: format!("k{:02}", number % KEYS).into_bytes(),
        value: vec![(number % 251) as u8 + 1; VALUE_BYTES],
    }
}

/// Returns the newest record of each key, read as an owner reads it.
async fn newest(store: &MemoryLog) -> BTreeMap<Vec<u8>, Vec<u8>> {
    let page = store
        .newest(partition(), None, TIMEOUT)
        .await
        .expect("answers");
    assert_eq!(page.more_after, None);
    let records = page.records.into_iter();
    records
        .map(|(_, record)| (record.key, record.value))
        .collect()
}

/// Starts an owner and fences earlier ones.
async fn start_owner(store: &Rc<MemoryLog>, epoch: u64) -> Rc<Appender> {
    fence(store.as_ref(), partition(), epoch, TIMEOUT)
        .await
        .expect("fences");
    let appender = Appender::new(partition(), epoch, store.clone(), Rc::default());
    let appender = Rc::new(appender);
    let appending = appender.clone();
    ntex::rt::spawn(async move { appending.run(|_| {}).await });
    appender
}

fn spawn_trimmer(appender: &Rc<Appender>) {
    let trimming = appender.clone();
    ntex::rt::spawn(async move { trimming.trimmer.run().await });
}

/// Appends one record. Returns whether it became durable in time.
async fn append(appender: &Appender, number: usize) -> bool {
    let (sender, receiver) = oneshot::channel();
    let done = Box::new(move |outcome| {
        let _ = sender.send(outcome);
    });
    appender.push(vec![record(number)], Urgency::Now, done);
    timeout(TIMEOUT, receiver)
        .await
        .is_ok_and(|outcome| outcome == Ok(Outcome::Durable))
}

/// Fills the log without trimming. Returns the number of appends it took.
async fn fill(store: &MemoryLog) -> usize {
    for number in 0..APPENDS {
        let append = Append {
            partition: partition(),
            records: vec![record(number)],
            producer: None,
            expected_end: None,
            timeout: TIMEOUT,
        };
        match store.append(append).await {
            Ok(_) => {}
            Err(StoreError::Full) => return number,
            Err(error) => panic!("{error}"),
        }
    }
    panic!("the log did not fill up");
}

#[test]
fn history_of_an_owner_never_fills_the_log() {
    run(async {
        let log = log_with_storage_limit();
        let store = Rc::new(MemoryLog::new(log.clone()));
        let appender = start_owner(&store, 1).await;
        spawn_trimmer(&appender);
        for number in 0..APPENDS {
            assert!(append(&appender, number).await, "append {number}");
            // The margin of one half is for records appended during a call to trim.
            let history =
                log.core.borrow().stored_bytes() - KEYS.min(number + 1) * (VALUE_BYTES + 3);
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
fn owner_trims_a_log_filled_by_earlier_owners() {
    run(async {
        let log = log_with_storage_limit();
        let store = Rc::new(MemoryLog::new(log));
        let filled = fill(&store).await;
        let before = newest(&store).await;
        let appender = start_owner(&store, 1).await;
        spawn_trimmer(&appender);
        appender.trimmer.inherit_history(filled as u64);
        assert!(append(&appender, filled).await);
        let mut after = before;
        after.insert(record(filled).key, record(filled).value);
        assert_eq!(newest(&store).await, after);
    });
}

#[test]
fn failed_trim_is_repeated_without_delaying_appends() {
    run(async {
        let log = log_with_storage_limit();
        let store = Rc::new(MemoryLog::new(log));
        let filled = fill(&store).await;
        let appender = start_owner(&store, 1).await;
        spawn_trimmer(&appender);
        store.set_fault(LogFault::Down);
        appender.trimmer.inherit_history(filled as u64);
        tokio::time::sleep(Duration::from_millis(50)).await;
        store.set_fault(LogFault::None);
        assert!(append(&appender, filled).await);
    });
}

#[test]
fn late_trim_of_a_previous_owner_is_harmless() {
    run(async {
        let log = log_with_storage_limit();
        let store = Rc::new(MemoryLog::new(log));
        let previous = fill(&store).await;
        let appender = start_owner(&store, 2).await;
        spawn_trimmer(&appender);
        appender.trimmer.inherit_history(previous as u64);
        for number in previous..previous + KEYS {
            assert!(append(&appender, number).await);
        }
        let kept = newest(&store).await;
        let late = Trim {
            partition: partition(),
            before: previous as u64 / 2,
            timeout: TIMEOUT,
        };
        store.trim(late).await.expect("trims");
        assert!(append(&appender, previous + KEYS - 1).await);
        assert_eq!(newest(&store).await, kept);
    });
}
