//! Turns whose maximum an owner must keep reserved: those that a client waits for, as far as the
//! owner knows.

use super::{MAX_TOKENS, Simulation};
use fieldhook_ledger::message::OpenTurn;

/// Whether the current owner knows that a client waits for a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitState {
    /// The turn was requested from this owner.
    Awaited,
    /// The turn was requested from the previous owner, which handed the partition over. Its record
    /// does not contain the session.
    HandedOver,
    /// The turn was requested only from an owner that was lost, or from a replaced owner.
    Unconfirmed,
    /// Another turn of the session was requested.
    Superseded,
}

impl WaitState {
    /// The gateway requests the turn from the current owner.
    pub(super) fn requested(self) -> Self {
        match self {
            Self::Unconfirmed | Self::HandedOver => Self::Awaited,
            other => other,
        }
    }

    /// The owner hands the partition over; `is_recorded` is true if a record contains the turn.
    fn handed_over(self, is_recorded: bool) -> Self {
        match is_recorded && self.is_awaited() {
            true => Self::HandedOver,
            false => Self::Unconfirmed,
        }
    }

    fn is_awaited(self) -> bool {
        matches!(self, Self::Awaited | Self::HandedOver)
    }

    /// Another turn of the session is requested from an owner that knows the session.
    fn superseded(self) -> Self {
        match self {
            Self::Awaited => Self::Superseded,
            other => other,
        }
    }
}

impl Simulation {
    /// Tokens of ended turns plus the maxima of awaited ones.
    pub(super) fn awaited_tokens(&self) -> u64 {
        let turns = self.turns.iter().map(|turn| match turn.ended {
            true => turn.tokens,
            false if turn.wait_state.is_awaited() => MAX_TOKENS,
            false => 0,
        });
        let requests = self.requests.iter();
        let requests = requests.filter(|delayed| delayed.wait_state.is_awaited());
        turns.sum::<u64>()
            + requests
                .map(|delayed| delayed.max_used_tokens())
                .sum::<u64>()
    }

    /// A turn is requested, so the client no longer waits for others of the session. This is
    /// certain only if the response to a turn ends with its record.
    pub(super) fn supersede(&mut self, further: &OpenTurn) {
        if !self.retains_context || further.session.is_none() {
            return;
        }
        for turn in &mut self.turns {
            if turn.session == further.session && turn.attempt != further.attempt {
                turn.wait_state = turn.wait_state.superseded();
            }
        }
        for delayed in &mut self.requests {
            let request = &delayed.request;
            if request.session == further.session && request.attempt != further.attempt {
                delayed.wait_state = delayed.wait_state.superseded();
            }
        }
    }

    /// Whether the turn has started or is recorded as open, so that a repeated request reserves
    /// nothing.
    pub(super) fn is_known(&self, request: &OpenTurn) -> bool {
        let is_of = |attempt: u64| attempt == request.attempt;
        let is_turn = self.turns.iter().any(|turn| is_of(turn.attempt));
        is_turn
            || self
                .recorded_reservations()
                .contains(&request.reservation_id())
    }

    /// A started turn is requested again.
    pub(super) fn request_again(&mut self, attempt: u64) {
        for turn in &mut self.turns {
            if turn.attempt == attempt {
                turn.wait_state = turn.wait_state.requested();
            }
        }
    }

    /// An owner was lost, and its successor knows only the recorded turns.
    pub(super) fn mark_all_unconfirmed(&mut self) {
        self.turns
            .iter_mut()
            .for_each(|turn| turn.wait_state = WaitState::Unconfirmed);
        self.requests
            .iter_mut()
            .for_each(|delayed| delayed.wait_state = WaitState::Unconfirmed);
    }

    /// The owner handed the partition over. Gateways of its recorded turns are alive, except for
    /// turns in doubt.
    pub(super) fn confirm_recorded(&mut self) {
        let recorded = self.recorded_reservations();
        for turn in &mut self.turns {
            let is_recorded = recorded.contains(&format!("{:x}", turn.attempt));
            turn.wait_state = turn.wait_state.handed_over(is_recorded);
        }
        for delayed in &mut self.requests {
            let is_recorded = recorded.contains(&delayed.request.reservation_id());
            delayed.wait_state = delayed.wait_state.handed_over(is_recorded);
        }
    }
}
