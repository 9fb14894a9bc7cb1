//! Keeps a stream at the software that sent its first event.
//!
//! The origin of each resumable stream is recorded before its first event leaves. A request that
//! resumes a stream goes only to servers of that software; if the origin is not known, the request
//! is refused, because a guess could mix what two versions write, unless all streams of the service
//! began at the same software.

use super::attempt::Attempt;
use super::local_response::LocalResponse;
use super::process_check::Process;
use super::request::RequestContext;
use super::software;
use fieldhook_ledger::message::{RecordStream, RequestKey};
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::streams::StreamOrigin;
use fieldhook_log::reach::Reach;
use fieldhook_traffic::directory::{ServerEntry, Software};
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// How long the first event waits until an owner has accepted the origin: several round trips
/// between regions. A stream that goes on without is not resumable until the record arrives.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(60);
/// How long the origin of a stream is looked up: an owner that is lost is replaced within 300 to
/// 700 ms.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);
/// Additional time for which an origin is kept, in milliseconds: the clocks of successive owners
/// differ.
const RETENTION_MARGIN_MS: u64 = 15_000;

/// How the origin of a stream is known, as logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This daemon served the first event.
    Memory,
    /// The owner got it from the daemon that served the first event.
    Owner,
    /// The owner read it from the log.
    Log,
    /// No other software has begun streams of the service.
    OnlySoftware,
}

impl Source {
    /// Returns the value of the log field `known_by` and of the metric label.
    pub fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Owner => "owner",
            Self::Log => "log",
            Self::OnlySoftware => "only_software",
        }
    }
}

/// The origin of a stream that a request resumes.
#[derive(Clone, Debug)]
pub struct KnownOrigin {
    /// Server of the first event.
    pub origin: StreamOrigin,
    /// How it is known.
    pub source: Source,
    /// Time since the first event, in milliseconds, if it is known.
    pub age_ms: Option<u64>,
}

/// Why a stream cannot be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refusal {
    /// The request does not name the attempt that it resumes.
    Unnamed,
    /// No origin is recorded.
    Unknown,
    /// Two attempts with this id got events of different software.
    Ambiguous,
    /// The route does not lead to the service of the stream any more.
    ServiceRemoved,
    /// No owner replied.
    NoOwner,
}

impl Refusal {
    fn name(self) -> &'static str {
        match self {
            Self::Unnamed => "unnamed",
            Self::Unknown => "unknown",
            Self::Ambiguous => "ambiguous",
            Self::ServiceRemoved => "service_removed",
            Self::NoOwner => "no_owner",
        }
    }

    /// Only a missing owner is worth a retry. In all other cases the client has to start a new stream.
    fn response(self, context: &RequestContext) -> LocalResponse {
        match self {
            Self::Unnamed => LocalResponse::new(
                503,
                "the attempt to resume is not named; name it or start anew",
            ),
            Self::Unknown | Self::Ambiguous => LocalResponse::new(
                503,
                "the software that began this stream is not known; start anew",
            ),
            Self::ServiceRemoved => {
                LocalResponse::new(503, "the service of this stream is gone; start anew")
            }
            Self::NoOwner => LocalResponse::not_run(
                "the origin of this stream cannot be looked up",
                context.retry_later_ms(),
            ),
        }
    }
}

/// Origin of a stream whose first event a server sent.
pub fn of(server: &ServerEntry) -> StreamOrigin {
    StreamOrigin {
        service: server.service.clone(),
        server: server.id.clone(),
        software_version: server.software_version.as_deref().map(str::to_owned),
    }
}

/// Returns the entry of a server that may run any software.
pub fn without_version(server: &ServerEntry) -> ServerEntry {
    ServerEntry {
        software_version: None,
        ..server.clone()
    }
}

/// Returns the software that a stream has to stay at.
pub fn required_software(origin: &StreamOrigin) -> Software {
    Software::new(origin.software_version.as_deref(), &origin.server)
}

/// Finds the origin of the stream that a request resumes, if it resumes one, and restricts the
/// request to the service of that stream.
///
/// # Errors
/// The stream cannot be resumed; contains the response for the client.
pub async fn resolve(context: &mut RequestContext) -> Result<(), LocalResponse> {
    if context.meta.last_event.is_none() {
        return Ok(());
    }
    let deadline = context.deadline.min(Instant::now() + LOOKUP_TIMEOUT);
    let known = match find(context, deadline).await {
        Err(Refusal::Unnamed | Refusal::Unknown) => find_only(context, deadline).await,
        found => found,
    };
    let known = known.map_err(|refusal| refuse(context, refusal))?;
    let parts = &context.entry.route.services;
    if !parts
        .iter()
        .any(|part| part.service == known.origin.service)
    {
        return Err(refuse(context, Refusal::ServiceRemoved));
    }
    let _ = context.service.set(known.origin.service.clone());
    context.resumed = Some(known);
    Ok(())
}

async fn find(context: &RequestContext, deadline: Instant) -> Result<KnownOrigin, Refusal> {
    let id = context.meta.resumes.as_deref().ok_or(Refusal::Unnamed)?;
    let daemon = &context.daemon;
    let stream = stream_key(context, id);
    let now_ms = daemon.now_ms();
    let remembered = daemon.streams.borrow().get(&stream.name, now_ms).cloned();
    if let Some(stream) = remembered {
        return Ok(KnownOrigin {
            origin: stream.record.origin.ok_or(Refusal::Ambiguous)?,
            source: Source::Memory,
            age_ms: Some(now_ms.saturating_sub(stream.record.began_ms)),
        });
    }
    let found = daemon.ledger.find_stream(stream, deadline).await;
    let found = found.ok_or(Refusal::NoOwner)?.ok_or(Refusal::Unknown)?;
    Ok(KnownOrigin {
        origin: found.origin.ok_or(Refusal::Ambiguous)?,
        source: match found.is_restored {
            true => Source::Log,
            false => Source::Owner,
        },
        age_ms: Some(found.age_ms),
    })
}

/// Finds the origin of a stream about which nothing is recorded, if all streams of its service
/// began at the same software.
async fn find_only(context: &RequestContext, deadline: Instant) -> Result<KnownOrigin, Refusal> {
    let only = software::only(context, deadline).await;
    let only = only.map_err(|software::NoOwner| Refusal::NoOwner)?;
    let unknown = match context.meta.resumes {
        Some(_) => Refusal::Unknown,
        None => Refusal::Unnamed,
    };
    Ok(KnownOrigin {
        origin: only.ok_or(unknown)?,
        source: Source::OnlySoftware,
        age_ms: None,
    })
}

fn stream_key(context: &RequestContext, id: &str) -> RequestKey {
    RequestKey {
        name: QualifiedName::new(context.tenant_name(), id),
        program: context.meta.program.clone(),
    }
}

fn refuse(context: &RequestContext, refusal: Refusal) -> LocalResponse {
    let resumed = &context.daemon.metrics.resumed_streams;
    resumed.with_label_values(&[refusal.name()]).inc();
    tracing::info!(
        event = "resume_refused",
        request = context.meta.id,
        program = context.meta.program,
        resumes = context.meta.resumes,
        last_event = context.meta.last_event,
        cause = refusal.name(),
        log_age_ms = context.daemon.log_health.ms_since_answer(),
        age_ms = context.age_ms()
    );
    refusal.response(context)
}

/// Logs and counts a resumed stream whose first event is about to be sent.
pub fn log_resumption(context: &RequestContext, known: &KnownOrigin, server: &ServerEntry) {
    let resumed = &context.daemon.metrics.resumed_streams;
    resumed.with_label_values(&[known.source.name()]).inc();
    tracing::info!(
        event = "stream_resumed",
        request = context.meta.id,
        program = context.meta.program,
        resumes = context.meta.resumes,
        last_event = context.meta.last_event,
        server = server.id,
        software = server.software_version.as_deref(),
        began_at = known.origin.server,
        known_by = known.source.name(),
        known_age_ms = known.age_ms,
        age_ms = context.age_ms()
    );
}

/// Records that a server sent the first event of a stream. Returns once an owner has accepted the
/// origin, or after a short time, since a stream without a recorded origin is merely not resumable.
pub async fn record(context: &RequestContext, attempt: &Attempt) -> StreamOrigin {
    let server = &attempt.server;
    let origin = match attempt.process {
        Process::Uncertain => of(&without_version(server)),
        _ => of(server),
    };
    if !software::is_resumable(&context.entry.route) {
        return origin;
    }
    let request = RecordStream {
        stream: stream_key(context, &context.meta.id),
        origin: origin.clone(),
        retention_ms: retention_ms(context),
    };
    if !request.stream.name.fits_record_key() {
        return origin;
    }
    let daemon = &context.daemon;
    daemon.streams.borrow_mut().record(
        &request.stream.name,
        &origin,
        request.retention_ms,
        daemon.now_ms(),
    );
    let accepted = daemon.ledger.record_stream(request, context.deadline);
    // An isolated daemon reaches no owner, so waiting would only delay the event.
    let is_accepted = daemon.ledger.reach.get() != Reach::Isolated
        && matches!(timeout(ACCEPT_TIMEOUT, accepted).await, Ok(Ok(())));
    if !is_accepted {
        tracing::info!(
            event = "stream_unrecorded",
            request = context.meta.id,
            program = context.meta.program,
            server = server.id,
            reach = ?daemon.ledger.reach.get(),
            log_age_ms = daemon.log_health.ms_since_answer(),
            age_ms = context.age_ms()
        );
    }
    origin
}

/// Clients resume a stream within the deadline of its first attempt.
fn retention_ms(context: &RequestContext) -> u64 {
    let timeout_ms = context.entry.route.timeout_ms;
    let deadline_ms = context.meta.deadline_ms.unwrap_or(timeout_ms);
    let longest_ms = deadline_ms.max(timeout_ms);
    longest_ms.saturating_add(RETENTION_MARGIN_MS)
}

/// Whether a server still runs the software that its entry stated when the server was chosen.
pub fn is_current(context: &RequestContext, server: &ServerEntry) -> bool {
    let directory = context.daemon.directory.borrow();
    directory
        .entry(&server.id)
        .is_none_or(|current| current.software_version == server.software_version)
}
