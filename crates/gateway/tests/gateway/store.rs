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
use tokio::time::sleep;

const ANSWER: &[u8] = b"HTTP/1.1 200 Fine\r\nContent-Length: 0\r\n\r\n";

fn call() -> StoreRequest {
    StoreRequest {
        method: "GET",
        message: b"GET / HTTP/1.1\r\nHost: log\r\n\r\n".to_vec(),
        timeout: Duration::from_millis(200),
    }
}

/// Answers after a moment, so that calls made together need a connection each; what was
/// accepted before `silent` rose says nothing any more.
async fn serve(mut stream: TcpStream, silent: Rc<Cell<u32>>) {
    let accepted = silent.get();
    let mut request = [0; 1_024];
    while stream.read(&mut request).await.is_ok_and(|size| size > 0) {
        sleep(Duration::from_millis(20)).await;
        if silent.get() == accepted && stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}

#[test]
fn one_silent_connection_gives_the_idle_ones_up() {
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
