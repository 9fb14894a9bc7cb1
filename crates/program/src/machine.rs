//! Applying commands to a shard's state.
//!
//! Invariants: calls of one program are numbered without gaps and at most the
//! newest is running; spent plus reserved never exceed the limit; a call that
//! is not repeatable gets a second attempt only if the first surely did not run.

use crate::budget::{Budget, cost_of, highest_cost, prompt_bound};
use crate::call::{Attempt, Call, CallState};
use crate::command::{
    AttemptCost, Begin, Command, EndReason, Finish, NextAttempt, Open, Outcome, Reply, TimedCommand,
};
use crate::program::{CountedPrompt, ForkPoint, Phase, Program};
use fieldhook_model::api::{Answer, CallSpec};
use fieldhook_model::error::{CallError, ErrorKind, Executed};
use fieldhook_model::ids::ProgramId;
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;

/// How long an ended program's answers can still be asked for.
pub const RETENTION_MS: u64 = 60_000;
/// When to ask again while an earlier call of the program runs.
const RUNNING_RETRY_MS: u64 = 50;

/// All programs of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ShardState {
    /// The shard's clock: the greatest time that a command carried.
    pub clock_ms: u64,
    /// Programs by identifier.
    pub programs: BTreeMap<ProgramId, Program>,
}

/// How a request for a call stands to what is recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is the next call and may begin.
    Next,
    /// It is the next call, but the one before is still running.
    AfterRunning,
    /// It is recorded under the same key.
    Recorded,
}

impl ShardState {
    /// Applies one command.
    pub fn apply(&mut self, timed: TimedCommand) -> Reply {
        self.clock_ms = self.clock_ms.max(timed.at_ms);
        match timed.command {
            Command::Open(open) => self.open(open),
            Command::Begin(begin) => self.begin(begin),
            Command::NextAttempt(next) => self.next_attempt(next),
            Command::Finish(finish) => self.finish(finish),
            Command::RefuseKey {
                program,
                call_number,
                request_key,
            } => self.refuse_key(program, call_number, request_key),
            Command::End { program, reason } => self.end(program, reason),
            Command::Released { program, engine } => self.released(program, &engine),
            Command::Forget => self.forget(),
            Command::Restore { state } => self.restore(&state),
        }
    }

    /// A program that may be asked about.
    ///
    /// # Errors
    /// No record of the program.
    pub fn program(&self, id: ProgramId) -> Result<&Program, CallError> {
        self.programs.get(&id).ok_or_else(|| {
            CallError::not_run(
                ErrorKind::ProgramUnknown,
                "open the program first; an ended program's record is dropped after a minute",
            )
        })
    }

    fn open(&mut self, open: Open) -> Reply {
        if self.programs.contains_key(&open.program) {
            return Reply::Known;
        }
        match self.new_program(&open) {
            Ok(program) => {
                self.programs.insert(open.program, program);
                Reply::Done
            }
            Err(error) => Reply::Refused(error),
        }
    }

    fn new_program(&self, open: &Open) -> Result<Program, CallError> {
        let parent = match open.parent {
            Some(id) => Some((id, self.open_program(id)?)),
            None => None,
        };
        let own_deadline_ms = self.clock_ms.saturating_add(open.deadline_ms);
        Ok(Program {
            tenant: open.tenant.clone(),
            labels: open.labels.clone(),
            root: parent.map_or(open.program, |(_, parent)| parent.root),
            fork: parent.map(|(id, parent)| ForkPoint {
                parent: id,
                after_call: parent.calls.len() as u64 - u64::from(parent.running_call().is_some()),
            }),
            budget: Budget {
                limit: open.budget,
                ..Budget::default()
            },
            deadline_ms: parent.map_or(own_deadline_ms, |(_, parent)| {
                parent.deadline_ms.min(own_deadline_ms)
            }),
            max_turns: open.max_turns,
            calls: Vec::new(),
            refused_keys: Default::default(),
            phase: Phase::Open,
            held_by: BTreeMap::new(),
            counted: parent.and_then(|(_, parent)| parent.counted.clone()),
        })
    }

    fn open_program(&self, id: ProgramId) -> Result<&Program, CallError> {
        let program = self.program(id)?;
        if !program.is_open() {
            return Err(CallError::not_run(
                ErrorKind::ProgramEnded,
                "open a new program; this one has ended",
            ));
        }
        Ok(program)
    }

    /// How a request stands to what is recorded. Reads only; `Begin` applies
    /// the same rule.
    ///
    /// # Errors
    /// The refusal that the caller gets; the request has not run.
    pub fn admit(&self, id: ProgramId, number: u64, key: &str) -> Result<Admission, CallError> {
        let program = self.program(id)?;
        if let Some(call) = program.call(number) {
            return recorded(call, key);
        }
        let program = self.open_program(id)?;
        check_key(program, key)?;
        let next = program.calls.len() as u64 + 1;
        if number != next {
            return Err(CallError::not_run(
                ErrorKind::CallNumberTooEarly,
                format!("issue call number {next} first; call numbers start at 1"),
            )
            .retry_after(RUNNING_RETRY_MS));
        }
        if next > u64::from(program.max_turns) {
            return Err(CallError::not_run(
                ErrorKind::TurnLimit,
                "end the program; raise max_turns when opening the next one",
            ));
        }
        if self.clock_ms >= program.deadline_ms {
            return Err(CallError::not_run(
                ErrorKind::DeadlineExceeded,
                "open a new program with a later deadline",
            ));
        }
        let running = program.running_call().is_some();
        Ok(if running {
            Admission::AfterRunning
        } else {
            Admission::Next
        })
    }

    fn begin(&mut self, begin: Begin) -> Reply {
        match self.admit(begin.program, begin.call_number, &begin.request_key) {
            Err(error) => return Reply::Refused(error),
            Ok(Admission::Recorded) => return Reply::Known,
            Ok(Admission::AfterRunning) => {
                let error = CallError::not_run(
                    ErrorKind::CallNumberTooEarly,
                    "wait for the answer to the call before",
                );
                return Reply::Refused(error.retry_after(RUNNING_RETRY_MS));
            }
            Ok(Admission::Next) => {}
        }
        let reservation = self.reservation(begin.program, &begin.spec);
        if !self
            .budget_mut(begin.program)
            .is_some_and(|budget| budget.reserve(reservation))
        {
            return Reply::Refused(over_budget(reservation));
        }
        let attempt = Attempt {
            number: 1,
            target: begin.target,
            reservation,
            lineage: 1,
            prefix: String::new(),
        };
        let Some(program) = self.programs.get_mut(&begin.program) else {
            return Reply::Stale;
        };
        note_hold(program, &begin.spec, &attempt.target);
        program.calls.push(Call {
            request_key: begin.request_key,
            spec: begin.spec,
            repeatable: begin.repeatable,
            attempt: attempt.clone(),
            state: CallState::Running,
        });
        Reply::Dispatch(attempt)
    }

    fn reservation(&self, id: ProgramId, spec: &CallSpec) -> u64 {
        highest_cost(spec, self.history_bound(id, spec))
    }

    /// Most tokens the history can have: what an engine of the same model
    /// counted, or else a bound from its bytes.
    fn history_bound(&self, id: ProgramId, spec: &CallSpec) -> u64 {
        let CallSpec::Model(model) = spec else {
            return 0;
        };
        let counted = self
            .programs
            .get(&id)
            .and_then(|program| program.counted.as_ref());
        match counted {
            Some(counted) if counted.model == model.model => counted.tokens,
            _ => prompt_bound(&self.history(id)),
        }
    }

    fn budget_mut(&mut self, id: ProgramId) -> Option<&mut Budget> {
        let root = self.programs.get(&id)?.root;
        self.programs
            .get_mut(&root)
            .map(|program| &mut program.budget)
    }

    fn running(&self, id: ProgramId, number: u64, attempt: u32) -> Option<&Call> {
        let call = self.programs.get(&id)?.call(number)?;
        (call.is_running() && call.attempt.number == attempt).then_some(call)
    }

    fn next_attempt(&mut self, next: NextAttempt) -> Reply {
        let Some(call) = self.running(next.program, next.call_number, next.given_up) else {
            return Reply::Stale;
        };
        if !call.repeatable && next.cost == AttemptCost::Full {
            return Reply::Refused(
                CallError::not_run(ErrorKind::OutcomeUnknown, "ask the server by request key")
                    .executed(Executed::Unknown),
            );
        }
        let (spec, old) = (call.spec.clone(), call.attempt.clone());
        let prefix_bound = next.prefix.len() as u64;
        let reservation = self.reservation(next.program, &spec) + prefix_bound;
        let counted = if next.cost == AttemptCost::Full {
            old.reservation
        } else {
            0
        };
        let Some(budget) = self.budget_mut(next.program) else {
            return Reply::Stale;
        };
        budget.settle(old.reservation, counted);
        if !budget.reserve(reservation) {
            let error = over_budget(reservation).executed(Executed::Unknown);
            self.close_call(
                next.program,
                next.call_number,
                CallState::Failed(error.clone()),
            );
            return Reply::Refused(error);
        }
        let number = next.given_up + 1;
        let attempt = Attempt {
            number,
            target: next.target,
            reservation,
            lineage: if next.prefix.is_empty() {
                number
            } else {
                old.lineage
            },
            prefix: next.prefix,
        };
        let Some(program) = self.programs.get_mut(&next.program) else {
            return Reply::Stale;
        };
        note_hold(program, &spec, &attempt.target);
        if let Some(call) = program.call_mut(next.call_number) {
            call.attempt = attempt.clone();
        }
        Reply::Dispatch(attempt)
    }

    fn finish(&mut self, finish: Finish) -> Reply {
        let Some(call) = self.running(finish.program, finish.call_number, finish.attempt) else {
            return Reply::Stale;
        };
        let reservation = call.attempt.reservation;
        let cost = match &finish.outcome {
            Outcome::Answered(answer) => cost_of(&call.spec, &answer.usage),
            Outcome::Failed(error) if error.executed == Executed::No => 0,
            Outcome::Failed(_) => reservation,
        };
        if let Some(budget) = self.budget_mut(finish.program) {
            budget.settle(reservation, cost);
        }
        let state = match finish.outcome {
            Outcome::Answered(answer) => {
                self.note_usage(finish.program, finish.call_number, &answer);
                CallState::Answered(answer)
            }
            Outcome::Failed(error) => CallState::Failed(error),
        };
        self.close_call(finish.program, finish.call_number, state);
        Reply::Done
    }

    fn note_usage(&mut self, id: ProgramId, number: u64, answer: &Answer) {
        let Some(program) = self.programs.get_mut(&id) else {
            return;
        };
        let Some(call) = program.call(number) else {
            return;
        };
        let CallSpec::Model(model) = &call.spec else {
            return;
        };
        let tokens = answer.usage.prompt_tokens + answer.usage.completion_tokens;
        // The next prompt wraps this answer into a message of its own.
        let counted = CountedPrompt {
            model: model.model.clone(),
            tokens: tokens + 8,
        };
        let engine = call.attempt.target.clone();
        program.counted = Some(counted);
        program.held_by.insert(engine, tokens);
    }

    fn close_call(&mut self, id: ProgramId, number: u64, state: CallState) {
        let program = self.programs.get_mut(&id);
        if let Some(call) = program.and_then(|program| program.call_mut(number)) {
            call.state = state;
        }
    }

    /// Whatever made the leader refuse may pass; the key stays refused, or a
    /// late copy of the request would run after the caller was told it had not.
    fn refuse_key(&mut self, id: ProgramId, number: u64, key: String) -> Reply {
        let Some(program) = self.programs.get_mut(&id) else {
            return Reply::Stale;
        };
        if program
            .call(number)
            .is_some_and(|call| call.request_key == key)
        {
            return Reply::Known;
        }
        program.refused_keys.insert(key);
        Reply::Done
    }

    fn end(&mut self, id: ProgramId, reason: EndReason) -> Reply {
        let Some(program) = self.programs.get(&id) else {
            return Reply::Stale;
        };
        if !program.is_open() {
            return Reply::Known;
        }
        self.cancel_running(id);
        let at_ms = self.clock_ms;
        if let Some(program) = self.programs.get_mut(&id) {
            program.phase = Phase::Ended { reason, at_ms };
        }
        for child in self.open_children(id) {
            self.end(child, EndReason::Parent);
        }
        Reply::Done
    }

    fn cancel_running(&mut self, id: ProgramId) {
        let Some(number) = self.programs.get(&id).and_then(Program::running_call) else {
            return;
        };
        let attempt = self.programs[&id].calls[number as usize - 1].attempt.number;
        let error = CallError::not_run(ErrorKind::Cancelled, "the program ended while it ran")
            .executed(Executed::Unknown);
        self.finish(Finish {
            program: id,
            call_number: number,
            attempt,
            outcome: Outcome::Failed(error),
        });
    }

    fn open_children(&self, id: ProgramId) -> Vec<ProgramId> {
        let is_child = |program: &Program| program.fork.is_some_and(|fork| fork.parent == id);
        let children = self
            .programs
            .iter()
            .filter(|(_, program)| is_child(program));
        children
            .filter(|(_, program)| program.is_open())
            .map(|(child, _)| *child)
            .collect()
    }

    fn released(&mut self, id: ProgramId, engine: &str) -> Reply {
        let Some(program) = self.programs.get_mut(&id) else {
            return Reply::Stale;
        };
        if program.running_call().is_some_and(|number| {
            program
                .call(number)
                .is_some_and(|call| call.attempt.target == engine)
        }) {
            return Reply::Stale;
        }
        program.held_by.remove(engine);
        Reply::Done
    }

    /// Ended programs whose records may go at a time of the shard's clock.
    fn forgettable(&self, now_ms: u64) -> impl Iterator<Item = ProgramId> + '_ {
        let over = self
            .programs
            .iter()
            .filter(move |(_, item)| retention_over(item, now_ms));
        over.map(|(id, _)| *id).filter(|id| !self.has_children(*id))
    }

    /// Whether `Command::Forget` would drop anything at that time.
    pub fn is_forget_due(&self, now_ms: u64) -> bool {
        self.forgettable(now_ms).next().is_some()
    }

    fn forget(&mut self) -> Reply {
        let due: Vec<ProgramId> = self.forgettable(self.clock_ms).collect();
        for id in due {
            self.programs.remove(&id);
        }
        Reply::Done
    }

    /// A root's ledger and a parent's history are needed until the last
    /// sub-agent's record is gone.
    fn has_children(&self, id: ProgramId) -> bool {
        self.programs
            .values()
            .any(|program| program.fork.is_some_and(|fork| fork.parent == id))
    }

    fn restore(&mut self, state: &[u8]) -> Reply {
        match Self::deserialize_bin(state) {
            Ok(state) => {
                *self = state;
                Reply::Done
            }
            Err(_) => Reply::Stale,
        }
    }
}

fn retention_over(program: &Program, clock_ms: u64) -> bool {
    match program.phase {
        Phase::Open => false,
        Phase::Ended { at_ms, .. } => {
            program.held_by.is_empty() && clock_ms >= at_ms + RETENTION_MS
        }
    }
}

fn recorded(call: &Call, key: &str) -> Result<Admission, CallError> {
    if call.request_key == key {
        return Ok(Admission::Recorded);
    }
    Err(CallError::not_run(
        ErrorKind::CallNumberConflict,
        "another request has this call number; use the next number or the first request's key",
    ))
}

fn check_key(program: &Program, key: &str) -> Result<(), CallError> {
    if program.refused_keys.contains(key) {
        return Err(CallError::not_run(
            ErrorKind::RequestKeyRefused,
            "this request was refused for good; ask again under a new request key",
        ));
    }
    if program.calls.iter().any(|call| call.request_key == key) {
        return Err(CallError::not_run(
            ErrorKind::RequestKeyConflict,
            "the request key belongs to another call of this program; use a new one",
        ));
    }
    Ok(())
}

fn over_budget(reservation: u64) -> CallError {
    CallError::not_run(
        ErrorKind::BudgetExhausted,
        format!("the call may cost {reservation}; shorten it or open a program with more budget"),
    )
}

/// From its dispatch on an engine may hold cache for the program.
fn note_hold(program: &mut Program, spec: &CallSpec, target: &str) {
    if matches!(spec, CallSpec::Model(_)) {
        program.held_by.entry(target.to_owned()).or_insert(0);
    }
}
