//! Compares the two best strategies for recording turns on a log, on the same in-memory log:
//! owners with group commit, and conditional appends by gateways without owners.
//! docs/PLATFORM.md, "Ways weighed", has the results.

use fieldhook_emulator::log::memory::{LogFault, MemoryLog, SharedLog};
use fieldhook_log::api::{Append, KeyedRecord, LogStore, Partition, StoreError};
use fieldhook_log::appender::{Appender, Urgency, fence};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

const TOPIC: &str = "keyed.ways";
const PARTITIONS: u32 = 8;
const GATEWAYS: usize = 12;
/// Simulated duration of each call to the log.
const LOG_CALL_TIME: Duration = Duration::from_millis(5);
const TIMEOUT: Duration = Duration::from_secs(2);
const RECORD_BYTES: usize = 1_200;
const EPOCH: u64 = 1;

/// Results of one strategy.
#[derive(Clone, Debug, Serialize)]
pub struct StrategyResult {
    /// Number of recorded turns.
    pub turns: u64,
    /// Calls to the log per turn.
    pub calls_per_turn: f64,
    /// Median time until a turn's record was durable, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of that time, in milliseconds.
    pub p99_ms: f64,
}

/// Results of both strategies under the same load.
#[derive(Clone, Debug, Serialize)]
pub struct StrategyReport {
    /// Turns per second.
    pub turns_per_second: u64,
    /// Fenced owners with group commit.
    pub owners: StrategyResult,
    /// Conditional appends by gateways, which read the new records after a conflict and retry.
    pub conditional: StrategyResult,
}

/// Measures both strategies.
///
/// # Errors
/// The log refused an operation that should succeed.
pub async fn measure(
    turns_per_second: u64,
    seconds: u64,
) -> Result<StrategyReport, Box<dyn Error>> {
    let load = TurnLoad {
        turns: turns_per_second * seconds,
        interval: Duration::from_secs(1) / turns_per_second.max(1) as u32,
    };
    Ok(StrategyReport {
        turns_per_second,
        owners: measure_owners(load).await?,
        conditional: measure_conditional(load).await?,
    })
}

#[derive(Clone, Copy)]
struct TurnLoad {
    turns: u64,
    interval: Duration,
}

/// Latencies of recorded turns.
struct Latencies(RefCell<Histogram<u64>>);

impl Latencies {
    fn new() -> Result<Rc<Self>, Box<dyn Error>> {
        Ok(Rc::new(Self(RefCell::new(Histogram::new(3)?))))
    }

    fn add(&self, latency: Duration) {
        let _ = self.0.borrow_mut().record(latency.as_micros() as u64);
    }

    fn result(&self, log_calls: u64) -> StrategyResult {
        let latencies = self.0.borrow();
        let turns = latencies.len();
        let milliseconds = |quantile| latencies.value_at_quantile(quantile) as f64 / 1e3;
        StrategyResult {
            turns,
            calls_per_turn: log_calls as f64 / turns.max(1) as f64,
            p50_ms: milliseconds(0.5),
            p99_ms: milliseconds(0.99),
        }
    }
}

fn log_partition(number: u32) -> Partition {
    Partition {
        topic: TOPIC.to_owned(),
        number,
    }
}

fn record(turn: u64) -> KeyedRecord {
    KeyedRecord {
        key: turn.to_be_bytes().to_vec(),
        value: vec![b'x'; RECORD_BYTES],
    }
}

fn slow_log_client(log: &Rc<SharedLog>) -> Rc<MemoryLog> {
    let store = Rc::new(MemoryLog::new(log.clone()));
    store.set_fault(LogFault::Slow(LOG_CALL_TIME));
    store
}

async fn measure_owners(load: TurnLoad) -> Result<StrategyResult, Box<dyn Error>> {
    let log = Rc::new(SharedLog::default());
    let mut owners = Vec::new();
    for number in 0..PARTITIONS {
        let store = slow_log_client(&log);
        fence(store.as_ref(), log_partition(number), EPOCH, TIMEOUT).await?;
        let appender = Appender::new(log_partition(number), EPOCH, store.clone(), Rc::default());
        let appender = Rc::new(appender);
        let running = appender.clone();
        ntex::rt::spawn(async move { running.run(|_| {}).await });
        owners.push((appender, store));
    }
    let latencies = Latencies::new()?;
    let mut pending = Vec::new();
    for turn in 0..load.turns {
        let (appender, _) = &owners[fastrand::usize(..owners.len())];
        let (sender, receiver) = oneshot::channel();
        let started = Instant::now();
        let latencies = latencies.clone();
        let done = move |_| {
            latencies.add(started.elapsed());
            let _ = sender.send(());
        };
        appender.push(vec![record(turn)], Urgency::Now, Box::new(done));
        pending.push(receiver);
        sleep(load.interval).await;
    }
    for receiver in pending {
        receiver.await?;
    }
    let calls = owners.iter().map(|(_, store)| store.calls.get()).sum();
    Ok(latencies.result(calls))
}

/// A gateway that appends directly; `known_ends` holds the offset up to which it has read
/// each partition.
struct Gateway {
    store: Rc<MemoryLog>,
    known_ends: Vec<Cell<u64>>,
}

impl Gateway {
    /// Appends a record on the condition that the partition's end is unchanged; on a conflict
    /// reads the new records and retries.
    async fn record(&self, number: u32, turn: u64) -> Result<(), StoreError> {
        let known_end = &self.known_ends[number as usize];
        loop {
            let append = Append {
                partition: log_partition(number),
                records: vec![record(turn)],
                producer: None,
                expected_end: Some(known_end.get()),
                timeout: TIMEOUT,
            };
            match self.store.append(append).await {
                Ok(appended) => {
                    known_end.set(appended.end);
                    return Ok(());
                }
                Err(StoreError::Moved(_)) => {
                    let batch = self
                        .store
                        .read(
                            log_partition(number),
                            known_end.get(),
                            Duration::ZERO,
                            TIMEOUT,
                        )
                        .await?;
                    known_end.set(known_end.get().max(batch.next));
                }
                Err(error) => return Err(error),
            }
        }
    }
}

async fn measure_conditional(load: TurnLoad) -> Result<StrategyResult, Box<dyn Error>> {
    let log = Rc::new(SharedLog::default());
    let gateways: Vec<Rc<Gateway>> = (0..GATEWAYS)
        .map(|_| {
            Rc::new(Gateway {
                store: slow_log_client(&log),
                known_ends: (0..PARTITIONS).map(|_| Cell::new(0)).collect(),
            })
        })
        .collect();
    let latencies = Latencies::new()?;
    let mut pending = Vec::new();
    for turn in 0..load.turns {
        let gateway = gateways[fastrand::usize(..GATEWAYS)].clone();
        let number = fastrand::u32(..PARTITIONS);
        let latencies = latencies.clone();
        let (sender, receiver) = oneshot::channel();
        ntex::rt::spawn(async move {
            let started = Instant::now();
            let result = gateway.record(number, turn).await;
            latencies.add(started.elapsed());
            let _ = sender.send(result);
        });
        pending.push(receiver);
        sleep(load.interval).await;
    }
    for receiver in pending {
        receiver.await??;
    }
    let calls = gateways
        .iter()
        .map(|gateway| gateway.store.calls.get())
        .sum();
    Ok(latencies.result(calls))
}
