//! The conversation of a program, put together from its calls.
//!
//! A failed model call leaves nothing in the history: its messages had no
//! answer, and the caller says them again. Server calls are not part of it; a
//! caller passes on what the model should know as a message.

use crate::call::{Call, CallState};
use crate::program::Program;
use crate::shard_state::ShardState;
use fieldhook_model::api::{CallSpec, Message};
use fieldhook_model::ids::ProgramId;

const ASSISTANT: &str = "assistant";

impl ShardState {
    /// Messages and answers of the finished model calls.
    pub fn history(&self, id: ProgramId) -> Vec<Message> {
        let mut messages = Vec::new();
        if let Some(program) = self.programs.get(&id) {
            self.collect(program, program.calls.len() as u64, &mut messages);
        }
        messages
    }

    /// The whole prompt of a recorded model call, with the text that a given-up
    /// attempt had delivered as the beginning of the answer.
    pub fn prompt(&self, id: ProgramId, call_number: u64) -> Option<Vec<Message>> {
        let program = self.programs.get(&id)?;
        let call = program.call(call_number)?;
        let CallSpec::Model(model) = &call.spec else {
            return None;
        };
        let mut messages = Vec::new();
        self.collect(program, call_number - 1, &mut messages);
        messages.extend(model.messages.iter().cloned());
        if !call.attempt.prefix.is_empty() {
            messages.push(answer_message(&call.attempt.prefix));
        }
        Some(messages)
    }

    fn collect(&self, program: &Program, until_call: u64, messages: &mut Vec<Message>) {
        if let Some(fork) = program.fork
            && let Some(parent) = self.programs.get(&fork.parent)
        {
            self.collect(parent, fork.after_call, messages);
        }
        for call in program.calls.iter().take(until_call as usize) {
            add_turn(call, messages);
        }
    }
}

fn add_turn(call: &Call, messages: &mut Vec<Message>) {
    if let (CallSpec::Model(model), CallState::Answered(answer)) = (&call.spec, &call.state) {
        messages.extend(model.messages.iter().cloned());
        messages.push(answer_message(&answer.content));
    }
}

fn answer_message(content: &str) -> Message {
    Message {
        role: ASSISTANT.to_owned(),
        content: content.to_owned(),
    }
}
