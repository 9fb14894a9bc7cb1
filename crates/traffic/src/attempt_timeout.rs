//! How long an attempt that may be repeated is waited for.
//!
//! A server may have lost an answer without closing its connection. Waiting for it to the
//! end costs the client the request, and a program the call that it needed; another server
//! would have answered at once (docs/SIZE.md, round 2).

use std::time::Duration;

/// An answer is never overdue before this part of the time left, one in this, has gone by: in
/// the deployments measured 300 ms, three times what the longest lookups take.
const EARLIEST_DIVISOR: u32 = 4;
/// Nor is it given up where less than this part of the time, one in this, would be left for
/// the next attempt.
const LATEST_DIVISOR: u32 = 2;

/// The wait for an answer, after which the attempt is given up for another one; `None` where
/// another could not be expected to end in time. `usual` is the time after which answers of
/// this kind were late so far.
pub fn attempt_timeout(usual: Duration, left: Duration) -> Option<Duration> {
    let wait = usual.max(left / EARLIEST_DIVISOR);
    (wait <= left / LATEST_DIVISOR).then_some(wait)
}
