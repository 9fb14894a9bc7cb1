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
//! have been used is within the budget. So turns in doubt ([`crate::open`]) refuse nobody
//! before the budget has no room for what they may have used. Tokens handed out are never more
//! than what is counted, and the last turn adds its most to that at the most (docs/PROOF.md,
//! BUDGET; docs/design/losses.md).

use crate::ended::Ends;
use crate::message::BudgetUsage;
use crate::open::{Request, Turns};
use crate::record::ProgramRecord;
use crate::uncertainty::Unrecorded;
use std::collections::VecDeque;

/// Part of what is left of a budget that is reserved ahead where turns end without the log:
/// one in this. Programs use less than a half of their budget, so that part carries nearly all
/// of them through an outage, and what is left holds them after a loss as well.
const AHEAD_DIVISOR: u64 = 2;

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
    Spent,
    /// Its end was told already: nobody waits for it.
    Ended,
}

/// What the end of a turn changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Nothing: it was told already.
    Known,
    /// Nothing that is counted, but the turn may not begin any more.
    Unasked,
    /// What is counted.
    Counted,
}

/// How far reservations go ahead of the turns that were asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ahead {
    /// One turn: its end needs the log, so none after it could begin.
    #[default]
    Turn,
    /// A part of what is left: turns end without the log.
    Part,
}

/// What a successor begins with that has this record, or none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Basis {
    number: u64,
    /// Tokens that it reserves for turns that it does not tell of.
    ahead: u64,
    /// Those that such turns handed out which have ended.
    used: u64,
}

/// State of a program's budget in the memory of its owner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    settled: u64,
    open: Turns,
    /// The turns whose ends were told, also those that were not asked for before: a question may
    /// be under way for as long as a cut lasts, and whoever asked has left. Reserved then, the
    /// most of such a turn would stay reserved for nobody. The question may also reach a later
    /// owner, after no more than a planned stop, so records tell of them all.
    ended: Ends,
    /// The newest durable record, and behind it those that are being appended.
    bases: VecDeque<Basis>,
    /// Records made so far.
    records: u64,
    /// Reserved ahead by an earlier owner; turns that it granted may use it.
    inherited: u64,
    ahead: Ahead,
    /// The most of a turn, as far as seen.
    turn_most: u64,
    /// The budget, as long as no record of it was made.
    unrecorded_budget: Option<u64>,
    changed_ms: u64,
}

impl Budget {
    /// The budget of a program that no record tells of.
    pub fn fresh(budget: u64, unrecorded: Unrecorded) -> Self {
        let inherited = unrecorded.spent(budget);
        let basis = Basis {
            ahead: unrecorded.mark(budget) - inherited,
            ..Basis::default()
        };
        Self {
            bases: VecDeque::from([basis]),
            inherited,
            unrecorded_budget: Some(budget),
            ..Self::default()
        }
    }

    /// Takes over from a record of an earlier owner.
    pub fn recover(record: &ProgramRecord) -> Self {
        Self {
            settled: record.settled,
            open: Turns::recorded(&record.open, record.changed_ms),
            ended: Ends::recorded(&record.ended),
            bases: VecDeque::from([Basis::default()]),
            records: 0,
            inherited: record.ahead,
            ahead: Ahead::default(),
            turn_most: 0,
            unrecorded_budget: None,
            changed_ms: record.changed_ms,
        }
    }

    /// The owner that it was taken over from was lost, maybe with gateways of its turns.
    pub fn doubt_open(&mut self) {
        self.open.doubt();
    }

    /// Tokens that were handed out or may be.
    pub fn committed(&self) -> u64 {
        self.known() + self.inherited
    }

    /// Tokens of turns that are known: the ended ones, and the most of those under way.
    fn known(&self) -> u64 {
        self.settled + self.open.most()
    }

    /// Whether a turn may begin that asks for so much.
    fn holds(&self, most: u64, budget: u64) -> bool {
        let waited_for = self.settled + self.open.most_waited_for();
        waited_for + most <= budget && self.committed() <= budget
    }

    /// What may still be allowed to turns. Beyond each record that a successor may begin with,
    /// the turns that it does not tell of hand out no more than it reserves ahead. What a turn
    /// that it tells of left of its most is nobody's: the successor frees it once it hears of
    /// that turn's end.
    fn room(&self) -> u64 {
        let rooms = self.bases.iter().map(|basis| self.room_of(basis));
        rooms.min().unwrap_or(0)
    }

    /// The same for one record.
    fn room_of(&self, basis: &Basis) -> u64 {
        let untold = self.open.iter().filter(|open| !open.is_in(basis.number));
        let allowed: u64 = untold.map(|open| open.allowed).sum();
        basis.ahead.saturating_sub(basis.used + allowed)
    }

    /// Takes in what is seen of the program's turns.
    pub fn observe(&mut self, most: u64, ahead: Option<Ahead>) {
        self.turn_most = self.turn_most.max(most);
        self.ahead = ahead.unwrap_or(self.ahead);
    }

    /// Unix time of the last change, in milliseconds.
    pub fn changed_ms(&self) -> u64 {
        self.changed_ms
    }

    /// Whether a turn is the first of its program: nothing was handed out yet, and no other
    /// turn is under way.
    pub fn begins_with(&self, turn: &str) -> bool {
        self.settled == 0 && self.open.iter().all(|open| open.name == turn)
    }

    /// Whether a turn is under way.
    pub fn has_open(&self, turn: &str) -> bool {
        self.open.has(turn)
    }

    /// Reserves the most of a turn. Asking again for the same turn changes nothing that is
    /// counted.
    pub fn reserve(&mut self, request: &Request<'_>, budget: u64, now_ms: u64) -> Reservation {
        if self.ended.has(request.turn) {
            return Reservation::Ended;
        }
        self.open.ask(request);
        if !self.has_open(request.turn) {
            if !self.holds(request.most, budget) {
                return Reservation::Spent;
            }
            self.open.begin(request, now_ms);
            self.changed_ms = now_ms;
        }
        self.allow(request.turn)
    }

    /// What is counted, for one whose turn it does not hold.
    pub fn shortage(&self, now_ms: u64) -> BudgetUsage {
        let oldest = self.open.iter().min_by_key(|open| open.since_ms);
        BudgetUsage {
            settled_tokens: self.settled,
            open_turns: self.open.iter().count() as u32,
            open_tokens: self.open.most(),
            in_doubt_turns: self.open.in_doubt().count() as u32,
            in_doubt_tokens: self.open.most() - self.open.most_waited_for(),
            oldest_reservation: oldest.map(|open| open.name.clone()),
            oldest_age_ms: oldest.map(|open| now_ms.saturating_sub(open.since_ms)),
            inherited_tokens: self.inherited,
        }
    }

    /// Lets a turn have what the mark holds of its most.
    fn allow(&mut self, turn: &str) -> Reservation {
        let room = self.room();
        let Some(open) = self.open.get_mut(turn) else {
            return Reservation::Durable;
        };
        open.allowed += room.min(open.most - open.allowed);
        if open.allowed == open.most {
            Reservation::Durable
        } else {
            Reservation::Pending {
                allowed: open.allowed,
            }
        }
    }

    /// Ends a turn with the tokens that reached the client.
    pub fn settle(&mut self, turn: &str, tokens: u64, now_ms: u64) -> End {
        if self.ended.has(turn) {
            return End::Known;
        }
        // Also where nothing is counted: the program may be known by this alone.
        self.changed_ms = now_ms;
        self.ended.remember(turn);
        if let Some(ended) = self.open.end(turn) {
            for basis in &mut self.bases {
                if !ended.is_in(basis.number) {
                    basis.used += tokens;
                }
            }
        } else if tokens == 0 {
            return End::Unasked;
        } else {
            // Granted by an earlier owner from what it had reserved ahead. That owner may
            // have reserved the rest of this turn's most again for turns whose ends are
            // never told: only what was handed out is known to be part of this one.
            self.inherited = self.inherited.saturating_sub(tokens);
        }
        self.settled += tokens;
        End::Counted
    }

    /// The record to append of a program that none tells of yet.
    pub fn first_record(&mut self) -> Option<ProgramRecord> {
        let budget = self.unrecorded_budget?;
        Some(self.record(budget))
    }

    /// The record to append before the partition is given up, where the newest one reserves
    /// something ahead, does not tell which turns are in doubt, or there is none. A successor
    /// would count what is reserved in vain, with each planned stop anew. Without it one stop leaves 725 tokens counted of 145 used
    /// (`planned_stops_take_nothing_of_a_budget`).
    pub fn last_record(&mut self) -> Option<ProgramRecord> {
        let reserves = self.bases.back().is_some_and(|basis| basis.ahead > 0);
        let is_told = self.unrecorded_budget.is_none();
        if is_told && !reserves && self.open.standings_are_told() {
            return None;
        }
        Some(self.record_ahead(0))
    }

    /// The record to append now. Its mark binds from here on, not from the append on: a turn
    /// granted in between by the former mark would be lost with this owner.
    pub fn record(&mut self, budget: u64) -> ProgramRecord {
        let ahead = self.ahead_of(budget.saturating_sub(self.committed()));
        self.record_ahead(ahead)
    }

    /// The record to append where nothing that is counted changed: it reserves no more ahead
    /// than a successor would count without it, so a loss after it costs no more.
    pub fn record_as_reserved(&mut self) -> ProgramRecord {
        let newest = self.bases.back();
        let ahead = newest.map_or(0, |basis| self.room_of(basis));
        self.record_ahead(ahead)
    }

    /// A record that reserves so much ahead.
    fn record_ahead(&mut self, ahead: u64) -> ProgramRecord {
        self.unrecorded_budget = None;
        self.records += 1;
        let number = self.records;
        let record = ProgramRecord {
            settled: self.settled,
            open: self.open.record(number),
            ahead: self.inherited + ahead,
            ended: self.ended.record(number),
            changed_ms: self.changed_ms,
        };
        self.bases.push_back(Basis {
            number,
            ahead,
            used: 0,
        });
        record
    }

    fn ahead_of(&self, left: u64) -> u64 {
        let turn = self.turn_most.min(left);
        match self.ahead {
            Ahead::Turn => turn,
            Ahead::Part => turn.max(left / AHEAD_DIVISOR),
        }
    }

    /// The oldest record under way was appended: what it reserves is durable.
    pub fn appended(&mut self) {
        if self.bases.len() < 2 {
            return;
        }
        self.bases.pop_front();
        let durable = self.bases.front().map_or(0, |basis| basis.number);
        self.ended.recorded_up_to(durable);
        self.open.recorded_up_to(durable);
    }
}
