//! Timeout of an attempt that may be repeated at another server.
//!
//! A server may lose an answer without closing the connection. Waiting until the request's
//! deadline would fail the request, and with it the program that made the call, although another
//! server would have answered at once (docs/SIZE.md, round 2).

use std::time::Duration;

/// The timeout is at least the remaining time divided by this. In the measured deployments that
/// is 300 ms, three times the duration of the longest lookups.
const MIN_TIMEOUT_DIVISOR: u32 = 4;
/// The timeout is at most the remaining time divided by this, so that the next attempt has at
/// least as much time.
const MAX_TIMEOUT_DIVISOR: u32 = 2;

/// Returns how long to wait for an answer before the attempt is abandoned for another one, or
/// `None` if another attempt could not be expected to finish in time. `usual` is the time after
/// which answers of this kind have been late so far, and `left` the remaining time of the
/// request.
pub fn attempt_timeout(usual: Duration, left: Duration) -> Option<Duration> {
    let timeout = usual.max(left / MIN_TIMEOUT_DIVISOR);
    (timeout <= left / MAX_TIMEOUT_DIVISOR).then_some(timeout)
}
