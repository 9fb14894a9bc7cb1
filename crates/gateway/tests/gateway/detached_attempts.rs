//! Servers that go on with a request after its connection was closed, and end under it.

use crate::restarted_servers::{Disturbance, Fleet, MARK, SERVERS};
use crate::support::{Act, run};
use futures_util::future::join_all;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Number of servers that may end under a request before it is not sent to any other.
const MAX_ENDED: usize = 3;
/// Time by which the entries of the next processes are late, in milliseconds.
const ENTRY_DELAY_MS: u64 = 400;

/// How the connection of an attempt ends while its server goes on.
#[derive(Clone, Copy, Debug)]
pub enum Detachment {
    /// The server resets it at once.
    Reset,
    /// The client leaves this long after a server has read the request.
    ClientLeaves(Duration),
    /// The server does not respond before the deadline.
    TimesOut,
}

impl Detachment {
    /// Deadline of the requests, in milliseconds.
    fn deadline_ms(self) -> u64 {
        match self {
            Self::TimesOut => 300,
            Self::Reset | Self::ClientLeaves(_) => 4_000,
        }
    }
}

/// A client that sends the same request again and again, to one gateway after the other.
#[derive(Clone, Copy, Debug)]
struct Repetition {
    path: &'static str,
    body: &'static str,
    detachment: Detachment,
    pause: Duration,
    tries: usize,
    /// Number of gateways that it uses.
    gateways: usize,
}

impl Fleet {
    /// Starts servers that end this long after they have read a request with the mark, and whose
    /// entries are late.
    pub async fn ending_after(
        delay: Duration,
        entry_delay: Duration,
        detachment: Detachment,
    ) -> Self {
        let fleet = Self::start(entry_delay, true).await;
        fleet.set_end(delay, detachment);
        fleet
    }

    fn set_end(&self, delay: Duration, detachment: Detachment) {
        for server in &self.servers {
            server.end_on(MARK, delay);
            match detachment {
                Detachment::Reset => server.set(Act::Reset),
                Detachment::TimesOut => server.set(Act::Unresponsive),
                Detachment::ClientLeaves(_) => {}
            }
        }
    }

    async fn repeat(&self, repetition: Repetition) {
        for number in 0..repetition.tries {
            let gateway = &self.gateways[number % repetition.gateways];
            let deadline_ms = repetition.detachment.deadline_ms();
            let fields = format!(
                "Request: r{number}\r\nProgram: p\r\nSession: s\r\nDeadline: {deadline_ms}\r\nBudget: 90000\r\nMost: 40\r\n"
            );
            let sent = self.sent();
            let mut client = gateway.client().await;
            let Repetition { path, body, .. } = repetition;
            client.send("POST", path, &fields, body).await;
            let reply = client.reply_unless_closed();
            match repetition.detachment {
                Detachment::Reset | Detachment::TimesOut => drop(reply.await),
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
    pub fn sent_after_limit(&self) -> usize {
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

pub fn milliseconds(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A run in which the client repeats a request, times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub ends_after: u64,
    pub pause: u64,
    pub gateways: usize,
    pub path: &'static str,
    pub disturbance: Option<Disturbance>,
    pub end: ServerEnd,
}

/// How the end of a server shows, times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ServerEnd {
    /// How long its connections stay open.
    pub closes_after: u64,
    /// Time by which the entry of the next process is late.
    pub entry_delay: u64,
    /// Time until the next process accepts connections.
    pub start_delay: u64,
}

impl ServerEnd {
    /// All connections close.
    const CLOSES: Self = Self {
        closes_after: 0,
        entry_delay: ENTRY_DELAY_MS,
        start_delay: 0,
    };
}

/// Every end with every pause, at one gateway and at two, on streams that may be resumed or not.
fn cases(ends: &[u64]) -> Vec<Case> {
    let mut cases = Vec::new();
    for ends_after in ends.iter().copied() {
        for (pause, path) in [(150, "/resume/1"), (800, "/chat/1"), (1_500, "/resume/1")] {
            for gateways in [1, 2] {
                cases.push(Case {
                    ends_after,
                    pause,
                    gateways,
                    path,
                    disturbance: None,
                    end: ServerEnd::CLOSES,
                });
            }
        }
    }
    cases
}

/// Time for which a client repeats its request, in milliseconds.
const REPEATED_FOR: u64 = 9_000;

/// Describes the run if the request was sent after three servers had ended.
async fn failure(detachment: Detachment, case: Case) -> Option<String> {
    let entry_delay = milliseconds(case.end.entry_delay);
    let fleet = Fleet::start(entry_delay, true).await;
    run_case(&fleet, detachment, case).await
}

pub async fn run_case(fleet: &Fleet, detachment: Detachment, case: Case) -> Option<String> {
    fleet.set_end(milliseconds(case.ends_after), detachment);
    for server in &fleet.servers {
        server.delay_output(milliseconds(case.end.closes_after));
        server.delay_start(milliseconds(case.end.start_delay));
    }
    if let Some(disturbance) = case.disturbance {
        disturbance.begin(fleet).await;
    }
    let repetition = Repetition {
        path: case.path,
        body: MARK,
        detachment,
        pause: milliseconds(case.pause),
        tries: (REPEATED_FOR / (case.pause + 100)) as usize,
        gateways: case.gateways,
    };
    fleet.repeat(repetition).await;
    let (sent, ended) = (fleet.sent_after_limit(), fleet.restarts());
    (sent > 0).then(|| format!("{case:?}, {detachment:?}: {sent} sent, {ended} ended"))
}

/// Asserts that no run sends the request after three servers have ended.
pub async fn assert_limited(detachment: Detachment, cases: Vec<Case>) {
    let runs = cases.into_iter().map(|case| failure(detachment, case));
    let failures: Vec<String> = join_all(runs).await.into_iter().flatten().collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against an end that is not counted because the server had reset the connection before.
#[test]
fn request_is_not_sent_after_three_ends_that_follow_resets() {
    run(async {
        let cases = cases(&[100, 400, 1_000, 3_000]);
        assert_limited(Detachment::Reset, cases).await;
    });
}

/// Guards against an end that is not counted because the client had left before.
#[test]
fn request_is_not_sent_after_three_ends_that_follow_early_leaves() {
    run(async {
        let leaves = Detachment::ClientLeaves(milliseconds(50));
        assert_limited(leaves, cases(&[100, 400, 1_000, 3_000])).await;
    });
}

/// Guards against an end that is not counted because the deadline had passed before.
#[test]
fn request_is_not_sent_after_three_ends_that_follow_timeouts() {
    run(async {
        assert_limited(Detachment::TimesOut, cases(&[400, 1_000])).await;
    });
}

/// Guards against a limit that holds only while the log replies to all gateways in time.
#[test]
fn request_is_not_sent_after_three_late_ends_beside_a_disturbance() {
    run(async {
        for detachment in [
            Detachment::Reset,
            Detachment::ClientLeaves(milliseconds(50)),
        ] {
            let disturbed = Disturbance::ALL.into_iter().flat_map(|disturbance| {
                [400, 1_000].map(|ends_after| Case {
                    ends_after,
                    pause: 800,
                    gateways: 2,
                    path: "/resume/1",
                    disturbance: Some(disturbance),
                    end: ServerEnd::CLOSES,
                })
            });
            assert_limited(detachment, disturbed.collect()).await;
        }
    });
}

/// Guards against an owner that counts an end alone because it does not hear that it was replaced.
#[test]
fn request_is_not_sent_after_three_late_ends_while_the_log_is_silent_to_one_gateway() {
    run(async {
        let detachments = [
            Detachment::Reset,
            Detachment::ClientLeaves(milliseconds(50)),
        ];
        for detachment in detachments {
            let times = [200, 400, 700, 1_000]
                .map(|ends_after| [300, 500, 800].map(|pause| (ends_after, pause)));
            let cases = times.into_iter().flatten().map(|(ends_after, pause)| Case {
                ends_after,
                pause,
                gateways: 2,
                path: "/resume/1",
                disturbance: Some(Disturbance::LogSilentForOne),
                end: ServerEnd::CLOSES,
            });
            assert_limited(detachment, cases.collect()).await;
        }
    });
}

/// Guards against ends that are not seen because no connection to the process stays open.
#[test]
fn request_is_not_sent_after_three_ends_of_servers_that_keep_no_connection_open() {
    run(async {
        let fleet = Fleet::ending_after(
            milliseconds(400),
            milliseconds(ENTRY_DELAY_MS),
            Detachment::Reset,
        )
        .await;
        for server in &fleet.servers {
            server.close_after_statement();
        }
        let repetition = Repetition {
            path: "/chat/1",
            body: MARK,
            detachment: Detachment::Reset,
            pause: milliseconds(800),
            tries: 8,
            gateways: 2,
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
            let fleet = Fleet::ending_after(Duration::ZERO, milliseconds(ENTRY_DELAY_MS), detachment).await;
            let repetition = Repetition {
                path,
                body: "harmless",
                detachment,
                pause: milliseconds(pause),
                tries: 8,
                gateways: 2,
            };
            fleet.repeat(repetition).await;
            let sent = fleet.sent();
            assert!(sent >= 8, "{repetition:?}: {sent}");
            for server in &fleet.servers {
                let texts = vec!["word".to_owned(); 4];
                server.set(Act::Paced(texts, milliseconds(20)));
            }
            for gateway in &fleet.gateways {
                let fields = "Request: last\r\nProgram: p\r\nSession: s\r\nDeadline: 2000\r\nBudget: 90000\r\nMost: 40\r\n";
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
    let fleet = Fleet::start(milliseconds(ENTRY_DELAY_MS), true).await;
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
