//! Servers that end under a request while their connections stay open: machines without power, and
//! links that have gone silent.

use crate::detached_attempts::{
    Case, Detachment, ServerEnd, assert_limited, milliseconds, run_case,
};
use crate::restarted_servers::{Fleet, MARK};
use crate::support::run;
use futures_util::future::join_all;
use tokio::time::sleep;

/// Longer than any test.
const NEVER: u64 = 30_000;

/// Every end with every pause and every delay of the next process and of its entry.
fn cases(ends: [u64; 2]) -> Vec<Case> {
    let mut cases = Vec::new();
    let delays = [
        (0, 400),
        (0, 2_000),
        (0, 12_000),
        (1_000, 2_000),
        (NEVER, NEVER),
    ];
    for (start_delay, entry_delay) in delays {
        for ends_after in ends {
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
                        start_delay,
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
        assert_limited(Detachment::Reset, cases([400, 1_000])).await;
    });
}

/// Guards against an open connection that is taken for life, after the client left.
#[test]
fn request_is_not_sent_after_three_silent_ends_that_follow_early_leaves() {
    run(async {
        let leaves = Detachment::ClientLeaves(milliseconds(50));
        assert_limited(leaves, cases([400, 1_000])).await;
    });
}

/// Guards against an open connection that is taken for life, after the deadline has passed. A server
/// works on a request for 1 s more at most.
#[test]
fn request_is_not_sent_after_three_silent_ends_that_follow_timeouts() {
    run(async {
        assert_limited(Detachment::TimesOut, cases([400, 800])).await;
    });
}

/// Guards against ends that are counted only at the deadline of the attempt.
#[test]
fn silent_ends_under_content_without_a_program_are_counted_within_a_second() {
    run(async {
        let (end, entry_delay) = (milliseconds(100), milliseconds(12_000));
        let fleet = Fleet::ending_after(end, entry_delay, Detachment::Reset).await;
        for server in &fleet.servers {
            server.delay_output(milliseconds(NEVER));
        }
        for number in 0..6 {
            let fields = format!("Request: r{number}\r\nDeadline: 5000\r\n");
            let mut client = fleet.gateways[number % 2].client().await;
            client.send("POST", "/safe/1", &fields, MARK).await;
            let _ = client.reply_unless_closed().await;
            sleep(milliseconds(1_600)).await;
        }
        assert_eq!(fleet.sent_after_limit(), 0, "{} ended", fleet.restarts());
    });
}

/// Guards against an attempt that runs in a later process than the entry names, and is attributed to the
/// end of the one before.
#[test]
fn request_is_not_sent_after_three_silent_ends_at_two_addresses() {
    run(async {
        let times = [(150, 150), (150, 300), (150, 700), (400, 300), (400, 700)];
        let cases = times.into_iter().flat_map(|(ends_after, pause)| {
            ["/chat/1", "/safe/1"].map(|path| Case {
                ends_after,
                pause,
                gateways: 2,
                path,
                disturbance: None,
                end: ServerEnd {
                    closes_after: NEVER,
                    entry_delay: 12_000,
                    start_delay: 0,
                },
            })
        });
        let failures = join_all(cases.map(|case| async move {
            let fleet = Fleet::start_few(2, milliseconds(case.end.entry_delay)).await;
            run_case(&fleet, Detachment::Reset, case).await
        }));
        let failures: Vec<String> = failures.await.into_iter().flatten().collect();
        assert!(failures.is_empty(), "{failures:#?}");
    });
}

/// Every combination of delays, at one gateway and at two.
fn all_delays() -> Vec<Case> {
    let starts = [0, 1_000, NEVER];
    let delays = starts.map(|start| [400, 2_000, 12_000].map(|entry| (start, entry)));
    let mut all = Vec::new();
    for (start_delay, entry_delay) in delays.into_iter().flatten() {
        let end = ServerEnd {
            closes_after: NEVER,
            entry_delay,
            start_delay,
        };
        let some = cases([400, 1_000]).into_iter().step_by(5).take(4);
        for gateways in [1, 2] {
            all.extend(some.clone().map(|case| Case {
                gateways,
                end,
                ..case
            }));
        }
    }
    all
}

/// Guards against entries that arrive before or while the next process starts, after resets.
#[test]
fn request_is_not_sent_after_three_silent_resets_with_any_delay() {
    run(async {
        assert_limited(Detachment::Reset, all_delays()).await;
    });
}

/// Guards against entries that arrive before or while the next process starts, after early leaves.
#[test]
fn request_is_not_sent_after_three_silent_leaves_with_any_delay() {
    run(async {
        let leaves = Detachment::ClientLeaves(milliseconds(50));
        assert_limited(leaves, all_delays()).await;
    });
}
