//! How a request stands to what is recorded: next in order, recorded before, or
//! refused. Reads only.

use crate::call::Call;
use crate::program::Program;
use crate::shard_state::{RUNNING_RETRY_MS, ShardState};
use fieldhook_model::error::{CallError, ErrorKind};
use fieldhook_model::ids::ProgramId;

/// How a request for a call stands to what is recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is the next call and may begin.
    Next,
    /// It is the next call, but the one before is still running.
    PreviousRunning,
    /// It is recorded under the same key.
    AlreadyRecorded,
}

impl ShardState {
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

    pub(crate) fn open_program(&self, id: ProgramId) -> Result<&Program, CallError> {
        let program = self.program(id)?;
        if !program.is_open() {
            return Err(CallError::not_run(
                ErrorKind::ProgramEnded,
                "open a new program; this one has ended",
            ));
        }
        Ok(program)
    }

    /// How a request stands to what is recorded. Reads only; `BeginCall` applies
    /// the same rule.
    ///
    /// # Errors
    /// The refusal that the caller gets; the request has not run.
    pub fn check_admission(
        &self,
        id: ProgramId,
        number: u64,
        key: &str,
    ) -> Result<Admission, CallError> {
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
            Admission::PreviousRunning
        } else {
            Admission::Next
        })
    }
}

fn recorded(call: &Call, key: &str) -> Result<Admission, CallError> {
    if call.request_key == key {
        return Ok(Admission::AlreadyRecorded);
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
