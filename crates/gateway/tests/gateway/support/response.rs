//! Responses of stand-in servers.

use super::server::Seen;
use fieldhook_emulator::endless::Head;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Pause after each piece of a stream.
const PIECE_PAUSE: Duration = Duration::from_millis(20);

/// Returns the number at the end of the target of a request.
pub fn number_in_target(request: &Seen) -> usize {
    let number = request.head.target.rsplit('/').next();
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Head of a response with a body of nine bytes.
pub fn response_head(id: &str, announces_close: bool) -> String {
    let close = match announces_close {
        true => "Connection: close\r\n",
        false => "",
    };
    format!("HTTP/1.1 200 Fine\r\nRequest: {id}\r\nSigned: yes\r\n{close}Content-Length: 9\r\n\r\n")
}

pub fn not_run(id: &str) -> String {
    format!("HTTP/1.1 503 Full\r\nRequest: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

pub async fn send_events_head(stream: &mut TcpStream, id: &str) {
    let head = format!(
        "HTTP/1.1 200 Fine\r\nRequest: {id}\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let _ = stream.write_all(head.as_bytes()).await;
}

pub async fn send_events_head_of(stream: &mut TcpStream, head: Head, id: &str) {
    match head {
        Head::None => {}
        Head::Own => send_events_head(stream, id).await,
        Head::Other => send_events_head(stream, "another").await,
    }
}

pub async fn send_large(stream: &mut TcpStream, id: &str, length: usize) -> bool {
    let head = format!(
        "HTTP/1.1 200 Fine\r\nRequest: {id}\r\nSigned: yes\r\nContent-Length: {length}\r\n\r\n"
    );
    let _ = stream.write_all(head.as_bytes()).await;
    let piece = [b'x'; 64 << 10];
    let mut left = length;
    while left > 0 {
        let size = left.min(piece.len());
        if stream.write_all(&piece[..size]).await.is_err() {
            return false;
        }
        left -= size;
    }
    true
}

/// Sends pieces of a stream as chunks, with a pause in which each is read alone.
pub async fn send_pieces(stream: &mut TcpStream, id: &str, pieces: &[String]) -> bool {
    send_events_head(stream, id).await;
    for piece in pieces {
        let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
        let _ = stream.write_all(chunk.as_bytes()).await;
        sleep(PIECE_PAUSE).await;
    }
    stream.write_all(b"0\r\n\r\n").await.is_ok()
}

pub async fn send_paced(
    stream: &mut TcpStream,
    id: &str,
    events: &[String],
    last: Option<usize>,
    pause: Duration,
) -> bool {
    send_events_head(stream, id).await;
    let first = last.map_or(0, |last| last + 1);
    for (number, text) in events.iter().enumerate().skip(first) {
        sleep(pause).await;
        let event = format!("id: {number}\ndata: {text}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        let _ = stream.write_all(chunk.as_bytes()).await;
    }
    stream.write_all(b"0\r\n\r\n").await.is_ok()
}

pub async fn send_events(
    stream: &mut TcpStream,
    id: &str,
    events: &[String],
    last: Option<usize>,
    break_within: Option<usize>,
) -> bool {
    send_events_head(stream, id).await;
    let first = last.map_or(0, |last| last + 1);
    for (number, text) in events.iter().enumerate().skip(first) {
        let event = format!("id: {number}\ndata: {text}\n\n");
        if break_within == Some(number) {
            // Send only part of the event.
            let part = &event[..event.len() - 3];
            let chunk = format!("{:x}\r\n{part}\r\n", part.len());
            let _ = stream.write_all(chunk.as_bytes()).await;
            sleep(Duration::from_millis(20)).await;
            return false;
        }
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        let _ = stream.write_all(chunk.as_bytes()).await;
    }
    stream.write_all(b"0\r\n\r\n").await.is_ok()
}
