//! The state machine of one partition, as its owner runs it.

use crate::budget::{Ahead, Budget, End, Reservation};
use crate::message::{BudgetUsage, CloseTurn, OpenTurn};
use crate::name::QualifiedName;
use crate::record::{ProgramRecord, Record, TurnRecord};
use crate::uncertainty::Uncertainty;
pub use crate::uncertainty::uncertainty_after_loss_ms;
use std::collections::HashMap;

/// How much longer than promised a turn is kept, in milliseconds: clocks of
/// different owners differ.
const RETENTION_MARGIN_MS: u64 = 15_000;
/// How long a program's budget is kept after its last change, in milliseconds.
const PROGRAM_RETENTION_MS: u64 = 180_000;

/// Turns whose content is kept end only with their record.
fn ahead_for(request: &OpenTurn) -> Ahead {
    match request.keeps_context {
        true => Ahead::Turn,
        false => Ahead::Part,
    }
}

/// What became of a request to begin a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenOutcome {
    /// It may begin.
    Opened {
        /// Contents of the chain, where wanted.
        chain: Vec<u8>,
        /// Output need not wait for the append.
        durable: bool,
        /// Where it has to, tokens that may be handed out before.
        allowed: u64,
        /// It is the first turn of its program.
        is_first_turn: bool,
        /// To append.
        records: Vec<Record>,
    },
    /// The budget does not hold it.
    BudgetSpent(BudgetUsage),
    /// A turn of its chain is not kept.
    UnknownTurn,
    /// Its end was told already: the question was under way when its asker left.
    AlreadyEnded,
}

struct Turn {
    record: TurnRecord,
    keep_until_ms: u64,
}

impl Turn {
    /// The turn that this one, of the given name, went on from.
    fn previous_of(&self, name: &QualifiedName) -> Option<QualifiedName> {
        let previous = self.record.previous.as_deref()?;
        Some(name.in_same_tenant(previous))
    }
}

/// Programs and turns of one partition.
#[derive(Default)]
pub struct Partition {
    programs: HashMap<QualifiedName, Budget>,
    turns: HashMap<QualifiedName, Turn>,
    /// Programs that were forgotten, with the deletions that are not durable yet: a successor may
    /// read the record of before, and would count that alone.
    forgotten: HashMap<QualifiedName, u32>,
    /// Whether a program that no record tells of may be an earlier owner's.
    doubt: Uncertainty,
    /// The owner before was lost: gateways of turns that it told of may be lost with it.
    is_after_loss: bool,
}

impl Partition {
    /// A partition whose last owner was lost. For `doubt_ms` from now on it may have granted
    /// turns which no record tells of: see [`uncertainty_after_loss_ms`].
    pub fn after_loss(now_ms: u64, doubt_ms: u64) -> Self {
        Self {
            is_after_loss: true,
            ..Self::after_handover(now_ms, doubt_ms)
        }
    }

    /// A partition whose last owner recorded all that it granted before it gave the partition
    /// up. For `doubt_ms` from now on unknown programs are in doubt, as they were for it.
    pub fn after_handover(now_ms: u64, doubt_ms: u64) -> Self {
        Self {
            doubt: Uncertainty::until(now_ms + doubt_ms),
            ..Self::default()
        }
    }

    /// How long unknown programs are in doubt from now on, in milliseconds.
    pub fn uncertainty_ms(&self, now_ms: u64) -> u64 {
        self.doubt.left_ms(now_ms)
    }

    /// What to append once the partition was read, so that programs may begin without the log
    /// while unknown ones are in doubt.
    pub fn claim_unrecorded_share(&self, now_ms: u64) -> Vec<Record> {
        let claimed = self.doubt.claim_part(now_ms);
        claimed.map(Record::UnrecordedShares).into_iter().collect()
    }

    /// Records to be appended before the partition is given up: nothing is reserved ahead
    /// after them, and every program has one.
    pub fn handover_records(&mut self) -> Vec<Record> {
        self.record_programs(Budget::last_record)
    }

    fn record_programs(
        &mut self,
        record: impl Fn(&mut Budget) -> Option<ProgramRecord>,
    ) -> Vec<Record> {
        let programs = self.programs.iter_mut();
        let records = programs
            .filter_map(|(name, program)| Some((name, record(program)?)))
            .map(|(name, record)| Record::Program(name.clone(), Some(record)));
        records.collect()
    }

    fn program(&mut self, name: QualifiedName, budget: u64, now_ms: u64) -> &mut Budget {
        let mut unrecorded = self.doubt.unrecorded(now_ms);
        unrecorded.may &= !self.forgotten.contains_key(&name);
        self.programs
            .entry(name)
            .or_insert_with(|| Budget::fresh(budget, unrecorded))
    }

    /// Takes in a record of the topic while taking over.
    pub fn load(&mut self, record: Record) {
        match record {
            Record::Program(name, Some(record)) => {
                self.programs.insert(name, Budget::recover(&record));
            }
            Record::Turn(name, Some(record)) => {
                let keep_until_ms = record.ended_ms + record.retention_ms;
                self.turns.insert(
                    name,
                    Turn {
                        record,
                        keep_until_ms,
                    },
                );
            }
            Record::UnrecordedShares(successors) => self.doubt.load(successors),
            Record::Program(name, None) => {
                self.programs.remove(&name);
            }
            Record::Turn(name, None) => {
                self.turns.remove(&name);
            }
        }
    }

    /// All records are in: a chain is kept as long as its latest turn.
    pub fn finish_loading(&mut self) {
        if self.is_after_loss {
            self.programs.values_mut().for_each(Budget::doubt_open);
        }
        let ends: Vec<(QualifiedName, u64)> = self
            .turns
            .iter()
            .map(|(name, turn)| (name.clone(), turn.keep_until_ms))
            .collect();
        for (name, keep_until_ms) in ends {
            self.keep_chain(&name, keep_until_ms);
        }
    }

    /// A turn asks to begin. The same turn may ask again.
    pub fn open(&mut self, request: &OpenTurn, now_ms: u64) -> OpenOutcome {
        let Some(chain) = self.chain_for(request) else {
            return OpenOutcome::UnknownTurn;
        };
        let Some(budget) = request.budget else {
            return OpenOutcome::Opened {
                chain,
                durable: true,
                allowed: request.max_tokens,
                is_first_turn: request.previous.is_none(),
                records: Vec::new(),
            };
        };
        let name = request.qualified_name(&request.program);
        let program = self.program(name.clone(), budget, now_ms);
        program.observe(request.max_tokens, Some(ahead_for(request)));
        let turn = request.reservation_id();
        let allowed = match program.reserve(&request.of_budget(&turn), budget, now_ms) {
            Reservation::Durable => request.max_tokens,
            Reservation::Pending { allowed } => allowed,
            Reservation::Spent => return OpenOutcome::BudgetSpent(program.shortage(now_ms)),
            Reservation::Ended => return OpenOutcome::AlreadyEnded,
        };
        let begins = request.previous.is_none() && program.begins_with(&turn);
        let durable = allowed == request.max_tokens;
        let mut records = Vec::new();
        if !durable {
            let record = program.record(budget);
            records.push(Record::Program(name, Some(record)));
        }
        OpenOutcome::Opened {
            chain,
            durable,
            allowed,
            is_first_turn: begins,
            records,
        }
    }

    /// A turn has ended. The same end may be told again: what is known already is
    /// appended or about to be.
    pub fn close(&mut self, request: &CloseTurn, now_ms: u64) -> Vec<Record> {
        let mut records = Vec::new();
        if let Some(budget) = request.budget {
            let name = request.qualified_name(&request.program);
            let program = self.program(name.clone(), budget, now_ms);
            program.observe(request.max_tokens, None);
            let record = match program.settle(&request.reservation_id(), request.tokens, now_ms) {
                End::Known => None,
                End::Unasked => Some(program.record_as_reserved()),
                End::Counted => Some(program.record(budget)),
            };
            records.extend(record.map(|record| Record::Program(name, Some(record))));
        }
        let turn = request.qualified_name(&request.turn);
        if let Some(content) = &request.content
            && !self.turns.contains_key(&turn)
        {
            let record = TurnRecord {
                program: request.program.clone(),
                previous: content.previous.clone(),
                input: content.input.clone(),
                output: content.output.clone(),
                ended_ms: now_ms,
                retention_ms: content.retention_ms,
            };
            self.load(Record::Turn(turn.clone(), Some(record.clone())));
            self.keep_chain(&turn, now_ms + content.retention_ms);
            records.push(Record::Turn(turn, Some(record)));
        }
        records
    }

    /// A record was appended.
    pub fn record_appended(&mut self, record: &Record) {
        match record {
            // Before the deletion it is one of the program's life before.
            Record::Program(name, Some(_)) if !self.forgotten.contains_key(name) => {
                if let Some(program) = self.programs.get_mut(name) {
                    program.appended();
                }
            }
            Record::Program(name, None) => self.deleted(name),
            Record::UnrecordedShares(successors) => self.doubt.appended(*successors),
            _ => {}
        }
    }

    /// The deletion of a forgotten program is durable.
    fn deleted(&mut self, name: &QualifiedName) {
        let Some(deletions) = self.forgotten.get_mut(name) else {
            return;
        };
        *deletions -= 1;
        if *deletions == 0 {
            self.forgotten.remove(name);
        }
    }

    /// Deletes what need not be kept any longer.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Record> {
        let mut records = self.end_doubt(now_ms);
        self.turns.retain(|name, turn| {
            let keep = now_ms < turn.keep_until_ms + RETENTION_MARGIN_MS;
            if !keep {
                records.push(Record::Turn(name.clone(), None));
            }
            keep
        });
        self.programs.retain(|name, program| {
            let keep = now_ms < program.changed_ms() + PROGRAM_RETENTION_MS;
            if !keep {
                *self.forgotten.entry(name.clone()).or_default() += 1;
                records.push(Record::Program(name.clone(), None));
            }
            keep
        });
        records
    }

    /// Says that the doubt is over, after all that was handed out in it.
    fn end_doubt(&mut self, now_ms: u64) -> Vec<Record> {
        if !self.doubt.needs_end(now_ms) {
            return Vec::new();
        }
        let mut records = self.record_programs(Budget::first_record);
        records.push(Record::UnrecordedShares(0));
        records
    }

    /// Turns kept.
    pub fn turn_count(&self) -> usize {
        self.turns.len()
    }

    /// Programs known.
    pub fn program_count(&self) -> usize {
        self.programs.len()
    }

    /// The record of a program as it stands, for checks.
    pub fn committed_tokens(&self, program: &QualifiedName) -> u64 {
        self.programs.get(program).map_or(0, Budget::committed)
    }

    fn chain_for(&self, request: &OpenTurn) -> Option<Vec<u8>> {
        let Some(previous) = &request.previous else {
            return Some(Vec::new());
        };
        if !request.keeps_context || request.supplies_chain {
            return Some(Vec::new());
        }
        self.chain_contents(&request.qualified_name(previous))
            .map(|contents| {
                if request.wants_chain {
                    contents
                } else {
                    Vec::new()
                }
            })
    }

    /// Inputs and outputs of the chain that ends with a turn, oldest first.
    pub fn chain_contents(&self, last: &QualifiedName) -> Option<Vec<u8>> {
        let chain = self.chain(last)?;
        let mut contents = Vec::new();
        for turn in chain.iter().rev() {
            contents.extend_from_slice(&turn.record.input);
            contents.extend_from_slice(&turn.record.output);
        }
        Some(contents)
    }

    /// The turns from this one back to the first.
    fn chain(&self, last: &QualifiedName) -> Option<Vec<&Turn>> {
        let mut chain = Vec::new();
        let mut next = Some(last.clone());
        while let Some(name) = next {
            if chain.len() > self.turns.len() {
                return None;
            }
            let turn = self.turns.get(&name)?;
            next = turn.previous_of(&name);
            chain.push(turn);
        }
        Some(chain)
    }

    fn keep_chain(&mut self, last: &QualifiedName, until_ms: u64) {
        let mut next = Some(last.clone());
        let mut steps = 0;
        while let Some(name) = next {
            let Some(turn) = self.turns.get_mut(&name) else {
                return;
            };
            steps += 1;
            turn.keep_until_ms = turn.keep_until_ms.max(until_ms);
            next = turn.previous_of(&name);
            if steps > 10_000 {
                return;
            }
        }
    }
}
