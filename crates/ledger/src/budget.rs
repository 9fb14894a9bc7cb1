//! Token budget of one program.
//!
//! Every token handed to a client must be counted after any crash. A turn's most is
//! therefore reserved before its first token, and no more is handed out than a successor
//! will count without a word from this owner. That is a mark: what the newest durable record
//! tells, and a part of what that leaves, reserved ahead. A program without a record has a
//! mark as well ([`crate::uncertainty`]): a part of its whole budget. So programs go on, and new ones
//! begin, while the log is away; a record raises the mark again once it is back. Turns mostly
//! take much less than their most, so a turn that the mark does not hold whole begins with
//! what is left of it, and needs the record only if it comes to that.
//!
//! A successor can't tell what was reserved ahead and used from what was not: it counts all
//! of it. So no more is reserved than can be of use ([`Ahead`]): a turn whose content is kept
//! ends only with its record, so a program of such turns gets no further than one turn
//! without the log.
//!
//! A budget may be exceeded by the most of one turn. That covers what was counted in vain:
//! a turn begins if what is known to be used, or waited for, leaves room for it, and what may
//! have been used is within the budget. So turns in doubt ([`crate::open_turns`]) refuse nobody
//! before the budget has no room for what they may have used. Tokens handed out are never more
//! than what is counted, and the last turn adds its most to that at the most (docs/PROOF.md,
//! BUDGET; docs/design/losses.md).

use crate::ended_turns::EndedTurns;
use crate::message::BudgetUsage;
use crate::open_turns::{OpenTurns, TurnRequest};
use crate::record::ProgramRecord;
use crate::uncertainty::UnrecordedGrants;
use std::collections::VecDeque;

/// Part of what is left of a budget that is reserved ahead where turns end without the log:
/// one in this. Programs use less than a half of their budget, so that part carries nearly all
/// of them through an outage, and what is left holds them after a loss as well.
const RESERVE_DIVISOR: u64 = 2;

/// Outcome of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// Granted, and within the durable mark.
    Durable,
    /// Granted, but output has to wait for the append once it comes to more than that.
    Pending {
        /// Tokens that may be handed out before.
        allowed: u64,
    },
    /// The budget does not hold it.
    Exhausted,
    /// Its end was told already: nobody waits for it.
    AlreadyEnded,
}

/// What the end of a turn changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// Nothing: it was told already.
    Duplicate,
    /// Nothing that is counted, but the turn may not begin any more.
    NotOpened,
    /// What is counted.
    Counted,
}

/// How far reservations go ahead of the turns that were asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReservePolicy {
    /// One turn: its end needs the log, so none after it could begin.
    #[default]
    OneTurn,
    /// A part of what is left: turns end without the log.
    Share,
}

/// What a successor begins with that has this record, or none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RecoveryPoint {
    record: u64,
    /// Tokens that it reserves for turns that it does not tell of.
    reserved_ahead: u64,
    /// Those that such turns handed out which have ended.
    used_ahead: u64,
}

/// State of a program's budget in the memory of its owner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    settled_tokens: u64,
    open_turns: OpenTurns,
    /// The turns whose ends were told, also those that were not asked for before: a question may
    /// be under way for as long as a cut lasts, and whoever asked has left. Reserved then, the
    /// most of such a turn would stay reserved for nobody. The question may also reach a later
    /// owner, after no more than a planned stop, so records tell of them all.
    ended_turns: EndedTurns,
    /// The newest durable record, and behind it those that are being appended.
    recovery_points: VecDeque<RecoveryPoint>,
    /// Records made so far.
    record_count: u64,
    /// Reserved ahead by an earlier owner; turns that it granted may use it.
    inherited_tokens: u64,
    reserve_policy: ReservePolicy,
    /// The most of a turn, as far as seen.
    max_turn_tokens: u64,
    /// The budget, as long as no record of it was made.
    unrecorded_budget: Option<u64>,
    changed_ms: u64,
}

impl Budget {
    /// The budget of a program that no record tells of.
    pub fn new(budget: u64, unrecorded: UnrecordedGrants) -> Self {
        let inherited = unrecorded.earlier_tokens(budget);
        let basis = RecoveryPoint {
            reserved_ahead: unrecorded.total_tokens(budget) - inherited,
            ..RecoveryPoint::default()
        };
        Self {
            recovery_points: VecDeque::from([basis]),
            inherited_tokens: inherited,
            unrecorded_budget: Some(budget),
            ..Self::default()
        }
    }

    /// Takes over from a record of an earlier owner.
    pub fn from_record(record: &ProgramRecord) -> Self {
        Self {
            settled_tokens: record.settled_tokens,
            open_turns: OpenTurns::from_record(&record.open_reservations, record.changed_ms),
            ended_turns: EndedTurns::from_record(&record.ended_reservations),
            recovery_points: VecDeque::from([RecoveryPoint::default()]),
            record_count: 0,
            inherited_tokens: record.reserved_ahead,
            reserve_policy: ReservePolicy::default(),
            max_turn_tokens: 0,
            unrecorded_budget: None,
            changed_ms: record.changed_ms,
        }
    }

    /// The owner that it was taken over from was lost, maybe with gateways of its turns.
    pub fn mark_open_in_doubt(&mut self) {
        self.open_turns.mark_all_in_doubt();
    }

    /// Tokens that were handed out or may be.
    pub fn committed_tokens(&self) -> u64 {
        self.known_tokens() + self.inherited_tokens
    }

    /// Tokens of turns that are known: the ended ones, and the most of those under way.
    fn known_tokens(&self) -> u64 {
        self.settled_tokens + self.open_turns.max_tokens()
    }

    /// Whether a turn may begin that asks for so much.
    fn has_room_for(&self, most: u64, budget: u64) -> bool {
        let waited_for = self.settled_tokens + self.open_turns.awaited_max_tokens();
        waited_for + most <= budget && self.committed_tokens() <= budget
    }

    /// What may still be allowed to turns. Beyond each record that a successor may begin with,
    /// the turns that it does not tell of hand out no more than it reserves ahead. What a turn
    /// that it tells of left of its most is nobody's: the successor frees it once it hears of
    /// that turn's end.
    fn grantable_tokens(&self) -> u64 {
        let rooms = self
            .recovery_points
            .iter()
            .map(|basis| self.grantable_beyond(basis));
        rooms.min().unwrap_or(0)
    }

    /// The same for one record.
    fn grantable_beyond(&self, basis: &RecoveryPoint) -> u64 {
        let untold = self
            .open_turns
            .iter()
            .filter(|open| !open.is_in_record(basis.record));
        let allowed: u64 = untold.map(|open| open.allowed).sum();
        basis
            .reserved_ahead
            .saturating_sub(basis.used_ahead + allowed)
    }

    /// Takes in what is seen of the program's turns.
    pub fn observe_turn(&mut self, most: u64, ahead: Option<ReservePolicy>) {
        self.max_turn_tokens = self.max_turn_tokens.max(most);
        self.reserve_policy = ahead.unwrap_or(self.reserve_policy);
    }

    /// Unix time of the last change, in milliseconds.
    pub fn changed_ms(&self) -> u64 {
        self.changed_ms
    }

    /// Whether a turn is the first of its program: nothing was handed out yet, and no other
    /// turn is under way.
    pub fn is_first_turn(&self, turn: &str) -> bool {
        self.settled_tokens == 0
            && self
                .open_turns
                .iter()
                .all(|open| open.reservation_id == turn)
    }

    /// Whether a turn is under way.
    pub fn has_open_turn(&self, turn: &str) -> bool {
        self.open_turns.contains(turn)
    }

    /// Reserves the most of a turn. Asking again for the same turn changes nothing that is
    /// counted.
    pub fn reserve(&mut self, request: &TurnRequest<'_>, budget: u64, now_ms: u64) -> Reservation {
        if self.ended_turns.contains(request.reservation_id) {
            return Reservation::AlreadyEnded;
        }
        self.open_turns.observe_request(request);
        if !self.has_open_turn(request.reservation_id) {
            if !self.has_room_for(request.max_tokens, budget) {
                return Reservation::Exhausted;
            }
            self.open_turns.start(request, now_ms);
            self.changed_ms = now_ms;
        }
        self.extend_allowance(request.reservation_id)
    }

    /// What is counted, for one whose turn it does not hold.
    pub fn usage(&self, now_ms: u64) -> BudgetUsage {
        let oldest = self.open_turns.iter().min_by_key(|open| open.since_ms);
        BudgetUsage {
            settled_tokens: self.settled_tokens,
            open_turns: self.open_turns.iter().count() as u32,
            open_tokens: self.open_turns.max_tokens(),
            in_doubt_turns: self.open_turns.in_doubt().count() as u32,
            in_doubt_tokens: self.open_turns.max_tokens() - self.open_turns.awaited_max_tokens(),
            oldest_reservation: oldest.map(|open| open.reservation_id.clone()),
            oldest_age_ms: oldest.map(|open| now_ms.saturating_sub(open.since_ms)),
            inherited_tokens: self.inherited_tokens,
        }
    }

    /// Lets a turn have what the mark holds of its most.
    fn extend_allowance(&mut self, turn: &str) -> Reservation {
        let room = self.grantable_tokens();
        let Some(open) = self.open_turns.get_mut(turn) else {
            return Reservation::Durable;
        };
        open.allowed += room.min(open.max_tokens - open.allowed);
        if open.allowed == open.max_tokens {
            Reservation::Durable
        } else {
            Reservation::Pending {
                allowed: open.allowed,
            }
        }
    }

    /// Ends a turn with the tokens that reached the client.
    pub fn settle(&mut self, turn: &str, tokens: u64, now_ms: u64) -> Settlement {
        if self.ended_turns.contains(turn) {
            return Settlement::Duplicate;
        }
        // Also where nothing is counted: the program may be known by this alone.
        self.changed_ms = now_ms;
        self.ended_turns.insert(turn);
        if let Some(ended) = self.open_turns.remove(turn) {
            for basis in &mut self.recovery_points {
                if !ended.is_in_record(basis.record) {
                    basis.used_ahead += tokens;
                }
            }
        } else if tokens == 0 {
            return Settlement::NotOpened;
        } else {
            // Granted by an earlier owner from what it had reserved ahead. That owner may
            // have reserved the rest of this turn's most again for turns whose ends are
            // never told: only what was handed out is known to be part of this one.
            self.inherited_tokens = self.inherited_tokens.saturating_sub(tokens);
        }
        self.settled_tokens += tokens;
        Settlement::Counted
    }

    /// The record to append of a program that none tells of yet.
    pub fn first_record(&mut self) -> Option<ProgramRecord> {
        let budget = self.unrecorded_budget?;
        Some(self.next_record(budget))
    }

    /// The record to append before the partition is given up, where the newest one reserves
    /// something ahead, does not tell which turns are in doubt, or there is none. A successor
    /// would count what is reserved in vain, with each planned stop anew. Without it one stop leaves 725 tokens counted of 145 used
    /// (`planned_stops_take_nothing_of_a_budget`).
    pub fn handover_record(&mut self) -> Option<ProgramRecord> {
        let reserves = self
            .recovery_points
            .back()
            .is_some_and(|basis| basis.reserved_ahead > 0);
        let is_told = self.unrecorded_budget.is_none();
        if is_told && !reserves && self.open_turns.in_doubt_flags_are_recorded() {
            return None;
        }
        Some(self.record_with_reserve(0))
    }

    /// The record to append now. Its mark binds from here on, not from the append on: a turn
    /// granted in between by the former mark would be lost with this owner.
    pub fn next_record(&mut self, budget: u64) -> ProgramRecord {
        let ahead = self.reserve_for(budget.saturating_sub(self.committed_tokens()));
        self.record_with_reserve(ahead)
    }

    /// The record to append where nothing that is counted changed: it reserves no more ahead
    /// than a successor would count without it, so a loss after it costs no more.
    pub fn next_record_without_new_reserve(&mut self) -> ProgramRecord {
        let newest = self.recovery_points.back();
        let ahead = newest.map_or(0, |basis| self.grantable_beyond(basis));
        self.record_with_reserve(ahead)
    }

    /// A record that reserves so much ahead.
    fn record_with_reserve(&mut self, ahead: u64) -> ProgramRecord {
        self.unrecorded_budget = None;
        self.record_count += 1;
        let number = self.record_count;
        let record = ProgramRecord {
            settled_tokens: self.settled_tokens,
            open_reservations: self.open_turns.record_reservations(number),
            reserved_ahead: self.inherited_tokens + ahead,
            ended_reservations: self.ended_turns.record_ids(number),
            changed_ms: self.changed_ms,
        };
        self.recovery_points.push_back(RecoveryPoint {
            record: number,
            reserved_ahead: ahead,
            used_ahead: 0,
        });
        record
    }

    fn reserve_for(&self, left: u64) -> u64 {
        let turn = self.max_turn_tokens.min(left);
        match self.reserve_policy {
            ReservePolicy::OneTurn => turn,
            ReservePolicy::Share => turn.max(left / RESERVE_DIVISOR),
        }
    }

    /// The oldest record under way was appended: what it reserves is durable.
    pub fn record_appended(&mut self) {
        if self.recovery_points.len() < 2 {
            return;
        }
        self.recovery_points.pop_front();
        let durable = self.recovery_points.front().map_or(0, |basis| basis.record);
        self.ended_turns.mark_durable(durable);
        self.open_turns.mark_durable(durable);
    }
}
