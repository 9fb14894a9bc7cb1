//! The public view of a program, for callers and operators.

use crate::program::Program;
use crate::shard_state::ShardState;
use fieldhook_model::api::ProgramView;
use fieldhook_model::error::CallError;
use fieldhook_model::ids::ProgramId;

impl ShardState {
    /// Returns the public view of a program.
    ///
    /// # Errors
    /// There is no record of the program.
    pub fn view(&self, id: ProgramId) -> Result<ProgramView, CallError> {
        let program = self.program(id)?;
        let budget = self
            .programs
            .get(&program.root)
            .map_or(program.budget, |root| root.budget);
        Ok(ProgramView {
            program: id.to_string(),
            tenant: program.tenant.clone(),
            labels: program.labels.clone(),
            phase: phase_name(program).to_owned(),
            calls: program.calls.len() as u64,
            running_call: program.running_call(),
            budget: budget.limit,
            spent: budget.spent,
            reserved: budget.reserved,
            held_by: program.held_by.keys().cloned().collect(),
            history: self.history(id),
        })
    }
}

fn phase_name(program: &Program) -> &'static str {
    if program.is_open() { "open" } else { "ended" }
}
