//! Servers that end under a request while their connections stay open: machines without power, and
//! links that have gone silent. The next process listens at the address at once.

use crate::detached_attempts::{Case, Detachment, ServerEnd, assert_limited, milliseconds};
use crate::support::run;

/// Longer than any test.
const NEVER: u64 = 30_000;

/// Every end with every pause and every delay of the next process's entry.
fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for entry_delay in [400, 2_000, 12_000] {
        for ends_after in [400, 1_000] {
            for pause in [150, 800] {
                cases.push(Case {
                    ends_after,
                    pause,
                    gateways: 2,
                    path: "/resume/1",
                    disturbance: None,
                    end: ServerEnd {
                        closes_after: NEVER,
                        entry_delay,
                    },
                });
            }
        }
    }
    cases
}

/// Guards against an open connection that is taken for life, after its server reset another one.
#[test]
fn request_is_not_sent_after_three_silent_ends_that_follow_resets() {
    run(async {
        assert_limited(Detachment::Reset, cases()).await;
    });
}

/// Guards against an open connection that is taken for life, after the client left.
#[test]
fn request_is_not_sent_after_three_silent_ends_that_follow_early_leaves() {
    run(async {
        let leaves = Detachment::ClientLeaves(milliseconds(50));
        assert_limited(leaves, cases()).await;
    });
}

/// Guards against an open connection that is taken for life, after the deadline has passed.
#[test]
fn request_is_not_sent_after_three_silent_ends_that_follow_timeouts() {
    run(async {
        assert_limited(Detachment::TimesOut, cases()).await;
    });
}
