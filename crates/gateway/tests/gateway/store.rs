//! Connections to the log service.

use crate::support::run;
use fieldhook_gateway::store_exchange::{StoreConnections, StoreRequest};
use fieldhook_log::api::StoreError;
use fieldhook_log::log_health::LogHealth;
use futures_util::future::join_all;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

const RESPONSE: &[u8] = b"HTTP/1.1 200 Fine\r\nContent-Length: 0\r\n\r\n";

fn call() -> StoreRequest {
    StoreRequest {
        method: "GET",
        message: b"GET / HTTP/1.1\r\nHost: log\r\n\r\n".to_vec(),
        timeout: Duration::from_millis(200),
    }
}

/// Responds after a short delay, so that concurrent calls need a connection each. Connections
/// accepted before `silent` was increased no longer respond.
async fn serve(mut stream: TcpStream, silent: Rc<Cell<u32>>) {
    let accepted = silent.get();
    let mut request = [0; 1_024];
    while stream.read(&mut request).await.is_ok_and(|size| size > 0) {
        sleep(Duration::from_millis(20)).await;
        if silent.get() == accepted && stream.write_all(RESPONSE).await.is_err() {
            return;
        }
    }
}

#[test]
fn silent_connection_discards_idle_connections() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("an address");
        let silent = Rc::new(Cell::new(0));
        let of_server = silent.clone();
        ntex::rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                ntex::rt::spawn(serve(stream, of_server.clone()));
            }
        });
        let store = StoreConnections::new(address, Rc::new(LogHealth::default()));
        let together = join_all((0..4).map(|_| store.exchange(call()))).await;
        assert!(together.iter().all(Result::is_ok));
        silent.set(1);
        let first = store.exchange(call()).await.map(|answer| answer.status);
        assert_eq!(first, Err(StoreError::Unknown));
        let next = store.exchange(call()).await.map(|answer| answer.status);
        assert_eq!(next, Ok(200));
    });
}

/// Time after which a daemon that the log refuses has to count as cut off from it.
const CUT_OFF_AFTER: Duration = Duration::from_millis(1_200);

/// Starts a log that answers the calls with these statuses, again and again, and returns a client
/// that makes calls to it until the given time has passed.
async fn call_for(statuses: &'static [u16], time: Duration) -> Rc<LogHealth> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    let next = Rc::new(Cell::new(0));
    ntex::rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let next = next.clone();
            ntex::rt::spawn(async move {
                let mut request = [0; 1_024];
                while stream.read(&mut request).await.is_ok_and(|size| size > 0) {
                    let status = statuses[next.get() % statuses.len()];
                    next.set(next.get() + 1);
                    let response = format!("HTTP/1.1 {status} Fine\r\nContent-Length: 0\r\n\r\n");
                    let _ = stream.write_all(response.as_bytes()).await;
                }
            });
        }
    });
    let health = Rc::new(LogHealth::default());
    let store = StoreConnections::new(address, health.clone());
    let end = Instant::now() + time;
    while Instant::now() < end {
        store.exchange(call()).await.expect("a response");
        sleep(Duration::from_millis(20)).await;
    }
    health
}

/// Guards against an owner that the log refuses, and that other daemons therefore leave in place.
#[test]
fn daemon_whose_calls_are_all_refused_is_cut_off_from_the_log() {
    run(async {
        for status in [&[429_u16], &[503]] {
            let health = call_for(status, CUT_OFF_AFTER).await;
            assert!(health.is_failing(), "{status:?}");
            assert!(health.is_lost(), "{status:?}");
            assert!(!health.answered_within(CUT_OFF_AFTER), "{status:?}");
            assert!(!health.confirmed_within(CUT_OFF_AFTER), "{status:?}");
        }
    });
}

/// Guards against owners that are replaced because all daemons together exceed the call rate.
#[test]
fn daemon_whose_calls_are_refused_in_part_reaches_the_log() {
    run(async {
        let health = call_for(&[200, 429, 429, 429, 429], CUT_OFF_AFTER).await;
        assert!(!health.is_failing());
        assert!(health.no_failure_for(CUT_OFF_AFTER));
        let health = call_for(&[429], Duration::from_millis(150)).await;
        assert!(!health.is_failing());
    });
}
