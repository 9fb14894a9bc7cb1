//! One program, the owners of its partition, and the oracle of what it can have used.

pub mod questions;
mod standing;

use fieldhook_ledger::message::{CloseTurn, OpenTurn, TurnContent};
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::partition::{OpenOutcome, Partition};
use fieldhook_ledger::record::Record;
use questions::Question;
use quickcheck::{Arbitrary, Gen};
use standing::Standing;
use std::collections::{BTreeMap, VecDeque};

const BUDGET: u64 = 2_700;
pub const MOST: u64 = 580;
const PROGRAM: &str = "p";
/// Lines of the turns, one after another: clients of some go on, of others they wait.
const LINES: [Option<&str>; 4] = [None, Some("a"), Some("a"), Some("b")];
const DOUBT_MS: u64 = 60_000;
/// Unix time at which every story begins, in milliseconds: long after what a program was kept for
/// that had last changed at 0. The clock stands still but for [`questions::Step::EndDoubt`].
const NOW_MS: u64 = 1_700_000_000_000;

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A turn asks to begin; its gateway waits for the append where it has to.
    Open,
    /// A turn asks a former owner that lives on and does not know that it was replaced.
    OpenAtFormer(u8),
    /// A running turn hands out so much of what it may (in 255ths).
    HandOut(u8, u8),
    /// A running turn ends whole, having handed out so much of its most (in 255ths).
    Close(u8, u8),
    /// The oldest append is done.
    Append,
    /// All appends are done.
    AppendAll,
    /// The owner gives the partition up in order.
    HandOver,
    /// The owner is lost; turns under way go on at their gateways.
    LoseOwner,
    /// All daemons are lost: nobody tells the end of any turn.
    LoseAll,
    /// The gateway of a running turn is lost; the owner lives.
    LoseGateway(u8),
    /// What becomes of a question that is under way.
    Question(questions::Step),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let which = u8::arbitrary(g);
        let part = u8::arbitrary(g);
        match u8::arbitrary(g) % 17 {
            0..3 => Self::Open,
            3 if part < 64 => Self::OpenAtFormer(which),
            3..5 => Self::HandOut(which, part),
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

/// A turn that may have handed something out.
#[derive(Clone, Debug)]
struct Turn {
    id: String,
    attempt: u64,
    /// What it may hand out.
    allowed: u64,
    /// What it handed out.
    tokens: u64,
    /// It ended with that, and its client has seen so or its gateway can tell.
    ended: bool,
    /// Appends after which it may hand out all of its most.
    durable_at: usize,
    /// Appends after which its end is recorded.
    recorded_at: usize,
    gateway_lives: bool,
    line: Option<String>,
    standing: Standing,
}

pub struct World {
    pub budget: u64,
    now_ms: u64,
    owner: Partition,
    formers: Vec<Partition>,
    keeps_context: bool,
    log: BTreeMap<Vec<u8>, Vec<u8>>,
    queue: VecDeque<Record>,
    turns: Vec<Turn>,
    questions: Vec<Question>,
    next_turn: u64,
    appended: usize,
    queued: usize,
    /// What the losses so far leave of the budget at least.
    room: u64,
    pub losses: u32,
}

impl World {
    pub fn new(keeps_context: bool) -> Self {
        Self::with_budget(keeps_context, BUDGET)
    }

    pub fn with_budget(keeps_context: bool, budget: u64) -> Self {
        Self {
            budget,
            now_ms: NOW_MS,
            owner: Partition::default(),
            formers: Vec::new(),
            keeps_context,
            log: BTreeMap::new(),
            queue: VecDeque::new(),
            turns: Vec::new(),
            questions: Vec::new(),
            next_turn: 0,
            appended: 0,
            queued: 0,
            room: budget,
            losses: 0,
        }
    }

    /// Tokens that the program can have used at its most.
    pub fn used(&self) -> u64 {
        let of_turn = |turn: &Turn| match turn.ended {
            true => turn.tokens,
            false => MOST,
        };
        let turns: u64 = self.turns.iter().map(of_turn).sum();
        let questions: u64 = self.questions.iter().map(Question::used).sum();
        turns + questions
    }

    pub fn handed_out(&self) -> u64 {
        self.turns.iter().map(|turn| turn.tokens).sum()
    }

    /// A refusal is right if the budget does not hold the turn beside those that are waited
    /// for, or the losses may have hidden so much.
    fn may_refuse(&self) -> bool {
        !self.may_grant() || self.used() > self.room
    }

    /// A turn may begin only where the budget holds it beside those that are waited for.
    fn may_grant(&self) -> bool {
        self.waited_for() + MOST <= self.budget
    }

    pub fn counted(&self) -> u64 {
        self.owner
            .committed_tokens(&QualifiedName::new(None, PROGRAM))
    }

    /// An owner that knows the program counts all that was handed out of it, by whomever.
    pub fn counts_all(&self) -> bool {
        self.owner.program_count() == 0 || self.counted() >= self.handed_out()
    }

    fn push(&mut self, records: Vec<Record>) {
        self.queued += records.len();
        self.queue.extend(records);
    }

    fn request(&mut self) -> OpenTurn {
        let turn = format!("t{}", self.next_turn);
        let line = LINES[self.next_turn as usize % LINES.len()];
        self.next_turn += 1;
        OpenTurn {
            tenant: None,
            turn,
            attempt: self.next_turn,
            program: PROGRAM.to_owned(),
            session: line.map(str::to_owned),
            previous: None,
            wants_chain: self.keeps_context,
            keeps_context: self.keeps_context,
            supplies_chain: false,
            budget: Some(self.budget),
            max_tokens: MOST,
            placement: None,
            home_partition: None,
        }
    }

    /// Begins a turn. False if it was refused.
    pub fn open(&mut self) -> bool {
        let request = self.request();
        let outcome = self.owner.open(&request, self.now_ms);
        self.pass(&request);
        let OpenOutcome::Opened {
            allowed, records, ..
        } = outcome
        else {
            return false;
        };
        assert!(self.may_grant(), "granted beside {}", self.waited_for());
        self.push(records);
        self.begun(request, allowed, self.queued, Standing::WaitedFor);
        true
    }

    /// What a former owner grants goes out at once or never: it can append nothing.
    fn open_at_former(&mut self, which: u8) {
        let request = self.request();
        let Some(index) = usize::from(which).checked_rem(self.formers.len()) else {
            return;
        };
        let outcome = self.formers[index].open(&request, self.now_ms);
        if let OpenOutcome::Opened { allowed, .. } = outcome
            && allowed > 0
        {
            self.begun(request, allowed, usize::MAX, Standing::Untold);
        }
    }

    fn begun(&mut self, request: OpenTurn, allowed: u64, durable_at: usize, standing: Standing) {
        self.turns.push(Turn {
            id: request.turn,
            attempt: request.attempt,
            allowed,
            tokens: 0,
            ended: false,
            durable_at,
            recorded_at: usize::MAX,
            gateway_lives: true,
            line: request.session,
            standing,
        });
    }

    fn running(&mut self, which: u8) -> Option<&mut Turn> {
        let running = |turn: &&mut Turn| !turn.ended && turn.gateway_lives;
        let mut running: Vec<&mut Turn> = self.turns.iter_mut().filter(running).collect();
        let index = usize::from(which).checked_rem(running.len())?;
        Some(running.swap_remove(index))
    }

    fn hand_out(&mut self, which: u8, part: u8) {
        if let Some(turn) = self.running(which) {
            let left = turn.allowed - turn.tokens;
            turn.tokens += left * u64::from(part) / 255;
        }
    }

    fn close(&mut self, which: u8, part: u8) {
        self.hand_out(which, part);
        let Some(turn) = self.running(which) else {
            return;
        };
        turn.ended = true;
        let (id, attempt, tokens) = (turn.id.clone(), turn.attempt, turn.tokens);
        self.tell_end(&id, attempt, tokens);
    }

    /// Ends the turn under way with so many tokens, which it has to be allowed.
    pub fn end_with(&mut self, tokens: u64) {
        let turn = self.running(0).expect("a turn under way");
        assert!(turn.allowed >= tokens, "{turn:?}");
        turn.tokens = tokens;
        self.close(0, 0);
    }

    fn tell_end(&mut self, id: &str, attempt: u64, tokens: u64) {
        let request = CloseTurn {
            tenant: None,
            turn: id.to_owned(),
            attempt,
            program: PROGRAM.to_owned(),
            budget: Some(self.budget),
            max_tokens: MOST,
            tokens,
            content: self.keeps_context.then(|| TurnContent {
                previous: None,
                input: Vec::new(),
                output: Vec::new(),
                retention_ms: 60_000,
            }),
            engine: None,
            home_partition: None,
            awaited: false,
        };
        let records = self.owner.close(&request, self.now_ms);
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
                turn.allowed = MOST;
            }
        }
    }

    pub fn append_all(&mut self) {
        while !self.queue.is_empty() {
            self.append();
        }
    }

    fn read_back(&mut self) {
        for (key, value) in &self.log {
            let record = Record::read(key, value).expect("a record as it was written");
            self.owner.load(record);
        }
        self.owner.finish_loading();
        let records = self.owner.claim_unrecorded_share(self.now_ms);
        self.push(records);
    }

    /// What one more owner may have reserved ahead is gone.
    fn count_loss(&mut self) {
        self.losses += 1;
        let hidden = match (self.losses, self.keeps_context) {
            // Half of the budget of a program that had no record.
            (1, _) | (_, false) => MOST.max(self.room / 2),
            (_, true) => MOST,
        };
        self.room = self.room.saturating_sub(hidden);
    }

    /// Takes nothing of a program that the owner knows. One that it does not know may have used
    /// what unknown programs are given in doubt.
    fn hand_over(&mut self) {
        let is_known = self.owner.program_count() > 0;
        let records = self.owner.handover_records();
        self.push(records);
        self.append_all();
        let doubt_ms = self.owner.uncertainty_ms(self.now_ms);
        self.owner = Partition::after_handover(self.now_ms, doubt_ms);
        if !is_known {
            self.count_loss();
        }
        self.read_back();
        self.trust_recorded();
    }

    fn lose_gateway(&mut self, which: u8) {
        if let Some(turn) = self.running(which) {
            turn.gateway_lives = false;
            let attempt = turn.attempt;
            self.lose_asker(attempt);
        }
    }

    fn lose_owner(&mut self, gateways_live: bool) {
        let former = std::mem::replace(
            &mut self.owner,
            Partition::after_loss(self.now_ms, DOUBT_MS),
        );
        if gateways_live {
            self.formers.push(former);
        }
        self.queue.clear();
        self.queued = self.appended;
        self.count_loss();
        let appended = self.appended;
        // What was allowed nothing has handed out nothing; it asks again.
        let has_begun = |turn: &Turn| turn.allowed > 0 || turn.recorded_at <= appended;
        let turns = std::mem::take(&mut self.turns).into_iter();
        let (begun, never_begun): (Vec<Turn>, Vec<Turn>) = turns.partition(has_begun);
        self.turns = begun;
        self.lose_questions(gateways_live, &never_begun);
        self.doubt_all();
        let mut told_again = Vec::new();
        for turn in &mut self.turns {
            turn.gateway_lives &= gateways_live;
            if turn.durable_at > appended {
                turn.durable_at = usize::MAX;
            }
            if turn.ended && turn.recorded_at > appended {
                match turn.gateway_lives {
                    true => told_again.push((turn.id.clone(), turn.attempt, turn.tokens)),
                    // No client has seen its end: it waited for the record.
                    false => turn.ended = false,
                }
            }
        }
        self.read_back();
        for (id, attempt, tokens) in told_again {
            self.tell_end(&id, attempt, tokens);
        }
    }

    /// Does a step. False if a turn was refused that has to be granted.
    pub fn step(&mut self, step: Step) -> bool {
        match step {
            Step::Open => {
                let may_refuse = self.may_refuse();
                return self.open() || may_refuse;
            }
            Step::OpenAtFormer(which) => self.open_at_former(which),
            Step::HandOut(which, part) => self.hand_out(which, part),
            Step::Close(which, part) => self.close(which, part),
            Step::Append => self.append(),
            Step::AppendAll => self.append_all(),
            Step::HandOver => self.hand_over(),
            Step::LoseOwner => self.lose_owner(true),
            Step::LoseAll => self.lose_owner(false),
            Step::LoseGateway(which) => self.lose_gateway(which),
            Step::Question(step) => return self.step_question(step),
        }
        true
    }
}
