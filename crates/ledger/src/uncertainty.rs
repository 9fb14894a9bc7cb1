//! Programs that may have started without a record before a takeover.
//!
//! An owner grants the first tokens of a program without waiting for a record. If it is lost, its
//! successor cannot know these programs. For some time after the takeover, the uncertainty window,
//! the successor treats each unknown program as one that a previous owner may have started, and
//! counts what that owner may have granted as spent. The first successor may grant a share of its
//! own without a record of the program as well, so that programs can start if the log fails soon
//! after an owner. Before it grants that share it appends a record for the partition, so that the
//! next owner counts the share as well (docs/design/losses.md).

/// Number of turn durations for which a program without a record may send nothing after its owner
/// was lost: a client sends a turn up to three times, and then runs tools for less than one turn
/// duration before the next turn.
const UNSEEN_TURNS: u64 = 4;
/// How long a replaced owner may continue to grant turns while it is partitioned or paused, in
/// milliseconds: twice the time that it takes to notice that the log answers others but not itself.
const STALE_OWNER_MS: u64 = 4_000;
/// Maximum uncertainty window, in milliseconds; also used while turn durations are unknown.
const MAX_UNCERTAINTY_MS: u64 = 60_000;

/// Share of a budget that each owner may grant without a record, as a divisor: one third for an
/// owner without a previous one, one quarter for its first successor during the uncertainty window.
/// Programs use a quarter to a third of their budget, so either share lets most of them run through
/// an outage. What remains after both is still enough for such a program under later owners.
const SHARE_DIVISORS: [u64; 2] = [3, 4];

/// Uncertainty window after the loss of an owner, in milliseconds, if a turn takes at most
/// `longest_turn_ms`: an unknown program that appears within it may have started under an earlier
/// owner.
pub fn uncertainty_after_loss_ms(longest_turn_ms: u64) -> u64 {
    let unseen_ms = longest_turn_ms.saturating_mul(UNSEEN_TURNS);
    unseen_ms
        .saturating_add(STALE_OWNER_MS)
        .min(MAX_UNCERTAINTY_MS)
}

/// Unrecorded grants that owners may have made, or may make, to a program without a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnrecordedGrants {
    /// Number of earlier owners that may have granted their share.
    pub earlier_owners: usize,
    /// Whether the current owner may grant its own share.
    pub may_grant: bool,
}

impl UnrecordedGrants {
    /// Tokens that earlier owners may have granted.
    pub fn earlier_tokens(&self, budget: u64) -> u64 {
        let shares = SHARE_DIVISORS.iter().take(self.earlier_owners);
        shares.map(|divisor| budget / divisor).sum()
    }

    /// Tokens that later owners count as granted, including the share of the current owner.
    pub fn total_tokens(&self, budget: u64) -> u64 {
        let owners = self.earlier_owners + usize::from(self.may_grant);
        Self {
            earlier_owners: owners,
            may_grant: false,
        }
        .earlier_tokens(budget)
    }
}

/// Uncertainty window of one owner.
#[derive(Debug, Default)]
pub struct Uncertainty {
    until_ms: u64,
    /// Number of successors that may have granted their share, according to the newest record.
    recorded_successors: u32,
    /// Whether that number includes this owner and the record of it is durable.
    is_own_share_recorded: bool,
}

impl Uncertainty {
    /// Starts a window that ends at the given time.
    pub fn until(until_ms: u64) -> Self {
        Self {
            until_ms,
            ..Self::default()
        }
    }

    /// Remaining duration of the window, in milliseconds.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.until_ms.saturating_sub(now_ms)
    }

    /// Applies the record of a previous owner.
    pub fn load(&mut self, successors: u32) {
        self.recorded_successors = successors;
    }

    /// Record to append before this owner grants its share to programs without a record. `None` if
    /// it needs no such record or has no share.
    pub fn share_record(&self, now_ms: u64) -> Option<u32> {
        let earlier = self.recorded_successors as usize + 1;
        let has_share = self.remaining_ms(now_ms) > 0
            && !self.is_own_share_recorded
            && earlier < SHARE_DIVISORS.len();
        has_share.then_some(self.recorded_successors + 1)
    }

    /// The record with this number of successors is durable.
    pub fn record_appended(&mut self, successors: u32) {
        self.is_own_share_recorded = successors > self.recorded_successors;
        self.recorded_successors = successors;
    }

    /// Whether the window has ended and the log still contains a record of unrecorded shares.
    pub fn needs_closing_record(&self, now_ms: u64) -> bool {
        self.remaining_ms(now_ms) == 0 && self.recorded_successors > 0
    }

    /// Unrecorded grants to assume for an unknown program at this time.
    pub fn unrecorded_grants(&self, now_ms: u64) -> UnrecordedGrants {
        if self.remaining_ms(now_ms) == 0 {
            return UnrecordedGrants {
                earlier_owners: 0,
                may_grant: true,
            };
        }
        let successors = self.recorded_successors as usize;
        UnrecordedGrants {
            earlier_owners: 1 + successors - usize::from(self.is_own_share_recorded),
            may_grant: self.is_own_share_recorded,
        }
    }
}
