//! Concurrent requests of one client to one address.

use fieldhook_http::HttpClient;
use ntex::http::Method;
use ntex::web::{self, HttpServer};
use std::net::TcpListener;
use std::task::Poll;
use std::time::Duration;

/// Yields to the event loop once.
async fn yield_now() {
    let mut yielded = false;
    std::future::poll_fn(|context| {
        if std::mem::replace(&mut yielded, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

const REQUESTS: usize = 20;
const LARGE_BYTES: usize = 300_000;

/// With the connection limit 0, requests made while another connection to the same address was
/// being opened waited forever.
#[test]
fn requests_complete_while_another_connection_is_being_opened() {
    let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
    system.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let server =
            HttpServer::new(async || web::App::new().route("/", web::get().to(async || "here")))
                .workers(1)
                .listen(listener)
                .expect("listens")
                .run();
        let client = HttpClient::new().await;
        let url = format!("http://{address}/");
        let limit = Duration::from_secs(5);
        // Each request starts one iteration of the event loop after the previous one, so that some
        // are made while a connection is being opened.
        let requests = (0..REQUESTS).map(async |iterations| {
            for _ in 0..iterations {
                yield_now().await;
            }
            client
                .fetch(Method::GET, &url, &[], Vec::new(), limit)
                .await
        });
        for response in futures_util::future::join_all(requests).await {
            assert_eq!(
                response.map(|response| response.body),
                Ok("here".to_owned())
            );
        }
        server.stop(false).await;
    });
}

/// Guards against a server whose response takes all memory of the process that asked it.
#[test]
fn response_larger_than_the_limit_is_an_error() {
    let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
    system.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let respond = async || "x".repeat(LARGE_BYTES);
        let server =
            HttpServer::new(async move || web::App::new().route("/", web::get().to(respond)))
                .workers(1)
                .listen(listener)
                .expect("listens")
                .run();
        let client = HttpClient::new().await;
        let url = format!("http://{address}/");
        let limit = Duration::from_secs(5);
        let fetch = async |client: HttpClient| {
            let response = client
                .fetch(Method::GET, &url, &[], Vec::new(), limit)
                .await;
            response.map(|response| response.body.len())
        };
        assert_eq!(
            fetch(client.with_max_response(LARGE_BYTES)).await,
            Ok(LARGE_BYTES)
        );
        assert!(
            fetch(client.with_max_response(LARGE_BYTES - 1))
                .await
                .is_err()
        );
        server.stop(false).await;
    });
}
