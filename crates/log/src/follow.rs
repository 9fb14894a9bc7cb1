//! Follows one compacted partition: lists the newest record of each key, then reads new records.

use crate::api::{KeyedRecord, LogStore, NewestPage, Partition, StoreError};
use crate::log_health::LogHealth;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time limit for one page of a listing. A listing with a slower page is followed by a read that
/// does not wait.
const PAGE_TIMEOUT: Duration = Duration::from_millis(600);
/// Upper bound for the time limit of a page. The limit doubles after each failure: where the log is
/// saturated, a page that is given up still costs its bandwidth, and with a fixed limit none would
/// ever arrive.
const MAX_PAGE_TIMEOUT: Duration = Duration::from_millis(4_800);
/// Time that a read may take beyond the wait it asked for.
pub const READ_MARGIN: Duration = Duration::from_millis(700);
/// Pause after the first failed call; doubled by each further failure.
const INITIAL_PAUSE: Duration = Duration::from_millis(30);
/// Maximum time between a read that timed out and the answer to the next one, while the log is
/// healthy: the first pause with its longest jitter, a new connection of at most 300 ms, and an
/// answer.
pub const RESUME_DELAY: Duration = Duration::from_millis(400);
/// Longest pause between failed calls, before jitter.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Result of [`Follower::next_update`].
#[derive(Debug)]
pub enum Update {
    /// The newest record of every key. Keys that are missing were deleted.
    Listing(Vec<(u64, KeyedRecord)>),
    /// Later records, in order.
    Records(Vec<(u64, KeyedRecord)>),
}

/// State of a listing in progress. Only the page that failed is requested again: thousands of keys
/// take many pages, and daemons that restarted after each failure would keep the log from answering
/// them all.
#[derive(Default)]
struct Listing {
    records: Vec<(u64, KeyedRecord)>,
    after: Option<Vec<u8>>,
    /// Lowest end offset of the pages read so far. Pages are not a snapshot, so later changes are
    /// read from there.
    end: Option<u64>,
    age_ms: u64,
    /// A page took so long that there may be newer records by now.
    is_slow: bool,
    /// Consecutive failures of the present page.
    failures: u32,
}

impl Listing {
    /// Time limit for the next page.
    fn page_timeout(&self) -> Duration {
        (PAGE_TIMEOUT * (1 << self.failures.min(8))).min(MAX_PAGE_TIMEOUT)
    }

    fn add_page(&mut self, page: NewestPage) {
        self.failures = 0;
        let end = self.end.map_or(page.end, |end| end.min(page.end));
        self.end = Some(end);
        self.age_ms = self.age_ms.max(page.age_ms);
        self.records.extend(page.records);
        self.after = page.more_after;
    }
}

/// Called with the age of the data in milliseconds, once everything up to the end was delivered.
type OnCaughtUp = Box<dyn Fn(u64)>;

/// Follows a partition, through outages of the log service.
pub struct Follower {
    store: Rc<dyn LogStore>,
    health: Rc<LogHealth>,
    partition: Partition,
    next: Option<u64>,
    wait: Duration,
    pause: Duration,
    /// A call failed or its answer is old. The next read does not wait, so that it reports at once
    /// whether there is anything new.
    is_behind: bool,
    listing: Listing,
    /// Age of the last answer, in milliseconds.
    age_ms: u64,
    on_caught_up: Option<OnCaughtUp>,
}

impl Follower {
    /// Creates a follower whose reads wait up to `wait` for new records. With a zero wait, empty
    /// updates are returned as well.
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
            pause: INITIAL_PAUSE,
            is_behind: false,
            listing: Listing::default(),
            age_ms: 0,
            on_caught_up: None,
        }
    }

    /// Sets a callback that is called whenever everything up to the end was delivered, with the age
    /// of that data in milliseconds.
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

    /// Offset of the next read.
    pub fn position(&self) -> u64 {
        self.next.unwrap_or_default()
    }

    /// Waits for the next update, repeating calls during outages.
    pub async fn next_update(&mut self) -> Update {
        loop {
            // A read that has been pending since an outage is abandoned once the service is known
            // to answer again.
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
                    self.pause = INITIAL_PAUSE;
                    self.notify_caught_up();
                    if self.wait.is_zero() {
                        return Update::Records(records);
                    }
                }
                Ok(update) => {
                    self.pause = INITIAL_PAUSE;
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
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }

    async fn list(&mut self) -> Result<Vec<(u64, KeyedRecord)>, StoreError> {
        loop {
            let after = self.listing.after.clone();
            let sent_at = Instant::now();
            let page = self
                .store
                .newest(self.partition.clone(), after, self.listing.page_timeout())
                .await
                .inspect_err(|_| self.listing.failures += 1)?;
            self.listing.is_slow |= sent_at.elapsed() > PAGE_TIMEOUT;
            self.listing.add_page(page);
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
        let sent_at = Instant::now();
        let batch = self
            .store
            .read(self.partition.clone(), from, wait, limit)
            .await?;
        // An answer that was received after the time limit waited in a buffer while this process
        // was stopped. It is out of date, so the next read must not wait.
        self.is_behind = sent_at.elapsed() > limit;
        self.age_ms = batch.age_ms;
        self.next = Some(batch.next);
        Ok(batch.records)
    }
}
