//! The client under many requests at once to one address.

use fieldhook_http::HttpClient;
use ntex::http::Method;
use ntex::web::{self, HttpServer};
use std::net::TcpListener;
use std::task::Poll;
use std::time::Duration;

/// Lets the event loop turn once.
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

#[test]
fn requests_sent_while_a_connection_opens_are_answered() {
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
        // Each begins one turn of the event loop later, so that some find a
        // connection half opened.
        let requests = (0..REQUESTS).map(async |turns| {
            for _ in 0..turns {
                yield_now().await;
            }
            client
                .fetch(Method::GET, &url, &[], Vec::new(), limit)
                .await
        });
        for reply in futures_util::future::join_all(requests).await {
            assert_eq!(reply.map(|reply| reply.body), Ok("here".to_owned()));
        }
        server.stop(false).await;
    });
}
