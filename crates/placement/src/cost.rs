//! Expected time until an engine has generated an answer.
//!
//! ```text
//! finish = wait + prefill + decode                         [ms]
//! wait    = steps until a place in the batch is free x step time
//! prefill = tokens that the engine lacks / tokens per step x step time
//! decode  = tokens to generate x step time
//! ```
//!
//! A sequence that waits or prefills also delays the others in the batch, so
//! prefill counts once for the program and once for each sequence it delays.

use fieldhook_model::platform::EngineLoad;

/// Step time assumed of an engine that has not reported, in microseconds.
const DEFAULT_STEP_US: u64 = 5_000;
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
    /// Delay that the prefill puts on others in the batch.
    pub others_us: u64,
}

impl Estimate {
    /// The figure by which engines are compared.
    pub fn total_us(&self) -> u64 {
        self.wait_us + self.prefill_us + self.decode_us + self.others_us
    }
}

/// Estimates a call. `assigned` counts calls sent there that the lagging load
/// report may not show yet.
pub fn estimate(
    load: &EngineLoad,
    assigned: u32,
    missing_tokens: u64,
    new_tokens: u64,
) -> Estimate {
    let step_us = if load.step_us == 0 {
        DEFAULT_STEP_US
    } else {
        load.step_us
    };
    let places = u64::from(load.max_running.max(1));
    let present = u64::from((load.running + load.waiting).max(assigned));
    let rounds_ahead = present / places;
    let per_step = u64::from(load.prefill_tokens_per_step.max(1));
    let prefill_us = missing_tokens.div_ceil(per_step) * step_us;
    let delayed = present.min(places);
    Estimate {
        wait_us: rounds_ahead * TYPICAL_REMAINING_TOKENS * step_us,
        prefill_us,
        decode_us: new_tokens * step_us,
        others_us: prefill_us * delayed / places,
    }
}
