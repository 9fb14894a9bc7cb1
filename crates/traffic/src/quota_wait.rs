//! Whether a request waits for a place that comes free at a known time, or is refused at once.
//!
//! Asked where a tenant is at its limit for a moment: many requests of programs under way
//! come together, and the owner of the limit tells each when its place is there. A program
//! ends with a call that fails, and a caller that is refused comes back for the same place
//! once or twice, by a new connection. So a request waits as long as its answer can still
//! come in its time. One that cannot be answered any more is refused at once and told when
//! the place is there: a wait that ends unserved is worse the longer it was.

use std::time::Duration;

/// How long a request with so much time left waits for a place at the most; `None` where it
/// is not answered in its time even without a wait. `answer` is the time after which answers
/// of its kind were late so far. All of it is known before the owner is asked, so the question
/// says it, and no place is kept for a request that would not wait for it.
pub fn max_wait(answer: Duration, left: Duration) -> Option<Duration> {
    left.checked_sub(answer)
}
