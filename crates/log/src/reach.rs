//! Determines what this daemon can reach, from its own calls to the log and from the answers of
//! other daemons.
//!
//! A daemon whose calls to the log fail can't tell by itself whether the log is down for all
//! daemons or only this one is cut off. In the first case its clients are served here as well as
//! anywhere. In the second they should be sent to other daemons, and its partitions should go to an
//! owner that can append.

use std::cmp::Ordering;

/// What this daemon reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reach {
    /// The log answers this daemon.
    #[default]
    Log,
    /// The log answers none of the daemons that were asked.
    Outage,
    /// The log answers other daemons but not this one.
    CutOff,
    /// Neither the log nor any other daemon answers.
    Isolated,
    /// Only a minority of the daemons or zones is reachable; the majority continues without this
    /// one.
    Minority,
}

impl Reach {
    /// Whether other daemons can serve clients that this one can't.
    pub fn should_redirect_clients(self) -> bool {
        matches!(self, Self::CutOff | Self::Isolated | Self::Minority)
    }
}

/// Result of one round of queries to other daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Round {
    /// The log answers this daemon, so no daemon was asked.
    Heard,
    /// The log does not answer this daemon, so other daemons were asked.
    Asked {
        /// Number of daemons asked.
        asked: usize,
        /// Number of daemons that answered.
        answered: usize,
        /// Number of daemons that reach the log.
        reach_log: usize,
    },
}

/// Result of one check of the zones and owners. It is made while an owner does not answer: either
/// that owner is lost, or a network partition separates this daemon and a few others from it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Look {
    /// Zones with servers, including this daemon's own.
    pub zones: usize,
    /// Zones in which a server is reachable, including this daemon's own.
    pub zones_reached: usize,
    /// Whether the first zone by name is reachable or this daemon's own.
    pub reaches_first: bool,
    /// Number of owners asked.
    pub asked: usize,
    /// Number of owners that answered.
    pub answered: usize,
    /// Whether the log answers.
    pub log: bool,
}

/// A smaller sample of owners proves nothing about the others.
const MIN_OWNER_SAMPLE: usize = 4;

impl Look {
    /// Whether this daemon is part of a minority and the majority is out of reach.
    pub fn is_minority(&self) -> bool {
        // All servers of a zone may be down while its daemons are up.
        let nearly_all_answer = self.answered * 4 >= self.asked * 3;
        !nearly_all_answer && (self.has_minority_of_zones() || self.has_minority_of_owners())
    }

    /// Whether a daemon that is in [`Reach::Minority`] should stay there. The number of owners that
    /// answer varies with the sample.
    fn may_still_be_minority(&self) -> bool {
        let nearly_all_answer = self.answered * 4 >= self.asked * 3;
        self.is_minority() || (!self.log && !nearly_all_answer)
    }

    /// Whether this side has the smaller part of the zones. Of two equal halves, the one with the
    /// first zone continues: if both stopped, no partition would have an owner, and if neither did,
    /// they would take each other's partitions in turn.
    fn has_minority_of_zones(&self) -> bool {
        match (self.zones_reached * 2).cmp(&self.zones) {
            Ordering::Less => true,
            Ordering::Equal => !self.reaches_first,
            Ordering::Greater => false,
        }
    }

    /// Whether this daemon does not reach most of the owners, regardless of their zones. Always
    /// false if the log answers, because then this daemon can replace owners that it does not
    /// reach.
    fn has_minority_of_owners(&self) -> bool {
        !self.log && self.asked >= MIN_OWNER_SAMPLE && self.answered * 2 < self.asked
    }
}

/// Consecutive rounds without any answer before [`Reach::Isolated`]: the daemons asked may be
/// paused or lost themselves.
const ISOLATED_AFTER: u32 = 2;

/// Derives [`Reach`] from successive rounds.
#[derive(Debug, Default)]
pub struct ReachTracker {
    reach: Reach,
    rounds_unanswered: u32,
}

impl ReachTracker {
    /// The present reach.
    pub fn reach(&self) -> Reach {
        self.reach
    }

    /// Applies the result of a round. Returns the new reach if it changed.
    pub fn update(&mut self, round: Round) -> Option<Reach> {
        self.update_with(round, None)
    }

    /// Like [`Self::update`], with the result of a check of the zones and owners if there was one.
    /// If another daemon reports that it has the log, this one is not part of a minority.
    pub fn update_with(&mut self, round: Round, look: Option<Look>) -> Option<Reach> {
        let unanswered = matches!(round, Round::Asked { asked, answered: 0, .. } if asked > 0);
        self.rounds_unanswered = if unanswered {
            self.rounds_unanswered + 1
        } else {
            0
        };
        let next = match round {
            Round::Asked { reach_log, .. } if reach_log > 0 => Reach::CutOff,
            _ if look.is_some_and(|look| look.is_minority()) => Reach::Minority,
            _ if self.reach == Reach::Minority
                && look.is_some_and(|look| look.may_still_be_minority()) =>
            {
                Reach::Minority
            }
            Round::Heard => Reach::Log,
            Round::Asked { .. } if self.rounds_unanswered >= ISOLATED_AFTER => Reach::Isolated,
            // A single round without an answer is not conclusive.
            Round::Asked { answered: 0, .. } if self.reach != Reach::Log => self.reach,
            Round::Asked { .. } => Reach::Outage,
        };
        let changed = next != self.reach;
        self.reach = next;
        changed.then_some(next)
    }
}
