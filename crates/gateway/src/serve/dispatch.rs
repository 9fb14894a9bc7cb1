//! One attempt: choosing a server, connecting, sending, reading the head.

use super::choice::choose;
use super::cold;
use super::homes;
use super::open;
use super::request::RequestContext;
use super::watch;
use crate::dialect::Forwarding;
use crate::http::write;
use crate::upstream::connection::{Answer, ExchangeError, Outgoing, ServerConnection};
use crate::upstream::pool::InFlight;
use crate::upstream::probe::{self, Probed};
use fieldhook_traffic::attempt::AttemptFailure;
use fieldhook_traffic::directory::ServerEntry;
use fieldhook_traffic::health::Observation;
use std::time::Duration;
use tokio::time::Instant;

/// A connection that was gone before it was used again is reset within a round trip; a
/// server that fails while it works takes longer.
const STALE_WITHIN: Duration = Duration::from_millis(20);

/// A server that breaks off within this time what was sent to it may have become cold: it
/// falls over rather than work.
const BROKE_AT_ONCE: Duration = Duration::from_millis(50);

/// An attempt whose answer has begun.
pub struct Attempt {
    /// The server.
    pub server: ServerEntry,
    /// Connection to it.
    pub connection: ServerConnection,
    /// Head of its answer.
    pub answer: Answer,
    _in_flight: InFlight,
}

/// Servers that a request was sent to.
#[derive(Default)]
pub struct Tried {
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

/// Sends the request to a server that it was not sent to before.
///
/// # Errors
/// No answer came from it.
pub async fn dispatch(
    context: &RequestContext,
    tried: &mut Tried,
    last_event: Option<u64>,
) -> Result<Attempt, DispatchFailure> {
    for _ in 0..cold::MOST_ASKED {
        if !context.is_still_admitted() {
            return Err(DispatchFailure::KeyGone);
        }
        open::confirm(context).await?;
        let homes = homes::now(context);
        let Some(server) = choose(context, &homes, tried) else {
            break;
        };
        tried.servers.push(server.id.clone());
        context.sent_to.replace(Some(server.id.clone()));
        let in_flight = context.daemon.pools.begin(&server.id);
        let connection = connect(context, &server).await?;
        if let Some(bears) = context.daemon.cold.cold(&server)
            && !cold::permit(context, &server, &bears).await
        {
            // Nothing was sent: it does not count as an attempt.
            tried.servers.pop();
            context.daemon.pools.put_back(&server.id, connection);
            continue;
        }
        return send(context, server, connection, in_flight, last_event).await;
    }
    match cold::wait_ms(context, tried) {
        Some(wait_ms) => Err(DispatchFailure::Cold { wait_ms }),
        None => Err(open::absence(context)),
    }
}

async fn connect(
    context: &RequestContext,
    server: &ServerEntry,
) -> Result<ServerConnection, DispatchFailure> {
    let daemon = &context.daemon;
    let taken = daemon
        .pools
        .take(server, daemon.now_ms(), &daemon.metrics)
        .await;
    match taken {
        Ok(connection) => {
            daemon.cold.reached(server);
            Ok(connection)
        }
        Err(error) => {
            if probe::is_unanswered(error.kind()) {
                probe::note(daemon, server, Probed::Unanswered);
            }
            observe(context, server, Observation::Failed, "not_sent");
            daemon.cold.unreachable(server);
            tracing::info!(event = "attempt_failed", request = context.meta.id,
                server = server.id, outcome = "not_sent", %error, age_ms = context.age_ms());
            Err(DispatchFailure::Attempt(AttemptFailure::NotSent))
        }
    }
}

/// Sends the request on a connection that is ready, and reads the head of the answer. Nothing
/// is waited for before it is written: a permit for a cold server holds for a short time.
async fn send(
    context: &RequestContext,
    server: ServerEntry,
    mut connection: ServerConnection,
    in_flight: InFlight,
    last_event: Option<u64>,
) -> Result<Attempt, DispatchFailure> {
    let daemon = &context.daemon;
    open::still(context, &server)?;
    let bytes = message(context, &server, last_event);
    let outgoing = Outgoing {
        method: &context.method,
        id: &context.meta.id,
        bytes: &bytes,
    };
    let sent = Instant::now();
    let reused = connection.used;
    let exchange = connection.exchange(&outgoing, daemon.dialect.as_ref());
    match watch::watched(context, &server, exchange).await {
        Ok(answer) => judge(
            context,
            server,
            connection,
            answer,
            in_flight,
            sent.elapsed(),
            reused,
        ),
        Err(error) => {
            let stale = reused && error == ExchangeError::Lost && sent.elapsed() < STALE_WITHIN;
            let observation = match stale {
                true => Observation::Stale,
                false => Observation::Failed,
            };
            observe(context, &server, observation, error.name());
            if stale {
                let pools = &daemon.pools;
                pools.was_stale(&server.id, daemon.now_ms(), connection.rested);
            }
            if !stale && sent.elapsed() < BROKE_AT_ONCE {
                daemon.cold.reset(&server);
            }
            tracing::info!(
                event = "attempt_failed",
                request = context.meta.id,
                server = server.id,
                outcome = error.name(),
                reused,
                stale,
                rested_ms = connection.rested.as_millis() as u64,
                after_ms = sent.elapsed().as_millis() as u64,
                age_ms = context.age_ms()
            );
            Err(DispatchFailure::Attempt(AttemptFailure::MayHaveRun))
        }
    }
}

/// The answer of the server that the request was sent to last is overdue: its connection is
/// closed, and what it read may have run.
pub fn overdue(context: &RequestContext, waited: Duration) -> DispatchFailure {
    let daemon = &context.daemon;
    let server = context.sent_to.borrow().clone().unwrap_or_default();
    daemon
        .pools
        .observe(&server, daemon.now_ms(), Observation::Failed);
    daemon
        .metrics
        .attempts
        .with_label_values(&["overdue"])
        .inc();
    tracing::info!(
        event = "attempt_failed",
        request = context.meta.id,
        program = context.meta.program,
        route = context.entry.route.name,
        server,
        outcome = "overdue",
        waited_ms = waited.as_millis() as u64,
        left_ms = context.left_ms(),
        age_ms = context.age_ms()
    );
    DispatchFailure::Attempt(AttemptFailure::MayHaveRun)
}

fn judge(
    context: &RequestContext,
    server: ServerEntry,
    connection: ServerConnection,
    answer: Answer,
    in_flight: InFlight,
    took: Duration,
    reused: bool,
) -> Result<Attempt, DispatchFailure> {
    let success = (200..300).contains(&answer.head.status);
    if answer.meta.not_run {
        observe(context, &server, Observation::Full, "not_run");
        tracing::info!(
            event = "attempt_failed",
            request = context.meta.id,
            server = server.id,
            outcome = "not_run",
            status = answer.head.status,
            age_ms = context.age_ms()
        );
        keep_after_refusal(context, &server, connection, answer);
        return Err(DispatchFailure::Attempt(AttemptFailure::NotRun));
    }
    if success && (!answer.meta.signed || answer.head.headers.has("content-encoding")) {
        observe(context, &server, Observation::Failed, "unsigned");
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
    Ok(Attempt {
        server,
        connection,
        answer,
        _in_flight: in_flight,
    })
}

/// A refusal's body is short: its connection is worth keeping.
fn keep_after_refusal(
    context: &RequestContext,
    server: &ServerEntry,
    mut connection: ServerConnection,
    mut answer: Answer,
) {
    const REFUSAL_LIMIT: usize = 64 << 10;
    let pools = context.daemon.pools.clone();
    let id = server.id.clone();
    ntex::rt::spawn(async move {
        if connection
            .read_body(&mut answer.body, REFUSAL_LIMIT)
            .await
            .is_ok()
        {
            let told = answer.meta.keep_alive_ms.map(Duration::from_millis);
            pools.give_back(&id, connection, told);
        }
    });
}

impl Attempt {
    /// The answer was read whole: the connection may serve another request.
    pub fn finish(self, context: &RequestContext) {
        observe(context, &self.server, Observation::Answered, "answered");
        context.daemon.retry_budget.borrow_mut().answered();
        let told = self.answer.meta.keep_alive_ms.map(Duration::from_millis);
        context
            .daemon
            .pools
            .give_back(&self.server.id, self.connection, told);
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

fn observe(
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

fn message(context: &RequestContext, server: &ServerEntry, last_event: Option<u64>) -> Vec<u8> {
    let mut headers = context.headers.clone();
    let forwarding = Forwarding {
        deadline_ms: context.left_ms(),
        server: &server.name,
        last_event,
        priority: context.priority(),
        engine: context.entry.route.kind.is_stream(),
        tenant: context.tenant_name(),
    };
    context.daemon.dialect.forward(&mut headers, &forwarding);
    write::request(&context.method, &context.target, &headers, &context.body)
}
