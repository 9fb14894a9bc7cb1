//! Following one compacted partition: the newest of each key, then what comes.

use crate::api::{KeyedRecord, LogStore, NewestPage, Partition, StoreError};
use crate::log_health::LogHealth;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time for one page of a listing. One that took longer is followed by a read that does not
/// wait.
const LIST_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for a page at most. What fails is asked for with twice the time: where the log sends
/// more than it can, a page that is given up is sent in vain, and none would ever come.
const LONGEST_LIST_TIMEOUT: Duration = Duration::from_millis(4_800);
/// How much longer than the wait it asked for a read may take.
pub const READ_MARGIN: Duration = Duration::from_millis(700);
const FIRST_PAUSE: Duration = Duration::from_millis(30);
/// From a read that is given up until the next one tells what was missed, where the log is
/// well: the first pause at its longest, a new connection of at most 300 ms, and an answer.
pub const RESUME_DELAY: Duration = Duration::from_millis(400);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// What a follower learned.
#[derive(Debug)]
pub enum Update {
    /// The newest record of every key: keys that are not there are gone.
    Listing(Vec<(u64, KeyedRecord)>),
    /// Later records in order.
    Records(Vec<(u64, KeyedRecord)>),
}

/// A listing as far as it was read. A page that fails is asked for again, and nothing before it:
/// thousands of keys take many pages, and daemons that begin anew with each failure keep the log
/// from answering them all.
#[derive(Default)]
struct Listing {
    records: Vec<(u64, KeyedRecord)>,
    after: Option<Vec<u8>>,
    /// Where the topic ended for the page that was read from the oldest state. Pages are not a
    /// snapshot: what came since is read from there.
    end: Option<u64>,
    age_ms: u64,
    /// A page took so long that there may be news by now.
    is_slow: bool,
    /// Pages that failed, in a row.
    failures: u32,
}

impl Listing {
    /// How long the next page is waited for.
    fn limit(&self) -> Duration {
        (LIST_TIMEOUT * (1 << self.failures.min(8))).min(LONGEST_LIST_TIMEOUT)
    }

    fn take(&mut self, page: NewestPage) {
        self.failures = 0;
        let end = self.end.map_or(page.end, |end| end.min(page.end));
        self.end = Some(end);
        self.age_ms = self.age_ms.max(page.age_ms);
        self.records.extend(page.records);
        self.after = page.more_after;
    }
}

/// What is done when all that there is was told, as it was so many milliseconds ago.
type OnCaughtUp = Box<dyn Fn(u64)>;

/// Follows a partition.
pub struct Follower {
    store: Rc<dyn LogStore>,
    health: Rc<LogHealth>,
    partition: Partition,
    next: Option<u64>,
    wait: Duration,
    pause: Duration,
    /// A call failed or its answer is old: the next read does not wait, so that it tells soon whether there is
    /// anything new.
    is_behind: bool,
    listing: Listing,
    /// How old the last answer was, in milliseconds.
    age_ms: u64,
    on_caught_up: Option<OnCaughtUp>,
}

impl Follower {
    /// A follower that holds reads for `wait` until something comes.
    pub fn new(
        store: Rc<dyn LogStore>,
        health: Rc<LogHealth>,
        partition: Partition,
        wait: Duration,
    ) -> Self {
        Self {
            store,
            health,
            partition,
            next: None,
            wait,
            pause: FIRST_PAUSE,
            is_behind: false,
            listing: Listing::default(),
            age_ms: 0,
            on_caught_up: None,
        }
    }

    /// Calls this whenever what was told so far is all that there is, with how old that is, in
    /// milliseconds.
    pub fn on_caught_up(mut self, on_caught_up: OnCaughtUp) -> Self {
        self.on_caught_up = Some(on_caught_up);
        self
    }

    fn notify_caught_up(&self) {
        if self.is_behind {
            return;
        }
        if let Some(on_caught_up) = &self.on_caught_up {
            on_caught_up(self.age_ms);
        }
    }

    /// Offset that is read from next.
    pub fn position(&self) -> u64 {
        self.next.unwrap_or_default()
    }

    /// Waits for the next update, through any outage.
    pub async fn next_update(&mut self) -> Update {
        loop {
            // A read that hangs since an outage is left once the service is known to
            // answer again.
            let health = self.health.clone();
            let result = tokio::select! {
                result = self.attempt() => result,
                () = health.recovered.notified() => {
                    self.is_behind = true;
                    continue;
                }
            };
            match result {
                Ok(Update::Records(records)) if records.is_empty() => {
                    self.pause = FIRST_PAUSE;
                    self.notify_caught_up();
                    if self.wait.is_zero() {
                        return Update::Records(records);
                    }
                }
                Ok(update) => {
                    self.pause = FIRST_PAUSE;
                    self.notify_caught_up();
                    return update;
                }
                Err(StoreError::Gone(_)) => self.next = None,
                Err(_) => {
                    self.is_behind = true;
                    self.back_off().await;
                }
            }
        }
    }

    async fn attempt(&mut self) -> Result<Update, StoreError> {
        match self.next {
            None => self.list().await.map(Update::Listing),
            Some(from) => self.read(from).await.map(Update::Records),
        }
    }

    async fn back_off(&mut self) {
        let jitter = 0.75 + fastrand::f64() / 2.0;
        sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    async fn list(&mut self) -> Result<Vec<(u64, KeyedRecord)>, StoreError> {
        loop {
            let after = self.listing.after.clone();
            let asked = Instant::now();
            let page = self
                .store
                .newest(self.partition.clone(), after, self.listing.limit())
                .await
                .inspect_err(|_| self.listing.failures += 1)?;
            self.listing.is_slow |= asked.elapsed() > LIST_TIMEOUT;
            self.listing.take(page);
            if self.listing.after.is_none() {
                let listing = std::mem::take(&mut self.listing);
                self.next = listing.end;
                self.age_ms = listing.age_ms;
                self.is_behind = listing.is_slow;
                return Ok(listing.records);
            }
        }
    }

    async fn read(&mut self, from: u64) -> Result<Vec<(u64, KeyedRecord)>, StoreError> {
        let wait = match self.is_behind {
            true => Duration::ZERO,
            false => self.wait,
        };
        let limit = wait + READ_MARGIN;
        let asked = Instant::now();
        let batch = self
            .store
            .read(self.partition.clone(), from, wait, limit)
            .await?;
        // An answer that was taken after the time allowed lay there while this process was
        // stopped: it tells what was, and the next read what is.
        self.is_behind = asked.elapsed() > limit;
        self.age_ms = batch.age_ms;
        self.next = Some(batch.next);
        Ok(batch.records)
    }
}
