//! Hedged appends: an append is sent again while earlier attempts are still pending, until its
//! outcome is known. The sequence number makes repeats harmless, so the first answer to any attempt
//! decides.
//!
//! Abandoning an attempt before the next one would lose its answer where the service is only slow.
//! Waiting for it would lose time where the answer is lost or the connection is silent. So an
//! overdue attempt stays pending during the next one.

use crate::api::{Append, Appended, LogStore, StoreError};
use crate::log_health::LogHealth;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Time limit of one attempt, after which its connection is considered dead.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest pause between attempts. It bounds how long after an outage the log is found again, and
/// by how much the end of a recorded turn is delayed. Sixteen waiting owners make 160 calls a
/// second, which is 1/25 of what the log of the largest measured deployment handles.
const MAX_PAUSE: Duration = Duration::from_millis(100);
/// First pause after a rejected attempt.
const REJECTION_PAUSE: Duration = Duration::from_millis(15);
/// Without an answer for this long, the service is recorded as failing.
const FAILING_AFTER: Duration = Duration::from_millis(120);

/// Time of the next attempt.
struct Schedule {
    next: Instant,
    pause: Duration,
}

impl Schedule {
    fn new(first: Duration) -> Self {
        Self {
            next: Instant::now() + first,
            pause: first,
        }
    }

    /// Doubles the pause after an overdue attempt, up to [`MAX_PAUSE`]. Where the log is slow, the
    /// first pause may already be longer, and then stays as it is.
    fn advance(&mut self) {
        let max_pause = MAX_PAUSE.max(self.pause);
        self.pause = (self.pause * 2).min(max_pause);
        self.next = Instant::now() + jittered(self.pause);
    }

    /// Schedules the attempt after a rejection, which follows sooner than after an overdue one.
    fn reschedule_rejected(&mut self, rejections: u32) {
        let pause = REJECTION_PAUSE * (1 << rejections.min(4));
        self.next = Instant::now() + jittered(pause.min(MAX_PAUSE));
    }
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(0.75 + fastrand::f64() / 2.0)
}

/// Appends until the outcome is known. The append must be fenced, because repeats are recognized by
/// its sequence number. Returns `None` if it was done by an attempt whose answer was lost, as its
/// offset is then unknown.
///
/// # Errors
/// Only [`StoreError::Fenced`]: a later owner has fenced this one.
pub async fn append(
    store: &dyn LogStore,
    health: &LogHealth,
    append: Append,
) -> Result<Option<Appended>, StoreError> {
    let append = Append {
        timeout: ATTEMPT_TIMEOUT,
        ..append
    };
    let sequence = append.producer.as_ref().map_or(0, |by| by.sequence);
    let started = Instant::now();
    let attempt = || async {
        let begun = Instant::now();
        (store.append(append.clone()).await, begun.elapsed())
    };
    let mut attempts = FuturesUnordered::new();
    attempts.push(attempt());
    let mut schedule = Schedule::new(health.append_time.overdue_after());
    let mut rejections = 0;
    loop {
        tokio::select! {
            Some((result, took)) = attempts.next() => match result {
                Ok(appended) => {
                    health.append_time.observe(took);
                    return Ok(Some(appended));
                }
                Err(StoreError::Fenced) => return Err(StoreError::Fenced),
                // An earlier attempt succeeded.
                Err(StoreError::Sequence(expected)) if expected == sequence + 1 => return Ok(None),
                Err(error) => {
                    if rejections == 0 {
                        log_repeat(&append, error);
                    }
                    schedule.reschedule_rejected(rejections);
                    rejections += 1;
                }
            },
            () = sleep_until(schedule.next) => {
                if started.elapsed() >= FAILING_AFTER && !attempts.is_empty() {
                    health.record_failure();
                }
                attempts.push(attempt());
                schedule.advance();
            }
            // Another call got an answer after an outage: pending attempts may hang, so send
            // another.
            () = health.recovered.notified() => attempts.push(attempt()),
        }
    }
}

fn log_repeat(append: &Append, error: StoreError) {
    let producer = append.producer.as_ref();
    tracing::warn!(
        event = "append_repeated",
        topic = append.partition.topic,
        partition = append.partition.number,
        epoch = producer.map(|by| by.epoch),
        sequence = producer.map(|by| by.sequence),
        %error
    );
}
