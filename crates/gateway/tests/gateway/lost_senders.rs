//! Attempts of a daemon that is lost. The daemon is a connection on which the test tells a gateway of
//! attempts.

use crate::detached_attempts::milliseconds;
use crate::restarted_servers::{Fleet, MARK};
use crate::support::{Act, Gateway, Server, World, run};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_gateway::dialect::RequestMeta;
use fieldhook_gateway::ledger::peer::{PeerConnection, Peers};
use fieldhook_gateway::serve::content::Identity;
use fieldhook_ledger::message::{
    AttemptServer, BackUpAttempts, BackedUpAttempt, ClosedAttempt, Envelope, LedgerReply,
    LedgerRequest, RequestKey, StatedProcess, UNSOLICITED_CALL_ID,
};
use nanoserde::{DeBin, SerBin};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const PATH: &str = "/resume/1";
/// Time after which an entry names the next process, in milliseconds.
const ENTRY_DELAY_MS: u64 = 12_000;
/// Time in which a loss is noticed, servers are checked and their ends are reported, in milliseconds.
const TAKEOVER_MS: u64 = 700;
/// Time in which a claim is known, in milliseconds.
const CLAIM_MS: u64 = 100;
/// Time that the log takes to answer while the owner is replaced, in milliseconds.
const SLOW_LOG_MS: u64 = 200;
/// Time after which a client sends a request again, in milliseconds.
const RETURN_MS: u64 = 10;
/// Address of the daemon that is lost.
const SENDER: &str = "127.0.0.1:1";
/// Number of servers that may end under a request before it is not sent to any other.
const MAX_ENDED: usize = 3;

/// Key of a request of program `p` with this body.
fn content(body: &str) -> RequestKey {
    let meta = RequestMeta {
        program: Some("p".to_owned()),
        ..RequestMeta::default()
    };
    let identity = Identity {
        tenant: None,
        host: "test.example",
        method: "POST",
        target: PATH,
        meta: &meta,
        body: body.as_bytes(),
    };
    identity.key()
}

/// An attempt at the first process of a server.
fn attempt(number: u64, server: &Server, body: &str) -> BackedUpAttempt {
    BackedUpAttempt {
        attempt: number,
        content: content(body),
        request: format!("lost-{number}"),
        known: Vec::new(),
        retention_ms: 60_000,
        server: AttemptServer {
            name: server.id.clone(),
            started_ms: Some(1),
            service: "service".to_owned(),
            address: server.address.to_string(),
        },
        stated: StatedProcess::NotAsked,
        process_started_ms: None,
        limit_ms: 4_000,
        age_ms: 0,
    }
}

fn message(closed: Vec<ClosedAttempt>, begun: Vec<BackedUpAttempt>) -> LedgerRequest {
    LedgerRequest::BackUpAttempts(BackUpAttempts {
        address: SENDER.to_owned(),
        incarnation: 1,
        is_complete: false,
        closed,
        begun,
    })
}

/// A daemon whose backup is a gateway.
struct Sender {
    peers: Peers,
    connection: Rc<PeerConnection>,
    backup: SocketAddr,
}

impl Sender {
    async fn connect(gateway: &Gateway) -> Self {
        let peers = Peers::default();
        let backup = gateway.daemon.settings.peers;
        let connection = peers.connection(backup).await.expect("connects");
        Self {
            peers,
            connection,
            backup,
        }
    }

    async fn tell(&self, closed: Vec<ClosedAttempt>, begun: Vec<BackedUpAttempt>) {
        let mut replies = self.connection.call(message(closed, begun));
        replies.recv().await.expect("a reply");
    }

    /// Closes its connection.
    fn lose(self) {
        self.peers.discard(self.backup);
    }
}

/// Status of a request of program `p` with this body.
async fn ask(gateway: &Gateway, body: &str) -> u16 {
    let fields = "Request: again\r\nProgram: p\r\nDeadline: 2000\r\n";
    let reply = gateway.ask("POST", PATH, fields, body).await;
    reply.head.status
}

/// Tells a gateway of three attempts at different servers.
async fn begin_three(fleet: &Fleet, body: &str) -> Sender {
    let sender = Sender::connect(&fleet.gateways[0]).await;
    let servers = fleet.servers.iter().take(MAX_ENDED);
    let attempts = servers
        .enumerate()
        .map(|(number, server)| attempt(number as u64 + 1, server, body));
    sender.tell(Vec::new(), attempts.collect()).await;
    sender
}

/// Guards against ends that nobody counts because the daemon that sent the request is lost as well.
#[test]
fn request_is_not_sent_after_three_servers_ended_with_the_daemon_that_sent_it() {
    run(async {
        let fleet = Fleet::start(milliseconds(ENTRY_DELAY_MS), true).await;
        let sender = begin_three(&fleet, MARK).await;
        for server in fleet.servers.iter().take(MAX_ENDED) {
            server.end();
        }
        sender.lose();
        sleep(milliseconds(TAKEOVER_MS)).await;
        for gateway in &fleet.gateways {
            assert_eq!(ask(gateway, MARK).await, 503);
        }
        assert_eq!(fleet.sent(), 0);
    });
}

/// Guards against the end of a server that comes after the loss of the daemon.
#[test]
fn request_is_not_sent_after_three_servers_ended_later_than_the_daemon_that_sent_it() {
    run(async {
        let fleet = Fleet::start(milliseconds(ENTRY_DELAY_MS), true).await;
        begin_three(&fleet, MARK).await.lose();
        sleep(milliseconds(TAKEOVER_MS)).await;
        for server in fleet.servers.iter().take(MAX_ENDED) {
            server.end();
        }
        sleep(milliseconds(TAKEOVER_MS)).await;
        for gateway in &fleet.gateways {
            assert_eq!(ask(gateway, MARK).await, 503);
        }
        assert_eq!(fleet.sent(), 0);
    });
}

/// Guards against ends that are not counted because the daemon falls silent without closing anything.
#[test]
fn request_is_not_sent_after_three_servers_ended_while_the_daemon_that_sent_it_is_silent() {
    run(async {
        let fleet = Fleet::start(milliseconds(ENTRY_DELAY_MS), true).await;
        let _silent = begin_three(&fleet, MARK).await;
        for server in fleet.servers.iter().take(MAX_ENDED) {
            server.end();
        }
        sleep(milliseconds(2 * TAKEOVER_MS)).await;
        assert_eq!(ask(&fleet.gateways[1], MARK).await, 503);
        assert_eq!(fleet.sent(), 0);
    });
}

/// Guards against a request that is sent unasked until the owner has a successor, because the daemon
/// that is lost owned the partition too.
#[test]
fn request_is_not_sent_after_three_servers_ended_with_the_owner_that_sent_it() {
    run(async {
        let fleet = Fleet::start(milliseconds(ENTRY_DELAY_MS), true).await;
        let partition = fleet.gateways[0]
            .daemon
            .ledger
            .partition_of_request(&content(MARK));
        fleet
            .claim_for(partition, SENDER.parse().expect("an address"))
            .await;
        sleep(milliseconds(CLAIM_MS)).await;
        let sender = begin_three(&fleet, MARK).await;
        for gateway in &fleet.gateways {
            let slow = LogFault::Slow(milliseconds(SLOW_LOG_MS));
            gateway.store.set_fault(slow);
        }
        for server in fleet.servers.iter().take(MAX_ENDED) {
            server.end();
        }
        sender.lose();
        sleep(milliseconds(RETURN_MS)).await;
        for _ in 0..2 {
            assert_eq!(ask(&fleet.gateways[1], MARK).await, 503);
        }
        assert_eq!(fleet.sent(), 0);
    });
}

/// Guards against requests that are refused because a daemon was lost with attempts of them.
#[test]
fn request_is_sent_after_a_daemon_with_attempts_at_living_servers_is_lost() {
    run(async {
        let fleet = Fleet::start(milliseconds(ENTRY_DELAY_MS), true).await;
        begin_three(&fleet, "harmless").await.lose();
        sleep(milliseconds(TAKEOVER_MS)).await;
        for gateway in &fleet.gateways {
            assert_eq!(ask(gateway, "harmless").await, 200);
        }
        assert_eq!(fleet.restarts(), 0);
    });
}

/// Guards against ends that count although the daemon had ended its attempts before.
#[test]
fn request_is_sent_after_servers_ended_whose_attempts_the_lost_daemon_had_ended() {
    run(async {
        let fleet = Fleet::start(milliseconds(ENTRY_DELAY_MS), true).await;
        let sender = begin_three(&fleet, "harmless").await;
        let closed = (1..=MAX_ENDED as u64).map(|attempt| ClosedAttempt {
            attempt,
            is_open: false,
        });
        sender.tell(closed.collect(), Vec::new()).await;
        for server in fleet.servers.iter().take(MAX_ENDED) {
            server.end();
        }
        sender.lose();
        sleep(milliseconds(TAKEOVER_MS)).await;
        assert_eq!(ask(&fleet.gateways[1], "harmless").await, 200);
    });
}

/// A daemon to which a gateway tells its attempts.
struct Backup {
    messages: Rc<RefCell<Vec<BackUpAttempts>>>,
    listener: TcpListener,
}

impl Backup {
    async fn start() -> Self {
        Self {
            messages: Rc::default(),
            listener: TcpListener::bind("127.0.0.1:0").await.expect("binds"),
        }
    }

    /// Receives messages on all connections.
    fn run(self) -> Rc<RefCell<Vec<BackUpAttempts>>> {
        let messages = self.messages.clone();
        ntex::rt::spawn(async move {
            while let Ok((stream, _)) = self.listener.accept().await {
                ntex::rt::spawn(receive(stream, self.messages.clone()));
            }
        });
        messages
    }
}

async fn receive(mut stream: TcpStream, messages: Rc<RefCell<Vec<BackUpAttempts>>>) {
    while let Ok(length) = stream.read_u32().await {
        let mut body = vec![0; length as usize];
        if stream.read_exact(&mut body).await.is_err() {
            return;
        }
        let envelope = Envelope::<LedgerRequest>::deserialize_bin(&body).expect("a request");
        let LedgerRequest::BackUpAttempts(message) = envelope.body else {
            continue;
        };
        messages.borrow_mut().push(message);
        if envelope.call_id != UNSOLICITED_CALL_ID {
            let reply = Envelope {
                call_id: envelope.call_id,
                body: LedgerReply::BackedUp("z2".to_owned()),
            };
            let reply = reply.serialize_bin();
            let _ = stream.write_u32(reply.len() as u32).await;
            let _ = stream.write_all(&reply).await;
        }
    }
}

/// Guards against attempts that nobody but the daemon that makes them knows of.
#[test]
fn attempt_in_progress_is_told_to_another_daemon() {
    run(async {
        let world = World::new().await;
        let backup = Backup::start().await;
        let address = backup.listener.local_addr().expect("an address");
        world.claim_for(1, address).await;
        let messages = backup.run();
        let server = Server::start("s1", Act::Slow(milliseconds(300), "word".to_owned())).await;
        world.list(&server).await;
        let gateway = world.settled_gateway("g1", 1).await;
        let fields = "Request: r1\r\nProgram: p\r\nDeadline: 2000\r\n";
        let mut client = gateway.client().await;
        client.send("POST", "/safe/1", fields, "word").await;
        sleep(milliseconds(200)).await;
        let begun = || {
            let messages = messages.borrow();
            let begun: Vec<BackedUpAttempt> =
                messages.iter().flat_map(|m| m.begun.clone()).collect();
            begun
        };
        assert_eq!(begun().len(), 1);
        assert_eq!(begun()[0].request, "r1");
        assert_eq!(begun()[0].server.name, "s1");
        assert_eq!(client.reply().await.head.status, 200);
        sleep(milliseconds(500)).await;
        let messages = messages.borrow();
        let closed: Vec<ClosedAttempt> = messages.iter().flat_map(|m| m.closed.clone()).collect();
        assert_eq!(closed.len(), 1);
        assert_eq!(closed[0].attempt, begun()[0].attempt);
    });
}
