//! Connections between daemons: they are shared, and closed when no request waits on them.

use crate::support::run;
use fieldhook_gateway::ledger::peer::Peers;
use fieldhook_ledger::message::{Envelope, LedgerReply, LedgerRequest};
use futures_util::future::join_all;
use nanoserde::SerBin;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

const CONCURRENT_CALLS: usize = 8;
/// Delay before the stand-in replies.
const REPLY_DELAY: Duration = Duration::from_millis(150);

/// A daemon that accepts connections and either replies to requests or stays silent.
struct StandIn {
    address: SocketAddr,
    open: Rc<Cell<usize>>,
}

impl StandIn {
    async fn start(replies: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let stand_in = Self {
            address: listener.local_addr().expect("an address"),
            open: Rc::default(),
        };
        let open = stand_in.open.clone();
        ntex::rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let open = open.clone();
                open.set(open.get() + 1);
                ntex::rt::spawn(async move {
                    serve(stream, replies).await;
                    open.set(open.get() - 1);
                });
            }
        });
        stand_in
    }

    /// Waits until `count` connections are open.
    async fn wait_open(&self, count: usize) {
        let until = Instant::now() + Duration::from_secs(3);
        while self.open.get() != count {
            assert!(Instant::now() < until, "{} are open", self.open.get());
            sleep(Duration::from_millis(10)).await;
        }
    }
}

async fn serve(mut stream: TcpStream, replies: bool) {
    let mut read = [0; 1 << 10];
    while stream.read(&mut read).await.is_ok_and(|size| size > 0) {
        if replies {
            sleep(REPLY_DELAY).await;
            let body = LedgerReply::LogContact(true);
            let body = Envelope { call_id: 0, body }.serialize_bin();
            let mut frame = (body.len() as u32).to_be_bytes().to_vec();
            frame.extend_from_slice(&body);
            let _ = stream.write_all(&frame).await;
        }
    }
}

/// When a partition gets a new owner, many requests connect to it at the same moment.
#[test]
fn concurrent_requests_share_one_connection() {
    run(async {
        let daemon = StandIn::start(false).await;
        let peers = Peers::default();
        let requests = (0..CONCURRENT_CALLS).map(|_| peers.connection(daemon.address));
        let connections = join_all(requests).await;
        let first = connections[0].as_ref().expect("connects");
        for connection in &connections {
            let connection = connection.as_ref().expect("connects");
            assert!(Rc::ptr_eq(first, connection), "two connections are open");
        }
        daemon.wait_open(1).await;
    });
}

#[test]
fn discarded_connection_closes_after_the_last_pending_reply() {
    run(async {
        let daemon = StandIn::start(true).await;
        let peers = Peers::default();
        let connection = peers.connection(daemon.address).await.expect("connects");
        let mut replies = connection.call(LedgerRequest::HasRecentLogContact);
        drop(connection);
        peers.discard(daemon.address);
        assert_eq!(replies.recv().await, Some(LedgerReply::LogContact(true)));
        daemon.wait_open(0).await;
    });
}

#[test]
fn connection_to_a_silent_daemon_closes_when_its_last_waiter_leaves() {
    run(async {
        let daemon = StandIn::start(false).await;
        let peers = Peers::default();
        let connection = peers.connection(daemon.address).await.expect("connects");
        let replies = connection.call(LedgerRequest::HasRecentLogContact);
        drop(connection);
        peers.discard(daemon.address);
        daemon.wait_open(1).await;
        sleep(Duration::from_millis(100)).await;
        assert_eq!(daemon.open.get(), 1, "closed while a reply is awaited");
        drop(replies);
        daemon.wait_open(0).await;
    });
}

/// Guards against a reply that waited in the socket and is taken for what the owner knows now.
#[test]
fn reply_is_as_old_as_its_call() {
    run(async {
        let daemon = StandIn::start(true).await;
        let peers = Peers::default();
        let connection = peers.connection(daemon.address).await.expect("connects");
        connection.set_reported(0, 1);
        let mut replies = connection.call(LedgerRequest::HasRecentLogContact);
        replies.recv().await.expect("a reply");
        assert!(connection.reports(0, 1, 2 * REPLY_DELAY));
        assert!(!connection.reports(0, 1, REPLY_DELAY));
    });
}
