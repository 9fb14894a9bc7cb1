//! Servers that go on with a request after its connection was closed, and end under it.

use crate::restarted_servers::{Fleet, MARK, SERVERS};
use crate::support::{Act, run};
use futures_util::future::join_all;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Number of servers that may end under a request before it is not sent to any other.
const MAX_ENDED: usize = 3;
/// Time by which the entries of the next processes are late.
const ENTRY_DELAY: Duration = Duration::from_millis(400);

/// How the connection of an attempt ends while its server goes on.
#[derive(Clone, Copy, Debug)]
enum Detachment {
    /// The server resets it at once.
    Reset,
    /// The client leaves this long after a server has read the request.
    ClientLeaves(Duration),
}

/// A client that sends the same request again and again, to one gateway after the other.
#[derive(Clone, Copy, Debug)]
struct Repetition {
    path: &'static str,
    body: &'static str,
    detachment: Detachment,
    pause: Duration,
    tries: usize,
}

impl Fleet {
    /// Starts servers that end this long after they have read a request with the mark.
    async fn ending_after(delay: Duration, detachment: Detachment) -> Self {
        let fleet = Self::start(ENTRY_DELAY, true).await;
        for server in &fleet.servers {
            server.end_on(MARK, delay);
            if let Detachment::Reset = detachment {
                server.set(Act::Reset);
            }
        }
        fleet
    }

    async fn repeat(&self, repetition: Repetition) {
        for number in 0..repetition.tries {
            let gateway = &self.gateways[number % self.gateways.len()];
            let fields = format!(
                "Request: r{number}\r\nProgram: p\r\nSession: s\r\nDeadline: 2000\r\nBudget: 90000\r\nMost: 10\r\n"
            );
            let sent = self.sent();
            let mut client = gateway.client().await;
            let Repetition { path, body, .. } = repetition;
            client.send("POST", path, &fields, body).await;
            let reply = client.reply_unless_closed();
            match repetition.detachment {
                Detachment::Reset => drop(reply.await),
                Detachment::ClientLeaves(after) => tokio::select! {
                    _ = reply => {}
                    () = self.wait_sent(sent, after) => {}
                },
            }
            drop(client);
            sleep(repetition.pause).await;
        }
    }

    /// Waits until this long after another request has reached a server.
    async fn wait_sent(&self, before: usize, after: Duration) {
        while self.sent() <= before {
            sleep(milliseconds(1)).await;
        }
        sleep(after).await;
    }

    /// Number of times that a request with the mark was sent after three servers had ended.
    fn sent_after_limit(&self) -> usize {
        let mut ends: Vec<Instant> = self
            .servers
            .iter()
            .flat_map(|server| server.ends())
            .collect();
        ends.sort();
        let Some(limit) = ends.get(MAX_ENDED - 1) else {
            return 0;
        };
        let sent = self
            .servers
            .iter()
            .flat_map(|server| server.times_with(MARK));
        sent.filter(|at| at > limit).count()
    }
}

fn milliseconds(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Repeats a request on a stream that may be resumed and on one that may not. Describes the runs in
/// which it was sent after the limit.
async fn sent_after_limit(
    detachment: Detachment,
    ends_after: u64,
    pause: u64,
    tries: usize,
) -> Vec<String> {
    let mut failures = Vec::new();
    for path in ["/resume/1", "/chat/1"] {
        let fleet = Fleet::ending_after(milliseconds(ends_after), detachment).await;
        let repetition = Repetition {
            path,
            body: MARK,
            detachment,
            pause: milliseconds(pause),
            tries,
        };
        fleet.repeat(repetition).await;
        let sent = fleet.sent_after_limit();
        if sent > 0 {
            let ended = fleet.restarts();
            failures.push(format!(
                "{detachment:?}, end after {ends_after} ms, {repetition:?}: {sent} sent, {ended} ended"
            ));
        }
    }
    failures
}

/// Guards against an end that is not counted because the server had reset the connection long before.
#[test]
fn request_is_not_sent_after_three_ends_that_follow_resets() {
    run(async {
        let cases = [
            (120, 150, 12),
            (300, 150, 12),
            (1_000, 150, 20),
            (1_000, 1_500, 8),
            (1_900, 150, 24),
            (1_900, 800, 8),
        ];
        let runs = cases.map(|(ends_after, pause, tries)| {
            sent_after_limit(Detachment::Reset, ends_after, pause, tries)
        });
        let failures = join_all(runs).await.concat();
        assert!(failures.is_empty(), "{failures:#?}");
    });
}

/// Guards against an end that is not counted because the client had left long before.
#[test]
fn request_is_not_sent_after_three_ends_that_follow_early_leaves() {
    run(async {
        let leaves = Detachment::ClientLeaves(milliseconds(50));
        let cases = [
            (240, 150, 12),
            (400, 150, 12),
            (400, 800, 8),
            (1_000, 150, 20),
            (1_000, 1_500, 8),
            (1_900, 150, 24),
            (1_900, 800, 8),
        ];
        let runs = cases
            .map(|(ends_after, pause, tries)| sent_after_limit(leaves, ends_after, pause, tries));
        let failures = join_all(runs).await.concat();
        assert!(failures.is_empty(), "{failures:#?}");
    });
}

/// Guards against ends that are not seen because no connection to the process stays open.
#[test]
fn request_is_not_sent_after_three_ends_of_servers_that_keep_no_connection_open() {
    run(async {
        let fleet = Fleet::ending_after(milliseconds(400), Detachment::Reset).await;
        for server in &fleet.servers {
            server.close_after_statement();
        }
        let repetition = Repetition {
            path: "/chat/1",
            body: MARK,
            detachment: Detachment::Reset,
            pause: milliseconds(800),
            tries: 8,
        };
        fleet.repeat(repetition).await;
        assert_eq!(fleet.sent_after_limit(), 0);
    });
}

/// Guards against requests that are refused although all of their servers live.
#[test]
fn request_is_sent_after_eight_attempts_that_living_servers_go_on_with() {
    run(async {
        let leaves = Detachment::ClientLeaves(milliseconds(50));
        let detachments = [(leaves, 50), (leaves, 150), (leaves, 800)]
            .into_iter()
            .chain([(Detachment::Reset, 150), (Detachment::Reset, 800)]);
        let cases = detachments.flat_map(|case| ["/resume/1", "/chat/1"].map(|path| (case, path)));
        let runs = cases.map(|((detachment, pause), path)| async move {
            let fleet = Fleet::ending_after(Duration::ZERO, detachment).await;
            let repetition = Repetition {
                path,
                body: "harmless",
                detachment,
                pause: milliseconds(pause),
                tries: 8,
            };
            fleet.repeat(repetition).await;
            let sent = fleet.sent();
            assert!(sent >= 8, "{repetition:?}: {sent}");
            for server in &fleet.servers {
                let texts = vec!["word".to_owned(); 4];
                server.set(Act::Paced(texts, milliseconds(20)));
            }
            for gateway in &fleet.gateways {
                let fields = "Request: last\r\nProgram: p\r\nSession: s\r\nDeadline: 2000\r\nBudget: 90000\r\nMost: 10\r\n";
                let reply = gateway.ask("POST", path, fields, "harmless").await;
                assert_eq!(reply.head.status, 200, "{repetition:?}: {}", reply.text());
                assert!(reply.complete);
            }
            assert_eq!(fleet.restarts(), 0);
        });
        join_all(runs).await;
    });
}

/// Sends copies of a request that ends its servers, side by side and each three times more.
async fn sent_after_limit_by_copies(copies: usize) -> usize {
    let fleet = Fleet::start(ENTRY_DELAY, true).await;
    let clients = (0..copies).map(|copy| {
        let fleet = &fleet;
        async move {
            for attempt in 0..4 {
                let gateway = &fleet.gateways[(copy + attempt) % fleet.gateways.len()];
                let fields =
                    format!("Request: c{copy}-{attempt}\r\nProgram: p\r\nDeadline: 1000\r\n");
                let mut client = gateway.client().await;
                client.send("POST", "/resume/1", &fields, MARK).await;
                let _ = client.reply_unless_closed().await;
                sleep(milliseconds(50)).await;
            }
        }
    });
    join_all(clients).await;
    fleet.sent_after_limit()
}

/// Guards against repetitions that are sent while the ends of other copies are still reported.
#[test]
fn copies_side_by_side_are_not_sent_again_after_three_ends() {
    run(async {
        for copies in [2, 4, SERVERS - 2, 16] {
            let sent = sent_after_limit_by_copies(copies).await;
            assert_eq!(sent, 0, "{copies} copies");
        }
    });
}
