//! Servers that stop within the head of a response and close the connection.

use fieldhook_http::HttpClient;
use ntex::http::Method;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

/// Head of a response with a body of nine bytes.
const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 9\r\n\r\n";
/// What follows the part of the head.
const ENDINGS: [&str; 5] = ["", "\r\n", "\n", "\r\n\r\n", "\n\n"];

/// Serves one connection for each part of the head. Returns the address.
fn serve(ending: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for length in 0..=HEAD.len() {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut request = [0; 1 << 10];
            let _ = stream.read(&mut request);
            let _ = stream.write_all(&HEAD.as_bytes()[..length]);
            let _ = stream.write_all(ending.as_bytes());
        }
    });
    address
}

/// Guards against a response whose server stopped within its head, and that is taken for a complete
/// one with an empty body.
#[test]
fn response_that_stops_within_its_head_is_an_error() {
    let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
    system.block_on(async {
        let client = HttpClient::new().await;
        let limit = Duration::from_secs(5);
        let mut complete = Vec::new();
        for ending in ENDINGS {
            let url = format!("http://{}/", serve(ending));
            for length in 0..=HEAD.len() {
                let fetched = client.fetch(Method::GET, &url, &[], Vec::new(), limit);
                if let Ok(response) = fetched.await {
                    complete.push(format!("{length}, {ending:?}: {response:?}"));
                }
            }
        }
        assert!(complete.is_empty(), "{complete:#?}");
    });
}
