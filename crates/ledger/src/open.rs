//! Turns under way of one program, as its budget counts them.
//!
//! Each may hand out all of its most, whoever it runs for. Not each of them is waited for,
//! though: the client of one may have gone on, and the gateway of one that an earlier owner
//! opened may have been lost with that owner. Such a turn is in doubt. Its most stays counted,
//! as it may have been handed out, but it refuses nobody: its end may never be told
//! (docs/design/losses.md, "Turns in doubt").

use crate::record::OpenReservation;
use std::rc::Rc;

/// A turn that asks to begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// The name of what it reserves.
    pub turn: &'a str,
    /// Most tokens that it may generate.
    pub most: u64,
    /// Line of turns that it belongs to, whose client takes them one after another.
    pub line: Option<&'a str>,
    /// Its client has the whole answer only once its end is known here.
    pub ends_here: bool,
}

/// Whether somebody waits for a turn, as far as its owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// Its gateway asked this owner for it.
    Asked,
    /// A record tells of it, of an owner that was lost; nobody has asked for it since.
    Recorded,
    /// Its client went on without its answer: it asked for a further turn of the same line.
    Passed,
}

/// A turn under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    /// The name of what it reserved.
    pub name: String,
    /// Most tokens that it may hand out.
    pub most: u64,
    /// Tokens of it that are within the mark of its budget.
    pub allowed: u64,
    /// Unix time of its begin, or of the record that told of it, in milliseconds.
    pub since_ms: u64,
    /// The first record that tells of it: once that is durable, all of its most is allowed.
    recorded_by: Option<u64>,
    line: Option<Rc<str>>,
    ends_here: bool,
    standing: Standing,
    /// The newest record tells that it is in doubt.
    told_in_doubt: bool,
}

impl Turn {
    fn asked(request: &Request<'_>, now_ms: u64) -> Self {
        Self {
            name: request.turn.to_owned(),
            most: request.most,
            allowed: 0,
            since_ms: now_ms,
            recorded_by: None,
            line: request.line.map(Rc::from),
            ends_here: request.ends_here,
            standing: Standing::Asked,
            told_in_doubt: false,
        }
    }

    /// A turn that a record tells of. Where its owner gave the partition up in order, its
    /// gateway lives and tells its end, unless that owner was in doubt about it: an owner that
    /// took it for waited for would refuse what the one before it granted.
    fn recorded(reservation: &OpenReservation, since_ms: u64) -> Self {
        Self {
            name: reservation.id.clone(),
            most: reservation.tokens,
            allowed: reservation.tokens,
            since_ms,
            recorded_by: Some(0),
            line: None,
            ends_here: false,
            standing: match reservation.in_doubt {
                true => Standing::Recorded,
                false => Standing::Asked,
            },
            told_in_doubt: reservation.in_doubt,
        }
    }

    /// Whether the record of this number tells of it.
    pub fn is_in(&self, number: u64) -> bool {
        self.recorded_by.is_some_and(|first| first <= number)
    }

    /// Whether its end may never be told.
    fn is_in_doubt(&self) -> bool {
        self.standing != Standing::Asked
    }

    /// Its gateway asks for it again: it lives. A client that went on does not come back.
    fn ask_again(&mut self, request: &Request<'_>) {
        self.line = request.line.map(Rc::from);
        self.ends_here = request.ends_here;
        if self.standing == Standing::Recorded {
            self.standing = Standing::Asked;
        }
    }

    /// A further turn is asked for. A client that has the whole answer of a turn goes on as
    /// well; only where the end is known here before that does it tell that it gave up.
    fn is_passed_by(&self, further: &Request<'_>) -> bool {
        let is_of_its_line = self.line.is_some() && self.line.as_deref() == further.line;
        is_of_its_line && self.ends_here && self.name != further.turn
    }

    fn reservation(&self) -> OpenReservation {
        OpenReservation {
            id: self.name.clone(),
            tokens: self.most,
            in_doubt: self.is_in_doubt(),
        }
    }
}

/// The turns under way of a program.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Turns(Vec<Turn>);

impl Turns {
    /// Those that a record tells of.
    pub fn recorded(reservations: &[OpenReservation], since_ms: u64) -> Self {
        let turns = reservations.iter();
        Self(turns.map(|open| Turn::recorded(open, since_ms)).collect())
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = &Turn> {
        self.0.iter()
    }

    /// Those whose ends may never be told.
    pub fn in_doubt(&self) -> impl Iterator<Item = &Turn> {
        self.iter().filter(|turn| turn.is_in_doubt())
    }

    /// Whether a turn is under way.
    pub fn has(&self, name: &str) -> bool {
        self.iter().any(|turn| turn.name == name)
    }

    /// A turn under way.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Turn> {
        self.0.iter_mut().find(|turn| turn.name == name)
    }

    /// Tokens that they may hand out at their most.
    pub fn most(&self) -> u64 {
        self.iter().map(|turn| turn.most).sum()
    }

    /// The same of those whose ends will be told, as far as known.
    pub fn most_waited_for(&self) -> u64 {
        let waited_for = self.iter().filter(|turn| !turn.is_in_doubt());
        waited_for.map(|turn| turn.most).sum()
    }

    /// Takes in that a turn is asked for, whether it may begin or not.
    pub fn ask(&mut self, request: &Request<'_>) {
        for turn in &mut self.0 {
            if turn.name == request.turn {
                turn.ask_again(request);
            } else if turn.is_passed_by(request) {
                turn.standing = Standing::Passed;
            }
        }
    }

    /// A turn begins.
    pub fn begin(&mut self, request: &Request<'_>, now_ms: u64) {
        self.0.push(Turn::asked(request, now_ms));
    }

    /// The owner that told of them was lost, maybe with their gateways.
    pub fn doubt(&mut self) {
        for turn in &mut self.0 {
            turn.standing = Standing::Recorded;
        }
    }

    /// Takes out a turn that has ended.
    pub fn end(&mut self, name: &str) -> Option<Turn> {
        let index = self.iter().position(|turn| turn.name == name)?;
        Some(self.0.swap_remove(index))
    }

    /// Whether the newest record tells of each whether it is in doubt.
    pub fn standings_are_told(&self) -> bool {
        self.iter()
            .all(|turn| turn.told_in_doubt == turn.is_in_doubt())
    }

    /// What the record of this number tells of them.
    pub fn record(&mut self, number: u64) -> Vec<OpenReservation> {
        for turn in &mut self.0 {
            turn.recorded_by.get_or_insert(number);
            turn.told_in_doubt = turn.is_in_doubt();
        }
        self.iter().map(Turn::reservation).collect()
    }

    /// The record of this number is durable.
    pub fn recorded_up_to(&mut self, number: u64) {
        for turn in &mut self.0 {
            if turn.is_in(number) {
                turn.allowed = turn.most;
            }
        }
    }
}
