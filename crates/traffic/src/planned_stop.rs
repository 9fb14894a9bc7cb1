//! Decides whether a daemon that is about to stop may still send a request to a server.

use std::time::Duration;

/// A response may take longer than the longest recent one of its route, by this fraction of it.
const MARGIN_DIVISOR: u32 = 4;

/// Returns whether the response to a request can be expected before the daemon exits. `longest` is
/// the longest recent response time of its route, `allowed` the time until the deadline of the
/// request, and `left` the time until the daemon exits.
pub fn can_finish(longest: Option<Duration>, allowed: Duration, left: Duration) -> bool {
    let expected = longest.map_or(allowed, |longest| longest + longest / MARGIN_DIVISOR);
    expected.min(allowed) <= left
}
