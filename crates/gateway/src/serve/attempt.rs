//! What became of one attempt: its answer is kept, passed over or given up, and what that tells
//! of its server is noted.

use super::request::RequestContext;
use crate::upstream::connection::{ExchangeError, ServerConnection, ServerResponse};
use crate::upstream::pool::InFlightGuard;
use fieldhook_traffic::attempt::AttemptFailure;
use fieldhook_traffic::directory::ServerEntry;
use fieldhook_traffic::health::Observation;
use std::time::Duration;
use tokio::time::timeout;

/// Bytes of a refusal that are read so that its connection may be kept: more is no message.
const REFUSAL_LIMIT: usize = 64 << 10;
/// How long the rest of a refusal is awaited: several times a round trip between regions.
const REFUSAL_PATIENCE: Duration = Duration::from_millis(500);

/// An attempt whose answer has begun.
pub struct Attempt {
    /// The server.
    pub server: ServerEntry,
    /// Connection to it.
    pub connection: ServerConnection,
    /// Head of its answer.
    pub answer: ServerResponse,
    /// Its place at the server.
    pub(super) _in_flight: InFlightGuard,
}

/// How far an attempt has come: one that is given up leaves it behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// No server has anything to do with it yet.
    #[default]
    Choosing,
    /// A connection to the server that was tried last comes up.
    Connecting,
    /// That server may have read it.
    Sent,
}

/// Servers that a request was sent to.
#[derive(Default)]
pub struct Tried {
    /// How far the attempt at the last of them has come.
    pub stage: Stage,
    /// Their identities.
    pub servers: Vec<String>,
    /// Those of them that did not run it: they may be asked again after a while.
    pub refused: Vec<String>,
}

impl Tried {
    /// Takes in how the attempt at the last server ended.
    pub fn note(&mut self, failure: AttemptFailure) {
        if failure == AttemptFailure::NotRun {
            self.refused.extend(self.servers.last().cloned());
        }
    }

    /// Lets servers that refused be tried again.
    pub fn forget_refusals(&mut self) {
        let refused = std::mem::take(&mut self.refused);
        self.servers.retain(|server| !refused.contains(server));
    }
}

/// Why there is no answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchFailure {
    /// No server takes the request now.
    NoServer,
    /// Only cold servers are left, and none has a place.
    Cold {
        /// When one may have, in milliseconds from now.
        wait_ms: u64,
    },
    /// An attempt failed.
    Attempt(AttemptFailure),
    /// Its key was taken away meanwhile.
    KeyGone,
    /// All servers that could serve it stand in evacuated zones.
    Evacuated,
    /// What is known of evacuations is too old to send anything by it.
    Uncertain,
}

/// The answer of the server that was tried last is overdue: its connection is closed, and what
/// it read may have run. Where nothing was sent yet, nothing has.
pub fn overdue(context: &RequestContext, tried: &Tried, waited: Duration) -> DispatchFailure {
    let daemon = &context.daemon;
    let (failure, outcome) = match tried.stage {
        Stage::Sent => (AttemptFailure::MayHaveRun, "overdue"),
        Stage::Choosing | Stage::Connecting => (AttemptFailure::NotSent, "overdue_not_sent"),
    };
    // No server is to blame for what was waited for before one was.
    let server = match tried.stage {
        Stage::Choosing => None,
        Stage::Connecting | Stage::Sent => tried.servers.last(),
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
        stage = ?tried.stage,
        waited_ms = waited.as_millis() as u64,
        left_ms = context.left_ms(),
        age_ms = context.age_ms()
    );
    DispatchFailure::Attempt(failure)
}

/// A refusal's body is short: its connection is worth keeping. One whose rest does not come
/// soon is given up: a machine that is gone closes nothing.
fn keep_after_refusal(
    context: &RequestContext,
    server: &ServerEntry,
    mut connection: ServerConnection,
    mut answer: ServerResponse,
) {
    let pools = context.daemon.pools.clone();
    let id = server.id.clone();
    ntex::rt::spawn(async move {
        let body = connection.read_body(&mut answer.body, REFUSAL_LIMIT);
        if let Ok(Ok(_)) = timeout(REFUSAL_PATIENCE, body).await {
            let told = answer.meta.keep_alive_ms.map(Duration::from_millis);
            pools.release(&id, connection, told);
        }
    });
}

impl Attempt {
    /// Keeps an answer that may be passed on, whose head came after `took`.
    ///
    /// # Errors
    /// The server did not run the request, or nobody can say that the answer is its own.
    pub(super) fn judge(
        self,
        context: &RequestContext,
        took: Duration,
        reused: bool,
    ) -> Result<Self, DispatchFailure> {
        let (server, answer) = (&self.server, &self.answer);
        let success = (200..300).contains(&answer.head.status);
        if answer.meta.not_run {
            observe(context, server, Observation::Full, "not_run");
            tracing::info!(
                event = "attempt_failed",
                request = context.meta.id,
                server = server.id,
                outcome = "not_run",
                status = answer.head.status,
                age_ms = context.age_ms()
            );
            keep_after_refusal(context, &self.server, self.connection, self.answer);
            return Err(DispatchFailure::Attempt(AttemptFailure::NotRun));
        }
        if success && (!answer.meta.signed || answer.head.headers.has("content-encoding")) {
            observe(context, server, Observation::Failed, "unsigned");
            return Err(DispatchFailure::Attempt(AttemptFailure::MayHaveRun));
        }
        tracing::info!(
            event = "attempt_answered",
            request = context.meta.id,
            server = server.id,
            status = answer.head.status,
            tried = context.age_ms().saturating_sub(took.as_millis() as u64),
            took_ms = took.as_millis() as u64,
            reused,
            keep_alive_ms = answer.meta.keep_alive_ms,
            keeps = answer.head.keep_alive
        );
        Ok(self)
    }

    /// The answer was read whole: the connection may serve another request.
    pub fn finish(self, context: &RequestContext) {
        observe(context, &self.server, Observation::Answered, "answered");
        context.daemon.retry_budget.borrow_mut().answered();
        let told = self.answer.meta.keep_alive_ms.map(Duration::from_millis);
        context
            .daemon
            .pools
            .release(&self.server.id, self.connection, told);
    }

    /// The answer broke off.
    pub fn fail(self, context: &RequestContext, error: ExchangeError) {
        observe(context, &self.server, Observation::Failed, error.name());
        tracing::info!(
            event = "answer_broke_off",
            request = context.meta.id,
            server = self.server.id,
            outcome = error.name(),
            age_ms = context.age_ms()
        );
    }
}

/// Notes what an attempt showed of its server.
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
