//! How long an owner may act as the only one.
//!
//! An owner that was frozen, or cut off the log, does not hear that it was replaced. Where
//! two that act at once would do harm, an owner acts only for a term from the moment at
//! which it asked the log to take an append of its epoch, and the log took it. A later owner
//! sets its own epoch first and then lets that term pass: whatever an earlier owner was
//! confirmed of, it asked for before that.
//!
//! Both measure with their own clocks, which only have to run equally fast.

/// How long a confirmation lasts, in milliseconds. A successor waits as long, so it is short:
/// an append takes 4 to 60 ms on the deployments so far.
pub const TERM_MS: u64 = 400;
/// Age of a confirmation from which on the next one is asked for, in milliseconds, so that an
/// owner who is asked all the time is always confirmed.
const RENEW_MS: u64 = 200;

/// What an owner may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Nothing before it is confirmed.
    Expired,
    /// It is the owner, but an earlier one may still act for so long, in milliseconds.
    Waiting(u64),
    /// It acts alone.
    Held {
        /// It should have itself confirmed again.
        needs_renewal: bool,
    },
}

/// The term of one claim.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Epoch of the claim.
    pub epoch: u64,
    has_previous_owner: bool,
    begins_ms: Option<u64>,
    asked_ms: u64,
}

impl Lease {
    /// Nothing is confirmed. `has_previous_owner` says that there was an owner before this claim.
    pub fn new(epoch: u64, has_previous_owner: bool) -> Self {
        Self {
            epoch,
            has_previous_owner,
            begins_ms: None,
            asked_ms: 0,
        }
    }

    /// The log took what was sent to it at `asked_ms`, and said so by now.
    pub fn confirm(&mut self, asked_ms: u64, now_ms: u64) {
        let wait_ms = match self.has_previous_owner {
            true => TERM_MS,
            false => 0,
        };
        self.begins_ms.get_or_insert(now_ms + wait_ms);
        self.asked_ms = self.asked_ms.max(asked_ms);
    }

    /// What the owner may do now.
    pub fn state(&self, now_ms: u64) -> State {
        let Some(begins_ms) = self.begins_ms else {
            return State::Expired;
        };
        if now_ms < begins_ms {
            return State::Waiting(begins_ms - now_ms);
        }
        if now_ms >= self.asked_ms + TERM_MS {
            return State::Expired;
        }
        State::Held {
            needs_renewal: now_ms >= self.asked_ms + RENEW_MS,
        }
    }
}
