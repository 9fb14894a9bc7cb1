//! Admission of a request for a call: it is the next call of its program, a
//! repetition of a recorded one, or refused.

use crate::call::Call;
use crate::program::Program;
use crate::shard_state::{RUNNING_RETRY_MS, ShardState};
use fieldhook_model::error::{CallError, ErrorKind};
use fieldhook_model::ids::ProgramId;

/// Result of checking a request for a call against the recorded calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is the next call and may begin.
    Next,
    /// The request is the next call, but the previous one is still running.
    PreviousRunning,
    /// The call is already recorded under the same key.
    AlreadyRecorded,
}

impl ShardState {
    /// Returns the record of a program, open or ended.
    ///
    /// # Errors
    /// There is no record of the program.
    pub fn program(&self, id: ProgramId) -> Result<&Program, CallError> {
        self.programs.get(&id).ok_or_else(|| {
            CallError::not_run(
                ErrorKind::ProgramUnknown,
                "open the program first; an ended program's record is dropped after a minute",
            )
        })
    }

    /// Returns the record of a program that accepts calls.
    pub(crate) fn require_open(&self, id: ProgramId) -> Result<&Program, CallError> {
        let program = self.program(id)?;
        if !program.is_open() {
            return Err(CallError::not_run(
                ErrorKind::ProgramEnded,
                "open a new program; this one has ended",
            ));
        }
        Ok(program)
    }

    /// Checks a request for a call against the recorded calls, without changing
    /// anything. `BeginCall` makes the same check when it is applied.
    ///
    /// # Errors
    /// The error for the caller if the request is refused; it has not run.
    pub fn check_admission(
        &self,
        id: ProgramId,
        number: u64,
        key: &str,
    ) -> Result<Admission, CallError> {
        let program = self.program(id)?;
        if let Some(call) = program.call(number) {
            return check_recorded(call, key);
        }
        let program = self.require_open(id)?;
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
            Admission::PreviousRunning
        } else {
            Admission::Next
        })
    }
}

/// Checks a request that has the number of a recorded call.
fn check_recorded(call: &Call, key: &str) -> Result<Admission, CallError> {
    if call.request_key == key {
        return Ok(Admission::AlreadyRecorded);
    }
    Err(CallError::not_run(
        ErrorKind::CallNumberConflict,
        "another request has this call number; use the next number or the first request's key",
    ))
}

/// Checks that a key is neither refused nor in use by another call.
fn check_key(program: &Program, key: &str) -> Result<(), CallError> {
    if program.refused_keys.contains(key) {
        return Err(CallError::not_run(
            ErrorKind::RequestKeyRefused,
            "this request was refused permanently; retry with a new request key",
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
