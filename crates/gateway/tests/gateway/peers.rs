//! Connections between daemons: no more than are used, and none that nobody waits on.

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

const ASKERS: usize = 8;
/// Pause after which the stand-in answers, where it does.
const ANSWERS_AFTER: Duration = Duration::from_millis(150);

/// A daemon that accepts, and answers the first question on each connection or none.
struct StandIn {
    address: SocketAddr,
    open: Rc<Cell<usize>>,
}

impl StandIn {
    async fn start(answers: bool) -> Self {
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
                    serve(stream, answers).await;
                    open.set(open.get() - 1);
                });
            }
        });
        stand_in
    }

    /// Waits until so many connections are open.
    async fn wait_open(&self, count: usize) {
        let until = Instant::now() + Duration::from_secs(3);
        while self.open.get() != count {
            assert!(Instant::now() < until, "{} are open", self.open.get());
            sleep(Duration::from_millis(10)).await;
        }
    }
}

async fn serve(mut stream: TcpStream, answers: bool) {
    let mut read = [0; 1 << 10];
    while stream.read(&mut read).await.is_ok_and(|size| size > 0) {
        if answers {
            sleep(ANSWERS_AFTER).await;
            let body = LedgerReply::LogContact(true);
            let body = Envelope { call_id: 0, body }.serialize_bin();
            let mut frame = (body.len() as u32).to_be_bytes().to_vec();
            frame.extend_from_slice(&body);
            let _ = stream.write_all(&frame).await;
        }
    }
}

/// A partition has a new owner, and many requests wait for it.
#[test]
fn those_who_ask_at_the_same_moment_share_a_connection() {
    run(async {
        let daemon = StandIn::start(false).await;
        let peers = Peers::default();
        let asked = (0..ASKERS).map(|_| peers.connection(daemon.address));
        let connections = join_all(asked).await;
        let first = connections[0].as_ref().expect("connects");
        for connection in &connections {
            let connection = connection.as_ref().expect("connects");
            assert!(Rc::ptr_eq(first, connection), "two are in use");
        }
        daemon.wait_open(1).await;
    });
}

#[test]
fn a_connection_that_was_given_up_ends_with_the_last_who_waits() {
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
fn who_left_keeps_no_connection_to_a_silent_daemon_open() {
    run(async {
        let daemon = StandIn::start(false).await;
        let peers = Peers::default();
        let connection = peers.connection(daemon.address).await.expect("connects");
        let replies = connection.call(LedgerRequest::HasRecentLogContact);
        drop(connection);
        peers.discard(daemon.address);
        daemon.wait_open(1).await;
        sleep(Duration::from_millis(100)).await;
        assert_eq!(daemon.open.get(), 1, "somebody waits");
        drop(replies);
        daemon.wait_open(0).await;
    });
}
