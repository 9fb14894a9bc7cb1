//! The outcome of an attempt: whether its response is accepted, and what it shows about the health
//! of the server.

use super::attempt_monitor::AttemptMonitor;
use super::process_check::Process;
use super::request::RequestContext;
use super::send_permit::SendPermit;
use crate::upstream::connection::{ExchangeError, ServerConnection, ServerResponse};
use crate::upstream::pool::InFlightGuard;
use fieldhook_traffic::attempt::AttemptFailure;
use fieldhook_traffic::directory::ServerEntry;
use fieldhook_traffic::health::Observation;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum size of a refusal body that is read in order to reuse the connection, in bytes. A larger
/// body is not a refusal message.
const MAX_REFUSAL_BODY: usize = 64 << 10;
/// How long to wait for the rest of a refusal: several round trips between regions.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// An attempt that received the head of a response.
pub struct Attempt {
    /// Server that responded.
    pub server: ServerEntry,
    /// Connection to the server.
    pub connection: ServerConnection,
    /// Head of the response.
    pub response: ServerResponse,
    /// What is known of the process that responded.
    pub(super) process: Process,
    /// Counts the request as in flight at the server.
    pub(super) _in_flight: InFlightGuard,
    /// Determines whether the server ends under the request.
    pub(super) monitor: AttemptMonitor,
}

/// How far an attempt has progressed, needed if it is abandoned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// No server is affected yet.
    #[default]
    Choosing,
    /// Connecting to the last server tried.
    Connecting,
    /// The last server tried may have read the request.
    Sent,
}

/// Servers that a request was sent to.
#[derive(Default)]
pub struct AttemptHistory {
    /// Progress of the attempt at the last of them.
    pub stage: Stage,
    /// Ids of the servers.
    pub servers: Vec<String>,
    /// Permit for the next attempt, if the last one did not use its own.
    pub permit: Option<SendPermit>,
    /// Those that did not run the request; they may be tried again after a while.
    pub refused: Vec<String>,
}

impl AttemptHistory {
    /// Records how the attempt at the last server failed.
    pub fn record_failure(&mut self, failure: AttemptFailure) {
        if failure == AttemptFailure::NotRun {
            self.refused.extend(self.servers.last().cloned());
        }
    }

    /// Allows servers that refused the request to be tried again.
    pub fn clear_refusals(&mut self) {
        let refused = std::mem::take(&mut self.refused);
        self.servers.retain(|server| !refused.contains(server));
    }
}

/// Why there is no response to forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchFailure {
    /// No server accepts the request now.
    NoServer,
    /// No server in service runs the software that began the stream.
    SoftwareGone,
    /// Only cold servers are left, and none of them has capacity.
    ColdServersBusy {
        /// When one of them may have capacity, in milliseconds from now.
        wait_ms: u64,
    },
    /// The attempt failed.
    Attempt(AttemptFailure),
    /// A response could not be expected before this daemon exits.
    Stopping,
    /// The key of the request was revoked in the meantime.
    KeyRevoked,
    /// All servers that could handle the request are in evacuated zones.
    Evacuated,
    /// Too many servers have ended under the request.
    Blocked,
    /// Servers have ended under the request, and other attempts of it are in progress or their
    /// outcome is open.
    AttemptsOpen,
    /// No owner replied that knows whether servers have ended under the request.
    OwnerUnknown,
    /// The known evacuation state is too old to send a request based on it.
    EvacuationsUncertain,
}

/// Records that the response of the last server tried is overdue. Its connection is closed. A
/// request that was sent may have run; one that was not sent has not.
pub fn record_timeout(
    context: &RequestContext,
    history: &AttemptHistory,
    waited: Duration,
) -> DispatchFailure {
    let daemon = &context.daemon;
    let (failure, outcome) = match history.stage {
        Stage::Sent => (AttemptFailure::MayHaveRun, "overdue"),
        Stage::Choosing | Stage::Connecting => (AttemptFailure::NotSent, "overdue_not_sent"),
    };
    // While a server is still being chosen, none is responsible for the delay.
    let server = match history.stage {
        Stage::Choosing => None,
        Stage::Connecting | Stage::Sent => history.servers.last(),
    };
    if let Some(server) = server {
        let now_ms = daemon.now_ms();
        daemon.pools.observe(server, now_ms, Observation::Failed);
    }
    let attempts = &daemon.metrics.attempts;
    attempts.with_label_values(&[outcome]).inc();
    tracing::info!(
        event = "attempt_failed",
        request = context.meta.id,
        program = context.meta.program,
        route = context.entry.route.name,
        server,
        outcome,
        stage = ?history.stage,
        waited_ms = waited.as_millis() as u64,
        left_ms = context.remaining_ms(),
        age_ms = context.age_ms()
    );
    DispatchFailure::Attempt(failure)
}

/// Reads the rest of a refusal in the background, so that its connection can be reused. Gives up
/// after a short time, because an unreachable machine does not close the connection.
fn reuse_after_refusal(
    context: &RequestContext,
    server: &ServerEntry,
    mut connection: ServerConnection,
    mut response: ServerResponse,
) {
    let pools = context.daemon.pools.clone();
    let id = server.id.clone();
    ntex::rt::spawn(async move {
        let body = connection.read_body(&mut response.body, MAX_REFUSAL_BODY);
        if let Ok(Ok(_)) = timeout(REFUSAL_BODY_TIMEOUT, body).await {
            let keep_alive = response.meta.keep_alive_ms.map(Duration::from_millis);
            pools.release(&id, connection, keep_alive);
        }
    });
}

impl Attempt {
    /// Accepts a response that may be forwarded. `took` is the time until its head arrived.
    ///
    /// # Errors
    /// The server did not run the request, or the response cannot be attributed to it.
    pub(super) fn check_response(
        self,
        context: &RequestContext,
        history: &mut AttemptHistory,
        took: Duration,
        reused: bool,
    ) -> Result<Self, DispatchFailure> {
        let (server, response) = (&self.server, &self.response);
        let is_success = (200..300).contains(&response.head.status);
        if response.meta.not_run {
            observe(context, server, Observation::Full, "not_run");
            tracing::info!(
                event = "attempt_failed",
                request = context.meta.id,
                server = server.id,
                outcome = "not_run",
                status = response.head.status,
                reused,
                connection = self.connection.local_port,
                took_ms = took.as_millis() as u64,
                age_ms = context.age_ms()
            );
            history.permit = self.monitor.into_permit();
            reuse_after_refusal(context, &self.server, self.connection, self.response);
            return Err(DispatchFailure::Attempt(AttemptFailure::NotRun));
        }
        if is_success && (!response.meta.signed || response.head.headers.has("content-encoding")) {
            observe(context, server, Observation::Failed, "unsigned");
            return Err(DispatchFailure::Attempt(AttemptFailure::MayHaveRun));
        }
        tracing::info!(
            event = "attempt_answered",
            request = context.meta.id,
            server = server.id,
            status = response.head.status,
            tried = context.age_ms().saturating_sub(took.as_millis() as u64),
            took_ms = took.as_millis() as u64,
            reused,
            connection = self.connection.local_port,
            keep_alive_ms = response.meta.keep_alive_ms,
            keeps = response.head.keep_alive,
            framing = response.head.framing.name(),
            announces_close = response.head.headers.contains_token("connection", "close")
        );
        Ok(self)
    }

    /// Ends an attempt whose response was read completely; the connection may serve another
    /// request.
    pub fn finish(self, context: &RequestContext) {
        observe(context, &self.server, Observation::Completed, "answered");
        context.daemon.retry_budget.borrow_mut().record_completed();
        self.monitor.complete();
        let keep_alive = self.response.meta.keep_alive_ms.map(Duration::from_millis);
        context
            .daemon
            .pools
            .release(&self.server.id, self.connection, keep_alive);
    }

    /// Ends an attempt whose response broke off.
    pub async fn fail(self, context: &RequestContext, error: ExchangeError) {
        observe(context, &self.server, Observation::Failed, error.name());
        tracing::info!(
            event = "answer_broke_off",
            request = context.meta.id,
            server = self.server.id,
            outcome = error.name(),
            age_ms = context.age_ms()
        );
        self.monitor.break_off(error).await;
    }
}

/// Records what an attempt showed about its server.
pub(super) fn observe(
    context: &RequestContext,
    server: &ServerEntry,
    observation: Observation,
    outcome: &str,
) {
    let daemon = &context.daemon;
    daemon
        .pools
        .observe(&server.id, daemon.now_ms(), observation);
    daemon.metrics.attempts.with_label_values(&[outcome]).inc();
}
