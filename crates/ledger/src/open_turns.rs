//! Turns in progress of one program, as its budget counts them.
//!
//! Every open turn may deliver up to its maximum number of tokens. A turn is in doubt if its end
//! may never be reported: its client has moved on, or its gateway may have been lost together with
//! the owner that opened the turn. The maximum of such a turn remains counted, because it may have
//! been delivered, but on its own it causes no refusal of another turn (docs/design/losses.md,
//! "Turns in doubt").

use crate::record::OpenReservation;
use std::rc::Rc;

/// A request to reserve tokens for a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnRequest<'a> {
    /// Id of the reservation.
    pub reservation_id: &'a str,
    /// Maximum number of tokens that the turn may generate.
    pub max_tokens: u64,
    /// Session of the turn, whose turns the client runs one after another.
    pub session: Option<&'a str>,
    /// Whether the client gets the end of its response only once the owner knows the end of the
    /// turn.
    pub ends_with_record: bool,
}

/// Whether a client still waits for a turn, as far as the owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitState {
    /// The gateway of the turn requested it from this owner, or a previous owner handed it over as
    /// awaited.
    Awaited,
    /// The turn is known from a record of an owner that was lost, and was not requested again
    /// since.
    Unconfirmed,
    /// The client requested another turn of the same session without waiting for the response to
    /// this one.
    Superseded,
}

/// A turn in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Id of the reservation.
    pub reservation_id: String,
    /// Maximum number of tokens that the turn may deliver.
    pub max_tokens: u64,
    /// Tokens that the turn may deliver now: as many as any successor will count.
    pub allowed: u64,
    /// Unix time of the start, or of the record that the turn was restored from, in milliseconds.
    pub since_ms: u64,
    /// Number of the first record that contains the turn. Once it is durable, the turn may deliver
    /// its maximum.
    first_record: Option<u64>,
    session: Option<Rc<str>>,
    ends_with_record: bool,
    wait_state: WaitState,
    /// Whether the newest record marks the turn as in doubt.
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

    /// Restores a turn from a record. After a planned handover its gateway is alive and will report
    /// the end, unless the previous owner already had the turn in doubt: if that flag were dropped,
    /// this owner would refuse turns that the previous owner granted.
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

    /// Whether the record with this number contains the turn.
    pub fn is_in_record(&self, number: u64) -> bool {
        self.first_record.is_some_and(|first| first <= number)
    }

    /// Whether the end of the turn may never be reported.
    fn is_in_doubt(&self) -> bool {
        self.wait_state != WaitState::Awaited
    }

    /// The gateway requests the turn again, so it is alive. A superseded turn stays superseded,
    /// because its client does not return to it.
    fn request_again(&mut self, request: &TurnRequest<'_>) {
        self.session = request.session.map(Rc::from);
        self.ends_with_record = request.ends_with_record;
        if self.wait_state == WaitState::Unconfirmed {
            self.wait_state = WaitState::Awaited;
        }
    }

    /// Whether a request shows that the client gave up this turn. The next turn of a session may
    /// also mean that the client got the whole response. The owner can distinguish the two cases
    /// only if it learns of the end of the turn before the client does.
    fn is_superseded_by(&self, further: &TurnRequest<'_>) -> bool {
        let is_same_session = self.session.is_some() && self.session.as_deref() == further.session;
        is_same_session && self.ends_with_record && self.reservation_id != further.reservation_id
    }

    fn reservation(&self) -> OpenReservation {
        OpenReservation {
            id: self.reservation_id.clone(),
            tokens: self.max_tokens,
            in_doubt: self.is_in_doubt(),
        }
    }
}

/// The turns in progress of a program.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OpenTurns(Vec<Turn>);

impl OpenTurns {
    /// Restores the turns from a record.
    pub fn from_record(reservations: &[OpenReservation], since_ms: u64) -> Self {
        let turns = reservations.iter();
        Self(
            turns
                .map(|open| Turn::from_record(open, since_ms))
                .collect(),
        )
    }

    /// All turns in progress.
    pub fn iter(&self) -> impl Iterator<Item = &Turn> {
        self.0.iter()
    }

    /// Turns whose end may never be reported.
    pub fn in_doubt(&self) -> impl Iterator<Item = &Turn> {
        self.iter().filter(|turn| turn.is_in_doubt())
    }

    /// Whether a turn is in progress.
    pub fn contains(&self, reservation_id: &str) -> bool {
        self.iter()
            .any(|turn| turn.reservation_id == reservation_id)
    }

    /// The turn with this reservation id, if it is in progress.
    pub fn get_mut(&mut self, reservation_id: &str) -> Option<&mut Turn> {
        self.0
            .iter_mut()
            .find(|turn| turn.reservation_id == reservation_id)
    }

    /// Maximum number of tokens that all turns together may deliver.
    pub fn max_tokens(&self) -> u64 {
        self.iter().map(|turn| turn.max_tokens).sum()
    }

    /// Maximum number of tokens that the turns that are not in doubt may deliver together.
    pub fn awaited_max_tokens(&self) -> u64 {
        let awaited = self.iter().filter(|turn| !turn.is_in_doubt());
        awaited.map(|turn| turn.max_tokens).sum()
    }

    /// Updates the wait states for a request to open a turn, regardless of its outcome.
    pub fn observe_request(&mut self, request: &TurnRequest<'_>) {
        for turn in &mut self.0 {
            if turn.reservation_id == request.reservation_id {
                turn.request_again(request);
            } else if turn.is_superseded_by(request) {
                turn.wait_state = WaitState::Superseded;
            }
        }
    }

    /// Adds a turn that was granted.
    pub fn start(&mut self, request: &TurnRequest<'_>, now_ms: u64) {
        self.0.push(Turn::requested(request, now_ms));
    }

    /// The owner that recorded these turns was lost, possibly with their gateways.
    pub fn mark_all_in_doubt(&mut self) {
        for turn in &mut self.0 {
            turn.wait_state = WaitState::Unconfirmed;
        }
    }

    /// Removes a turn that has ended.
    pub fn remove(&mut self, reservation_id: &str) -> Option<Turn> {
        let index = self
            .iter()
            .position(|turn| turn.reservation_id == reservation_id)?;
        Some(self.0.swap_remove(index))
    }

    /// Whether the newest record has the current in-doubt flag of every turn.
    pub fn in_doubt_flags_are_recorded(&self) -> bool {
        self.iter()
            .all(|turn| turn.recorded_in_doubt == turn.is_in_doubt())
    }

    /// Reservations to write into the record with this number.
    pub fn record_reservations(&mut self, number: u64) -> Vec<OpenReservation> {
        for turn in &mut self.0 {
            turn.first_record.get_or_insert(number);
            turn.recorded_in_doubt = turn.is_in_doubt();
        }
        self.iter().map(Turn::reservation).collect()
    }

    /// The record with this number is durable.
    pub fn mark_durable(&mut self, number: u64) {
        for turn in &mut self.0 {
            if turn.is_in_record(number) {
                turn.allowed = turn.max_tokens;
            }
        }
    }
}
