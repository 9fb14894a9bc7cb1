//! Simulation of one program and the owners of its partition, which counts the delivered tokens.

pub mod requests;

use fieldhook_ledger::message::{CloseTurn, OpenTurn};
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::partition::{OpenOutcome, Partition};
use fieldhook_ledger::record::Record;
use requests::DelayedRequest;
use std::collections::{BTreeMap, VecDeque};

pub const BUDGET: u64 = 1_000;
pub const MAX_TOKENS: u64 = 90;
const PROGRAM: &str = "p";
/// Outlasts every scenario, because the clock does not advance.
const UNCERTAINTY_MS: u64 = 60_000;
/// Unix time of every scenario, in milliseconds. Far enough from 0 that a program last changed at 0
/// has expired.
const NOW_MS: u64 = 1_700_000_000_000;
/// Session of each turn, and whether its content is stored, so that it ends with its record.
/// Clients of a session may give up a turn and send the next one.
const SESSIONS: [(Option<&str>, bool); 6] = [
    (None, true),
    (Some("a"), true),
    (Some("a"), true),
    (Some("b"), false),
    (Some("a"), true),
    (Some("b"), true),
];
/// Only the newest ends are repeated, as many as an owner always remembers.
const REPEATED_ENDS: usize = 24;

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Requests a turn.
    Open,
    /// Requests a turn from a replaced owner that does not know this yet.
    OpenAtReplaced(u8),
    /// A running turn delivers tokens.
    Deliver(u8, u8),
    /// A running turn ends, and its end is reported.
    Close(u8),
    /// The end of an ended turn is reported again.
    RepeatEnd(u8),
    /// The oldest pending append completes.
    Append,
    /// The owner hands the partition over after all its grants are durable.
    HandOver,
    /// The owner is lost with its pending appends; gateways survive.
    LoseOwner,
    /// The gateway of a running turn is lost, so its end is never reported.
    LoseGateway(u8),
    /// A step of a delayed request.
    Request(requests::Step),
}

#[derive(Clone)]
pub struct RunningTurn {
    turn: String,
    attempt: u64,
    pub tokens: u64,
    may_deliver: bool,
}

#[derive(Default)]
pub struct Simulation {
    owner: Partition,
    replaced_owners: Vec<Partition>,
    log: BTreeMap<Vec<u8>, Vec<u8>>,
    queue: VecDeque<Record>,
    waiting: Vec<(usize, u64)>,
    pub running: Vec<RunningTurn>,
    pub ended: Vec<RunningTurn>,
    requests: Vec<DelayedRequest>,
    has_separate_sessions: bool,
    pub delivered_tokens: u64,
    pub next_turn: u64,
    appended: usize,
    queued: usize,
}

impl Simulation {
    fn push(&mut self, records: Vec<Record>) {
        self.queued += records.len();
        self.queue.extend(records);
    }

    /// Tokens that the owner counts, if it knows the program.
    pub fn counted(&self) -> Option<u64> {
        let is_known = self.owner.program_count() > 0;
        is_known.then(|| {
            self.owner
                .committed_tokens(&QualifiedName::new(None, PROGRAM))
        })
    }

    /// A simulation where each turn has its own session, so that no client sends the next turn of a
    /// session before the response.
    pub fn with_separate_sessions() -> Self {
        Self {
            has_separate_sessions: true,
            ..Self::default()
        }
    }

    /// Session of a turn, and whether its content is stored.
    fn session(&self, turn: u64) -> (Option<String>, bool) {
        let (session, is_stored) = SESSIONS[turn as usize % SESSIONS.len()];
        match self.has_separate_sessions {
            true => (Some(turn.to_string()), is_stored),
            false => (session.map(str::to_owned), is_stored),
        }
    }

    fn next_request(&mut self) -> OpenTurn {
        let turn = format!("t{}", self.next_turn);
        let (session, retains_context) = self.session(self.next_turn);
        self.next_turn += 1;
        OpenTurn {
            tenant: None,
            turn,
            attempt: self.next_turn,
            program: PROGRAM.to_owned(),
            session,
            previous: None,
            wants_chain: false,
            retains_context,
            supplies_chain: false,
            budget: Some(BUDGET),
            max_tokens: MAX_TOKENS,
            assignment: None,
            home_partition: None,
        }
    }

    /// A replaced owner cannot append, so its grants start at once or never.
    fn open_at_replaced(&mut self, which: u8) {
        let request = self.next_request();
        let Some(index) = usize::from(which).checked_rem(self.replaced_owners.len()) else {
            return;
        };
        let outcome = self.replaced_owners[index].open(&request, NOW_MS);
        if let OpenOutcome::Opened { durable: true, .. } = outcome {
            self.start_turn(&request, true);
        }
    }

    fn open(&mut self) {
        let request = self.next_request();
        if let OpenOutcome::Opened {
            durable, records, ..
        } = self.owner.open(&request, NOW_MS)
        {
            self.push(records);
            self.start_turn(&request, durable);
        }
    }

    /// Adds a granted turn. If the grant is not durable, the turn waits for the queued records.
    fn start_turn(&mut self, request: &OpenTurn, durable: bool) {
        if !durable {
            self.waiting.push((self.queued, request.attempt));
        }
        self.running.push(RunningTurn {
            turn: request.turn.clone(),
            attempt: request.attempt,
            tokens: 0,
            may_deliver: durable,
        });
    }

    fn deliver(&mut self, which: u8, tokens: u8) {
        let count = self.running.len();
        if count == 0 {
            return;
        }
        let running = &mut self.running[usize::from(which) % count];
        if running.may_deliver {
            let more = u64::from(tokens).min(MAX_TOKENS - running.tokens);
            running.tokens += more;
            self.delivered_tokens += more;
        }
    }

    fn report_end(&mut self, running: &RunningTurn) {
        let request = CloseTurn {
            tenant: None,
            turn: running.turn.clone(),
            attempt: running.attempt,
            program: PROGRAM.to_owned(),
            budget: Some(BUDGET),
            max_tokens: MAX_TOKENS,
            tokens: running.tokens,
            content: None,
            engine: None,
            home_partition: None,
            delays_response: false,
        };
        let records = self.owner.close(&request, NOW_MS).expect("a known chain");
        self.push(records);
    }

    fn close(&mut self, which: u8) {
        if self.running.is_empty() {
            return;
        }
        let running = self.running.remove(usize::from(which) % self.running.len());
        self.report_end(&running);
        self.ended.push(running);
    }

    fn append(&mut self) {
        let Some(record) = self.queue.pop_front() else {
            return;
        };
        self.appended += 1;
        self.log.insert(record.key(), record.value());
        self.owner.record_appended(&record);
        let appended = self.appended;
        let (done, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(position, _)| *position <= appended);
        self.waiting = waiting;
        let done: Vec<(usize, u64)> = done;
        for running in &mut self.running {
            if done.iter().any(|(_, attempt)| *attempt == running.attempt) {
                running.may_deliver = true;
            }
        }
    }

    fn hand_over(&mut self) {
        let records = self.owner.handover_records();
        self.push(records);
        while !self.queue.is_empty() {
            self.append();
        }
        let uncertainty_ms = self.owner.uncertainty_ms(NOW_MS);
        self.owner = Partition::after_handover(NOW_MS, uncertainty_ms);
        self.load_log();
    }

    /// A new owner loads the log. Turns whose reservation was not durable have delivered nothing,
    /// and their gateways request them again.
    fn lose_owner(&mut self) {
        let replaced = std::mem::replace(
            &mut self.owner,
            Partition::after_loss(NOW_MS, UNCERTAINTY_MS),
        );
        self.replaced_owners.push(replaced);
        self.queue.clear();
        self.queued = self.appended;
        self.waiting.clear();
        self.load_log();
        let running = std::mem::take(&mut self.running).into_iter();
        let (running, never_started): (Vec<RunningTurn>, Vec<RunningTurn>) =
            running.partition(|running| running.may_deliver);
        self.running = running;
        self.reset_never_started(&never_started);
    }

    fn load_log(&mut self) {
        for (key, value) in &self.log {
            if let Ok(record) = Record::decode(key, value) {
                self.owner.load(record);
            }
        }
        self.owner.finish_loading();
    }

    fn lose_gateway(&mut self, which: u8) {
        if self.running.is_empty() {
            return;
        }
        self.running.remove(usize::from(which) % self.running.len());
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Open => self.open(),
            Step::OpenAtReplaced(which) => self.open_at_replaced(which),
            Step::Deliver(which, tokens) => self.deliver(which, tokens),
            Step::Close(which) => self.close(which),
            Step::RepeatEnd(which) => {
                // Ends are repeated within seconds, so only the newest ones.
                let latest = self.ended.len().saturating_sub(REPEATED_ENDS);
                let ended = &self.ended[latest..];
                if let Some(index) = usize::from(which).checked_rem(ended.len()) {
                    let running = ended[index].clone();
                    self.report_end(&running);
                }
            }
            Step::Append => self.append(),
            Step::LoseOwner => self.lose_owner(),
            Step::HandOver => self.hand_over(),
            Step::LoseGateway(which) => self.lose_gateway(which),
            Step::Request(step) => self.step_request(step),
        }
    }
}
