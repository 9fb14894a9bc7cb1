//! A turn of a program: asked for at the ledger before it runs, and its end told
//! there, whatever becomes of the client's connection.

use super::request::RequestContext;
use crate::http::events::Event;
use crate::ledger::client::{LedgerClient, OpenFailure, OpenedTurn};
use crate::metrics::Metrics;
use bytes::{Bytes, BytesMut};
use fieldhook_ledger::message::{CloseTurn, OpenTurn, Placement, TurnContent};
use fieldhook_log::reach::Reach;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Largest input or output that one record of the log holds, in bytes.
const LARGEST_KEPT: usize = 200 << 10;
/// How long an owner within a minority of the zones is asked: several times what one of the
/// same zone takes. Owners in other zones do not answer, and nobody takes their place.
const MINORITY_PATIENCE: Duration = Duration::from_millis(60);
/// How long the end of a turn that broke off is told.
const CLOSE_PATIENCE: Duration = Duration::from_secs(20);

/// Why a turn does not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnRefusal {
    /// The budget does not hold it.
    BudgetSpent,
    /// Its previous turn is not kept.
    UnknownTurn,
    /// It could not be kept.
    TooLarge,
    /// No owner answered.
    Unavailable,
}

/// A turn under way. Dropping it tells the ledger that it broke off.
pub struct Turn {
    ledger: Rc<LedgerClient>,
    metrics: Rc<Metrics>,
    request: OpenTurn,
    opened: OpenedTurn,
    input: Bytes,
    output: BytesMut,
    tokens: u64,
    tokens_per_event: u64,
    retention_ms: u64,
    ran_at: Rc<RefCell<Option<String>>>,
    closed: bool,
}

/// Opens a turn where the route keeps context or the program has a budget.
///
/// # Errors
/// It may not begin.
pub async fn open(context: &RequestContext) -> Result<Option<Turn>, TurnRefusal> {
    let route = &context.entry.route;
    let meta = &context.meta;
    if !route.keeps_context && meta.budget.is_none() {
        return Ok(None);
    }
    if route.keeps_context && context.body.len() > LARGEST_KEPT {
        return Err(TurnRefusal::TooLarge);
    }
    let mut request = OpenTurn {
        tenant: context.tenant_name().map(str::to_owned),
        turn: meta.id.clone(),
        program: meta.program.clone().unwrap_or_default(),
        previous: meta.previous.clone(),
        wants_chain: route.keeps_context,
        keeps_context: route.keeps_context,
        brings_chain: false,
        budget: meta.budget,
        most_tokens: meta.most_tokens,
        placement: placement(context),
    };
    if !request.name(&request.turn).fits() || !request.name(&request.program).fits() {
        return Err(TurnRefusal::TooLarge);
    }
    let started = Instant::now();
    let ledger = context.daemon.ledger.clone();
    if ledger.reach.get() == Reach::Isolated {
        // No owner can be asked from here, and none could become one.
        tracing::info!(
            event = "turn_refused",
            request = meta.id,
            program = meta.program,
            cause = "isolated",
            log_age_ms = ledger.contact.age_ms()
        );
        return Err(TurnRefusal::Unavailable);
    }
    let mut deadline = context.deadline;
    if ledger.reach.get() == Reach::Minority {
        if route.keeps_context {
            // Its end could not be recorded from here.
            tracing::info!(
                event = "turn_refused",
                request = meta.id,
                program = meta.program,
                cause = "minority",
                log_age_ms = ledger.contact.age_ms()
            );
            return Err(TurnRefusal::Unavailable);
        }
        deadline = deadline.min(started + MINORITY_PATIENCE);
    }
    let result = ledger.open(&mut request, deadline).await;
    let took = started.elapsed();
    context
        .daemon
        .metrics
        .open_seconds
        .observe(took.as_secs_f64());
    match result {
        Ok(opened) => {
            tracing::info!(
                event = "turn_opened",
                request = meta.id,
                program = meta.program,
                previous = meta.previous,
                budget = meta.budget,
                most = meta.most_tokens,
                partition = ledger.partition_of(&request.program),
                durable = opened.is_durable(),
                engine = opened.engine,
                took_ms = took.as_millis() as u64
            );
            Ok(Some(Turn {
                ledger,
                metrics: context.daemon.metrics.clone(),
                request,
                opened,
                input: context.body.clone(),
                output: BytesMut::new(),
                tokens: 0,
                tokens_per_event: tokens_per_event(context),
                retention_ms: route.retention_ms,
                ran_at: context.sent_to.clone(),
                closed: false,
            }))
        }
        Err(failure) => {
            let partition = ledger.partition_of(&request.program);
            tracing::info!(event = "turn_refused", request = meta.id, program = meta.program,
                partition, previous = meta.previous, budget = meta.budget, most = meta.most_tokens,
                cause = ?failure, took_ms = took.as_millis() as u64);
            Err(match failure {
                OpenFailure::BudgetSpent => TurnRefusal::BudgetSpent,
                OpenFailure::UnknownTurn => TurnRefusal::UnknownTurn,
                OpenFailure::Unavailable => TurnRefusal::Unavailable,
            })
        }
    }
}

/// What the owner needs to assign an engine.
fn placement(context: &RequestContext) -> Option<Placement> {
    let meta = &context.meta;
    let beginning = meta.prefix.as_ref().or(meta.program.as_ref())?;
    Some(Placement {
        service: context.service()?.to_owned(),
        prefix: fieldhook_traffic::assignment::prefix_hash(beginning),
        zone: context.daemon.settings.zone.clone(),
        regions: context.region_names(),
    })
}

fn tokens_per_event(context: &RequestContext) -> u64 {
    let routes = context.daemon.routes.borrow();
    let service = routes.as_ref().and_then(|table| {
        let part = context.entry.route.parts.first()?;
        table.config.service(&part.service).cloned()
    });
    service.map_or(1, |service| service.tokens_per_event.max(1))
}

impl Turn {
    /// The body for the engine: the chain, then the new input. Where the chain
    /// belongs to another program, the whole of it is kept as this turn's input:
    /// the partition of a program holds all that its turns go on from.
    pub fn prompt(&mut self, input: &Bytes) -> Bytes {
        let chain = std::mem::take(&mut self.opened.chain);
        if chain.is_empty() {
            return input.clone();
        }
        let mut prompt = BytesMut::from(chain.as_slice());
        prompt.extend_from_slice(input);
        let prompt = prompt.freeze();
        if self.request.brings_chain {
            self.input = prompt.clone();
        }
        prompt
    }

    /// Whether it is the first turn of its program.
    pub fn begins(&self) -> bool {
        self.opened.begins
    }

    /// The engine that its program is assigned to.
    pub fn engine(&self) -> Option<String> {
        self.opened.engine.clone()
    }

    /// Waits until output may reach the client.
    pub async fn wait_durable(&mut self, deadline: Instant) -> bool {
        self.ledger
            .wait_durable(&mut self.opened, &self.request, deadline)
            .await
    }

    /// Counts an event that is about to be handed to the client.
    pub fn hand_out(&mut self, event: &Event) {
        let Some(data) = &event.data else {
            return;
        };
        self.tokens += self.tokens_per_event;
        if self.request.keeps_context {
            self.output.extend_from_slice(data);
            self.output.extend_from_slice(b"\n");
        }
    }

    /// Records that the turn ended whole. Where context is kept, the answer may end
    /// only once this returned true.
    pub async fn complete(&mut self, deadline: Instant) -> bool {
        if !self.request.keeps_context {
            return true;
        }
        let started = Instant::now();
        let content = TurnContent {
            previous: self.kept_previous(),
            input: self.input.to_vec(),
            output: self.output.to_vec(),
            retention_ms: self.retention_ms,
        };
        let close = self.close_request(Some(content));
        let recorded = tokio::select! {
            biased;
            recorded = self.ledger.close(&close, deadline) => recorded,
            // The client sends the turn anew, elsewhere, while it has time.
            () = self.ledger.wait_cut_off() => false,
        };
        self.closed = recorded;
        tracing::info!(
            event = "turn_recorded",
            request = self.request.turn,
            program = self.request.program,
            tokens = self.tokens,
            recorded,
            took_ms = started.elapsed().as_millis() as u64
        );
        self.metrics
            .close_seconds
            .observe(started.elapsed().as_secs_f64());
        recorded
    }

    fn kept_previous(&self) -> Option<String> {
        let previous = self.request.previous.clone();
        previous.filter(|_| !self.request.brings_chain)
    }

    /// The turn is over.
    pub fn end(self) {}

    fn close_request(&self, content: Option<TurnContent>) -> CloseTurn {
        CloseTurn {
            tenant: self.request.tenant.clone(),
            turn: self.request.turn.clone(),
            program: self.request.program.clone(),
            budget: self.request.budget,
            most_tokens: self.request.most_tokens,
            tokens: self.tokens,
            content,
            engine: self.ran_at.borrow().clone(),
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if self.closed || self.request.budget.is_none() {
            return;
        }
        let close = self.close_request(None);
        let ledger = self.ledger.clone();
        ntex::rt::spawn(async move {
            let deadline = Instant::now() + CLOSE_PATIENCE;
            if !ledger.close(&close, deadline).await {
                tracing::warn!(
                    event = "turn_end_untold",
                    request = close.turn,
                    program = close.program,
                    "its most stays reserved"
                );
            }
        });
    }
}
