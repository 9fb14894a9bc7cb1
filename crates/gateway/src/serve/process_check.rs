//! Makes sure that a resumable stream runs in the process that the entry of its server names, and finds
//! out in which process an attempt runs that is counted.
//!
//! The software of a stream is taken from that entry, and its client may resume it wherever the same
//! software runs. A later process at the same address may run another one before its entry is known.
//! A process keeps its connections until it ends, so a connection is asked once.

use super::request::RequestContext;
use super::software;
use crate::upstream::connection::ServerConnection;
use crate::upstream::identity;
use fieldhook_traffic::directory::ServerEntry;
use fieldhook_traffic::process_identity::ProcessIdentity;
use fieldhook_traffic::server_fate::Contact;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// How long the answer of a server is waited for: several times the round trip to the farthest
/// region.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Number of connections on which a server is asked for one request.
const MAX_QUESTIONS: u32 = 2;

/// What is known of the process at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// It is the one that the entry of the server names, as it stated or as names show that are not
    /// used again; or it does not matter which one it is.
    Proven,
    /// It stated nothing, so it may be a later one.
    Uncertain,
    /// It is another one.
    Other,
    /// It gave no answer, so it may read the request at any later time: an address accepts connections
    /// before the process there does.
    Unresponsive,
}

impl Process {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Proven => "process_proven",
            Self::Uncertain => "process_uncertain",
            Self::Other => "other_process",
            Self::Unresponsive => "unresponsive",
        }
    }
}

/// Opens a connection to a server, or takes an idle one. For a resumable stream, and for an attempt that
/// is counted, determines which process it leads to. An attempt that is counted waits at no process that
/// does not answer: its server would end at an unknown time.
///
/// # Errors
/// No connection was established; nothing was sent.
pub async fn connect(
    context: &RequestContext,
    server: &ServerEntry,
    is_counted: bool,
) -> io::Result<(ServerConnection, Process)> {
    let daemon = &context.daemon;
    let now_ms = daemon.now_ms();
    let pools = &daemon.pools;
    let acquired = pools.acquire(server, &context.meta.id, now_ms, &daemon.metrics);
    let mut connection = acquired.await?;
    let is_resumable = software::is_resumable(&context.entry.route);
    if !(is_counted || is_resumable) || !server.reports_start() {
        return Ok((connection, Process::Proven));
    }
    if connection.identity.is_none() && connection.has_served {
        pools.release_unused(&server.id, connection);
        connection = pools.open(server, &daemon.metrics).await?;
    }
    // A server may close the connection after its answer.
    for _ in 0..MAX_QUESTIONS {
        if connection.identity.is_none() {
            identity::ask(daemon, server, &mut connection, ANSWER_TIMEOUT).await;
        }
        if connection.is_reusable() || connection.identity == Some(ProcessIdentity::Other) {
            break;
        }
        connection = pools.open(server, &daemon.metrics).await?;
    }
    let process = match connection.identity {
        Some(ProcessIdentity::Same) => Process::Proven,
        Some(ProcessIdentity::Other) => {
            pools.record_contact(&server.id, Instant::now(), Contact::OtherProcess);
            match is_resumable {
                true => Process::Other,
                false => Process::Proven,
            }
        }
        None if is_counted => Process::Unresponsive,
        Some(ProcessIdentity::Unknown) | None => Process::Uncertain,
    };
    Ok((connection, process))
}
