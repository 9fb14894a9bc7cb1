//! Servers that respond before they have read the whole request.

use crate::support::run;
use fieldhook_gateway::http::headers::Headers;
use fieldhook_gateway::http::write;
use fieldhook_gateway::upstream::connection::{ExchangeError, ServerConnection};
use socket2::SockRef;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

const LIMIT: Duration = Duration::from_secs(5);
/// More than the buffers of both sockets take.
const UPLOAD_BYTES: usize = 16 << 20;
/// Size of the part of the request that the server reads.
const READ_BYTES: usize = 512;
/// Whether the write fails before the response is read is a race.
const TRIES: usize = 60;

/// How a server ends its connection after the response.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Reset,
    Close,
}

async fn respond(mut stream: TcpStream, head: &str, ending: Ending) {
    let mut part = [0; READ_BYTES];
    stream.read_exact(&mut part).await.expect("a part");
    let response = format!("HTTP/1.1 200 OK\r\n{head}\r\npart");
    let _ = stream.write_all(response.as_bytes()).await;
    match ending {
        Ending::Reset => {
            let socket = SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("set");
        }
        Ending::Close => {
            let _ = stream.shutdown().await;
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Uploads to a server that responds early, and returns the body of its response.
async fn upload(head: &'static str, ending: Ending) -> Result<Vec<u8>, ExchangeError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    ntex::rt::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        respond(stream, head, ending).await;
    });
    let connection = ServerConnection::connect(address, LIMIT).await;
    let mut connection = connection.expect("connects");
    let body = vec![b'x'; UPLOAD_BYTES];
    let request = write::request("POST", "/", &Headers::default(), &body);
    let response = timeout(LIMIT, connection.query(&request, READ_BYTES)).await;
    let (_, body) = response.expect("a response in time")?;
    Ok(body.to_vec())
}

/// Guards against a part of a response that counts as complete because the failed write of the
/// request has taken the error of the reset with it.
#[test]
fn response_without_length_that_is_reset_during_an_upload_is_not_complete() {
    run(async {
        let mut complete = 0;
        for _ in 0..TRIES {
            let response = upload("Connection: close\r\n", Ending::Reset).await;
            complete += usize::from(response.is_ok());
        }
        assert_eq!(complete, 0, "of {TRIES}");
    });
}

/// Guards against a complete response that is discarded because the rest of the upload was not read.
#[test]
fn complete_response_during_an_upload_is_delivered() {
    run(async {
        let sized = upload("Content-Length: 4\r\n", Ending::Close).await;
        assert_eq!(sized, Ok(b"part".to_vec()));
        let unframed = upload("Connection: close\r\n", Ending::Close).await;
        assert_eq!(unframed, Ok(b"part".to_vec()));
    });
}
