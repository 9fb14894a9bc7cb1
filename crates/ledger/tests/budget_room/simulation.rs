//! Simulation of one program and the owners of its partition, with an oracle of the tokens that the
//! program may have used.

pub mod requests;
mod wait_state;

use fieldhook_ledger::message::{CloseTurn, OpenTurn, TurnContent};
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::partition::{OpenOutcome, Partition};
use fieldhook_ledger::record::Record;
use quickcheck::{Arbitrary, Gen};
use requests::DelayedRequest;
use std::collections::{BTreeMap, VecDeque};
use wait_state::WaitState;

const BUDGET: u64 = 2_700;
pub const MAX_TOKENS: u64 = 580;
const PROGRAM: &str = "p";
/// Sessions of successive turns. In some sessions clients send the next turn before the response to
/// the last one.
const SESSIONS: [Option<&str>; 4] = [None, Some("a"), Some("a"), Some("b")];
const UNCERTAINTY_MS: u64 = 60_000;
/// Unix time at the start of every scenario, in milliseconds. Far enough from 0 that a program last
/// changed at 0 has expired. The clock advances only in [`requests::Step::EndUncertainty`].
const NOW_MS: u64 = 1_700_000_000_000;

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Requests a turn. Its gateway waits for the append if it has to.
    Open,
    /// Requests a turn from a replaced owner that does not know this yet.
    OpenAtReplaced(u8),
    /// A running turn delivers a fraction (in 255ths) of the tokens that it may deliver now.
    Deliver(u8, u8),
    /// A running turn delivers a fraction (in 255ths) of what it may deliver now and completes.
    Close(u8, u8),
    /// The oldest pending append completes.
    Append,
    /// All pending appends complete.
    AppendAll,
    /// The owner hands the partition over as planned.
    HandOver,
    /// The owner is lost; open turns continue at their gateways.
    LoseOwner,
    /// All daemons are lost, so the end of no turn is reported.
    LoseAll,
    /// The gateway of a running turn is lost; the owner survives.
    LoseGateway(u8),
    /// A step of a delayed request.
    Request(requests::Step),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let which = u8::arbitrary(g);
        let part = u8::arbitrary(g);
        match u8::arbitrary(g) % 17 {
            0..3 => Self::Open,
            3 if part < 64 => Self::OpenAtReplaced(which),
            3..5 => Self::Deliver(which, part),
            5..9 => Self::Close(which, part),
            9..11 => Self::Append,
            11..14 => Self::AppendAll,
            14 if which < 64 => Self::HandOver,
            14 => Self::LoseOwner,
            15 => Self::LoseAll,
            _ => Self::LoseGateway(which),
        }
    }
}

/// A turn that may have delivered tokens.
#[derive(Clone, Debug)]
struct Turn {
    id: String,
    attempt: u64,
    /// Tokens that the turn may deliver now.
    allowed: u64,
    /// Tokens that the turn has delivered.
    tokens: u64,
    /// Whether the turn ended with these tokens, as seen by its client or reported by its gateway.
    ended: bool,
    /// Number of appends after which the turn may deliver its maximum.
    durable_at: usize,
    /// Number of appends after which the end of the turn is recorded.
    recorded_at: usize,
    gateway_lives: bool,
    session: Option<String>,
    wait_state: WaitState,
}

pub struct Simulation {
    pub budget: u64,
    now_ms: u64,
    owner: Partition,
    replaced_owners: Vec<Partition>,
    retains_context: bool,
    log: BTreeMap<Vec<u8>, Vec<u8>>,
    queue: VecDeque<Record>,
    turns: Vec<Turn>,
    requests: Vec<DelayedRequest>,
    next_turn: u64,
    appended: usize,
    queued: usize,
    /// Part of the budget that remains usable after the losses so far, at least.
    guaranteed_budget: u64,
    pub losses: u32,
}

impl Simulation {
    pub fn new(retains_context: bool) -> Self {
        Self::with_budget(retains_context, BUDGET)
    }

    pub fn with_budget(retains_context: bool, budget: u64) -> Self {
        Self {
            budget,
            now_ms: NOW_MS,
            owner: Partition::default(),
            replaced_owners: Vec::new(),
            retains_context,
            log: BTreeMap::new(),
            queue: VecDeque::new(),
            turns: Vec::new(),
            requests: Vec::new(),
            next_turn: 0,
            appended: 0,
            queued: 0,
            guaranteed_budget: budget,
            losses: 0,
        }
    }

    /// Tokens that the program may have used, at most.
    pub fn max_used_tokens(&self) -> u64 {
        let of_turn = |turn: &Turn| match turn.ended {
            true => turn.tokens,
            false => MAX_TOKENS,
        };
        let turns: u64 = self.turns.iter().map(of_turn).sum();
        let requests: u64 = self
            .requests
            .iter()
            .map(DelayedRequest::max_used_tokens)
            .sum();
        turns + requests
    }

    pub fn delivered_tokens(&self) -> u64 {
        self.turns.iter().map(|turn| turn.tokens).sum()
    }

    /// A refusal is justified if the budget has no room for the turn in addition to the awaited
    /// ones, or if the losses may have hidden as much.
    fn may_refuse(&self) -> bool {
        !self.may_grant() || self.max_used_tokens() > self.guaranteed_budget
    }

    /// A turn may be granted only if the budget has room for it in addition to the awaited ones.
    fn may_grant(&self) -> bool {
        self.awaited_tokens() + MAX_TOKENS <= self.budget
    }

    pub fn counted(&self) -> u64 {
        self.owner
            .committed_tokens(&QualifiedName::new(None, PROGRAM))
    }

    /// An owner that knows the program counts all its delivered tokens, including those granted by
    /// other owners.
    pub fn counts_all_delivered(&self) -> bool {
        self.owner.program_count() == 0 || self.counted() >= self.delivered_tokens()
    }

    fn push(&mut self, records: Vec<Record>) {
        self.queued += records.len();
        self.queue.extend(records);
    }

    fn next_request(&mut self) -> OpenTurn {
        let turn = format!("t{}", self.next_turn);
        let session = SESSIONS[self.next_turn as usize % SESSIONS.len()];
        self.next_turn += 1;
        OpenTurn {
            tenant: None,
            turn,
            attempt: self.next_turn,
            program: PROGRAM.to_owned(),
            session: session.map(str::to_owned),
            previous: None,
            wants_chain: self.retains_context,
            retains_context: self.retains_context,
            supplies_chain: false,
            budget: Some(self.budget),
            max_tokens: MAX_TOKENS,
            assignment: None,
            home_partition: None,
        }
    }

    /// Opens a turn. Returns false if it was refused.
    pub fn open(&mut self) -> bool {
        let request = self.next_request();
        let outcome = self.owner.open(&request, self.now_ms);
        self.supersede(&request);
        let OpenOutcome::Opened {
            allowed, records, ..
        } = outcome
        else {
            return false;
        };
        assert!(
            self.may_grant(),
            "granted with {} awaited tokens",
            self.awaited_tokens()
        );
        self.push(records);
        self.start_turn(request, allowed, self.queued, WaitState::Awaited);
        true
    }

    /// A replaced owner cannot append, so its grants start at once or never.
    fn open_at_replaced(&mut self, which: u8) {
        let request = self.next_request();
        let Some(index) = usize::from(which).checked_rem(self.replaced_owners.len()) else {
            return;
        };
        let outcome = self.replaced_owners[index].open(&request, self.now_ms);
        if let OpenOutcome::Opened { allowed, .. } = outcome
            && allowed > 0
        {
            self.start_turn(request, allowed, usize::MAX, WaitState::Unconfirmed);
        }
    }

    fn start_turn(
        &mut self,
        request: OpenTurn,
        allowed: u64,
        durable_at: usize,
        wait_state: WaitState,
    ) {
        self.turns.push(Turn {
            id: request.turn,
            attempt: request.attempt,
            allowed,
            tokens: 0,
            ended: false,
            durable_at,
            recorded_at: usize::MAX,
            gateway_lives: true,
            session: request.session,
            wait_state,
        });
    }

    fn running(&mut self, which: u8) -> Option<&mut Turn> {
        let running = |turn: &&mut Turn| !turn.ended && turn.gateway_lives;
        let mut running: Vec<&mut Turn> = self.turns.iter_mut().filter(running).collect();
        let index = usize::from(which).checked_rem(running.len())?;
        Some(running.swap_remove(index))
    }

    fn deliver(&mut self, which: u8, part: u8) {
        if let Some(turn) = self.running(which) {
            let left = turn.allowed - turn.tokens;
            turn.tokens += left * u64::from(part) / 255;
        }
    }

    fn close(&mut self, which: u8, part: u8) {
        self.deliver(which, part);
        let Some(turn) = self.running(which) else {
            return;
        };
        turn.ended = true;
        let (id, attempt, tokens) = (turn.id.clone(), turn.attempt, turn.tokens);
        self.report_end(&id, attempt, tokens);
    }

    /// Ends the running turn with this many tokens, which it must be allowed to deliver.
    pub fn end_with_tokens(&mut self, tokens: u64) {
        let turn = self.running(0).expect("a running turn");
        assert!(turn.allowed >= tokens, "{turn:?}");
        turn.tokens = tokens;
        self.close(0, 0);
    }

    fn report_end(&mut self, id: &str, attempt: u64, tokens: u64) {
        let request = CloseTurn {
            tenant: None,
            turn: id.to_owned(),
            attempt,
            program: PROGRAM.to_owned(),
            budget: Some(self.budget),
            max_tokens: MAX_TOKENS,
            tokens,
            content: self.retains_context.then(|| TurnContent {
                previous: None,
                input: Vec::new(),
                output: Vec::new(),
                retention_ms: 60_000,
            }),
            engine: None,
            home_partition: None,
            delays_response: false,
        };
        let records = self
            .owner
            .close(&request, self.now_ms)
            .expect("a known chain");
        self.push(records);
        let recorded_at = self.queued;
        for turn in self.turns.iter_mut().filter(|turn| turn.attempt == attempt) {
            turn.recorded_at = recorded_at;
        }
    }

    fn append(&mut self) {
        let Some(record) = self.queue.pop_front() else {
            return;
        };
        self.appended += 1;
        self.log.insert(record.key(), record.value());
        self.owner.record_appended(&record);
        let appended = self.appended;
        for turn in &mut self.turns {
            if turn.durable_at <= appended {
                turn.allowed = MAX_TOKENS;
            }
        }
    }

    pub fn append_all(&mut self) {
        while !self.queue.is_empty() {
            self.append();
        }
    }

    fn load_log(&mut self) {
        for (key, value) in &self.log {
            let record = Record::decode(key, value).expect("a record as it was written");
            self.owner.load(record);
        }
        self.owner.finish_loading();
        let records = self.owner.unrecorded_share_records(self.now_ms);
        self.push(records);
    }

    /// Accounts for what one more owner may have reserved ahead.
    fn count_loss(&mut self) {
        self.losses += 1;
        let hidden = match (self.losses, self.retains_context) {
            // Half of the budget if the program had no record.
            (1, _) | (_, false) => MAX_TOKENS.max(self.guaranteed_budget / 2),
            (_, true) => MAX_TOKENS,
        };
        self.guaranteed_budget = self.guaranteed_budget.saturating_sub(hidden);
    }

    /// Costs nothing for a program that the owner knows. A program that it does not know may have
    /// used the share that is granted in the uncertainty window.
    fn hand_over(&mut self) {
        let is_known = self.owner.program_count() > 0;
        let records = self.owner.handover_records();
        self.push(records);
        self.append_all();
        let uncertainty_ms = self.owner.uncertainty_ms(self.now_ms);
        self.owner = Partition::after_handover(self.now_ms, uncertainty_ms);
        if !is_known {
            self.count_loss();
        }
        self.load_log();
        self.confirm_recorded();
    }

    fn lose_gateway(&mut self, which: u8) {
        if let Some(turn) = self.running(which) {
            turn.gateway_lives = false;
            let attempt = turn.attempt;
            self.lose_requester(attempt);
        }
    }

    fn lose_owner(&mut self, gateways_live: bool) {
        let replaced = std::mem::replace(
            &mut self.owner,
            Partition::after_loss(self.now_ms, UNCERTAINTY_MS),
        );
        if gateways_live {
            self.replaced_owners.push(replaced);
        }
        self.queue.clear();
        self.queued = self.appended;
        self.count_loss();
        let appended = self.appended;
        // A turn without allowed tokens has delivered none, and is requested again.
        let has_started = |turn: &Turn| turn.allowed > 0 || turn.recorded_at <= appended;
        let turns = std::mem::take(&mut self.turns).into_iter();
        let (started, never_started): (Vec<Turn>, Vec<Turn>) = turns.partition(has_started);
        self.turns = started;
        self.lose_requests(gateways_live, &never_started);
        self.mark_all_unconfirmed();
        let mut repeated_ends = Vec::new();
        for turn in &mut self.turns {
            turn.gateway_lives &= gateways_live;
            if turn.durable_at > appended {
                turn.durable_at = usize::MAX;
            }
            if turn.ended && turn.recorded_at > appended {
                match turn.gateway_lives {
                    true => repeated_ends.push((turn.id.clone(), turn.attempt, turn.tokens)),
                    // No client has seen this end, because it waited for the record.
                    false => turn.ended = false,
                }
            }
        }
        self.load_log();
        for (id, attempt, tokens) in repeated_ends {
            self.report_end(&id, attempt, tokens);
        }
    }

    /// Executes a step. Returns false if a turn was refused without justification.
    pub fn step(&mut self, step: Step) -> bool {
        match step {
            Step::Open => {
                let may_refuse = self.may_refuse();
                return self.open() || may_refuse;
            }
            Step::OpenAtReplaced(which) => self.open_at_replaced(which),
            Step::Deliver(which, part) => self.deliver(which, part),
            Step::Close(which, part) => self.close(which, part),
            Step::Append => self.append(),
            Step::AppendAll => self.append_all(),
            Step::HandOver => self.hand_over(),
            Step::LoseOwner => self.lose_owner(true),
            Step::LoseAll => self.lose_owner(false),
            Step::LoseGateway(which) => self.lose_gateway(which),
            Step::Request(step) => return self.step_request(step),
        }
        true
    }
}
