//! What losses of owners take from a program's budget: a turn is refused only where what the
//! program can have used at its most leaves no room for it, beyond a stated bound.
//!
//! The oracle counts a turn whose end was recorded by its tokens, any other turn that may
//! have handed something out at its most. Each loss of an owner may hide at most what was
//! reserved ahead; of that the most of one turn costs nothing, as a budget may be exceeded by
//! it. The other side is checked beside it, as in `budget_fuzz.rs`: the tokens handed out are
//! never more than the budget and one turn's most, also where turns hand out what they are
//! allowed before their record and successors in doubt have parts of their own.

use fieldhook_ledger::message::{CloseTurn, OpenTurn, TurnContent};
use fieldhook_ledger::partition::{OpenOutcome, Partition};
use fieldhook_ledger::record::Record;
use fieldhook_ledger::scope::Name;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use std::collections::{BTreeMap, VecDeque};

const BUDGET: u64 = 2_700;
const MOST: u64 = 580;
const PROGRAM: &str = "p";
/// Longer than any story: its clock stands still.
const DOUBT_MS: u64 = 60_000;

#[derive(Clone, Copy, Debug)]
enum Step {
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
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let which = u8::arbitrary(g);
        let part = u8::arbitrary(g);
        match u8::arbitrary(g) % 16 {
            0..3 => Self::Open,
            3 if part < 64 => Self::OpenAtFormer(which),
            3..5 => Self::HandOut(which, part),
            5..9 => Self::Close(which, part),
            9..11 => Self::Append,
            11..14 => Self::AppendAll,
            14 if which < 64 => Self::HandOver,
            14 => Self::LoseOwner,
            _ => Self::LoseAll,
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
}

struct World {
    owner: Partition,
    formers: Vec<Partition>,
    keeps_context: bool,
    log: BTreeMap<Vec<u8>, Vec<u8>>,
    queue: VecDeque<Record>,
    turns: Vec<Turn>,
    next_turn: u64,
    appended: usize,
    queued: usize,
    /// What the losses so far leave of the budget at least.
    room: u64,
    losses: u32,
}

impl World {
    fn new(keeps_context: bool) -> Self {
        Self {
            owner: Partition::default(),
            formers: Vec::new(),
            keeps_context,
            log: BTreeMap::new(),
            queue: VecDeque::new(),
            turns: Vec::new(),
            next_turn: 0,
            appended: 0,
            queued: 0,
            room: BUDGET,
            losses: 0,
        }
    }

    /// Tokens that the program can have used at its most.
    fn used(&self) -> u64 {
        let of_turn = |turn: &Turn| match turn.ended {
            true => turn.tokens,
            false => MOST,
        };
        self.turns.iter().map(of_turn).sum()
    }

    fn handed_out(&self) -> u64 {
        self.turns.iter().map(|turn| turn.tokens).sum()
    }

    /// A refusal is right if the budget does not hold the turn, or the losses may have hidden
    /// so much.
    fn may_refuse(&self) -> bool {
        let used = self.used();
        used + MOST > BUDGET || used > self.room
    }

    fn counted(&self) -> u64 {
        self.owner.committed(&Name::new(None, PROGRAM))
    }

    /// An owner that knows the program counts all that was handed out of it, by whomever.
    fn counts_all(&self) -> bool {
        self.owner.programs() == 0 || self.counted() >= self.handed_out()
    }

    fn push(&mut self, records: Vec<Record>) {
        self.queued += records.len();
        self.queue.extend(records);
    }

    fn request(&mut self) -> OpenTurn {
        let turn = format!("t{}", self.next_turn);
        self.next_turn += 1;
        OpenTurn {
            tenant: None,
            turn,
            attempt: self.next_turn,
            program: PROGRAM.to_owned(),
            previous: None,
            wants_chain: self.keeps_context,
            keeps_context: self.keeps_context,
            brings_chain: false,
            budget: Some(BUDGET),
            most_tokens: MOST,
            placement: None,
            keeper: None,
        }
    }

    /// Begins a turn. False if it was refused.
    fn open(&mut self) -> bool {
        let request = self.request();
        let outcome = self.owner.open(&request, 1);
        let OpenOutcome::Opened {
            allowed, records, ..
        } = outcome
        else {
            return false;
        };
        self.push(records);
        self.begun(request, allowed, self.queued);
        true
    }

    /// What a former owner grants goes out at once or never: it can append nothing.
    fn open_at_former(&mut self, which: u8) {
        let request = self.request();
        let Some(index) = usize::from(which).checked_rem(self.formers.len()) else {
            return;
        };
        let outcome = self.formers[index].open(&request, 1);
        if let OpenOutcome::Opened { allowed, .. } = outcome
            && allowed > 0
        {
            self.begun(request, allowed, usize::MAX);
        }
    }

    fn begun(&mut self, request: OpenTurn, allowed: u64, durable_at: usize) {
        self.turns.push(Turn {
            id: request.turn,
            attempt: request.attempt,
            allowed,
            tokens: 0,
            ended: false,
            durable_at,
            recorded_at: usize::MAX,
            gateway_lives: true,
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
    fn end_with(&mut self, tokens: u64) {
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
            budget: Some(BUDGET),
            most_tokens: MOST,
            tokens,
            content: self.keeps_context.then(|| TurnContent {
                previous: None,
                input: Vec::new(),
                output: Vec::new(),
                retention_ms: 60_000,
            }),
            engine: None,
            keeper: None,
        };
        let records = self.owner.close(&request, 2);
        self.push(records);
        let recorded_at = self.queued;
        for turn in self.turns.iter_mut().filter(|turn| turn.id == id) {
            turn.recorded_at = recorded_at;
        }
    }

    fn append(&mut self) {
        let Some(record) = self.queue.pop_front() else {
            return;
        };
        self.appended += 1;
        self.log.insert(record.key(), record.value());
        self.owner.appended(&record);
        let appended = self.appended;
        for turn in &mut self.turns {
            if turn.durable_at <= appended {
                turn.allowed = MOST;
            }
        }
    }

    fn append_all(&mut self) {
        while !self.queue.is_empty() {
            self.append();
        }
    }

    fn read_back(&mut self) {
        for (key, value) in &self.log {
            let record = Record::read(key, value).expect("a record as it was written");
            self.owner.load(record);
        }
        self.owner.loaded();
        let records = self.owner.claim_part(1);
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
        let is_known = self.owner.programs() > 0;
        let records = self.owner.hand_over();
        self.push(records);
        self.append_all();
        let doubt_ms = self.owner.doubt_ms(1);
        self.owner = Partition::taken_over(1, doubt_ms);
        if !is_known {
            self.count_loss();
        }
        self.read_back();
    }

    fn lose_owner(&mut self, gateways_live: bool) {
        let former = std::mem::replace(&mut self.owner, Partition::taken_over(1, DOUBT_MS));
        if gateways_live {
            self.formers.push(former);
        }
        self.queue.clear();
        self.queued = self.appended;
        self.count_loss();
        let appended = self.appended;
        // What was allowed nothing has handed out nothing; it asks again as another turn.
        self.turns
            .retain(|turn| turn.allowed > 0 || turn.recorded_at <= appended);
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
    fn step(&mut self, step: Step) -> bool {
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
        }
        true
    }
}

fn refusals_are_owed(keeps_context: bool, steps: &[Step]) -> TestResult {
    let mut world = World::new(keeps_context);
    for step in steps {
        if !world.step(*step) {
            return TestResult::error(format!(
                "refused with {} of {BUDGET} used at most, after {} losses",
                world.used(),
                world.losses
            ));
        }
        if !world.counts_all() {
            return TestResult::error(format!(
                "an owner counts {} of {} handed out",
                world.counted(),
                world.handed_out()
            ));
        }
        if world.handed_out() > BUDGET + MOST {
            return TestResult::error(format!("{} handed out", world.handed_out()));
        }
    }
    TestResult::passed()
}

fn kept(steps: Vec<Step>) -> TestResult {
    refusals_are_owed(true, &steps)
}

fn not_kept(steps: Vec<Step>) -> TestResult {
    refusals_are_owed(false, &steps)
}

#[test]
fn a_program_whose_turns_are_kept_loses_one_turns_most_to_each_loss_after_the_first() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 31))
        .tests(20_000)
        .quickcheck(kept as fn(Vec<Step>) -> TestResult);
}

#[test]
fn a_program_whose_turns_are_not_kept_loses_half_of_what_is_left_to_each_loss() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 32))
        .tests(20_000)
        .quickcheck(not_kept as fn(Vec<Step>) -> TestResult);
}

/// One turn is recorded, the second is under way when all daemons are lost, the third is
/// recorded, and all are lost once more: 1,595 of 2,700 tokens at most.
#[test]
fn a_turn_of_a_living_program_begins_after_two_losses_of_all_daemons() {
    let mut world = World::new(true);
    let whole_turn = |part| [Step::Open, Step::AppendAll, Step::Close(0, part)];
    let story = whole_turn(191)
        .into_iter()
        .chain([Step::AppendAll, Step::Open, Step::AppendAll, Step::LoseAll])
        .chain(whole_turn(255))
        .chain([Step::AppendAll, Step::LoseAll]);
    for step in story {
        assert!(world.step(step), "{step:?}");
    }
    assert_eq!(world.used(), 434 + 2 * MOST);
    assert!(world.open(), "the budget holds one more turn");
}

/// All owners are lost, and a moment later the log: a program that begins then is in doubt.
#[test]
fn a_program_that_begins_in_doubt_runs_to_its_end_without_the_log() {
    let mut world = World::new(false);
    world.step(Step::LoseAll);
    world.append_all();
    for turn in 0..3 {
        assert!(world.open(), "turn {turn}");
        world.end_with(145);
    }
}

/// What a recorded turn left of its most is freed by the successor that hears of its end, so
/// its owner may not have given it to another turn.
#[test]
fn what_a_recorded_turn_left_is_not_handed_out_under_that_record() {
    let mut world = World::new(true);
    assert!(world.open() && world.open());
    world.append_all();
    assert!(world.open());
    world.step(Step::Close(1, 221));
    assert!(world.open());
    for which in 0..3 {
        world.step(Step::HandOut(which, 255));
    }
    world.step(Step::LoseOwner);
    let (counted, handed_out) = (world.counted(), world.handed_out());
    assert!(world.counts_all(), "{counted} of {handed_out}");
}

/// An owner that gives its partition up in order leaves nothing reserved ahead behind, however
/// often that happens.
#[test]
fn planned_stops_take_nothing_of_a_budget() {
    let mut world = World::new(true);
    for stop in 0..9 {
        assert!(world.open(), "stop {stop}");
        world.append_all();
        world.end_with(145);
        world.append_all();
        world.step(Step::HandOver);
        assert_eq!(world.counted(), world.used(), "stop {stop}");
    }
}

/// Between two turns nothing is under way: losses there cost nothing that a turn needs, as
/// long as there are no more of them than the bound tells.
#[test]
fn a_loss_between_two_turns_takes_no_turn_from_a_program() {
    let mut world = World::new(true);
    for step in [Step::Open, Step::AppendAll, Step::Close(0, 255)] {
        assert!(world.step(step));
    }
    world.step(Step::AppendAll);
    world.step(Step::LoseAll);
    for turn in 1..4 {
        assert!(world.open(), "turn {turn}");
        world.append_all();
        world.step(Step::Close(0, 255));
        world.append_all();
    }
    assert!(!world.open(), "2,320 of 2,700 are used");
}
