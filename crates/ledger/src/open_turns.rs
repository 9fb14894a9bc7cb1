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
pub struct TurnRequest<'a> {
    /// The name of what it reserves.
    pub reservation_id: &'a str,
    /// Most tokens that it may generate.
    pub max_tokens: u64,
    /// Line of turns that it belongs to, whose client takes them one after another.
    pub session: Option<&'a str>,
    /// Its client has the whole answer only once its end is known here.
    pub ends_with_record: bool,
}

/// Whether somebody waits for a turn, as far as its owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitState {
    /// Its gateway asked this owner for it.
    Awaited,
    /// A record tells of it, of an owner that was lost; nobody has asked for it since.
    Unconfirmed,
    /// Its client went on without its answer: it asked for a further turn of the same line.
    Superseded,
}

/// A turn under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    /// The name of what it reserved.
    pub reservation_id: String,
    /// Most tokens that it may hand out.
    pub max_tokens: u64,
    /// Tokens of it that are within the mark of its budget.
    pub allowed: u64,
    /// Unix time of its begin, or of the record that told of it, in milliseconds.
    pub since_ms: u64,
    /// The first record that tells of it: once that is durable, all of its most is allowed.
    first_record: Option<u64>,
    session: Option<Rc<str>>,
    ends_with_record: bool,
    wait_state: WaitState,
    /// The newest record tells that it is in doubt.
    recorded_in_doubt: bool,
}

impl Turn {
    fn requested(request: &TurnRequest<'_>, now_ms: u64) -> Self {
        Self {
            reservation_id: request.reservation_id.to_owned(),
            max_tokens: request.max_tokens,
            allowed: 0,
            since_ms: now_ms,
            first_record: None,
            session: request.session.map(Rc::from),
            ends_with_record: request.ends_with_record,
            wait_state: WaitState::Awaited,
            recorded_in_doubt: false,
        }
    }

    /// A turn that a record tells of. Where its owner gave the partition up in order, its
    /// gateway lives and tells its end, unless that owner was in doubt about it: an owner that
    /// took it for waited for would refuse what the one before it granted.
    fn from_record(reservation: &OpenReservation, since_ms: u64) -> Self {
        Self {
            reservation_id: reservation.id.clone(),
            max_tokens: reservation.tokens,
            allowed: reservation.tokens,
            since_ms,
            first_record: Some(0),
            session: None,
            ends_with_record: false,
            wait_state: match reservation.in_doubt {
                true => WaitState::Unconfirmed,
                false => WaitState::Awaited,
            },
            recorded_in_doubt: reservation.in_doubt,
        }
    }

    /// Whether the record of this number tells of it.
    pub fn is_in_record(&self, number: u64) -> bool {
        self.first_record.is_some_and(|first| first <= number)
    }

    /// Whether its end may never be told.
    fn is_in_doubt(&self) -> bool {
        self.wait_state != WaitState::Awaited
    }

    /// Its gateway asks for it again: it lives. A client that went on does not come back.
    fn request_again(&mut self, request: &TurnRequest<'_>) {
        self.session = request.session.map(Rc::from);
        self.ends_with_record = request.ends_with_record;
        if self.wait_state == WaitState::Unconfirmed {
            self.wait_state = WaitState::Awaited;
        }
    }

    /// A further turn is asked for. A client that has the whole answer of a turn goes on as
    /// well; only where the end is known here before that does it tell that it gave up.
    fn is_superseded_by(&self, further: &TurnRequest<'_>) -> bool {
        let is_of_its_line = self.session.is_some() && self.session.as_deref() == further.session;
        is_of_its_line && self.ends_with_record && self.reservation_id != further.reservation_id
    }

    fn reservation(&self) -> OpenReservation {
        OpenReservation {
            id: self.reservation_id.clone(),
            tokens: self.max_tokens,
            in_doubt: self.is_in_doubt(),
        }
    }
}

/// The turns under way of a program.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OpenTurns(Vec<Turn>);

impl OpenTurns {
    /// Those that a record tells of.
    pub fn from_record(reservations: &[OpenReservation], since_ms: u64) -> Self {
        let turns = reservations.iter();
        Self(
            turns
                .map(|open| Turn::from_record(open, since_ms))
                .collect(),
        )
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
    pub fn contains(&self, name: &str) -> bool {
        self.iter().any(|turn| turn.reservation_id == name)
    }

    /// A turn under way.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Turn> {
        self.0.iter_mut().find(|turn| turn.reservation_id == name)
    }

    /// Tokens that they may hand out at their most.
    pub fn max_tokens(&self) -> u64 {
        self.iter().map(|turn| turn.max_tokens).sum()
    }

    /// The same of those whose ends will be told, as far as known.
    pub fn awaited_max_tokens(&self) -> u64 {
        let waited_for = self.iter().filter(|turn| !turn.is_in_doubt());
        waited_for.map(|turn| turn.max_tokens).sum()
    }

    /// Takes in that a turn is asked for, whether it may begin or not.
    pub fn observe_request(&mut self, request: &TurnRequest<'_>) {
        for turn in &mut self.0 {
            if turn.reservation_id == request.reservation_id {
                turn.request_again(request);
            } else if turn.is_superseded_by(request) {
                turn.wait_state = WaitState::Superseded;
            }
        }
    }

    /// A turn begins.
    pub fn start(&mut self, request: &TurnRequest<'_>, now_ms: u64) {
        self.0.push(Turn::requested(request, now_ms));
    }

    /// The owner that told of them was lost, maybe with their gateways.
    pub fn mark_all_in_doubt(&mut self) {
        for turn in &mut self.0 {
            turn.wait_state = WaitState::Unconfirmed;
        }
    }

    /// Takes out a turn that has ended.
    pub fn remove(&mut self, name: &str) -> Option<Turn> {
        let index = self.iter().position(|turn| turn.reservation_id == name)?;
        Some(self.0.swap_remove(index))
    }

    /// Whether the newest record tells of each whether it is in doubt.
    pub fn in_doubt_flags_are_recorded(&self) -> bool {
        self.iter()
            .all(|turn| turn.recorded_in_doubt == turn.is_in_doubt())
    }

    /// What the record of this number tells of them.
    pub fn record_reservations(&mut self, number: u64) -> Vec<OpenReservation> {
        for turn in &mut self.0 {
            turn.first_record.get_or_insert(number);
            turn.recorded_in_doubt = turn.is_in_doubt();
        }
        self.iter().map(Turn::reservation).collect()
    }

    /// The record of this number is durable.
    pub fn mark_durable(&mut self, number: u64) {
        for turn in &mut self.0 {
            if turn.is_in_record(number) {
                turn.allowed = turn.max_tokens;
            }
        }
    }
}
