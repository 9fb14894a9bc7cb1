//! What a daemon can reach, judged from its own calls to the log and from what other
//! daemons say of theirs.
//!
//! A daemon whose calls fail cannot know by itself whether the log is down for all or
//! only it is cut off. In the first case its clients are as well off here as anywhere;
//! in the second they should go elsewhere, and its partitions to an owner that can
//! append. See docs/PLATFORM.md, "What happens".

/// Whom a daemon reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reach {
    /// The log answers.
    #[default]
    Log,
    /// The log answers nobody who was asked.
    Outage,
    /// The log answers others.
    CutOff,
    /// Neither the log nor another daemon answers.
    Isolated,
}

impl Reach {
    /// Whether others can do what this daemon can't.
    pub fn others_are_better_off(self) -> bool {
        matches!(self, Self::CutOff | Self::Isolated)
    }
}

/// What one round of questions showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Round {
    /// The log answers this daemon: nobody was asked.
    Heard,
    /// The log does not; so many daemons were asked, answered, and reach it.
    Asked {
        /// Daemons asked.
        asked: usize,
        /// Daemons that answered.
        answered: usize,
        /// Daemons that reach the log.
        reach_log: usize,
    },
}

/// Rounds in a row without any answer before a daemon holds itself isolated: those
/// asked may be frozen or gone themselves.
const ISOLATED_AFTER: u32 = 2;

/// Judges rounds.
#[derive(Debug, Default)]
pub struct Judge {
    reach: Reach,
    rounds_alone: u32,
}

impl Judge {
    /// The present belief.
    pub fn reach(&self) -> Reach {
        self.reach
    }

    /// Takes in a round; tells the new belief if it changed.
    pub fn step(&mut self, round: Round) -> Option<Reach> {
        let alone = matches!(round, Round::Asked { asked, answered: 0, .. } if asked > 0);
        self.rounds_alone = if alone { self.rounds_alone + 1 } else { 0 };
        let next = match round {
            Round::Heard => Reach::Log,
            Round::Asked { reach_log, .. } if reach_log > 0 => Reach::CutOff,
            Round::Asked { .. } if self.rounds_alone >= ISOLATED_AFTER => Reach::Isolated,
            // One round without an answer changes nothing yet.
            Round::Asked { answered: 0, .. } if self.reach != Reach::Log => self.reach,
            Round::Asked { .. } => Reach::Outage,
        };
        let changed = next != self.reach;
        self.reach = next;
        changed.then_some(next)
    }
}
