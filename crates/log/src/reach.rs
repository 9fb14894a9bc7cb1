//! What a daemon can reach, judged from its own calls to the log and from what other
//! daemons say of theirs.
//!
//! A daemon whose calls fail cannot know by itself whether the log is down for all or
//! only it is cut off. In the first case its clients are as well off here as anywhere;
//! in the second they should go elsewhere, and its partitions to an owner that can
//! append. See docs/PLATFORM.md, "What happens".

use std::cmp::Ordering;

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
    /// Only a minority of the daemons or zones is reached: the others go on without it.
    Minority,
}

impl Reach {
    /// Whether others can do what this daemon can't.
    pub fn others_are_better_off(self) -> bool {
        matches!(self, Self::CutOff | Self::Isolated | Self::Minority)
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

/// What one look around showed. It is taken while an owner is silent: the owner may be gone,
/// or this daemon may be cut off with few others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Look {
    /// Zones with servers, this daemon's own included.
    pub zones: usize,
    /// Those of them where a server is reached, the own one included.
    pub zones_reached: usize,
    /// The first zone by name is reached, or is the own one.
    pub reaches_first: bool,
    /// Owners asked.
    pub asked: usize,
    /// Owners that answered.
    pub answered: usize,
    /// The log answers.
    pub log: bool,
}

/// Fewer owners asked than this show nothing about the others.
const FEWEST_ASKED: usize = 4;

impl Look {
    /// Whether the others are the majority and out of reach.
    pub fn is_minority(&self) -> bool {
        // Servers of a zone may all be down while its daemons are well.
        let nearly_all_answer = self.answered * 4 >= self.asked * 3;
        !nearly_all_answer && (self.has_few_zones() || self.has_few_owners())
    }

    /// Whether a daemon that held itself part of a minority still should: of a sample of the
    /// owners now more and now fewer answer.
    fn may_still_be_minority(&self) -> bool {
        let nearly_all_answer = self.answered * 4 >= self.asked * 3;
        self.is_minority() || (!self.log && !nearly_all_answer)
    }

    /// Of two halves, that with the first zone goes on: if both gave way, nobody would serve,
    /// and if neither did, each would take the other's partitions in turns.
    fn has_few_zones(&self) -> bool {
        match (self.zones_reached * 2).cmp(&self.zones) {
            Ordering::Less => true,
            Ordering::Equal => !self.reaches_first,
            Ordering::Greater => false,
        }
    }

    /// A part of the fleet that is cut off from the rest, wherever it stands. One that has
    /// the log can take the place of owners that it does not reach.
    fn has_few_owners(&self) -> bool {
        !self.log && self.asked >= FEWEST_ASKED && self.answered * 2 < self.asked
    }
}

/// Rounds in a row without any answer before a daemon holds itself isolated: those
/// asked may be frozen or gone themselves.
const ISOLATED_AFTER: u32 = 2;

/// Judges rounds.
#[derive(Debug, Default)]
pub struct ReachTracker {
    reach: Reach,
    rounds_alone: u32,
}

impl ReachTracker {
    /// The present belief.
    pub fn reach(&self) -> Reach {
        self.reach
    }

    /// Takes in a round; tells the new belief if it changed.
    pub fn update(&mut self, round: Round) -> Option<Reach> {
        self.update_with(round, None)
    }

    /// The same, with a look around where one was taken. Whoever hears of a daemon that has
    /// the log is no part of a minority.
    pub fn update_with(&mut self, round: Round, look: Option<Look>) -> Option<Reach> {
        let alone = matches!(round, Round::Asked { asked, answered: 0, .. } if asked > 0);
        self.rounds_alone = if alone { self.rounds_alone + 1 } else { 0 };
        let next = match round {
            Round::Asked { reach_log, .. } if reach_log > 0 => Reach::CutOff,
            _ if look.is_some_and(|look| look.is_minority()) => Reach::Minority,
            _ if self.reach == Reach::Minority
                && look.is_some_and(|look| look.may_still_be_minority()) =>
            {
                Reach::Minority
            }
            Round::Heard => Reach::Log,
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
