//! State machine of one partition, run by its owner.

use crate::budget::{Budget, ReserveOutcome, ReservePolicy, Settlement};
use crate::chains::{Chains, RETENTION_MARGIN_MS};
use crate::crashes::{CrashTable, SendDecision};
use crate::message::{
    BudgetUsage, CloseTurn, ConfirmAttempt, OpenTurn, RecordStream, ReportAttempt, RequestSend,
};
use crate::name::QualifiedName;
use crate::record::{ProgramRecord, Record, TurnRecord};
use crate::software::{Registration, ServiceSoftware, SoftwareRegister};
use crate::streams::{Stream, StreamOrigin, Streams};
use crate::uncertainty::Uncertainty;
pub use crate::uncertainty::uncertainty_after_loss_ms;
use std::collections::HashMap;

/// Shortest time that the budget of a program is stored after its last change, in milliseconds.
const MIN_PROGRAM_RETENTION_MS: u64 = 180_000;

/// How long the budget of a program is stored after its last change, in milliseconds, if a turn
/// takes at most `longest_turn_ms` and is promised to be stored for at most `longest_retention_ms`:
/// the program may continue a turn for that long.
pub fn program_retention_ms(longest_turn_ms: u64, longest_retention_ms: u64) -> u64 {
    longest_turn_ms
        .saturating_add(longest_retention_ms)
        .saturating_add(RETENTION_MARGIN_MS)
        .max(MIN_PROGRAM_RETENTION_MS)
}

/// Turns whose content is stored cannot end without the log, so tokens for at most one further turn
/// are reserved ahead.
fn reserve_policy(request: &OpenTurn) -> ReservePolicy {
    match request.retains_context {
        true => ReservePolicy::OneTurn,
        false => ReservePolicy::Share,
    }
}

/// Outcome of a request to open a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenOutcome {
    /// The turn may start.
    Opened {
        /// Contents of the chain, if requested.
        chain: Vec<u8>,
        /// Whether output may be delivered without waiting for the append.
        durable: bool,
        /// Tokens that may be delivered before the append.
        allowed: u64,
        /// Whether this is the first turn of its program.
        is_first_turn: bool,
        /// Records to append.
        records: Vec<Record>,
    },
    /// The budget has no room for the turn.
    BudgetSpent(BudgetUsage),
    /// A turn of the chain is not stored.
    UnknownTurn,
    /// The turn has already ended: this request was delayed, and its sender has given up.
    AlreadyEnded,
}

/// The chain that an ended turn continues is not stored, so its content could not be read again.
/// Its sender has the chain and stores it together with the turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownChain;

/// Programs and turns of one partition.
#[derive(Default)]
pub struct Partition {
    programs: HashMap<QualifiedName, Budget>,
    chains: Chains,
    streams: Streams,
    crashes: CrashTable,
    software: SoftwareRegister,
    /// Number of pending deletions of each expired program. Until they are durable, a successor may
    /// still read the old record and count only that.
    pending_deletions: HashMap<QualifiedName, u32>,
    /// Whether a program without a record may have been started by a previous owner.
    uncertainty: Uncertainty,
    /// Unix time when loading began, in milliseconds.
    loaded_ms: u64,
    /// The previous owner was lost, and possibly the gateways of its recorded turns as well.
    previous_owner_lost: bool,
    program_retention_ms: u64,
}

impl Partition {
    /// A partition without a previous owner.
    pub fn first(now_ms: u64) -> Self {
        Self {
            loaded_ms: now_ms,
            ..Self::default()
        }
    }

    /// A partition whose previous owner was lost. That owner may have granted turns without a
    /// record to programs that first appear within the next `uncertainty_ms`: see
    /// [`uncertainty_after_loss_ms`].
    pub fn after_loss(now_ms: u64, uncertainty_ms: u64) -> Self {
        Self {
            previous_owner_lost: true,
            ..Self::after_handover(now_ms, uncertainty_ms)
        }
    }

    /// A partition whose previous owner recorded all its grants before it released the partition.
    /// The uncertainty window of that owner continues here for the next `uncertainty_ms`.
    pub fn after_handover(now_ms: u64, uncertainty_ms: u64) -> Self {
        Self {
            uncertainty: Uncertainty::until(now_ms + uncertainty_ms),
            loaded_ms: now_ms,
            ..Self::default()
        }
    }

    /// Sets how long budgets are stored: see [`program_retention_ms`].
    pub fn set_program_retention(&mut self, retention_ms: u64) {
        self.program_retention_ms = retention_ms;
    }

    /// Remaining uncertainty window, in milliseconds.
    pub fn uncertainty_ms(&self, now_ms: u64) -> u64 {
        self.uncertainty.remaining_ms(now_ms)
    }

    /// Records to append once the partition is loaded. After that this owner may grant its own
    /// share to programs without a record during the uncertainty window, even if the log becomes
    /// unavailable.
    pub fn unrecorded_share_records(&self, now_ms: u64) -> Vec<Record> {
        let successors = self.uncertainty.share_record(now_ms);
        successors
            .map(Record::UnrecordedShares)
            .into_iter()
            .collect()
    }

    /// Records to append before the partition is released. After them no tokens are reserved ahead,
    /// and every program has a record.
    pub fn handover_records(&mut self) -> Vec<Record> {
        self.program_records(Budget::handover_record)
    }

    fn program_records(
        &mut self,
        record: impl Fn(&mut Budget) -> Option<ProgramRecord>,
    ) -> Vec<Record> {
        let programs = self.programs.iter_mut();
        let records = programs
            .filter_map(|(name, program)| Some((name, record(program)?)))
            .map(|(name, record)| Record::Program(name.clone(), Some(record)));
        records.collect()
    }

    fn program_budget(&mut self, name: QualifiedName, budget: u64, now_ms: u64) -> &mut Budget {
        let mut unrecorded = self.uncertainty.unrecorded_grants(now_ms);
        unrecorded.may_grant &= !self.pending_deletions.contains_key(&name);
        self.programs
            .entry(name)
            .or_insert_with(|| Budget::new(budget, unrecorded))
    }

    /// Applies a record of the topic during a takeover.
    pub fn load(&mut self, record: Record) {
        match record {
            Record::Program(name, Some(record)) => {
                self.programs.insert(name, Budget::from_record(&record));
            }
            Record::Turn(name, Some(record)) => self.chains.restore(name, record),
            Record::UnrecordedShares(successors) => self.uncertainty.load(successors),
            Record::Program(name, None) => {
                self.programs.remove(&name);
            }
            Record::Turn(name, None) => self.chains.remove(&name),
            Record::Stream(name, Some(record)) => self.streams.restore(&name, record),
            Record::Stream(name, None) => self.streams.remove(&name),
            Record::Crashes(name, Some(record)) => {
                self.crashes.restore(&name, record, self.loaded_ms);
            }
            Record::Crashes(name, None) => self.crashes.remove(&name),
            Record::Software(service, Some(record)) => {
                self.software.restore(&service, &record, self.loaded_ms);
            }
            Record::Software(service, None) => self.software.remove(&service),
        }
    }

    /// Finishes loading after the last record. Marks open turns as in doubt if the previous owner
    /// was lost, and extends the retention of each chain to that of its newest turn.
    pub fn finish_loading(&mut self) {
        if self.previous_owner_lost {
            self.programs
                .values_mut()
                .for_each(Budget::mark_open_in_doubt);
        }
        self.chains.finish_restoring();
    }

    /// Opens a turn. A repeated request for an open turn does not reserve its tokens again.
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
        let program = self.program_budget(name.clone(), budget, now_ms);
        program.observe_turn(request.max_tokens, Some(reserve_policy(request)));
        let turn = request.reservation_id();
        let allowed = match program.reserve(&request.budget_request(&turn), budget, now_ms) {
            ReserveOutcome::Durable => request.max_tokens,
            ReserveOutcome::Pending { allowed } => allowed,
            ReserveOutcome::Exhausted => return OpenOutcome::BudgetSpent(program.usage(now_ms)),
            ReserveOutcome::AlreadyEnded => return OpenOutcome::AlreadyEnded,
        };
        let is_first_turn = request.previous.is_none() && program.is_first_turn(&turn);
        let durable = allowed == request.max_tokens;
        let mut records = Vec::new();
        if !durable {
            let record = program.next_record(budget);
            records.push(Record::Program(name, Some(record)));
        }
        OpenOutcome::Opened {
            chain,
            durable,
            allowed,
            is_first_turn,
            records,
        }
    }

    /// Ends a turn: settles its tokens and stores its content. A repeated end appends nothing,
    /// because its records were already appended or are queued.
    ///
    /// # Errors
    /// The chain that the content continues is not stored; nothing was changed. It may have expired
    /// since the turn was opened, or the turn was opened by a previous owner.
    pub fn close(&mut self, request: &CloseTurn, now_ms: u64) -> Result<Vec<Record>, UnknownChain> {
        let content = self.new_content(request, now_ms)?;
        let mut records = Vec::new();
        if let Some(budget) = request.budget {
            let name = request.qualified_name(&request.program);
            let program = self.program_budget(name.clone(), budget, now_ms);
            program.observe_turn(request.max_tokens, None);
            let record = match program.settle(&request.reservation_id(), request.tokens, now_ms) {
                Settlement::Duplicate => None,
                Settlement::NotOpened => Some(program.next_record_without_new_reserve()),
                Settlement::Counted => Some(program.next_record(budget)),
            };
            records.extend(record.map(|record| Record::Program(name, Some(record))));
        }
        if let Some((turn, record)) = content {
            self.chains.insert(&turn, record.clone());
            records.push(Record::Turn(turn, Some(record)));
        }
        Ok(records)
    }

    /// Content that the end of a turn adds; `None` if it has none or is stored already.
    fn new_content(
        &self,
        request: &CloseTurn,
        now_ms: u64,
    ) -> Result<Option<(QualifiedName, TurnRecord)>, UnknownChain> {
        let turn = request.qualified_name(&request.turn);
        let content = request.content.as_ref();
        let Some(content) = content.filter(|_| !self.chains.contains(&turn)) else {
            return Ok(None);
        };
        let previous = content.previous.as_deref();
        if previous.is_some_and(|previous| !self.chains.contains(&turn.in_same_tenant(previous))) {
            return Err(UnknownChain);
        }
        let record = TurnRecord {
            program: request.program.clone(),
            previous: content.previous.clone(),
            input: content.input.clone(),
            output: content.output.clone(),
            ended_ms: now_ms,
            retention_ms: content.retention_ms,
        };
        Ok(Some((turn, record)))
    }

    /// Records the origin of a stream. A repeated request appends nothing.
    pub fn record_stream(&mut self, request: &RecordStream, now_ms: u64) -> Vec<Record> {
        let name = request.stream.name.clone();
        let retention_ms = request.retention_ms;
        let change = self
            .streams
            .record(&name, &request.origin, retention_ms, now_ms);
        let forgotten = change.forgotten.into_iter();
        let record = change
            .record
            .map(|record| Record::Stream(name, Some(record)));
        let tombstones = forgotten.map(|name| Record::Stream(name, None));
        record.into_iter().chain(tombstones).collect()
    }

    /// Returns a stream whose origin is known.
    pub fn find_stream(&self, name: &QualifiedName, now_ms: u64) -> Option<&Stream> {
        self.streams.get(name, now_ms)
    }

    /// Decides whether a request may be sent to a server, after the question with this number to those
    /// who follow its detached attempts. Returns the record to append, if the attempt holds a place or
    /// the sender knows of servers that were not known here.
    pub fn request_send(
        &mut self,
        request: &RequestSend,
        question: Option<u64>,
        now_ms: u64,
    ) -> (SendDecision, Option<Record>) {
        let name = &request.request.name;
        let crashes = &mut self.crashes;
        let before = crashes.recorded(name, now_ms).cloned();
        crashes.merge(name, &request.known, request.retention_ms, now_ms);
        let (attempt, hold_ms) = (request.attempt, request.hold_ms);
        let decision = crashes.request_send(name, attempt, hold_ms, question, now_ms);
        let changed = crashes
            .recorded(name, now_ms)
            .filter(|record| Some(*record) != before.as_ref());
        let record = changed.map(|record| Record::Crashes(name.clone(), Some(record.clone())));
        (decision, record)
    }

    /// Records that the process of a detached attempt lives.
    pub fn confirm_attempt(&mut self, confirmed: &ConfirmAttempt, now_ms: u64) {
        let name = &confirmed.request.name;
        let (attempt, question) = (confirmed.attempt, confirmed.question);
        self.crashes.confirm(name, attempt, question, now_ms);
    }

    /// Records how an attempt at a server ended.
    pub fn end_attempt(&mut self, report: &ReportAttempt, now_ms: u64) -> Vec<Record> {
        let name = &report.request.name;
        let change = self
            .crashes
            .end_attempt(name, &report.ended_attempt(), now_ms);
        let record = change
            .record
            .map(|record| Record::Crashes(name.clone(), record));
        let forgotten = change.forgotten.into_iter();
        let tombstones = forgotten.map(|name| Record::Crashes(name, None));
        record.into_iter().chain(tombstones).collect()
    }

    /// Requests under which servers ended, or may have.
    pub fn crashes(&self) -> &CrashTable {
        &self.crashes
    }

    /// Registers the software of a server that is about to begin a stream. Returns the records that
    /// have to be durable before; `None` if nothing has to be appended.
    pub fn register_software(&mut self, origin: &StreamOrigin, now_ms: u64) -> Option<Vec<Record>> {
        let service = &origin.service;
        match self.software.register(origin, now_ms) {
            Registration::Durable => None,
            Registration::Pending => {
                let record = self.software.service(service);
                Some(vec![Record::Software(service.clone(), Some(record))])
            }
        }
    }

    /// Returns the software that may have begun streams of a service.
    pub fn software_of(&self, service: &str) -> ServiceSoftware {
        self.software.service(service)
    }

    /// A record was appended.
    pub fn record_appended(&mut self, record: &Record) {
        match record {
            // A record appended before the deletion belongs to the expired state of the program.
            Record::Program(name, Some(_)) if !self.pending_deletions.contains_key(name) => {
                if let Some(program) = self.programs.get_mut(name) {
                    program.record_appended();
                }
            }
            Record::Program(name, None) => self.deletion_appended(name),
            Record::UnrecordedShares(successors) => self.uncertainty.record_appended(*successors),
            Record::Software(service, Some(record)) => {
                self.software.record_appended(service, record);
            }
            _ => {}
        }
    }

    /// A deletion of an expired program is durable.
    fn deletion_appended(&mut self, name: &QualifiedName) {
        let Some(deletions) = self.pending_deletions.get_mut(name) else {
            return;
        };
        *deletions -= 1;
        if *deletions == 0 {
            self.pending_deletions.remove(name);
        }
    }

    /// Deletes expired turns, programs, streams and counts of ended servers.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Record> {
        let mut records = self.end_uncertainty(now_ms);
        let turns = self.chains.expire(now_ms).into_iter();
        records.extend(turns.map(|name| Record::Turn(name, None)));
        let streams = self.streams.expire(now_ms).into_iter();
        records.extend(streams.map(|name| Record::Stream(name, None)));
        let crashes = self.crashes.expire(now_ms).into_iter();
        records.extend(crashes.map(|name| Record::Crashes(name, None)));
        let software = self.software.expire(now_ms).into_iter();
        records.extend(software.map(|(service, record)| Record::Software(service, record)));
        let retention_ms = self.program_retention_ms.max(MIN_PROGRAM_RETENTION_MS);
        self.programs.retain(|name, program| {
            let keep = now_ms < program.changed_ms().saturating_add(retention_ms);
            if !keep {
                *self.pending_deletions.entry(name.clone()).or_default() += 1;
                records.push(Record::Program(name.clone(), None));
            }
            keep
        });
        records
    }

    /// Records that end the uncertainty window, once it is over: a first record for each program
    /// without one, followed by the closing record.
    fn end_uncertainty(&mut self, now_ms: u64) -> Vec<Record> {
        if !self.uncertainty.needs_closing_record(now_ms) {
            return Vec::new();
        }
        let mut records = self.program_records(Budget::initial_record);
        records.push(Record::UnrecordedShares(0));
        records
    }

    /// Number of stored turns.
    pub fn turn_count(&self) -> usize {
        self.chains.len()
    }

    /// Number of known programs.
    pub fn program_count(&self) -> usize {
        self.programs.len()
    }

    /// Number of streams whose origin is known.
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    /// Committed tokens of a program, for tests.
    pub fn committed_tokens(&self, program: &QualifiedName) -> u64 {
        self.programs
            .get(program)
            .map_or(0, Budget::committed_tokens)
    }

    fn chain_for(&self, request: &OpenTurn) -> Option<Vec<u8>> {
        let Some(previous) = &request.previous else {
            return Some(Vec::new());
        };
        if !request.retains_context || request.supplies_chain {
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

    /// The turns that are stored.
    pub fn chains(&self) -> &Chains {
        &self.chains
    }

    /// Inputs and outputs of the chain that ends with a turn, oldest first.
    pub fn chain_contents(&self, last: &QualifiedName) -> Option<Vec<u8>> {
        self.chains.contents(last)
    }
}
