//! Serves one client connection, one request after another.

use super::local_response::{LocalResponse, memory_full};
use super::reader::{ClientReader, ClientRequest, ReadFailure};
use super::request::{self, ConnectionAction};
use super::writer::ClientWriter;
use crate::daemon::{Daemon, ShutdownPhase};
use crate::http::head::HeadError;
use fieldhook_traffic::config::ClientLimits;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// How long to read and discard input after the last response, so that closing the connection does
/// not reset it before the client has read the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long an idle connection is kept open during a planned stop. A client that reuses it in this
/// time is served with `Connection: close`.
const STOPPING_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

struct ConnectionGuard(Rc<Daemon>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let count = &self.0.client_connections;
        count.set(count.get().saturating_sub(1));
    }
}

/// Counts a request as in flight until dropped, however its task ends. A planned stop waits until
/// no request is in flight.
struct RequestGuard(Rc<Daemon>);

impl RequestGuard {
    fn new(daemon: &Rc<Daemon>) -> Self {
        daemon.in_flight.set(daemon.in_flight.get() + 1);
        daemon.metrics.in_flight.inc();
        Self(daemon.clone())
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let count = &self.0.in_flight;
        count.set(count.get().saturating_sub(1));
        self.0.metrics.in_flight.dec();
    }
}

/// Serves a connection until either side closes it.
pub async fn serve(daemon: Rc<Daemon>, stream: TcpStream) {
    daemon
        .client_connections
        .set(daemon.client_connections.get() + 1);
    let _guard = ConnectionGuard(daemon.clone());
    let (read_half, write_half) = stream.into_split();
    let mut reader = ClientReader::new(read_half, daemon.memory.clone());
    let mut writer = ClientWriter::new(write_half, &daemon.memory);
    loop {
        if !wait_for_request(&daemon, &mut reader).await {
            break;
        }
        let limits = current_limits(&daemon);
        let action = match reader.read_request(&limits, &mut writer).await {
            Ok(request) => serve_request(&daemon, request, &mut reader, &mut writer).await,
            Err(failure) => reject(&daemon, failure, &mut writer).await,
        };
        match action {
            ConnectionAction::KeepOpen => {}
            ConnectionAction::Close => break,
            // Dropped without a proper end, so that the client detects the incomplete response.
            ConnectionAction::Abort => return,
        }
    }
    writer.finish().await;
    reader.linger(LINGER_TIMEOUT).await;
}

fn current_limits(daemon: &Daemon) -> ClientLimits {
    daemon
        .routes
        .borrow()
        .as_ref()
        .map_or_else(ClientLimits::default, |table| table.config.limits)
}

/// Waits for the next request; returns false if the connection should be closed.
async fn wait_for_request(daemon: &Daemon, reader: &mut ClientReader) -> bool {
    let idle_timeout = Duration::from_millis(current_limits(daemon).idle_timeout_ms);
    let mut stopping = daemon.shutdown.subscribe();
    let mut close_idle = daemon.close_idle.subscribe();
    tokio::select! {
        // A request that has already arrived takes precedence.
        biased;
        received = reader.wait_first_byte(idle_timeout) => received.is_ok(),
        () = async {
            let _ = stopping.wait_for(|stopping| *stopping != ShutdownPhase::Running).await;
            sleep(STOPPING_IDLE_TIMEOUT).await;
        } => false,
        _ = close_idle.wait_for(|close_idle| *close_idle) => false,
    }
}

async fn serve_request(
    daemon: &Rc<Daemon>,
    request: ClientRequest,
    reader: &mut ClientReader,
    writer: &mut ClientWriter,
) -> ConnectionAction {
    let started = request.started;
    let keep_alive = request.head.keep_alive;
    let request_guard = RequestGuard::new(daemon);
    let parsed = daemon.dialect.read_request(&request.head.headers);
    let (id, program) = parsed
        .map(|meta| (meta.id, meta.program))
        .unwrap_or_default();
    writer.start_response(&id);
    let partition = program
        .as_deref()
        .map(|program| daemon.ledger.partition_of(program));
    // If the client closes the connection, the request and its connection to the server are
    // dropped.
    let action = tokio::select! {
        action = request::handle(daemon, request, writer) => action,
        () = reader.wait_closed() => {
            tracing::info!(event = "client_gone", request = id, program, partition,
                after_ms = started.elapsed().as_millis() as u64);
            ConnectionAction::Abort
        }
    };
    drop(request_guard);
    match action {
        ConnectionAction::KeepOpen if !keep_alive || daemon.closes_connections() => {
            ConnectionAction::Close
        }
        action => action,
    }
}

async fn reject(
    daemon: &Rc<Daemon>,
    failure: ReadFailure,
    writer: &mut ClientWriter,
) -> ConnectionAction {
    let rejection = |status| LocalResponse::new(status, "the request cannot be taken");
    let response = match failure {
        ReadFailure::Ended => return ConnectionAction::Abort,
        ReadFailure::TooSlow => rejection(408),
        ReadFailure::Head(HeadError::TooLarge) => rejection(431),
        ReadFailure::Head(HeadError::Malformed(_)) | ReadFailure::BrokenBody => rejection(400),
        ReadFailure::BodyTooLarge => rejection(413),
        ReadFailure::NoRoom => memory_full(),
    };
    tracing::info!(event = "request_not_taken", status = response.status, cause = ?failure,
        held = daemon.memory.used_bytes());
    let response = response.with_close();
    let _ = response.write(daemon, None, writer).await;
    ConnectionAction::Close
}
