//! The state of a shard and the application of commands to it.
//!
//! Invariants:
//!
//! - Calls of a program are numbered without gaps, and only the newest may be
//!   running.
//! - Spent plus reserved cost never exceeds the budget's limit.
//! - A call that is not retryable gets another attempt only if the previous one
//!   certainly did not run.

use crate::admission::Admission;
use crate::budget::{Budget, TEMPLATE_TOKENS, actual_cost, max_cost, max_prompt_tokens};
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

/// Delay after which a caller should retry while an earlier call is running or
/// has not been issued.
pub(crate) const RUNNING_RETRY_MS: u64 = 50;

/// State of one shard: all its programs.
#[derive(Clone, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct ShardState {
    /// The shard's clock: the latest time that any applied command carried.
    pub clock_ms: u64,
    /// Programs by identifier.
    pub programs: BTreeMap<ProgramId, Program>,
}

impl ShardState {
    /// Applies a command.
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
                    "wait for the answer to the previous call",
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
            return Reply::Refused(budget_exhausted(reservation));
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
        record_cache_holder(program, &begin.spec, &attempt.target);
        program.calls.push(Call {
            request_key: begin.request_key,
            spec: begin.spec,
            repeatable: begin.repeatable,
            attempt: attempt.clone(),
            state: CallState::Running,
        });
        Reply::Dispatch(attempt)
    }

    /// Returns the cost to reserve for an attempt of a call.
    fn reservation(&self, id: ProgramId, spec: &CallSpec) -> u64 {
        max_cost(spec, self.max_history_tokens(id, spec))
    }

    /// Returns an upper bound of the tokens of the history: the count of an engine
    /// of the same model if there is one, otherwise a bound from the bytes.
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

    /// Returns the budget that a program spends, which is that of its root.
    fn budget_mut(&mut self, id: ProgramId) -> Option<&mut Budget> {
        let root = self.programs.get(&id)?.root;
        self.programs
            .get_mut(&root)
            .map(|program| &mut program.budget)
    }

    /// Returns the call if it is running and `attempt` is its newest attempt.
    fn running_call_with_attempt(&self, id: ProgramId, number: u64, attempt: u32) -> Option<&Call> {
        let call = self.programs.get(&id)?.call(number)?;
        (call.is_running() && call.attempt.number == attempt).then_some(call)
    }

    fn next_attempt(&mut self, next: NextAttempt) -> Reply {
        let Some(call) =
            self.running_call_with_attempt(next.program, next.call_number, next.abandoned_attempt)
        else {
            return Reply::Stale;
        };
        if !call.repeatable && next.cost == AttemptCost::Full {
            return Reply::Refused(
                CallError::not_run(ErrorKind::OutcomeUnknown, "ask the server by request key")
                    .executed(Executed::Unknown),
            );
        }
        let (spec, previous) = (call.spec.clone(), call.attempt.clone());
        let max_prefix_tokens = next.prefix.len() as u64;
        let reservation = self.reservation(next.program, &spec) + max_prefix_tokens;
        let cost = if next.cost == AttemptCost::Full {
            previous.reservation
        } else {
            0
        };
        let Some(budget) = self.budget_mut(next.program) else {
            return Reply::Stale;
        };
        budget.settle(previous.reservation, cost);
        if !budget.reserve(reservation) {
            let error = budget_exhausted(reservation).executed(Executed::Unknown);
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
                previous.lineage
            },
            prefix: next.prefix,
        };
        let Some(program) = self.programs.get_mut(&next.program) else {
            return Reply::Stale;
        };
        record_cache_holder(program, &spec, &attempt.target);
        if let Some(call) = program.call_mut(next.call_number) {
            call.attempt = attempt.clone();
        }
        Reply::Dispatch(attempt)
    }

    pub(crate) fn finish(&mut self, finish: FinishCall) -> Reply {
        let Some(call) =
            self.running_call_with_attempt(finish.program, finish.call_number, finish.attempt)
        else {
            return Reply::Stale;
        };
        let reservation = call.attempt.reservation;
        let cost = match &finish.outcome {
            Outcome::Answered(answer) => actual_cost(&call.spec, &answer.usage),
            Outcome::Failed(error) if error.executed == Executed::No => 0,
            Outcome::Failed(_) => reservation,
        };
        if let Some(budget) = self.budget_mut(finish.program) {
            budget.settle(reservation, cost);
        }
        let state = match finish.outcome {
            Outcome::Answered(answer) => {
                self.record_usage(finish.program, finish.call_number, &answer);
                CallState::Answered(answer)
            }
            Outcome::Failed(error) => CallState::Failed(error),
        };
        self.close_call(finish.program, finish.call_number, state);
        Reply::Done
    }

    /// Records the token usage of an answered model call: the size of the
    /// conversation, and what the engine holds in its cache.
    fn record_usage(&mut self, id: ProgramId, number: u64, answer: &Answer) {
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
        // The next prompt contains this answer as a message of its own, which the
        // chat template adds tokens to.
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

fn budget_exhausted(reservation: u64) -> CallError {
    CallError::not_run(
        ErrorKind::BudgetExhausted,
        format!("the call may cost {reservation}; shorten it or open a program with more budget"),
    )
}

/// Records that an engine may hold cache for the program, which is the case from
/// the dispatch of a model call on.
fn record_cache_holder(program: &mut Program, spec: &CallSpec, target: &str) {
    if matches!(spec, CallSpec::Model(_)) {
        program.held_by.entry(target.to_owned()).or_insert(0);
    }
}
