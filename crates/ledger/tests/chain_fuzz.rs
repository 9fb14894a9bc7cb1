//! Chains of turns across changes of owner, checked against an oracle that keeps the prompt and
//! output of each turn. A chain contains exactly its own inputs and outputs, and a turn whose end
//! was acknowledged is known during its retention, however long it took and whatever expired or
//! changed owner meanwhile. Tenants use the same turn ids, and a turn never continues a turn of
//! another tenant.

use fieldhook_ledger::message::{CloseTurn, OpenTurn, TurnContent};
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::partition::{OpenOutcome, Partition, UnknownChain};
use fieldhook_ledger::record::Record;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;

const RETENTION_MS: u64 = 60_000;
/// Requests without a tenant, and those of two tenants.
const TENANTS: [Option<&str>; 3] = [None, Some("a"), Some("b")];

/// How the end of a turn reaches the log.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It is appended and acknowledged.
    Acknowledged,
    /// It is appended and acknowledged after an outage of the log (in seconds), in which expired
    /// state is deleted.
    AcknowledgedLate(u8),
    /// It is appended, but the owner is lost before it acknowledges that. The gateway repeats the
    /// end at the next owner, which acknowledges it.
    Repeated,
    /// The owner is lost before the append, so the client never gets the end of the response.
    Lost,
}

impl Arbitrary for End {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 6 {
            0 => Self::Lost,
            1 => Self::Repeated,
            2 => Self::AcknowledgedLate(u8::arbitrary(g) % 120),
            _ => Self::Acknowledged,
        }
    }
}

/// A turn that continues an acknowledged one, or starts a chain.
#[derive(Clone, Copy, Debug)]
struct Start {
    tenant: usize,
    after: Option<u8>,
    /// How long the client waits for the end of the response, in seconds.
    timeout_s: u8,
}

impl Arbitrary for Start {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            tenant: usize::arbitrary(g) % TENANTS.len(),
            after: Option::arbitrary(g),
            timeout_s: u8::arbitrary(g),
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A turn starts and ends at once.
    Turn(Start, End),
    /// A turn starts and stays in progress.
    Start(Start),
    /// A turn in progress ends.
    End { which: u8, end: End },
    /// A turn names a previous turn that only other tenants have.
    ContinueForeign { tenant: usize },
    /// A turn names a previous turn that does not exist.
    ContinueUnknown,
    /// A new owner loads the log.
    ChangeOwner,
    /// Time passes (in seconds), and expired state is deleted.
    Wait(u8),
    /// As above, but the owner is lost when this many deletions are appended.
    WaitAndLoseOwner(u8, u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let tenant = usize::arbitrary(g) % TENANTS.len();
        match u8::arbitrary(g) % 18 {
            0..=5 => Self::Turn(Start::arbitrary(g), End::arbitrary(g)),
            6 => Self::ContinueUnknown,
            7..=8 => Self::ChangeOwner,
            9 => Self::ContinueForeign { tenant },
            10..=11 => Self::Start(Start::arbitrary(g)),
            12..=13 => Self::End {
                which: u8::arbitrary(g),
                end: End::arbitrary(g),
            },
            14 => Self::WaitAndLoseOwner(u8::arbitrary(g) % 90, u8::arbitrary(g) % 4),
            15 => Self::Wait(60 + u8::arbitrary(g) % 60),
            _ => Self::Wait(u8::arbitrary(g) % 30),
        }
    }
}

/// A chain that differs from its turns, or was forgotten too early.
#[derive(Debug)]
struct WrongChain;

struct KnownTurn {
    turn: String,
    contents: Vec<u8>,
    ended_ms: u64,
}

/// A turn in progress, as its gateway knows it.
struct StartedTurn {
    tenant: usize,
    turn: String,
    previous: Option<String>,
    chain: Vec<u8>,
    deadline_ms: u64,
}

impl StartedTurn {
    fn input(&self) -> Vec<u8> {
        format!("in-{}-{};", self.tenant, self.turn).into_bytes()
    }

    fn output(&self) -> Vec<u8> {
        format!("out-{}-{}\n", self.tenant, self.turn).into_bytes()
    }

    /// Message that ends the turn now, with its chain if `has_chain` is set. The client may get the
    /// end of the response until the deadline, from which the retention counts.
    fn close(&self, has_chain: bool, now_ms: u64) -> CloseTurn {
        let (previous, input) = match has_chain {
            true => (None, [self.chain.clone(), self.input()].concat()),
            false => (self.previous.clone(), self.input()),
        };
        CloseTurn {
            tenant: TENANTS[self.tenant].map(str::to_owned),
            turn: self.turn.clone(),
            attempt: 0,
            program: "p".to_owned(),
            budget: None,
            max_tokens: 10,
            tokens: 1,
            content: Some(TurnContent {
                previous,
                input,
                output: self.output(),
                retention_ms: RETENTION_MS + self.deadline_ms - now_ms,
            }),
            engine: None,
            home_partition: None,
            delays_response: true,
        }
    }
}

#[derive(Default)]
struct Simulation {
    owner: Partition,
    log: BTreeMap<Vec<u8>, Vec<u8>>,
    known: [Vec<KnownTurn>; TENANTS.len()],
    started: Vec<StartedTurn>,
    now_ms: u64,
    next_turn: [u64; TENANTS.len()],
}

impl Simulation {
    fn append(&mut self, records: &[Record]) {
        for record in records {
            let value = record.value();
            if value.is_empty() {
                self.log.remove(&record.key());
            } else {
                self.log.insert(record.key(), value);
            }
        }
    }

    fn open(&mut self, tenant: usize, turn: &str, previous: Option<String>) -> OpenOutcome {
        let request = OpenTurn {
            tenant: TENANTS[tenant].map(str::to_owned),
            turn: turn.to_owned(),
            attempt: 0,
            program: "p".to_owned(),
            session: None,
            previous,
            wants_chain: true,
            retains_context: true,
            supplies_chain: false,
            budget: None,
            max_tokens: 10,
            assignment: None,
            home_partition: None,
        };
        self.owner.open(&request, self.now_ms)
    }

    /// Starts a turn and returns it, or nothing if its chain may have been forgotten.
    ///
    /// # Errors
    /// The chain is wrong, or was forgotten during its retention.
    fn start_turn(&mut self, start: Start) -> Result<Option<StartedTurn>, WrongChain> {
        let Start { tenant, after, .. } = start;
        let turn = format!("t{}", self.next_turn[tenant]);
        self.next_turn[tenant] += 1;
        let known = &self.known[tenant];
        let previous = after
            .and_then(|index| usize::from(index).checked_rem(known.len()))
            .map(|index| &known[index]);
        let expected = previous
            .map(|known| known.contents.clone())
            .unwrap_or_default();
        let is_retained = previous.is_none_or(|known| self.now_ms < known.ended_ms + RETENTION_MS);
        let previous = previous.map(|known| known.turn.clone());
        match self.open(tenant, &turn, previous.clone()) {
            OpenOutcome::Opened { chain, .. } if chain == expected => Ok(Some(StartedTurn {
                tenant,
                turn,
                previous,
                chain,
                deadline_ms: self.now_ms + u64::from(start.timeout_s) * 1_000,
            })),
            OpenOutcome::UnknownTurn if !is_retained => Ok(None),
            _ => Err(WrongChain),
        }
    }

    fn run_turn(&mut self, start: Start, end: End) -> bool {
        let started = self.start_turn(start);
        if let Ok(Some(turn)) = &started {
            self.end_turn(turn, end);
        }
        started.is_ok()
    }

    /// Returns the records of the end of a turn.
    fn close(&mut self, turn: &StartedTurn) -> Vec<Record> {
        let now_ms = self.now_ms;
        let closed = self.owner.close(&turn.close(false, now_ms), now_ms);
        closed.unwrap_or_else(|UnknownChain| {
            let closed = self.owner.close(&turn.close(true, now_ms), now_ms);
            closed.expect("it continues no turn")
        })
    }

    fn end_turn(&mut self, turn: &StartedTurn, end: End) {
        if self.now_ms > turn.deadline_ms {
            return;
        }
        let records = self.close(turn);
        match end {
            End::Acknowledged => self.append(&records),
            End::AcknowledgedLate(seconds) => {
                let deletions = self.wait(seconds);
                self.append(&records);
                self.append(&deletions);
                if self.now_ms > turn.deadline_ms {
                    return;
                }
            }
            End::Repeated => {
                self.append(&records);
                self.change_owner();
                let repeated = self.close(turn);
                self.append(&repeated);
            }
            End::Lost => return self.change_owner(),
        }
        let contents = [turn.chain.clone(), turn.input(), turn.output()].concat();
        self.known[turn.tenant].push(KnownTurn {
            turn: turn.turn.clone(),
            contents,
            ended_ms: self.now_ms,
        });
    }

    /// Ends a turn in progress, if there is one.
    fn end_started_turn(&mut self, which: u8, end: End) {
        if let Some(index) = usize::from(which).checked_rem(self.started.len()) {
            let turn = self.started.swap_remove(index);
            self.end_turn(&turn, end);
        }
    }

    /// Lets time pass and returns the records that delete what has expired.
    fn wait(&mut self, seconds: u8) -> Vec<Record> {
        self.now_ms += u64::from(seconds) * 1_000;
        self.owner.expire(self.now_ms)
    }

    /// Tries to continue a turn of the tenant that has the most turns. Does nothing if this tenant
    /// has a turn with the same id.
    fn continue_foreign(&mut self, tenant: usize) -> bool {
        let other = (0..TENANTS.len()).max_by_key(|other| self.next_turn[*other]);
        let Some(number) = other.and_then(|other| self.next_turn[other].checked_sub(1)) else {
            return true;
        };
        if number < self.next_turn[tenant] {
            return true;
        }
        self.open(tenant, "x", Some(format!("t{number}"))) == OpenOutcome::UnknownTurn
    }

    fn change_owner(&mut self) {
        self.owner = Partition::default();
        for (key, value) in &self.log {
            if let Ok(record) = Record::decode(key, value) {
                self.owner.load(record);
            }
        }
        self.owner.finish_loading();
    }

    fn step(&mut self, step: Step) -> bool {
        match step {
            Step::Turn(start, end) => self.run_turn(start, end),
            Step::Start(start) => {
                let started = self.start_turn(start);
                let is_right = started.is_ok();
                self.started.extend(started.ok().flatten());
                is_right
            }
            Step::End { which, end } => {
                self.end_started_turn(which, end);
                true
            }
            Step::ContinueForeign { tenant } => self.continue_foreign(tenant),
            Step::ContinueUnknown => {
                self.open(0, "x", Some("never".to_owned())) == OpenOutcome::UnknownTurn
            }
            Step::ChangeOwner => {
                self.change_owner();
                true
            }
            Step::Wait(seconds) => {
                let records = self.wait(seconds);
                self.append(&records);
                true
            }
            Step::WaitAndLoseOwner(seconds, appended) => {
                let records = self.wait(seconds);
                let appended = usize::from(appended).min(records.len());
                self.append(&records[..appended]);
                self.change_owner();
                true
            }
        }
    }
}

fn chains_match(steps: Vec<Step>) -> bool {
    let mut simulation = Simulation::default();
    steps.into_iter().all(|step| simulation.step(step))
}

#[test]
fn chains_contain_exactly_their_own_turns_across_owner_changes() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 31))
        .tests(3_000)
        .quickcheck(chains_match as fn(Vec<Step>) -> bool);
}

#[test]
fn cycle_in_a_corrupt_chain_terminates() {
    let mut owner = Partition::default();
    let mut simulation = Simulation::default();
    let start = Start {
        tenant: 0,
        after: None,
        timeout_s: 1,
    };
    simulation.run_turn(start, End::Acknowledged);
    for (key, value) in &simulation.log {
        if let Ok(Record::Turn(name, Some(mut record))) = Record::decode(key, value) {
            record.previous = Some(name.name.clone());
            owner.load(Record::Turn(name, Some(record)));
        }
    }
    owner.finish_loading();
    let turn = QualifiedName::new(None, "t0");
    assert_eq!(owner.chain_contents(&turn), None);
    assert_eq!(owner.chains().missing_turn(&turn), Some(turn));
}
