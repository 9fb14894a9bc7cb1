//! Token budget of one program.
//!
//! Every token delivered to a client must still be counted after any crash. Therefore the maximum
//! of a turn is reserved before its first token, and an owner lets turns deliver only as many
//! tokens as its successor would count if the owner were lost. This limit is called the durable
//! limit. It consists of what the newest durable record contains, plus a part of the remaining
//! budget that the record reserves ahead, that is, for turns that were not requested yet. A program
//! without a record has a durable limit as well, which is a share of its whole
//! budget ([`crate::uncertainty`]). So programs can start and continue while the log is
//! unavailable, and the next record after an outage raises the limit again. Most turns use much
//! less than their maximum, so a turn whose maximum exceeds the durable limit starts with the
//! remainder of the limit. It waits for a record only if it needs more.
//!
//! A successor cannot tell which tokens reserved ahead were used, so it counts all of them. For
//! this reason no more is reserved than can be useful ([`ReservePolicy`]): a turn whose content is
//! stored ends only with its record, so without the log a program of such turns cannot start a
//! second one.
//!
//! A turn is granted if the budget has room for it in addition to the tokens of ended turns and the
//! maxima of awaited turns, and if all committed tokens are within the budget. So turns in doubt
//! ([`crate::open_turns`]), whose tokens are counted but may never have been used, cause refusals
//! only once these tokens exhaust the budget. In return, a budget may be exceeded by at most the
//! maximum of one turn: delivered tokens never exceed the committed ones, and the last granted turn
//! adds at most its maximum to these (docs/PROOF.md; docs/design/losses.md).

use crate::ended_turns::EndedTurns;
use crate::message::BudgetUsage;
use crate::open_turns::{OpenTurns, TurnRequest};
use crate::record::ProgramRecord;
use crate::uncertainty::UnrecordedGrants;
use std::collections::VecDeque;

/// Divisor for the part of the remaining budget that is reserved ahead if turns end without the
/// log. Programs use less than half of their budget, so half of it carries nearly all of them
/// through an outage, and the other half is still enough after a loss.
const RESERVE_DIVISOR: u64 = 2;

/// Outcome of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// Granted, and the maximum of the turn is within the durable limit.
    Durable,
    /// Granted, but output beyond `allowed` tokens has to wait for the append.
    Pending {
        /// Tokens that may be delivered before.
        allowed: u64,
    },
    /// The budget has no room for the turn.
    Exhausted,
    /// The turn has already ended, so no gateway waits for the reservation.
    AlreadyEnded,
}

/// Effect of the end of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The end was already known; nothing changes.
    Duplicate,
    /// The turn was not open and delivered nothing. Counters are unchanged, but the turn may not
    /// start any more.
    NotOpened,
    /// The counters changed.
    Counted,
}

/// How much is reserved ahead for turns that were not requested yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReservePolicy {
    /// The maximum of one turn. The end of that turn needs the log, so no other turn could start
    /// after it.
    #[default]
    OneTurn,
    /// A share of the remaining budget, because turns end without the log.
    Share,
}

/// Tokens that a successor counts as reserved ahead if it recovers from one record, or without any
/// record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RecoveryPoint {
    /// Number of the record; 0 for the state that this owner itself started from.
    record: u64,
    /// Tokens that the record reserves for turns that it does not contain.
    reserved_ahead: u64,
    /// Tokens that ended turns have used of this reserve.
    used_ahead: u64,
}

/// In-memory state of a program's budget at the owner of its partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    settled_tokens: u64,
    open_turns: OpenTurns,
    /// Turns whose end was reported, including turns that were never opened here. The request to
    /// open a turn may still be in flight, delayed by a network partition, while its sender has
    /// given up. If it were granted, the reservation would never be released. A planned handover
    /// may even direct the request to a later owner, so records contain these ends as well.
    ended_turns: EndedTurns,
    /// The newest durable record, followed by the records whose append is pending.
    recovery_points: VecDeque<RecoveryPoint>,
    /// Number of records made so far.
    record_count: u64,
    /// Tokens that earlier owners reserved ahead. Turns that they granted may use them.
    inherited_tokens: u64,
    reserve_policy: ReservePolicy,
    /// Largest maximum of a turn seen so far.
    max_turn_tokens: u64,
    /// Total budget of the program until its first record is made.
    unrecorded_budget: Option<u64>,
    changed_ms: u64,
}

impl Budget {
    /// Budget of a program without a record.
    pub fn new(budget: u64, unrecorded: UnrecordedGrants) -> Self {
        let inherited = unrecorded.earlier_tokens(budget);
        let point = RecoveryPoint {
            reserved_ahead: unrecorded.total_tokens(budget) - inherited,
            ..RecoveryPoint::default()
        };
        Self {
            recovery_points: VecDeque::from([point]),
            inherited_tokens: inherited,
            unrecorded_budget: Some(budget),
            ..Self::default()
        }
    }

    /// Restores the budget from the record of a previous owner.
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

    /// The previous owner was lost, possibly with gateways of open turns.
    pub fn mark_open_in_doubt(&mut self) {
        self.open_turns.mark_all_in_doubt();
    }

    /// Tokens that were or may have been delivered.
    pub fn committed_tokens(&self) -> u64 {
        self.known_tokens() + self.inherited_tokens
    }

    /// Tokens of known turns: those of ended turns and the maxima of open ones.
    fn known_tokens(&self) -> u64 {
        self.settled_tokens + self.open_turns.max_tokens()
    }

    /// Whether the budget has room for another turn with this maximum.
    fn has_room_for(&self, max_tokens: u64, budget: u64) -> bool {
        let awaited = self.settled_tokens + self.open_turns.awaited_max_tokens();
        awaited + max_tokens <= budget && self.committed_tokens() <= budget
    }

    /// Additional tokens that open turns may deliver. For each record that a successor may recover
    /// from, the turns that the record does not contain may together deliver at most the tokens
    /// that the record reserves ahead. The unused part of the maximum of a recorded turn cannot be
    /// granted to others, because the successor releases it when that turn ends.
    fn grantable_tokens(&self) -> u64 {
        let grantable = self
            .recovery_points
            .iter()
            .map(|point| self.grantable_beyond(point));
        grantable.min().unwrap_or(0)
    }

    /// Additional tokens that open turns may deliver if a successor recovers from this record.
    fn grantable_beyond(&self, point: &RecoveryPoint) -> u64 {
        let unrecorded = self
            .open_turns
            .iter()
            .filter(|open| !open.is_in_record(point.record));
        let allowed: u64 = unrecorded.map(|open| open.allowed).sum();
        point
            .reserved_ahead
            .saturating_sub(point.used_ahead + allowed)
    }

    /// Updates the largest maximum of a turn and the reserve policy.
    pub fn observe_turn(&mut self, max_tokens: u64, reserve_policy: Option<ReservePolicy>) {
        self.max_turn_tokens = self.max_turn_tokens.max(max_tokens);
        self.reserve_policy = reserve_policy.unwrap_or(self.reserve_policy);
    }

    /// Unix time of the last change, in milliseconds.
    pub fn changed_ms(&self) -> u64 {
        self.changed_ms
    }

    /// Whether a turn is the first of its program: nothing was settled yet, and no other turn is
    /// open.
    pub fn is_first_turn(&self, reservation_id: &str) -> bool {
        self.settled_tokens == 0
            && self
                .open_turns
                .iter()
                .all(|open| open.reservation_id == reservation_id)
    }

    /// Whether a turn is open.
    pub fn has_open_turn(&self, reservation_id: &str) -> bool {
        self.open_turns.contains(reservation_id)
    }

    /// Reserves the maximum of a turn. A repeated request for the same turn does not change the
    /// counters.
    pub fn reserve(
        &mut self,
        request: &TurnRequest<'_>,
        budget: u64,
        now_ms: u64,
    ) -> ReserveOutcome {
        if self.ended_turns.contains(request.reservation_id) {
            return ReserveOutcome::AlreadyEnded;
        }
        self.open_turns.observe_request(request);
        if !self.has_open_turn(request.reservation_id) {
            if !self.has_room_for(request.max_tokens, budget) {
                return ReserveOutcome::Exhausted;
            }
            self.open_turns.start(request, now_ms);
            self.changed_ms = now_ms;
        }
        self.extend_allowance(request.reservation_id)
    }

    /// Usage of the budget, reported with a refusal.
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

    /// Raises the tokens that a turn may deliver, as far as the durable limit permits.
    fn extend_allowance(&mut self, reservation_id: &str) -> ReserveOutcome {
        let grantable = self.grantable_tokens();
        let Some(open) = self.open_turns.get_mut(reservation_id) else {
            return ReserveOutcome::Durable;
        };
        open.allowed += grantable.min(open.max_tokens - open.allowed);
        if open.allowed == open.max_tokens {
            ReserveOutcome::Durable
        } else {
            ReserveOutcome::Pending {
                allowed: open.allowed,
            }
        }
    }

    /// Settles a turn with the tokens that were delivered to the client.
    pub fn settle(&mut self, reservation_id: &str, tokens: u64, now_ms: u64) -> Settlement {
        if self.ended_turns.contains(reservation_id) {
            return Settlement::Duplicate;
        }
        // Also set if nothing is counted, because this may be the only trace of the program.
        self.changed_ms = now_ms;
        self.ended_turns.insert(reservation_id);
        if let Some(ended) = self.open_turns.remove(reservation_id) {
            for point in &mut self.recovery_points {
                if !ended.is_in_record(point.record) {
                    point.used_ahead += tokens;
                }
            }
        } else if tokens == 0 {
            return Settlement::NotOpened;
        } else {
            // A previous owner granted this turn from its reserve. It may also have reserved the
            // unused part of the turn's maximum again, for turns whose end is never reported. Only
            // the delivered tokens are known to belong to this turn.
            self.inherited_tokens = self.inherited_tokens.saturating_sub(tokens);
        }
        self.settled_tokens += tokens;
        Settlement::Counted
    }

    /// First record of a program, if none was made yet.
    pub fn initial_record(&mut self) -> Option<ProgramRecord> {
        let budget = self.unrecorded_budget?;
        Some(self.next_record(budget))
    }

    /// Record to append before a planned handover; `None` if the newest record reserves no tokens
    /// ahead and its in-doubt flags are current. Without this record the successor would count the
    /// unused reserve, and more of it with each handover: one handover left 725 tokens counted
    /// where 145 were used (`handovers_cost_no_budget`).
    pub fn handover_record(&mut self) -> Option<ProgramRecord> {
        let has_reserve = self
            .recovery_points
            .back()
            .is_some_and(|point| point.reserved_ahead > 0);
        let is_recorded = self.unrecorded_budget.is_none();
        if is_recorded && !has_reserve && self.open_turns.in_doubt_flags_are_recorded() {
            return None;
        }
        Some(self.record_with_reserve(0))
    }

    /// Next record to append. Its durable limit applies immediately, not only after the append: if
    /// this owner were lost in between, a turn granted under the previous limit would not be
    /// counted.
    pub fn next_record(&mut self, budget: u64) -> ProgramRecord {
        let ahead = self.reserve_for(budget.saturating_sub(self.committed_tokens()));
        self.record_with_reserve(ahead)
    }

    /// Next record to append if no counter changed. The record reserves only what a successor would
    /// count anyway, so it does not raise the cost of a loss.
    pub fn next_record_without_new_reserve(&mut self) -> ProgramRecord {
        let newest = self.recovery_points.back();
        let ahead = newest.map_or(0, |point| self.grantable_beyond(point));
        self.record_with_reserve(ahead)
    }

    /// Makes a record that reserves this many tokens ahead.
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

    fn reserve_for(&self, remaining: u64) -> u64 {
        let turn = self.max_turn_tokens.min(remaining);
        match self.reserve_policy {
            ReservePolicy::OneTurn => turn,
            ReservePolicy::Share => turn.max(remaining / RESERVE_DIVISOR),
        }
    }

    /// The oldest pending record was appended, so its reservations are durable.
    pub fn record_appended(&mut self) {
        if self.recovery_points.len() < 2 {
            return;
        }
        self.recovery_points.pop_front();
        let durable = self.recovery_points.front().map_or(0, |point| point.record);
        self.ended_turns.mark_durable(durable);
        self.open_turns.mark_durable(durable);
    }
}
