//! Which turns their owner has to hold a place for: those that somebody waits for, as far as it
//! was told.

use super::{MOST, World};
use fieldhook_ledger::message::OpenTurn;

/// Whether the present owner was told that somebody waits for a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// It was asked for it.
    WaitedFor,
    /// Its predecessor was, and gave the partition up in order. Its record tells of no line.
    HandedOver,
    /// It was not asked for it: an owner that was lost was, or a former one.
    Untold,
    /// A further turn of its line was asked for.
    Passed,
}

impl Standing {
    /// Its gateway asks the present owner.
    pub(super) fn asked(self) -> Self {
        match self {
            Self::Untold | Self::HandedOver => Self::WaitedFor,
            told => told,
        }
    }

    /// The owner gave the partition up in order, and a record tells of the turn or does not.
    fn handed_over(self, is_recorded: bool) -> Self {
        match is_recorded && self.is_waited_for() {
            true => Self::HandedOver,
            false => Self::Untold,
        }
    }

    fn is_waited_for(self) -> bool {
        matches!(self, Self::WaitedFor | Self::HandedOver)
    }

    /// A further turn of its line is asked for, of an owner that knows its line.
    fn passed(self) -> Self {
        match self {
            Self::WaitedFor => Self::Passed,
            other => other,
        }
    }
}

impl World {
    /// Tokens of ended turns, and the most of those that are waited for.
    pub(super) fn waited_for(&self) -> u64 {
        let turns = self.turns.iter().map(|turn| match turn.ended {
            true => turn.tokens,
            false if turn.standing.is_waited_for() => MOST,
            false => 0,
        });
        let questions = self.questions.iter();
        let questions = questions.filter(|question| question.standing.is_waited_for());
        turns.sum::<u64>() + questions.map(|question| question.used()).sum::<u64>()
    }

    /// A turn was asked for: the client waits for no other of its line. Only where the answer
    /// of a turn ends with its record does that say that the client gave up.
    pub(super) fn pass(&mut self, further: &OpenTurn) {
        if !self.keeps_context || further.session.is_none() {
            return;
        }
        for turn in &mut self.turns {
            if turn.line == further.session && turn.attempt != further.attempt {
                turn.standing = turn.standing.passed();
            }
        }
        for question in &mut self.questions {
            let request = &question.request;
            if request.session == further.session && request.attempt != further.attempt {
                question.standing = question.standing.passed();
            }
        }
    }

    /// Whether a turn is under way or was, so that asking again reserves nothing new.
    pub(super) fn is_told(&self, request: &OpenTurn) -> bool {
        let is_of = |attempt: u64| attempt == request.attempt;
        let is_turn = self.turns.iter().any(|turn| is_of(turn.attempt));
        is_turn
            || self
                .recorded_reservations()
                .contains(&request.reservation_id())
    }

    /// A turn that had begun is asked for again.
    pub(super) fn ask_again_for(&mut self, attempt: u64) {
        for turn in &mut self.turns {
            if turn.attempt == attempt {
                turn.standing = turn.standing.asked();
            }
        }
    }

    /// An owner was lost: of whatever it was told, its successor is told anew.
    pub(super) fn doubt_all(&mut self) {
        self.turns
            .iter_mut()
            .for_each(|turn| turn.standing = Standing::Untold);
        self.questions
            .iter_mut()
            .for_each(|question| question.standing = Standing::Untold);
    }

    /// An owner gave the partition up in order: gateways of the turns that it told of live, but
    /// of those that it held to be in doubt.
    pub(super) fn trust_recorded(&mut self) {
        let recorded = self.recorded_reservations();
        for turn in &mut self.turns {
            let is_recorded = recorded.contains(&format!("{:x}", turn.attempt));
            turn.standing = turn.standing.handed_over(is_recorded);
        }
        for question in &mut self.questions {
            let is_recorded = recorded.contains(&question.request.reservation_id());
            question.standing = question.standing.handed_over(is_recorded);
        }
    }
}
