//! One program, the owners of its partition, and what was handed out of it.

pub mod questions;

use fieldhook_ledger::message::{CloseTurn, OpenTurn};
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::partition::{OpenOutcome, Partition};
use fieldhook_ledger::record::Record;
use questions::Question;
use std::collections::{BTreeMap, VecDeque};

pub const BUDGET: u64 = 1_000;
pub const MOST: u64 = 90;
const PROGRAM: &str = "p";
/// Longer than any story: its clock stands still.
const DOUBT_MS: u64 = 60_000;
/// Unix time of every story, in milliseconds: long after what a program was kept for that had last
/// changed at 0.
const NOW_MS: u64 = 1_700_000_000_000;
/// Lines of the turns, one after another, where clients go on from turns that they gave up; and
/// which of these turns end with their record.
const LINES: [(Option<&str>, bool); 6] = [
    (None, true),
    (Some("a"), true),
    (Some("a"), true),
    (Some("b"), false),
    (Some("a"), true),
    (Some("b"), true),
];
/// Ended turns that an owner remembers.
const ENDS_TOLD_AGAIN: usize = 24;

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A turn asks to begin.
    Open,
    /// A turn asks a former owner that lives on and does not know that it was replaced.
    OpenAtFormer(u8),
    /// A running turn hands tokens out.
    HandOut(u8, u8),
    /// A running turn ends and says so.
    Close(u8),
    /// A running turn's end is told once more.
    CloseAgain(u8),
    /// The oldest append is done.
    Append,
    /// The owner gives the partition up in order: what it granted is durable first.
    HandOver,
    /// The owner is lost with what it had not appended; gateways live on.
    LoseOwner,
    /// A running turn's gateway is lost; nobody tells its end.
    LoseGateway(u8),
    /// What becomes of a question that is under way.
    Question(questions::Step),
}

#[derive(Clone)]
pub struct Running {
    turn: String,
    attempt: u64,
    pub tokens: u64,
    may_hand_out: bool,
}

#[derive(Default)]
pub struct World {
    owner: Partition,
    formers: Vec<Partition>,
    log: BTreeMap<Vec<u8>, Vec<u8>>,
    queue: VecDeque<Record>,
    waiting: Vec<(usize, u64)>,
    pub running: Vec<Running>,
    pub ended: Vec<Running>,
    questions: Vec<Question>,
    is_patient: bool,
    pub handed_out: u64,
    pub next_turn: u64,
    appended: usize,
    queued: usize,
}

impl World {
    fn push(&mut self, records: Vec<Record>) {
        self.queued += records.len();
        self.queue.extend(records);
    }

    /// What the owner counts, if it knows the program.
    pub fn counted(&self) -> Option<u64> {
        let is_known = self.owner.program_count() > 0;
        is_known.then(|| {
            self.owner
                .committed_tokens(&QualifiedName::new(None, PROGRAM))
        })
    }

    /// One where each turn has a line of its own: no client goes on before its answer ended.
    pub fn patient() -> Self {
        Self {
            is_patient: true,
            ..Self::default()
        }
    }

    /// The line of a turn, and whether it ends with its record.
    fn line(&self, turn: u64) -> (Option<String>, bool) {
        let (line, is_kept) = LINES[turn as usize % LINES.len()];
        match self.is_patient {
            true => (Some(turn.to_string()), is_kept),
            false => (line.map(str::to_owned), is_kept),
        }
    }

    fn next_request(&mut self) -> OpenTurn {
        let turn = format!("t{}", self.next_turn);
        let (line, keeps_context) = self.line(self.next_turn);
        self.next_turn += 1;
        OpenTurn {
            tenant: None,
            turn,
            attempt: self.next_turn,
            program: PROGRAM.to_owned(),
            session: line,
            previous: None,
            wants_chain: false,
            keeps_context,
            supplies_chain: false,
            budget: Some(BUDGET),
            max_tokens: MOST,
            placement: None,
            home_partition: None,
        }
    }

    /// What a former owner grants goes out at once or never: it can append nothing.
    fn open_at_former(&mut self, which: u8) {
        let request = self.next_request();
        let Some(index) = usize::from(which).checked_rem(self.formers.len()) else {
            return;
        };
        let outcome = self.formers[index].open(&request, NOW_MS);
        if let OpenOutcome::Opened { durable: true, .. } = outcome {
            self.begin(&request, true);
        }
    }

    fn open(&mut self) {
        let request = self.next_request();
        if let OpenOutcome::Opened {
            durable, records, ..
        } = self.owner.open(&request, NOW_MS)
        {
            self.push(records);
            self.begin(&request, durable);
        }
    }

    /// A turn was opened; until that is durable it waits for what is queued.
    fn begin(&mut self, request: &OpenTurn, durable: bool) {
        if !durable {
            self.waiting.push((self.queued, request.attempt));
        }
        self.running.push(Running {
            turn: request.turn.clone(),
            attempt: request.attempt,
            tokens: 0,
            may_hand_out: durable,
        });
    }

    fn hand_out(&mut self, which: u8, tokens: u8) {
        let count = self.running.len();
        if count == 0 {
            return;
        }
        let running = &mut self.running[usize::from(which) % count];
        if running.may_hand_out {
            let more = u64::from(tokens).min(MOST - running.tokens);
            running.tokens += more;
            self.handed_out += more;
        }
    }

    fn tell_end(&mut self, running: &Running) {
        let request = CloseTurn {
            tenant: None,
            turn: running.turn.clone(),
            attempt: running.attempt,
            program: PROGRAM.to_owned(),
            budget: Some(BUDGET),
            max_tokens: MOST,
            tokens: running.tokens,
            content: None,
            engine: None,
            home_partition: None,
            awaited: false,
        };
        let records = self.owner.close(&request, NOW_MS);
        self.push(records);
    }

    fn close(&mut self, which: u8) {
        if self.running.is_empty() {
            return;
        }
        let running = self.running.remove(usize::from(which) % self.running.len());
        self.tell_end(&running);
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
                running.may_hand_out = true;
            }
        }
    }

    fn hand_over(&mut self) {
        let records = self.owner.handover_records();
        self.push(records);
        while !self.queue.is_empty() {
            self.append();
        }
        let doubt_ms = self.owner.uncertainty_ms(NOW_MS);
        self.owner = Partition::after_handover(NOW_MS, doubt_ms);
        self.read_back();
    }

    /// The next owner begins from the log. Turns whose reservation was not durable
    /// are asked for again by their gateways before they hand anything out.
    fn lose_owner(&mut self) {
        let former = std::mem::replace(&mut self.owner, Partition::after_loss(NOW_MS, DOUBT_MS));
        self.formers.push(former);
        self.queue.clear();
        self.queued = self.appended;
        self.waiting.clear();
        self.read_back();
        let running = std::mem::take(&mut self.running).into_iter();
        let (running, never_begun): (Vec<Running>, Vec<Running>) =
            running.partition(|running| running.may_hand_out);
        self.running = running;
        self.ask_for_again(&never_begun);
    }

    fn read_back(&mut self) {
        for (key, value) in &self.log {
            if let Ok(record) = Record::read(key, value) {
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
            Step::OpenAtFormer(which) => self.open_at_former(which),
            Step::HandOut(which, tokens) => self.hand_out(which, tokens),
            Step::Close(which) => self.close(which),
            Step::CloseAgain(which) => {
                // Ends are told again within seconds, so only the latest ones.
                let latest = self.ended.len().saturating_sub(ENDS_TOLD_AGAIN);
                let ended = &self.ended[latest..];
                if let Some(index) = usize::from(which).checked_rem(ended.len()) {
                    let running = ended[index].clone();
                    self.tell_end(&running);
                }
            }
            Step::Append => self.append(),
            Step::LoseOwner => self.lose_owner(),
            Step::HandOver => self.hand_over(),
            Step::LoseGateway(which) => self.lose_gateway(which),
            Step::Question(step) => self.step_question(step),
        }
    }
}
