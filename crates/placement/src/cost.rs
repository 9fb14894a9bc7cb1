//! Cost model: the expected time until an engine has generated an answer.
//!
//! ```text
//! total        = wait + prefill + decode + interference + migration   [us]
//! wait         = sequences beyond the batch / slots x typical remaining tokens x step time
//! prefill      = prompt tokens not in the cache / tokens per step x step time
//! decode       = tokens to generate x step time x (1 + sequences / slots)
//! interference = prefill x (RECOMPUTE_WEIGHT + delayed sequences / slots)
//! migration    = MIGRATION_PENALTY_STEPS x step time, if only other engines have some
//!                of the program in their cache
//! ```
//!
//! The last factor of `decode` spreads calls before batches are full, because each
//! further sequence lengthens the steps of all sequences. Users account for
//! recomputed prompt tokens separately, as waste. `RECOMPUTE_WEIGHT` therefore adds
//! to the cost of prefill, which keeps a program on its engine unless the queue there
//! costs clearly more.

use fieldhook_model::platform::EngineLoad;

/// Step time assumed for an engine that has not reported one, in microseconds.
const DEFAULT_STEP_US: u64 = 5_000;
/// Extra cost of prefill, as a multiple of its time.
const RECOMPUTE_WEIGHT: u64 = 1;
/// Penalty, in steps, for moving a program to an engine that has none of it in its
/// cache, so that small differences don't move programs back and forth.
const MIGRATION_PENALTY_STEPS: u64 = 6;
/// Tokens that a running sequence is assumed to have left to generate.
const TYPICAL_REMAINING_TOKENS: u64 = 32;

/// Parts of the expected finish time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Estimate {
    /// Wait for a free slot in the batch.
    pub wait_us: u64,
    /// Prefill of the prompt tokens that are not in the engine's cache.
    pub prefill_us: u64,
    /// Generation of the answer.
    pub decode_us: u64,
    /// Delay that the prefill causes to other sequences, and wasted recomputation.
    pub interference_us: u64,
    /// Penalty for leaving the engines that have some of the program cached.
    pub migration_us: u64,
}

impl Estimate {
    /// Returns the sum by which engines are compared.
    pub fn total_us(&self) -> u64 {
        self.wait_us + self.prefill_us + self.decode_us + self.interference_us + self.migration_us
    }
}

/// What a call demands of a particular engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallDemand {
    /// Prompt tokens that are not in the engine's cache.
    pub uncached_tokens: u64,
    /// Tokens to generate.
    pub new_tokens: u64,
    /// Whether another engine has some of the program cached and this one does
    /// not.
    pub migrates: bool,
}

/// Estimates the cost of a call on an engine. `assigned` is the number of calls that
/// this daemon has running there; the load report lags and may not include them yet.
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
