//! The two best ways to record turns on a log, side by side on the same stand-in:
//! owners that append in groups, and gateways that append on condition without owners.
//! docs/PLATFORM.md, "Ways weighed", has the figures.

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
/// What a call of the log takes.
const CALL_TIME: Duration = Duration::from_millis(5);
const TIMEOUT: Duration = Duration::from_secs(2);
const RECORD_BYTES: usize = 1_200;
const EPOCH: u64 = 1;

/// Figures of one way.
#[derive(Clone, Debug, Serialize)]
pub struct WayFigures {
    /// Turns recorded.
    pub turns: u64,
    /// Calls of the log for each turn.
    pub calls_per_turn: f64,
    /// Milliseconds until a turn's end was durable, median.
    pub p50_ms: f64,
    /// The same for 99 in 100.
    pub p99_ms: f64,
}

/// Both ways under the same load.
#[derive(Clone, Debug, Serialize)]
pub struct WaysReport {
    /// Turns a second.
    pub turns_per_second: u64,
    /// Owners with fences and group commit.
    pub owners: WayFigures,
    /// Conditional appends by the gateways, that read on where they had stopped.
    pub conditional: WayFigures,
}

/// Measures both ways.
///
/// # Errors
/// The log refuses what it should take.
pub async fn measure(turns_per_second: u64, seconds: u64) -> Result<WaysReport, Box<dyn Error>> {
    let load = Load {
        turns: turns_per_second * seconds,
        pause: Duration::from_secs(1) / turns_per_second.max(1) as u32,
    };
    Ok(WaysReport {
        turns_per_second,
        owners: by_owners(load).await?,
        conditional: by_condition(load).await?,
    })
}

#[derive(Clone, Copy)]
struct Load {
    turns: u64,
    pause: Duration,
}

/// Times of recorded turns.
struct Times(RefCell<Histogram<u64>>);

impl Times {
    fn new() -> Result<Rc<Self>, Box<dyn Error>> {
        Ok(Rc::new(Self(RefCell::new(Histogram::new(3)?))))
    }

    fn add(&self, took: Duration) {
        let _ = self.0.borrow_mut().record(took.as_micros() as u64);
    }

    fn figures(&self, calls: u64) -> WayFigures {
        let times = self.0.borrow();
        let turns = times.len();
        let milliseconds = |quantile| times.value_at_quantile(quantile) as f64 / 1e3;
        WayFigures {
            turns,
            calls_per_turn: calls as f64 / turns.max(1) as f64,
            p50_ms: milliseconds(0.5),
            p99_ms: milliseconds(0.99),
        }
    }
}

fn place(number: u32) -> Partition {
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

fn client(log: &Rc<SharedLog>) -> Rc<MemoryLog> {
    let store = Rc::new(MemoryLog::new(log.clone()));
    store.set_fault(LogFault::Slow(CALL_TIME));
    store
}

async fn by_owners(load: Load) -> Result<WayFigures, Box<dyn Error>> {
    let log = Rc::new(SharedLog::default());
    let mut owners = Vec::new();
    for number in 0..PARTITIONS {
        let store = client(&log);
        fence(store.as_ref(), place(number), EPOCH, TIMEOUT).await?;
        let appender = Appender::new(place(number), EPOCH, store.clone(), Rc::default());
        let appender = Rc::new(appender);
        let running = appender.clone();
        ntex::rt::spawn(async move { running.run(|_| {}).await });
        owners.push((appender, store));
    }
    let times = Times::new()?;
    let mut waiting = Vec::new();
    for turn in 0..load.turns {
        let (appender, _) = &owners[fastrand::usize(..owners.len())];
        let (sender, receiver) = oneshot::channel();
        let begun = Instant::now();
        let times = times.clone();
        let done = move |_| {
            times.add(begun.elapsed());
            let _ = sender.send(());
        };
        appender.push(vec![record(turn)], Urgency::Now, Box::new(done));
        waiting.push(receiver);
        sleep(load.pause).await;
    }
    for receiver in waiting {
        receiver.await?;
    }
    let calls = owners.iter().map(|(_, store)| store.calls.get()).sum();
    Ok(times.figures(calls))
}

/// What one gateway has read of each partition.
struct Gateway {
    store: Rc<MemoryLog>,
    ends: Vec<Cell<u64>>,
}

impl Gateway {
    /// Appends where the partition ends; where it has moved on, reads what came first.
    async fn record(&self, number: u32, turn: u64) -> Result<(), StoreError> {
        let end = &self.ends[number as usize];
        loop {
            let append = Append {
                partition: place(number),
                records: vec![record(turn)],
                producer: None,
                expected_end: Some(end.get()),
                timeout: TIMEOUT,
            };
            match self.store.append(append).await {
                Ok(appended) => {
                    end.set(appended.end);
                    return Ok(());
                }
                Err(StoreError::Moved(_)) => {
                    let batch = self
                        .store
                        .read(place(number), end.get(), Duration::ZERO, TIMEOUT)
                        .await?;
                    end.set(end.get().max(batch.next));
                }
                Err(error) => return Err(error),
            }
        }
    }
}

async fn by_condition(load: Load) -> Result<WayFigures, Box<dyn Error>> {
    let log = Rc::new(SharedLog::default());
    let gateways: Vec<Rc<Gateway>> = (0..GATEWAYS)
        .map(|_| {
            Rc::new(Gateway {
                store: client(&log),
                ends: (0..PARTITIONS).map(|_| Cell::new(0)).collect(),
            })
        })
        .collect();
    let times = Times::new()?;
    let mut waiting = Vec::new();
    for turn in 0..load.turns {
        let gateway = gateways[fastrand::usize(..GATEWAYS)].clone();
        let number = fastrand::u32(..PARTITIONS);
        let times = times.clone();
        let (sender, receiver) = oneshot::channel();
        ntex::rt::spawn(async move {
            let begun = Instant::now();
            let result = gateway.record(number, turn).await;
            times.add(begun.elapsed());
            let _ = sender.send(result);
        });
        waiting.push(receiver);
        sleep(load.pause).await;
    }
    for receiver in waiting {
        receiver.await??;
    }
    let calls = gateways
        .iter()
        .map(|gateway| gateway.store.calls.get())
        .sum();
    Ok(times.figures(calls))
}
