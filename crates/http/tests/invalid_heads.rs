//! Servers whose response has a head that is not valid.

use fieldhook_http::HttpClient;
use ntex::http::Method;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

const INVALID: [&str; 14] = [
    "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nwhat",
    "HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\nwhat",
    "HTTP/1.1 101 OK\r\nContent-Length: 4\r\n\r\nwhat",
    "HTTP/1.1 600 OK\r\nContent-Length: 4\r\n\r\nwhat",
    "HTTP/1.1 999 OK\r\nContent-Length: 4\r\n\r\nwhat",
    "HTTP/1.1 200 O\u{1}K\r\nContent-Length: 4\r\n\r\nwhat",
    "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nwhat",
    "HTTP/1.1 200 OK\r\nA b: x\r\nContent-Length: 4\r\n\r\nwhat",
    "HTTP/1.1 200 OK\r\nA\u{1}: x\r\nContent-Length: 4\r\n\r\nwhat",
    "HTTP/1.1 200 OK\r\n: x\r\nContent-Length: 4\r\n\r\nwhat",
    "HTTP/1.1 200 OK\r\nA: \u{1}\r\nContent-Length: 4\r\n\r\nwhat",
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n folded\r\n\r\nwhat",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\nConnection: close\r\n\r\nwhat",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 4\r\n\r\nwhat",
];

/// Serves one connection for each response. Returns the address.
fn serve(responses: Vec<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for response in responses {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut request = [0; 1 << 10];
            let _ = stream.read(&mut request);
            let _ = stream.write_all(response.as_bytes());
        }
    });
    address
}

/// Guards against a response that is no HTTP, and that is taken for a complete one.
#[test]
fn response_with_an_invalid_head_is_an_error() {
    let system = ntex::rt::System::build().build(ntex::rt::DefaultRuntime);
    system.block_on(async {
        let client = HttpClient::new().await;
        let url = format!("http://{}/", serve(INVALID.to_vec()));
        let limit = Duration::from_secs(1);
        for response in INVALID {
            let fetched = client.fetch(Method::GET, &url, &[], Vec::new(), limit);
            let fetched = fetched.await;
            assert!(fetched.is_err(), "{response:?}: {fetched:?}");
        }
    });
}
