//! One connection of a client: requests one after another.

use super::answer::{OwnAnswer, no_room};
use super::client::{ClientReader, ClientRequest, ReadFailure};
use super::request::{self, Served};
use super::writer::ClientWriter;
use crate::daemon::{Daemon, Stopping};
use crate::http::head::HeadError;
use fieldhook_traffic::config::ClientLimits;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// How long bytes of a client are read on after the last answer.
const LINGER: Duration = Duration::from_millis(1_000);
/// How long an idle connection is kept once a planned stop has begun: a client
/// that reuses it in this time still gets its answer, and is told to close.
const STOPPING_IDLE: Duration = Duration::from_millis(2_500);

struct Counted(Rc<Daemon>);

impl Drop for Counted {
    fn drop(&mut self) {
        let count = &self.0.client_connections;
        count.set(count.get().saturating_sub(1));
    }
}

/// Counts a request as under way until it is dropped, however its task ends: a planned stop
/// waits for none to be left.
struct UnderWay(Rc<Daemon>);

impl UnderWay {
    fn new(daemon: &Rc<Daemon>) -> Self {
        daemon.in_flight.set(daemon.in_flight.get() + 1);
        daemon.metrics.in_flight.inc();
        Self(daemon.clone())
    }
}

impl Drop for UnderWay {
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
    let _counted = Counted(daemon.clone());
    let (read_half, write_half) = stream.into_split();
    let mut reader = ClientReader::new(read_half, daemon.memory.clone());
    let mut writer = ClientWriter::new(write_half, &daemon.memory);
    loop {
        if !wait_for_request(&daemon, &mut reader).await {
            break;
        }
        let limits = limits_of(&daemon);
        let served = match reader.read_request(&limits, &mut writer).await {
            Ok(request) => serve_request(&daemon, request, &mut reader, &mut writer).await,
            Err(failure) => refuse(&daemon, failure, &mut writer).await,
        };
        match served {
            Served::KeepOpen => {}
            Served::Close => break,
            // Dropped without its end: the client sees that it is not whole.
            Served::Abandon => return,
        }
    }
    writer.finish().await;
    reader.linger(LINGER).await;
}

fn limits_of(daemon: &Daemon) -> ClientLimits {
    daemon
        .routes
        .borrow()
        .as_ref()
        .map_or_else(ClientLimits::default, |table| table.config.limits)
}

/// Waits for the next request; false where the connection should be closed.
async fn wait_for_request(daemon: &Daemon, reader: &mut ClientReader) -> bool {
    let idle = Duration::from_millis(limits_of(daemon).idle_timeout_ms);
    let mut stopping = daemon.stopping.subscribe();
    let mut away = daemon.away.subscribe();
    tokio::select! {
        // What was sent already is read first.
        biased;
        first = reader.wait_first_byte(idle) => first.is_ok(),
        () = async {
            let _ = stopping.wait_for(|stopping| *stopping != Stopping::No).await;
            sleep(STOPPING_IDLE).await;
        } => false,
        _ = away.wait_for(|away| *away) => false,
    }
}

async fn serve_request(
    daemon: &Rc<Daemon>,
    request: ClientRequest,
    reader: &mut ClientReader,
    writer: &mut ClientWriter,
) -> Served {
    let started = request.started;
    let keep_alive = request.head.keep_alive;
    let under_way = UnderWay::new(daemon);
    let read = daemon.dialect.request(&request.head.headers);
    let (id, program) = read.map(|meta| (meta.id, meta.program)).unwrap_or_default();
    writer.answers(&id);
    let partition = program
        .as_deref()
        .map(|program| daemon.ledger.partition_of(program));
    // The client's close drops the request with its connection to the server.
    let served = tokio::select! {
        served = request::handle(daemon, request, writer) => served,
        () = reader.wait_closed() => {
            tracing::info!(event = "client_gone", request = id, program, partition,
                after_ms = started.elapsed().as_millis() as u64);
            Served::Abandon
        }
    };
    drop(under_way);
    match served {
        Served::KeepOpen if !keep_alive || daemon.sends_away() => Served::Close,
        served => served,
    }
}

async fn refuse(daemon: &Rc<Daemon>, failure: ReadFailure, writer: &mut ClientWriter) -> Served {
    let cannot_be_taken = |status| OwnAnswer::new(status, "the request cannot be taken");
    let answer = match failure {
        ReadFailure::Ended => return Served::Abandon,
        ReadFailure::TooSlow => cannot_be_taken(408),
        ReadFailure::Head(HeadError::TooLarge) => cannot_be_taken(431),
        ReadFailure::Head(HeadError::Malformed(_)) | ReadFailure::BrokenBody => {
            cannot_be_taken(400)
        }
        ReadFailure::BodyTooLarge => cannot_be_taken(413),
        ReadFailure::NoRoom => no_room(),
    };
    tracing::info!(event = "request_not_taken", status = answer.status, cause = ?failure,
        held = daemon.memory.held());
    let answer = answer.closing();
    let _ = answer.write(daemon, None, writer).await;
    Served::Close
}
