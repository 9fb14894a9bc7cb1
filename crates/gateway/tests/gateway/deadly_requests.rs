//! Requests that end the servers which serve them.

use crate::support::{
    Act, Gateway, LogCapture, OWNERS_SETTLED, Reply, SERVERS as SERVERS_TOPIC, Server, World,
    config_with_tenants, run, tenant,
};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_gateway::drain;
use fieldhook_gateway::ledger::crashes::SendAnswer;
use fieldhook_ledger::crashes::{AttemptEnd, SendDecision};
use fieldhook_ledger::message::{ReportAttempt, RequestKey, RequestSend};
use fieldhook_ledger::name::QualifiedName;
use futures_util::future::{join, join_all};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Number of servers that may end under a request before it is not sent to any other.
const MAX_ENDED: usize = 3;
/// Number of servers of a test.
const SERVERS: usize = 10;
/// Number of attempts that a client makes: three turns with one retry each.
const CLIENT_ATTEMPTS: usize = 6;
/// Pause between two attempts of a client.
const CLIENT_PAUSE: Duration = Duration::from_millis(50);
/// Text in requests that end servers.
const MARK: &str = "deadly";
/// An owner that was heard within this time, in milliseconds, is not asked.
const HEARD_WITHIN_MS: u128 = 500;

/// Two gateways in front of servers that end when they serve a request with the mark.
struct Fleet {
    world: World,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
}

impl Fleet {
    async fn start(ends_after: Duration) -> Self {
        Self::start_in(World::new().await, ends_after).await
    }

    async fn start_in(world: World, ends_after: Duration) -> Self {
        let mut servers = Vec::new();
        for number in 0..SERVERS {
            let texts = vec!["word".to_owned(); 4];
            let act = Act::Paced(texts, Duration::from_millis(20));
            let server = Server::start(&format!("s{number}"), act).await;
            server.end_on(MARK, ends_after);
            world.list(&server).await;
            servers.push(server);
        }
        let gateways = world.settled_gateways(&["g1", "g2"], SERVERS).await;
        Self {
            world,
            gateways,
            servers,
        }
    }

    /// Sends a request as a client does that tries again, at another daemon each time and under
    /// another id.
    async fn ask_repeatedly(&self, method: &str, path: &str, fields: &str, body: &str) {
        for attempt in 0..CLIENT_ATTEMPTS {
            let gateway = &self.gateways[attempt % self.gateways.len()];
            let fields = format!("Request: r{attempt}\r\nDeadline: 1000\r\n{fields}");
            let mut client = gateway.client().await;
            client.send(method, path, &fields, body).await;
            let _ = client.reply_unless_closed().await;
            sleep(CLIENT_PAUSE).await;
        }
    }

    /// Sends a request that ends no server, and tries twice again if it fails. Returns whether it was
    /// served.
    async fn ask_until_served(&self, number: usize) -> bool {
        for attempt in 0..3 {
            let gateway = &self.gateways[(number + attempt) % self.gateways.len()];
            let id = format!("Request: b{number}-{attempt}\r\n");
            let fields = format!("{id}Program: b{number}\r\nDeadline: 1500\r\n");
            let reply = gateway.ask("POST", "/resume/1", &fields, "word").await;
            if reply.complete && reply.head.status == 200 {
                return true;
            }
        }
        false
    }

    /// Number of pairs of a gateway and a partition that another gateway owns.
    fn remote_partitions(&self) -> u64 {
        let partitions = self.world.partitions.get();
        u64::from(partitions) * (self.gateways.len() as u64 - 1)
    }

    /// Number of times that a request with the mark was sent to a server.
    fn sent(&self) -> usize {
        self.servers
            .iter()
            .map(|server| server.count_with(MARK))
            .sum()
    }

    fn ended(&self) -> usize {
        self.servers
            .iter()
            .filter(|server| server.has_ended())
            .count()
    }
}

/// Guards against a turn that ends one server after another, over all attempts and repetitions.
#[test]
fn turn_under_which_three_servers_ended_is_not_sent_again() {
    run(async {
        let fleet = Fleet::start(Duration::from_millis(50)).await;
        let fields = "Program: p1\r\nSession: s1\r\nBudget: 10000\r\nMost: 40\r\n";
        fleet.ask_repeatedly("POST", "/chat/1", fields, MARK).await;
        assert!(
            fleet.ended() <= MAX_ENDED,
            "{} servers ended",
            fleet.ended()
        );
        assert!(fleet.sent() <= MAX_ENDED, "sent {} times", fleet.sent());
    });
}

/// Guards against log lines that do not identify the attempts of one request.
#[test]
fn broken_attempts_of_a_request_are_logged_with_the_same_content_and_the_fate_of_the_server() {
    run(async {
        let lines = LogCapture::start();
        let fleet = Fleet::start(Duration::from_millis(50)).await;
        let fields = "Program: p1\r\nSession: s1\r\nBudget: 10000\r\nMost: 40\r\n";
        fleet.ask_repeatedly("POST", "/chat/1", fields, MARK).await;
        let broke = lines.with_event("attempt_broke");
        let contents: BTreeSet<&str> = broke.iter().map(|line| field(line, "content")).collect();
        assert_eq!(contents.len(), 1, "{broke:?}");
        let servers: BTreeSet<&str> = broke.iter().map(|line| field(line, "server")).collect();
        assert_eq!(servers.len(), fleet.ended());
        for line in &broke {
            assert_eq!(field(line, "fate"), "ended", "{line}");
            assert_eq!(field(line, "known_by"), "refused", "{line}");
        }
    });
}

/// Returns the text of a field of a log line.
fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let (_, rest) = line
        .split_once(&format!("\"{name}\":\""))
        .expect("the field");
    rest.split('"').next().unwrap_or_default()
}

/// Guards against a resumable stream that takes one server after another.
#[test]
fn stream_under_which_three_servers_ended_is_not_sent_again() {
    run(async {
        let fleet = Fleet::start(Duration::from_millis(10)).await;
        fleet.ask_repeatedly("POST", "/resume/1", "", MARK).await;
        assert!(fleet.sent() <= MAX_ENDED, "sent {} times", fleet.sent());
    });
}

/// Guards against a lookup without a body that takes one server after another.
#[test]
fn lookup_under_which_three_servers_ended_is_not_sent_again() {
    run(async {
        let fleet = Fleet::start(Duration::from_millis(10)).await;
        let path = format!("/safe/{MARK}");
        fleet
            .ask_repeatedly("GET", &path, "Program: p1\r\n", "")
            .await;
        assert!(fleet.sent() <= MAX_ENDED, "sent {} times", fleet.sent());
    });
}

/// Guards against requests that suffer for the one beside them: a single end proves nothing.
#[test]
fn requests_beside_one_that_ends_their_server_are_served() {
    run(async {
        let lines = LogCapture::start();
        let fleet = Fleet::start(Duration::from_millis(10)).await;
        // The deadly request may end both servers that one attempt of another may reach, so these
        // clients try again, too.
        let beside = (0..40).map(|number| fleet.ask_until_served(number));
        let deadly = fleet.ask_repeatedly("POST", "/resume/1", "Program: p1\r\n", MARK);
        let (served, ()) = join(join_all(beside), deadly).await;
        assert!(fleet.sent() <= MAX_ENDED, "sent {} times", fleet.sent());
        let blocked = lines.with_event("send_permit");
        let beside_blocked = blocked.iter().filter(|line| {
            field(line, "request").starts_with('b') && field(line, "outcome") == "blocked"
        });
        assert_eq!(beside_blocked.count(), 0);
        assert!(served.into_iter().all(|is_served| is_served));
    });
}

/// Guards against a count that is reset by a complete response, which may not reach the client.
#[test]
fn complete_response_does_not_clear_the_count_of_a_program() {
    run(async {
        let lines = LogCapture::start();
        // A stream that goes on at another server is complete before that one ends.
        let fleet = Fleet::start(Duration::from_millis(50)).await;
        fleet
            .ask_repeatedly("POST", "/resume/1", "Program: p1\r\n", MARK)
            .await;
        let broke = lines.with_event("attempt_broke").len();
        assert_eq!(broke, MAX_ENDED);
    });
}

/// Guards against a count that is lost with the processes that kept it.
#[test]
fn blocked_request_stays_blocked_after_its_daemons_and_owner_are_gone() {
    run(async {
        let fleet = Fleet::start(Duration::from_millis(10)).await;
        fleet.ask_repeatedly("POST", "/resume/1", "", MARK).await;
        assert_eq!(fleet.sent(), MAX_ENDED);
        for gateway in &fleet.gateways {
            drain::run(gateway.daemon.clone()).await;
        }
        let third = fleet.world.gateway("g3").await;
        third.wait_ready(SERVERS).await;
        sleep(OWNERS_SETTLED).await;
        let reply = third
            .ask("POST", "/resume/1", "Request: again\r\n", MARK)
            .await;
        assert_blocked(&reply);
        assert_eq!(fleet.sent(), MAX_ENDED);
    });
}

/// Checks that a request was refused at once and for good.
fn assert_blocked(reply: &Reply) {
    assert_eq!(reply.head.status, 503, "{}", reply.text());
    assert!(!reply.head.headers.has("come-back-ms"));
}

/// Guards against a count that is not kept while the log is unavailable.
#[test]
fn servers_are_counted_while_the_log_is_away() {
    run(async {
        let fleet = Fleet::start(Duration::from_millis(10)).await;
        for gateway in &fleet.gateways {
            gateway.store.set_fault(LogFault::Silent);
            gateway.daemon.log_health.record_failure();
        }
        fleet.ask_repeatedly("POST", "/resume/1", "", MARK).await;
        assert!(fleet.sent() <= MAX_ENDED, "sent {} times", fleet.sent());
    });
}

/// Guards against copies of a request that are sent side by side once it is under suspicion.
#[test]
fn copies_of_a_request_share_the_places_that_are_left() {
    run(async {
        let fleet = Fleet::start(Duration::from_millis(50)).await;
        let path = &format!("/safe/{MARK}");
        let first = fleet.gateways[0].ask("GET", path, "Request: r\r\n", "");
        assert_eq!(first.await.head.status, 502);
        let ended = fleet.ended();
        assert_eq!(ended, 2);
        let copies = (0..12).map(|number| {
            let gateway = &fleet.gateways[number % 2];
            let fields = format!("Request: c{number}\r\n");
            async move { gateway.ask("GET", path, &fields, "").await }
        });
        let replies = join_all(copies).await;
        assert_eq!(fleet.sent(), MAX_ENDED);
        assert!(
            replies
                .iter()
                .all(|reply| matches!(reply.head.status, 502 | 503))
        );
    });
}

/// Guards against a tenant that has the requests of another one refused.
#[test]
fn request_of_another_tenant_with_the_same_content_is_not_blocked() {
    run(async {
        let world = World::new().await;
        let tenants = vec![tenant("red", "k1"), tenant("blue", "k2")];
        world.configs.borrow_mut()[0] = config_with_tenants(1, tenants);
        let fleet = Fleet::start_in(world, Duration::from_millis(10)).await;
        fleet
            .ask_repeatedly("POST", "/resume/1", "Key: k1\r\n", MARK)
            .await;
        assert_eq!(fleet.sent(), MAX_ENDED);
        let fields = "Request: other\r\nKey: k2\r\nDeadline: 1000\r\n";
        fleet.gateways[1]
            .ask("POST", "/resume/1", fields, MARK)
            .await;
        assert!(fleet.sent() > MAX_ENDED, "the request was not sent");
    });
}

/// Guards against a request that is blocked because living servers reset its connections.
#[test]
fn request_whose_servers_live_on_is_not_blocked() {
    run(async {
        let fleet = Fleet::start(Duration::from_millis(10)).await;
        fleet
            .servers
            .iter()
            .for_each(|server| server.set(Act::Reset));
        let path = "/safe/plain";
        for number in 0..4 {
            let fields = format!("Request: r{number}\r\n");
            let reply = fleet.gateways[number % 2]
                .ask("GET", path, &fields, "")
                .await;
            assert_eq!(reply.head.status, 502);
        }
        let answer = Act::Answer(200, "fine".to_owned());
        fleet
            .servers
            .iter()
            .for_each(|server| server.set(answer.clone()));
        let reply = fleet.gateways[0]
            .ask("GET", path, "Request: last\r\n", "")
            .await;
        assert_eq!(reply.head.status, 200);
    });
}

/// Guards against requests that suffer from a planned end: a single one proves nothing.
#[test]
fn stream_whose_leaving_server_ends_goes_on_at_another() {
    run(async {
        let lines = LogCapture::start();
        let world = World::new().await;
        let pace = Duration::from_millis(20);
        let leaving = Server::start("s0", Act::Paced(vec!["word".to_owned(); 50], pace)).await;
        let gateway = world.ready(&[&leaving]).await;
        sleep(OWNERS_SETTLED).await;
        let other = Server::start("s1", Act::Paced(vec!["word".to_owned(); 50], pace)).await;
        let leave = async {
            sleep(Duration::from_millis(100)).await;
            world.list(&other).await;
            let entry = format!("service {} version=v1 draining", leaving.address);
            world.put(SERVERS_TOPIC, &leaving.id, &entry).await;
            sleep(Duration::from_millis(500)).await;
            leaving.end();
        };
        let asked = gateway.ask("POST", "/resume/1", "Request: r\r\n", "word");
        let (reply, ()) = join(asked, leave).await;
        assert!(reply.complete);
        assert_eq!(other.count(), 1);
        let counted = lines.with_event("crash_count");
        assert_eq!(field(&counted[0], "end"), "server_ended", "{counted:?}");
    });
}

/// Guards against a message for each request.
#[test]
fn owner_is_not_asked_while_no_server_has_ended() {
    run(async {
        let lines = LogCapture::start();
        let fleet = Fleet::start(Duration::from_millis(10)).await;
        let started = Instant::now();
        for number in 0..60 {
            let fields = format!("Request: r{number}\r\n");
            let gateway = &fleet.gateways[number % 2];
            let reply = gateway.ask("POST", "/resume/1", &fields, "word").await;
            assert_eq!(reply.head.status, 200);
        }
        let checks = fleet.gateways.iter().map(|gateway| {
            let checks = &gateway.daemon.metrics.watch_checks;
            checks.with_label_values(&["none"]).get()
        });
        let periods = 1 + (started.elapsed().as_millis() / HEARD_WITHIN_MS) as u64;
        let remote = fleet.remote_partitions();
        let checks: u64 = checks.sum();
        assert!(checks <= periods * remote, "{checks} in {periods} periods");
        let request = RequestSend {
            request: RequestKey {
                name: QualifiedName::new(None, "any"),
                program: None,
            },
            attempt: 1,
            hold_ms: 1,
            known: Vec::new(),
            retention_ms: 1,
            max_durable_wait_ms: 0,
        };
        let ledger = &fleet.gateways[0].daemon.ledger;
        let deadline = Instant::now() + Duration::from_secs(1);
        let answer = ledger.ask_to_send(request, deadline).await;
        assert_eq!(answer, SendAnswer::NotAsked);
        assert!(lines.with_event("crash_watch_known").is_empty());
    });
}

/// Guards against an attempt that the next owner grants beside one in progress, so that a fourth
/// server may end.
#[test]
fn attempt_in_progress_holds_its_place_after_its_owner_is_gone() {
    run(async {
        let fleet = Fleet::start(Duration::from_millis(10)).await;
        let key = RequestKey {
            name: QualifiedName::new(None, "any"),
            program: Some("p".to_owned()),
        };
        let ledgers = fleet.gateways.iter().map(|gateway| &gateway.daemon.ledger);
        let partition = fleet.gateways[0].daemon.ledger.partition_of_request(&key);
        let owner = fleet.gateways.iter().position(|gateway| {
            let claims = &gateway.daemon.owner.claims;
            let claim = claims.claim(partition);
            claim.is_some_and(|claim| claims.is_mine(&claim))
        });
        let owner = owner.expect("an owner");
        let other = ledgers.clone().nth(1 - owner).expect("another gateway");
        for server in ["a", "b"] {
            let accepted = other.report_attempt(ReportAttempt {
                request: key.clone(),
                attempt: 0,
                server: server.to_owned(),
                end: AttemptEnd::ServerEnded,
                known: Vec::new(),
                hold_ms: 1,
                retention_ms: 60_000,
            });
            accepted.await.expect("an owner");
        }
        let ask = |attempt| {
            let request = RequestSend {
                request: key.clone(),
                attempt,
                hold_ms: 30_000,
                known: Vec::new(),
                retention_ms: 60_000,
                max_durable_wait_ms: 0,
            };
            other.ask_to_send(request, Instant::now() + Duration::from_secs(3))
        };
        let first = ask(1).await;
        assert!(
            matches!(first, SendAnswer::Decided(SendDecision::Granted { .. })),
            "{first:?}"
        );
        drain::run(fleet.gateways[owner].daemon.clone()).await;
        sleep(OWNERS_SETTLED).await;
        let second = ask(2).await;
        assert!(
            matches!(second, SendAnswer::Decided(SendDecision::Busy { .. })),
            "{second:?}"
        );
    });
}
