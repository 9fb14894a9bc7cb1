//! Opens a turn by asking the ledger whether it may start.

use super::homes;
use super::request::RequestContext;
use super::turn::{MAX_RECORD_BYTES, Turn};
use crate::ledger::client::{LedgerClient, OpenFailure, OpenedTurn};
use crate::metrics::Metrics;
use bytes::BytesMut;
use fieldhook_ledger::message::{AssignmentInput, OpenTurn};
use fieldhook_log::reach::Reach;
use fieldhook_topology::region::RegionSet;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long to ask an owner while cut off with a minority of the zones: several times the usual
/// response time within a zone. Owners in other zones do not respond, and no one can replace
/// them.
const MINORITY_TIMEOUT: Duration = Duration::from_millis(60);

/// Why a turn may not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnRefusal {
    /// The budget of the program does not cover it.
    BudgetSpent,
    /// The previous turn is not stored.
    UnknownTurn,
    /// The turn is too large to be stored.
    TooLarge,
    /// No owner in the home regions responded.
    HomeUnavailable,
    /// No owner responded.
    Unavailable,
}

/// A turn that is being opened. The client may disconnect, or the deadline may pass, while the
/// response of an owner that has opened the turn is in transit. In that case dropping this value
/// reports the end of the turn. Otherwise its token reservation would stay open, and as long as
/// this reservation and the next turn together exceed the budget, every further turn of the program
/// would be refused.
struct PendingTurn {
    ledger: Rc<LedgerClient>,
    metrics: Rc<Metrics>,
    request: OpenTurn,
    /// An owner was asked and may have opened the turn, but no response arrived.
    in_doubt: Cell<bool>,
    started: Instant,
}

/// Opens a turn if the route retains context or the program has a budget.
///
/// # Errors
/// The turn may not start.
pub async fn open(context: &RequestContext) -> Result<Option<Turn>, TurnRefusal> {
    let route = &context.entry.route;
    if !route.retains_context && context.meta.budget.is_none() {
        return Ok(None);
    }
    if route.retains_context && context.body.len() > MAX_RECORD_BYTES {
        return Err(TurnRefusal::TooLarge);
    }
    let homes = homes::current(context);
    let request = open_request(context, &homes)?;
    if !request.qualified_name(&request.turn).fits_record_key()
        || !request.qualified_name(&request.program).fits_record_key()
    {
        return Err(TurnRefusal::TooLarge);
    }
    let deadline = open_deadline(context)?;
    let mut pending = PendingTurn {
        ledger: context.daemon.ledger.clone(),
        metrics: context.daemon.metrics.clone(),
        request,
        in_doubt: Cell::default(),
        started: Instant::now(),
    };
    match pending.ask_owner(deadline).await {
        Ok(opened) => Ok(Some(start_turn(
            context,
            &pending.request,
            opened,
            pending.took_ms(),
        ))),
        Err(failure) => {
            pending.log_refusal(context, &failure);
            Err(turn_refusal(
                &failure,
                context,
                pending.request.home_partition,
            ))
        }
    }
}

/// Builds the request to the owner.
fn open_request(context: &RequestContext, homes: &RegionSet) -> Result<OpenTurn, TurnRefusal> {
    let route = &context.entry.route;
    let meta = &context.meta;
    let program = meta.program.clone().unwrap_or_default();
    let home_partition = context.daemon.ledger.home_partition(&program, homes);
    let home_partition = home_partition.filter(|_| route.retains_context);
    if route.retains_context && home_partition.is_none() && !homes.is_all() {
        homes::report_no_owner(context, None);
        return Err(TurnRefusal::HomeUnavailable);
    }
    Ok(OpenTurn {
        tenant: context.tenant_name().map(str::to_owned),
        turn: meta.id.clone(),
        attempt: attempt_id(context),
        program,
        session: meta.session.clone(),
        previous: meta.previous.clone(),
        wants_chain: route.retains_context,
        retains_context: route.retains_context,
        supplies_chain: false,
        budget: meta.budget,
        max_tokens: meta.max_tokens,
        assignment: assignment_input(context, homes),
        home_partition,
    })
}

/// Returns an id for this attempt that is unique within the program. The random number alone is not
/// enough, because daemons started at the same moment may draw the same numbers and clients may
/// retry under the same request id.
fn attempt_id(context: &RequestContext) -> u64 {
    let random = fastrand::u64(..);
    let (turn, daemon) = (&context.meta.id, &context.daemon.settings.name);
    fieldhook_traffic::assignment::prefix_hash(&format!("{turn} {daemon} {random:x}"))
}

/// Returns what the owner needs in order to assign an engine.
fn assignment_input(context: &RequestContext, homes: &RegionSet) -> Option<AssignmentInput> {
    let meta = &context.meta;
    let prefix = meta.prefix.as_ref().or(meta.program.as_ref())?;
    Some(AssignmentInput {
        service: context.service()?.to_owned(),
        prefix_hash: fieldhook_traffic::assignment::prefix_hash(prefix),
        zone: context.daemon.settings.zone.clone(),
        regions: region_names(homes),
    })
}

/// Names of the regions that may process the request, or `None` if all may.
fn region_names(homes: &RegionSet) -> Option<Vec<String>> {
    let names = homes.names()?;
    Some(names.map(|region| region.to_string()).collect())
}

/// Deadline for asking owners, which depends on the [`Reach`] of this daemon.
fn open_deadline(context: &RequestContext) -> Result<Instant, TurnRefusal> {
    let reach = context.daemon.ledger.reach.get();
    let cause = match reach {
        // No owner can be reached from here, and no daemon here could become one.
        Reach::Isolated => "isolated",
        // The end of the turn could not be recorded from here.
        Reach::Minority if context.entry.route.retains_context => "minority",
        Reach::Minority => {
            let limit = Instant::now() + MINORITY_TIMEOUT;
            return Ok(context.deadline.min(limit));
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

/// Creates a turn that its owner has opened.
fn start_turn(
    context: &RequestContext,
    request: &OpenTurn,
    opened: OpenedTurn,
    took_ms: u64,
) -> Turn {
    let ledger = context.daemon.ledger.clone();
    let meta = &context.meta;
    if request.supplies_chain && request.home_partition.is_some() {
        homes::report_chain_moved(context, request.home_partition);
    }
    tracing::info!(
        event = "turn_opened",
        request = meta.id,
        program = meta.program,
        previous = meta.previous,
        budget = meta.budget,
        most = meta.max_tokens,
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
        tokens_per_event: context.tokens_per_event(),
        retention_ms: context.entry.route.retention_ms,
        last_server: context.last_server.clone(),
        closed: false,
    }
}

fn turn_refusal(
    failure: &OpenFailure,
    context: &RequestContext,
    home_partition: Option<u32>,
) -> TurnRefusal {
    match failure {
        OpenFailure::BudgetSpent(_) => TurnRefusal::BudgetSpent,
        OpenFailure::UnknownTurn => TurnRefusal::UnknownTurn,
        OpenFailure::Unavailable => TurnRefusal::Unavailable,
        OpenFailure::HomeUnavailable => {
            homes::report_no_owner(context, home_partition);
            TurnRefusal::HomeUnavailable
        }
    }
}

impl PendingTurn {
    async fn ask_owner(&mut self, deadline: Instant) -> Result<OpenedTurn, OpenFailure> {
        let opened = self
            .ledger
            .open(&mut self.request, &self.in_doubt, deadline);
        let outcome = opened.await;
        if outcome.is_ok() {
            self.in_doubt.set(false);
        }
        self.metrics
            .open_seconds
            .observe(self.started.elapsed().as_secs_f64());
        outcome
    }

    fn took_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Logs why the turn may not start, together with the budget accounting. A leaked reservation
    /// shows as an open turn that is older than any turn can be.
    fn log_refusal(&self, context: &RequestContext, failure: &OpenFailure) {
        let usage = failure.budget_usage();
        tracing::info!(
            event = "turn_refused",
            request = self.request.turn,
            program = self.request.program,
            partition = self.ledger.partition_of(&self.request.program),
            previous = self.request.previous,
            budget = self.request.budget,
            most = self.request.max_tokens,
            cause = failure.cause(),
            settled = usage.map(|usage| usage.settled_tokens),
            open_turns = usage.map(|usage| usage.open_turns),
            open = usage.map(|usage| usage.open_tokens),
            in_doubt_turns = usage.map(|usage| usage.in_doubt_turns),
            in_doubt = usage.map(|usage| usage.in_doubt_tokens),
            oldest_open = usage.and_then(|usage| usage.oldest_reservation.as_deref()),
            oldest_open_ms = usage.and_then(|usage| usage.oldest_age_ms),
            reserved_ahead = usage.map(|usage| usage.inherited_tokens),
            took_ms = self.took_ms(),
            age_ms = context.age_ms()
        );
    }
}

impl Drop for PendingTurn {
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
            "an owner may have opened the turn; reporting its end"
        );
        self.ledger.close_in_background(self.request.cancellation());
    }
}
