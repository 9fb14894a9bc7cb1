//! Timeout of an attempt that may be retried at another server.
//!
//! A server may lose a response without closing the connection. Waiting until the request's
//! deadline would fail the request, and with it the program that made the call, although another
//! server would have responded at once (docs/SIZE.md).

use std::time::Duration;

/// The timeout is at least the remaining time divided by this. In the measured deployments the
/// minimum is 300 ms, three times the duration of the longest lookups.
const MIN_TIMEOUT_DIVISOR: u32 = 4;
/// The timeout is at most the remaining time divided by this, so that the next attempt has at
/// least as much time.
const MAX_TIMEOUT_DIVISOR: u32 = 2;

/// Returns how long to wait for a response before the attempt is abandoned for another one, or
/// `None` if another attempt could not be expected to finish in time. `late_after` is the
/// time after which a response of this kind counts as late, according to earlier responses. `left`
/// is the remaining time of the request.
pub fn attempt_timeout(late_after: Duration, left: Duration) -> Option<Duration> {
    let timeout = late_after.max(left / MIN_TIMEOUT_DIVISOR);
    (timeout <= left / MAX_TIMEOUT_DIVISOR).then_some(timeout)
}
