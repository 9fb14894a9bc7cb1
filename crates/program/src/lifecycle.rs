//! Opening and ending programs, releasing their cache on engines, and dropping
//! expired records.

use crate::budget::Budget;
use crate::command::{EndReason, FinishCall, OpenProgram, Outcome, Reply};
use crate::program::{ForkPoint, Phase, Program};
use crate::shard_state::ShardState;
use fieldhook_model::error::{CallError, ErrorKind, Executed};
use fieldhook_model::ids::ProgramId;
use std::collections::BTreeMap;

/// How long the record of an ended program, with its answers, is kept.
pub const RETENTION_MS: u64 = 60_000;

impl ShardState {
    pub(crate) fn open(&mut self, open: OpenProgram) -> Reply {
        if self.programs.contains_key(&open.program) {
            return Reply::AlreadyRecorded;
        }
        match self.new_program(&open) {
            Ok(program) => {
                self.programs.insert(open.program, program);
                Reply::Done
            }
            Err(error) => Reply::Refused(error),
        }
    }

    pub(crate) fn new_program(&self, open: &OpenProgram) -> Result<Program, CallError> {
        let parent = match open.parent {
            Some(id) => Some((id, self.require_open(id)?)),
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
            counted_prompt: parent.and_then(|(_, parent)| parent.counted_prompt.clone()),
        })
    }

    /// Refuses a request key permanently. The reason for the refusal may pass,
    /// but without this record a delayed duplicate of the request could then run
    /// after the caller got an error saying that it was not run.
    pub(crate) fn refuse_key(&mut self, id: ProgramId, number: u64, key: String) -> Reply {
        let Some(program) = self.programs.get_mut(&id) else {
            return Reply::Stale;
        };
        if program
            .call(number)
            .is_some_and(|call| call.request_key == key)
        {
            return Reply::AlreadyRecorded;
        }
        program.refused_keys.insert(key);
        Reply::Done
    }

    pub(crate) fn end(&mut self, id: ProgramId, reason: EndReason) -> Reply {
        let Some(program) = self.programs.get(&id) else {
            return Reply::Stale;
        };
        if !program.is_open() {
            return Reply::AlreadyRecorded;
        }
        self.cancel_running_call(id);
        let at_ms = self.clock_ms;
        if let Some(program) = self.programs.get_mut(&id) {
            program.phase = Phase::Ended { reason, at_ms };
        }
        for child in self.open_children(id) {
            self.end(child, EndReason::Parent);
        }
        Reply::Done
    }

    /// Ends the running call of a program, if any, with [`ErrorKind::Cancelled`]. Its
    /// attempt may have run, so its full reservation is charged.
    pub(crate) fn cancel_running_call(&mut self, id: ProgramId) {
        let Some(number) = self.programs.get(&id).and_then(Program::running_call) else {
            return;
        };
        let attempt = self.programs[&id].calls[number as usize - 1].attempt.number;
        let error = CallError::not_run(ErrorKind::Cancelled, "the program ended while it ran")
            .executed(Executed::Unknown);
        self.finish(FinishCall {
            program: id,
            call_number: number,
            attempt,
            outcome: Outcome::Failed(error),
        });
    }

    pub(crate) fn open_children(&self, id: ProgramId) -> Vec<ProgramId> {
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

    /// Records that an engine released the cache of a program. Stale if the running
    /// call is on that engine, since it holds cache again.
    pub(crate) fn release_cache(&mut self, id: ProgramId, engine: &str) -> Reply {
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

    /// Ended programs whose records can be dropped at `now_ms` on the shard's
    /// clock.
    pub(crate) fn expired_programs(&self, now_ms: u64) -> impl Iterator<Item = ProgramId> + '_ {
        let expired = self
            .programs
            .iter()
            .filter(move |(_, item)| is_expired(item, now_ms));
        expired
            .map(|(id, _)| *id)
            .filter(|id| !self.has_children(*id))
    }

    /// Returns whether [`Command::PurgeExpired`](crate::Command::PurgeExpired)
    /// would drop anything at `now_ms` on the shard's clock.
    pub fn has_expired_programs(&self, now_ms: u64) -> bool {
        self.expired_programs(now_ms).next().is_some()
    }

    pub(crate) fn purge_expired(&mut self) -> Reply {
        let due: Vec<ProgramId> = self.expired_programs(self.clock_ms).collect();
        for id in due {
            self.programs.remove(&id);
        }
        Reply::Done
    }

    /// Whether the state holds sub-agents of a program. The record of the program
    /// has to stay as long as it does: sub-agents spend the root's budget and
    /// inherit the parent's history.
    pub(crate) fn has_children(&self, id: ProgramId) -> bool {
        self.programs
            .values()
            .any(|program| program.fork.is_some_and(|fork| fork.parent == id))
    }
}

fn is_expired(program: &Program, clock_ms: u64) -> bool {
    match program.phase {
        Phase::Open => false,
        Phase::Ended { at_ms, .. } => {
            program.held_by.is_empty() && clock_ms >= at_ms + RETENTION_MS
        }
    }
}
