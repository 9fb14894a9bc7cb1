//! Lease that lets an owner act as the only one for a limited time.
//!
//! An owner that was paused or cut off from the log does not notice that it was replaced. Where two
//! active owners would do harm, an owner acts only for [`TERM_MS`] after it sent an append of its
//! epoch that the log then accepted. A successor first sets its own epoch and then waits for the
//! same term. The last accepted append of the previous owner was sent before the new epoch was set,
//! so its lease has expired by then.
//!
//! Both measure with their own clocks, which only need to run at the same rate.

/// How long a confirmation is valid, in milliseconds. A successor waits as long, so it is short: an
/// append takes 4 to 60 ms on the deployments measured.
pub const TERM_MS: u64 = 400;
/// Age at which a confirmation should be renewed, in milliseconds, so that an owner under constant
/// load never lets it expire.
const RENEW_MS: u64 = 200;

/// What the owner may do at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not confirmed, or no longer: the owner may not act.
    Expired,
    /// This daemon is the owner, but a previous owner may act for this many more milliseconds.
    Waiting(u64),
    /// The owner may act.
    Held {
        /// The confirmation should be renewed.
        needs_renewal: bool,
    },
}

/// Lease of one claim.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Epoch of the claim.
    pub epoch: u64,
    has_previous_owner: bool,
    acts_from_ms: Option<u64>,
    sent_ms: u64,
}

impl Lease {
    /// Creates an unconfirmed lease. `has_previous_owner` is true if there was an owner before this
    /// claim.
    pub fn new(epoch: u64, has_previous_owner: bool) -> Self {
        Self {
            epoch,
            has_previous_owner,
            acts_from_ms: None,
            sent_ms: 0,
        }
    }

    /// Confirms the lease: the log accepted an append that was sent at `sent_ms`, and its answer
    /// arrived by `now_ms`.
    pub fn confirm(&mut self, sent_ms: u64, now_ms: u64) {
        let wait_ms = match self.has_previous_owner {
            true => TERM_MS,
            false => 0,
        };
        self.acts_from_ms.get_or_insert(now_ms + wait_ms);
        self.sent_ms = self.sent_ms.max(sent_ms);
    }

    /// Returns what the owner may do at `now_ms`.
    pub fn state(&self, now_ms: u64) -> State {
        let Some(acts_from_ms) = self.acts_from_ms else {
            return State::Expired;
        };
        if now_ms < acts_from_ms {
            return State::Waiting(acts_from_ms - now_ms);
        }
        if now_ms >= self.sent_ms + TERM_MS {
            return State::Expired;
        }
        State::Held {
            needs_renewal: now_ms >= self.sent_ms + RENEW_MS,
        }
    }
}
