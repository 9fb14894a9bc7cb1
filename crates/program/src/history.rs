//! The conversation of a program, assembled from its calls.
//!
//! A failed model call leaves nothing in the history: its messages were not
//! answered, and the caller sends them again. Server calls are not part of the
//! history; a caller passes their results to the model as messages.

use crate::call::{Call, CallState};
use crate::program::Program;
use crate::shard_state::ShardState;
use fieldhook_model::api::{CallSpec, Message};
use fieldhook_model::ids::ProgramId;

const ASSISTANT_ROLE: &str = "assistant";

impl ShardState {
    /// Returns the messages and answers of the finished model calls.
    pub fn history(&self, id: ProgramId) -> Vec<Message> {
        let mut messages = Vec::new();
        if let Some(program) = self.programs.get(&id) {
            self.collect_history(program, program.calls.len() as u64, &mut messages);
        }
        messages
    }

    /// Returns the whole prompt of a recorded model call. Text that abandoned
    /// attempts delivered is added as the beginning of the answer. `None` if
    /// there is no such call or it is not a model call.
    pub fn prompt(&self, id: ProgramId, call_number: u64) -> Option<Vec<Message>> {
        let program = self.programs.get(&id)?;
        let call = program.call(call_number)?;
        let CallSpec::Model(model) = &call.spec else {
            return None;
        };
        let mut messages = Vec::new();
        self.collect_history(program, call_number - 1, &mut messages);
        messages.extend(model.messages.iter().cloned());
        if !call.attempt.prefix.is_empty() {
            messages.push(assistant_message(&call.attempt.prefix));
        }
        Some(messages)
    }

    /// Appends the inherited history and the turns of the first `call_count` calls.
    fn collect_history(&self, program: &Program, call_count: u64, messages: &mut Vec<Message>) {
        if let Some(fork) = program.fork
            && let Some(parent) = self.programs.get(&fork.parent)
        {
            self.collect_history(parent, fork.after_call, messages);
        }
        for call in program.calls.iter().take(call_count as usize) {
            append_turn(call, messages);
        }
    }
}

fn append_turn(call: &Call, messages: &mut Vec<Message>) {
    if let (CallSpec::Model(model), CallState::Answered(answer)) = (&call.spec, &call.state) {
        messages.extend(model.messages.iter().cloned());
        messages.push(assistant_message(&answer.content));
    }
}

fn assistant_message(content: &str) -> Message {
    Message {
        role: ASSISTANT_ROLE.to_owned(),
        content: content.to_owned(),
    }
}
