//! How long a request may wait for its tenant's quota before it is refused.
//!
//! When requests of running programs coincide, a tenant may be at its limit for a moment, and
//! the owner of the limit tells each request when it can be granted. Refusing such a request would
//! end its program, or the caller would retry it once or twice over a new connection. A request
//! therefore waits as long as its response can still arrive in time. A request that cannot be
//! answered in time is refused immediately with the time to retry, because waiting in vain only
//! makes the failure later.

use std::time::Duration;

/// Returns the maximum wait of a request whose remaining time is `left`, or `None` if it would
/// not be answered in time even without a wait. `late_after` is the time after which a response of
/// this kind counts as late, according to earlier responses. The maximum wait is known before the
/// owner is asked and is part of the request for quota, so that the owner reserves nothing for a
/// request that would not wait.
pub fn max_wait(late_after: Duration, left: Duration) -> Option<Duration> {
    left.checked_sub(late_after)
}
