//! A turn before it begins: the ledger is asked whether it may.

use super::homes;
use super::request::RequestContext;
use super::turn::{LARGEST_KEPT, Turn};
use crate::ledger::client::{LedgerClient, OpenFailure, OpenedTurn};
use crate::metrics::Metrics;
use bytes::BytesMut;
use fieldhook_ledger::message::{OpenTurn, PlacementRequest};
use fieldhook_log::reach::Reach;
use fieldhook_topology::region::Set;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long an owner within a minority of the zones is asked: several times what one of the
/// same zone takes. Owners in other zones do not answer, and nobody takes their place.
const MINORITY_PATIENCE: Duration = Duration::from_millis(60);

/// Why a turn does not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnRefusal {
    /// The budget does not hold it.
    BudgetSpent,
    /// Its previous turn is not kept.
    UnknownTurn,
    /// It could not be kept.
    TooLarge,
    /// No owner in its homes answered.
    NoHome,
    /// No owner answered.
    Unavailable,
}

/// A turn that owners are asked about. Its client may leave, or its time pass, while the answer
/// of an owner that has opened it is under way. Dropped then, it tells its end: nobody else would,
/// and one turn's most that is reserved for nobody refuses each further turn of a program whose
/// budget does not hold two.
struct Opening {
    ledger: Rc<LedgerClient>,
    metrics: Rc<Metrics>,
    request: OpenTurn,
    /// An owner was asked and may have opened it; no answer came.
    in_doubt: Cell<bool>,
    begun: Instant,
}

/// Opens a turn where the route keeps context or the program has a budget.
///
/// # Errors
/// It may not begin.
pub async fn open(context: &RequestContext) -> Result<Option<Turn>, TurnRefusal> {
    let route = &context.entry.route;
    if !route.keeps_context && context.meta.budget.is_none() {
        return Ok(None);
    }
    if route.keeps_context && context.body.len() > LARGEST_KEPT {
        return Err(TurnRefusal::TooLarge);
    }
    let homes = homes::now(context);
    let request = request(context, &homes)?;
    if !request.qualified_name(&request.turn).fits_record_key()
        || !request.qualified_name(&request.program).fits_record_key()
    {
        return Err(TurnRefusal::TooLarge);
    }
    let deadline = patience(context)?;
    let mut opening = Opening {
        ledger: context.daemon.ledger.clone(),
        metrics: context.daemon.metrics.clone(),
        request,
        in_doubt: Cell::default(),
        begun: Instant::now(),
    };
    match opening.ask(deadline).await {
        Ok(opened) => Ok(Some(begin(
            context,
            &opening.request,
            opened,
            opening.took_ms(),
        ))),
        Err(failure) => {
            opening.note_refusal(context, &failure);
            Err(refusal_of(
                &failure,
                context,
                opening.request.home_partition,
            ))
        }
    }
}

/// What is asked of the owner.
fn request(context: &RequestContext, homes: &Set) -> Result<OpenTurn, TurnRefusal> {
    let route = &context.entry.route;
    let meta = &context.meta;
    let program = meta.program.clone().unwrap_or_default();
    let keeper = context.daemon.ledger.home_partition(&program, homes);
    let keeper = keeper.filter(|_| route.keeps_context);
    if route.keeps_context && keeper.is_none() && !homes.is_all() {
        homes::note_no_owner(context, None);
        return Err(TurnRefusal::NoHome);
    }
    Ok(OpenTurn {
        tenant: context.tenant_name().map(str::to_owned),
        turn: meta.id.clone(),
        attempt: attempt(context),
        program,
        session: meta.session.clone(),
        previous: meta.previous.clone(),
        wants_chain: route.keeps_context,
        keeps_context: route.keeps_context,
        supplies_chain: false,
        budget: meta.budget,
        max_tokens: meta.most_tokens,
        placement: placement(context, homes),
        home_partition: keeper,
    })
}

/// A number for this try, which no other try of the program has: daemons that start at the same
/// moment may draw the same numbers, and clients may try again under the same identity.
fn attempt(context: &RequestContext) -> u64 {
    let drawn = fastrand::u64(..);
    let (turn, daemon) = (&context.meta.id, &context.daemon.settings.name);
    fieldhook_traffic::assignment::prefix_hash(&format!("{turn} {daemon} {drawn:x}"))
}

/// What the owner needs to assign an engine.
fn placement(context: &RequestContext, homes: &Set) -> Option<PlacementRequest> {
    let meta = &context.meta;
    let beginning = meta.prefix.as_ref().or(meta.program.as_ref())?;
    Some(PlacementRequest {
        service: context.service()?.to_owned(),
        prefix_hash: fieldhook_traffic::assignment::prefix_hash(beginning),
        zone: context.daemon.settings.zone.clone(),
        regions: region_names(homes),
    })
}

/// Names of the regions that it may run in, where they are bounded.
fn region_names(homes: &Set) -> Option<Vec<String>> {
    let names = homes.names()?;
    Some(names.map(|region| region.to_string()).collect())
}

/// Until when owners are asked.
fn patience(context: &RequestContext) -> Result<Instant, TurnRefusal> {
    let reach = context.daemon.ledger.reach.get();
    let cause = match reach {
        // No owner can be asked from here, and none could become one.
        Reach::Isolated => "isolated",
        // Its end could not be recorded from here.
        Reach::Minority if context.entry.route.keeps_context => "minority",
        Reach::Minority => {
            let soon = Instant::now() + MINORITY_PATIENCE;
            return Ok(context.deadline.min(soon));
        }
        _ => return Ok(context.deadline),
    };
    tracing::info!(
        event = "turn_refused",
        request = context.meta.id,
        program = context.meta.program,
        cause,
        log_age_ms = context.daemon.ledger.log_health.ms_since_answer()
    );
    Err(TurnRefusal::Unavailable)
}

/// A turn that its owner has opened.
fn begin(context: &RequestContext, request: &OpenTurn, opened: OpenedTurn, took_ms: u64) -> Turn {
    let ledger = context.daemon.ledger.clone();
    let meta = &context.meta;
    if request.supplies_chain && request.home_partition.is_some() {
        homes::note_chain_brought(context, request.home_partition);
    }
    tracing::info!(
        event = "turn_opened",
        request = meta.id,
        program = meta.program,
        previous = meta.previous,
        budget = meta.budget,
        most = meta.most_tokens,
        partition = ledger.partition_of(&request.program),
        keeper = request.home_partition,
        durable = opened.is_durable(),
        allowed = opened.allowed(),
        engine = opened.engine,
        reservation = request.reservation_id(),
        took_ms
    );
    Turn {
        ledger,
        metrics: context.daemon.metrics.clone(),
        request: request.clone(),
        opened,
        input: context.body.clone(),
        prompt: context.body.clone(),
        output: BytesMut::new(),
        tokens: 0,
        tokens_per_event: tokens_per_event(context),
        retention_ms: context.entry.route.retention_ms,
        ran_at: context.sent_to.clone(),
        closed: false,
    }
}

fn tokens_per_event(context: &RequestContext) -> u64 {
    let routes = context.daemon.routes.borrow();
    let service = routes.as_ref().and_then(|table| {
        let part = context.entry.route.parts.first()?;
        table.config.service(&part.service).cloned()
    });
    service.map_or(1, |service| service.tokens_per_event.max(1))
}

fn refusal_of(failure: &OpenFailure, context: &RequestContext, keeper: Option<u32>) -> TurnRefusal {
    match failure {
        OpenFailure::BudgetSpent(_) => TurnRefusal::BudgetSpent,
        OpenFailure::UnknownTurn => TurnRefusal::UnknownTurn,
        OpenFailure::Unavailable => TurnRefusal::Unavailable,
        OpenFailure::HomeUnavailable => {
            homes::note_no_owner(context, keeper);
            TurnRefusal::NoHome
        }
    }
}

impl Opening {
    async fn ask(&mut self, deadline: Instant) -> Result<OpenedTurn, OpenFailure> {
        let asked = self
            .ledger
            .open(&mut self.request, &self.in_doubt, deadline);
        let outcome = asked.await;
        if outcome.is_ok() {
            self.in_doubt.set(false);
        }
        self.metrics
            .open_seconds
            .observe(self.begun.elapsed().as_secs_f64());
        outcome
    }

    fn took_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// Says why it does not begin, with what the budget counts: a reservation that nobody uses
    /// shows as an open turn that is older than a turn can be.
    fn note_refusal(&self, context: &RequestContext, failure: &OpenFailure) {
        let shortage = failure.budget_usage();
        tracing::info!(
            event = "turn_refused",
            request = self.request.turn,
            program = self.request.program,
            partition = self.ledger.partition_of(&self.request.program),
            previous = self.request.previous,
            budget = self.request.budget,
            most = self.request.max_tokens,
            cause = failure.cause(),
            settled = shortage.map(|shortage| shortage.settled_tokens),
            open_turns = shortage.map(|shortage| shortage.open_turns),
            open = shortage.map(|shortage| shortage.open_tokens),
            in_doubt_turns = shortage.map(|shortage| shortage.in_doubt_turns),
            in_doubt = shortage.map(|shortage| shortage.in_doubt_tokens),
            oldest_open = shortage.and_then(|shortage| shortage.oldest_reservation.as_deref()),
            oldest_open_ms = shortage.and_then(|shortage| shortage.oldest_age_ms),
            reserved_ahead = shortage.map(|shortage| shortage.inherited_tokens),
            took_ms = self.took_ms(),
            age_ms = context.age_ms()
        );
    }
}

impl Drop for Opening {
    fn drop(&mut self) {
        // Without a budget nothing is reserved.
        if !self.in_doubt.get() || self.request.budget.is_none() {
            return;
        }
        self.metrics.turns_in_doubt.inc();
        tracing::info!(
            event = "turn_in_doubt",
            request = self.request.turn,
            program = self.request.program,
            partition = self.ledger.partition_of(&self.request.program),
            reservation = self.request.reservation_id(),
            took_ms = self.took_ms(),
            "an owner may have opened it; its end is told"
        );
        self.ledger.close_in_background(self.request.cancellation());
    }
}
