//! One append, sent again while earlier tries are still out, until its outcome is
//! known. The sequence makes repeats harmless, so whichever try is answered first
//! decides.
//!
//! Giving a try up before the next one would lose its answer where the service is
//! only slow; waiting for it would lose time where the answer is lost or the
//! connection silent. So an overdue try stays out beside the next one.

use crate::api::{Append, Appended, LogStore, StoreError};
use crate::log_health::LogHealth;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// A try is given up after this long: its connection is taken for dead.
const TRY_LIMIT: Duration = Duration::from_millis(1_500);
/// Longest pause between tries: so long after an outage the log is found again at most, and
/// so long do the ends of kept turns wait longer than they must. Sixteen owners that wait
/// make 160 calls a second, a part in twenty-five of what the log of the largest deployment
/// measured takes.
const LONGEST_PAUSE: Duration = Duration::from_millis(100);
/// First pause after a refusal.
const FIRST_PAUSE: Duration = Duration::from_millis(15);
/// Without an answer for this long the service counts as failing.
const FAILING_AFTER: Duration = Duration::from_millis(120);

/// When the next try goes out.
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

    /// The time has come: the pause before the next try is longer, but where the log is
    /// slow it may have begun above the longest and stays so.
    fn advance(&mut self) {
        let longest = LONGEST_PAUSE.max(self.pause);
        self.pause = (self.pause * 2).min(longest);
        self.next = Instant::now() + jittered(self.pause);
    }

    /// A try was refused: the next one follows sooner than if it were overdue.
    fn refused(&mut self, refusals: u32) {
        let pause = FIRST_PAUSE * (1 << refusals.min(4));
        self.next = Instant::now() + jittered(pause.min(LONGEST_PAUSE));
    }
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(0.75 + fastrand::f64() / 2.0)
}

/// Appends until the outcome is known; its place is not where a try whose answer was lost did it.
/// The append must be fenced: its sequence tells repeats apart.
///
/// # Errors
/// Only [`StoreError::Fenced`]: a later owner is in force.
pub async fn append(
    store: &dyn LogStore,
    health: &LogHealth,
    append: Append,
) -> Result<Option<Appended>, StoreError> {
    let append = Append {
        timeout: TRY_LIMIT,
        ..append
    };
    let sequence = append.producer.as_ref().map_or(0, |by| by.sequence);
    let started = Instant::now();
    let attempt = || async {
        let begun = Instant::now();
        (store.append(append.clone()).await, begun.elapsed())
    };
    let mut tries = FuturesUnordered::new();
    tries.push(attempt());
    let mut schedule = Schedule::new(health.append_time.overdue_after());
    let mut refusals = 0;
    loop {
        tokio::select! {
            Some((result, took)) = tries.next() => match result {
                Ok(appended) => {
                    health.append_time.observe(took);
                    return Ok(Some(appended));
                }
                Err(StoreError::Fenced) => return Err(StoreError::Fenced),
                // An earlier try was done.
                Err(StoreError::Sequence(wanted)) if wanted == sequence + 1 => return Ok(None),
                Err(error) => {
                    if refusals == 0 {
                        note(&append, error);
                    }
                    schedule.refused(refusals);
                    refusals += 1;
                }
            },
            () = sleep_until(schedule.next) => {
                if started.elapsed() >= FAILING_AFTER && !tries.is_empty() {
                    health.record_failure();
                }
                tries.push(attempt());
                schedule.advance();
            }
            // Somebody heard from the service again: what hangs since is not waited for.
            () = health.recovered.notified() => tries.push(attempt()),
        }
    }
}

fn note(append: &Append, error: StoreError) {
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
