//! What a new owner has to assume of programs that no record tells of.
//!
//! An owner that was lost may have begun programs without a record. For a while after a
//! take-over an unknown program may be one of those, so what its earlier owners may have
//! handed out counts as spent. A first successor has a part of budgets of its own to hand out
//! without a record: the log may go away soon after the owners. A record of the partition says
//! so before it does, so that the next owner counts that part as well
//! (docs/design/losses.md).

/// Turns' times for which a program without a record may be out of sight after its owner was
/// lost: a client sends a turn three times, and calls tools for less than a turn's time
/// before the next one.
const TURNS_OUT_OF_SIGHT: u64 = 4;
/// How long a former owner that was cut off or frozen may go on granting, in milliseconds:
/// twice what it takes to notice that the log answers others and not itself.
const FORMER_OWNER_MS: u64 = 4_000;
/// The doubt at most, also as long as the times of turns are not known, in milliseconds.
const LONGEST_DOUBT_MS: u64 = 60_000;

/// Parts of a budget that owners hand out without a record, one in each: an owner that nobody
/// was before, and its first successor while in doubt. Programs use a quarter to a third of
/// their budget, so either part carries most of them through an outage; what both leave still
/// holds such a program for the owners after them.
const PARTS: [u64; 2] = [3, 4];

/// How long after a take-over an unknown program may have begun under the earlier owner, in
/// milliseconds, where a turn takes `longest_turn_ms` at most.
pub fn uncertainty_after_loss_ms(longest_turn_ms: u64) -> u64 {
    let out_of_sight = longest_turn_ms.saturating_mul(TURNS_OUT_OF_SIGHT);
    out_of_sight
        .saturating_add(FORMER_OWNER_MS)
        .min(LONGEST_DOUBT_MS)
}

/// What may be, or may have been, handed out of a program that no record tells of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unrecorded {
    /// Earlier owners that may have handed out their part.
    pub earlier: usize,
    /// Whether this owner may hand out its own.
    pub may: bool,
}

impl Unrecorded {
    /// Tokens that may have been handed out.
    pub fn spent(&self, budget: u64) -> u64 {
        let parts = PARTS.iter().take(self.earlier);
        parts.map(|divisor| budget / divisor).sum()
    }

    /// Tokens that later owners count as handed out.
    pub fn mark(&self, budget: u64) -> u64 {
        let owners = self.earlier + usize::from(self.may);
        Self {
            earlier: owners,
            may: false,
        }
        .spent(budget)
    }
}

/// The doubt of one owner.
#[derive(Debug, Default)]
pub struct Uncertainty {
    until_ms: u64,
    /// Successors that may hand out their part, by the newest record.
    recorded: u32,
    /// This owner is one of them, and the record of it is durable.
    is_recorded: bool,
}

impl Uncertainty {
    /// In doubt until a time.
    pub fn until(until_ms: u64) -> Self {
        Self {
            until_ms,
            ..Self::default()
        }
    }

    /// How long it lasts from now on, in milliseconds.
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        self.until_ms.saturating_sub(now_ms)
    }

    /// Takes in the record of earlier owners.
    pub fn load(&mut self, successors: u32) {
        self.recorded = successors;
    }

    /// The record to append before this owner hands anything out without records of
    /// programs; `None` where it need not or may not.
    pub fn claim_part(&self, now_ms: u64) -> Option<u32> {
        let earlier = self.recorded as usize + 1;
        let may = self.left_ms(now_ms) > 0 && !self.is_recorded && earlier < PARTS.len();
        may.then_some(self.recorded + 1)
    }

    /// The record is durable.
    pub fn appended(&mut self, successors: u32) {
        self.is_recorded = successors > self.recorded;
        self.recorded = successors;
    }

    /// Whether it is over and the log does not say so yet.
    pub fn needs_end(&self, now_ms: u64) -> bool {
        self.left_ms(now_ms) == 0 && self.recorded > 0
    }

    /// What an unknown program stands for now.
    pub fn unrecorded(&self, now_ms: u64) -> Unrecorded {
        if self.left_ms(now_ms) == 0 {
            return Unrecorded {
                earlier: 0,
                may: true,
            };
        }
        let successors = self.recorded as usize;
        Unrecorded {
            earlier: 1 + successors - usize::from(self.is_recorded),
            may: self.is_recorded,
        }
    }
}
