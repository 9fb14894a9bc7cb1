//! Applying commands to a shard's state.
//!
//! Invariants: calls of one program are numbered without gaps and at most the
//! newest is running; spent plus reserved never exceed the limit; a call that
//! is not repeatable gets a second attempt only if the first surely did not run.

use crate::admission::Admission;
use crate::budget::{Budget, TEMPLATE_TOKENS, cost_of, max_cost, max_prompt_tokens};
use crate::call::{Attempt, Call, CallState};
use crate::command::{
    AttemptCost, BeginCall, Command, FinishCall, NextAttempt, Outcome, Reply, TimedCommand,
};
use crate::program::{CountedPrompt, Program};
use fieldhook_model::api::{Answer, CallSpec};
use fieldhook_model::error::{CallError, ErrorKind, Executed};
use fieldhook_model::ids::ProgramId;
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;

/// When to ask again while an earlier call of the program runs.
pub(crate) const RUNNING_RETRY_MS: u64 = 50;

/// All programs of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ShardState {
    /// The shard's clock: the greatest time that a command carried.
    pub clock_ms: u64,
    /// Programs by identifier.
    pub programs: BTreeMap<ProgramId, Program>,
}

impl ShardState {
    /// Applies one command.
    pub fn apply(&mut self, timed: TimedCommand) -> Reply {
        self.clock_ms = self.clock_ms.max(timed.at_ms);
        match timed.command {
            Command::OpenProgram(open) => self.open(open),
            Command::BeginCall(begin) => self.begin(begin),
            Command::NextAttempt(next) => self.next_attempt(next),
            Command::FinishCall(finish) => self.finish(finish),
            Command::RefuseKey {
                program,
                call_number,
                request_key,
            } => self.refuse_key(program, call_number, request_key),
            Command::EndProgram { program, reason } => self.end(program, reason),
            Command::CacheReleased { program, engine } => self.release_cache(program, &engine),
            Command::PurgeExpired => self.purge_expired(),
        }
    }

    fn begin(&mut self, begin: BeginCall) -> Reply {
        match self.check_admission(begin.program, begin.call_number, &begin.request_key) {
            Err(error) => return Reply::Refused(error),
            Ok(Admission::AlreadyRecorded) => return Reply::AlreadyRecorded,
            Ok(Admission::PreviousRunning) => {
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
        max_cost(spec, self.max_history_tokens(id, spec))
    }

    /// Most tokens the history can have: what an engine of the same model
    /// counted, or else a bound from its bytes.
    fn max_history_tokens(&self, id: ProgramId, spec: &CallSpec) -> u64 {
        let CallSpec::Model(model) = spec else {
            return 0;
        };
        let counted = self
            .programs
            .get(&id)
            .and_then(|program| program.counted_prompt.as_ref());
        match counted {
            Some(counted) if counted.model == model.model => counted.tokens,
            _ => max_prompt_tokens(&self.history(id)),
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
        let Some(call) = self.running(next.program, next.call_number, next.abandoned_attempt)
        else {
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
        let number = next.abandoned_attempt + 1;
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

    pub(crate) fn finish(&mut self, finish: FinishCall) -> Reply {
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
            tokens: tokens + TEMPLATE_TOKENS,
        };
        let engine = call.attempt.target.clone();
        program.counted_prompt = Some(counted);
        program.held_by.insert(engine, tokens);
    }

    fn close_call(&mut self, id: ProgramId, number: u64, state: CallState) {
        let program = self.programs.get_mut(&id);
        if let Some(call) = program.and_then(|program| program.call_mut(number)) {
            call.state = state;
        }
    }
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
