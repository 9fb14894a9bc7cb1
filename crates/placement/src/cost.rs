//! Expected time until an engine has generated an answer.
//!
//! ```text
//! finish  = wait + prefill + decode + others               [us]
//! wait    = sequences beyond the batch / places x typical answer x step time
//! prefill = tokens that the engine lacks / tokens per step x step time
//! decode  = tokens to generate x step time x (1 + sequences / places)
//! others  = prefill x (RECOMPUTE_WEIGHT + sequences that it delays / places)
//! switch  = MIGRATION_PENALTY_STEPS x step time, where another engine holds some of it
//! ```
//!
//! The last factor of `decode` makes calls spread before batches are full: each
//! further sequence lengthens the steps of all. Recomputing what another engine
//! holds is waste that the users count by itself; its weight keeps a program at
//! its engine unless the queue there costs clearly more.

use fieldhook_model::platform::EngineLoad;

/// Step time assumed of an engine that has not reported, in microseconds.
const DEFAULT_STEP_US: u64 = 5_000;
/// How many times its own time a recomputed prefill counts as waste.
const RECOMPUTE_WEIGHT: u64 = 1;
/// Steps by which another engine must be better than one that holds some of the
/// program, so that small differences do not move programs to and fro.
const MIGRATION_PENALTY_STEPS: u64 = 6;
/// Tokens that a running sequence is taken to have left.
const TYPICAL_REMAINING_TOKENS: u64 = 32;

/// Parts of the expected finish time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Estimate {
    /// Until a place in the batch is free.
    pub wait_us: u64,
    /// For the prompt tokens that the engine lacks.
    pub prefill_us: u64,
    /// For the tokens to generate.
    pub decode_us: u64,
    /// Cost of the prefill to others, and of the cache it wastes.
    pub interference_us: u64,
    /// Cost of leaving an engine that holds some of the program.
    pub migration_us: u64,
}

impl Estimate {
    /// The figure by which engines are compared.
    pub fn total_us(&self) -> u64 {
        self.wait_us + self.prefill_us + self.decode_us + self.interference_us + self.migration_us
    }
}

/// What a call needs of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallDemand {
    /// Prompt tokens that the engine lacks.
    pub uncached_tokens: u64,
    /// Tokens to generate.
    pub new_tokens: u64,
    /// Whether another engine holds some of the program and this one does not.
    pub migrates: bool,
}

/// Estimates a call. `assigned` counts calls sent there that the lagging load
/// report may not show yet.
pub fn estimate(load: &EngineLoad, assigned: u32, demand: CallDemand) -> Estimate {
    let step_us = if load.step_us == 0 {
        DEFAULT_STEP_US
    } else {
        load.step_us
    };
    let slots = u64::from(load.max_running.max(1));
    let present = u64::from((load.running + load.waiting).max(assigned));
    let queued = (present + 1).saturating_sub(slots);
    let per_step = u64::from(load.prefill_tokens_per_step.max(1));
    let prefill_us = demand.uncached_tokens.div_ceil(per_step) * step_us;
    let delayed = present.min(slots);
    Estimate {
        wait_us: queued * TYPICAL_REMAINING_TOKENS * step_us / slots,
        prefill_us,
        decode_us: demand.new_tokens * step_us * (slots + present) / slots,
        interference_us: prefill_us * (RECOMPUTE_WEIGHT * slots + delayed) / slots,
        migration_us: if demand.migrates {
            MIGRATION_PENALTY_STEPS * step_us
        } else {
            0
        },
    }
}
