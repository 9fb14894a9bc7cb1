//! Requests that are delayed in the network: their senders may give up, and they may reach owners
//! late, repeatedly or never. The end of a turn that never ran reports that it used nothing.

use super::wait_state::WaitState;
use super::{MAX_TOKENS, NOW_MS, PROGRAM, Simulation, Turn, UNCERTAINTY_MS};
use fieldhook_ledger::message::OpenTurn;
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::partition::OpenOutcome;
use fieldhook_ledger::record::{ProgramRecord, Record};
use quickcheck::{Arbitrary, Gen};

/// Number of newest requests from which half of the delayed requests are chosen.
const RECENT_REQUESTS: usize = 4;
/// Maximum number of losses in a row.
const MAX_CONSECUTIVE_LOSSES: u8 = 12;
/// Number of uncertainty windows that may end in a scenario. Two windows of 60 s are shorter than
/// the retention of a program, 180 s.
const MAX_WINDOWS: u64 = 2;

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Sends a request to open a turn.
    Send,
    /// A client retries under the same turn id.
    Retry(u8),
    /// A request reaches the current owner, possibly again.
    Arrive(u8),
    /// A request reaches a replaced owner that is still running.
    ArriveAtReplaced(u8, u8),
    /// The sender of a request gives up.
    GiveUp(u8),
    /// The end of a turn whose sender gave up is reported, possibly again.
    ReportEnd(u8),
    /// The end of a turn whose sender gave up reaches a replaced owner that is still running, which
    /// has no effect.
    ReportEndAtReplaced(u8, u8),
    /// All daemons are lost, several times in a row.
    LoseAllRepeatedly(u8),
    /// The owner deletes expired state.
    Expire,
    /// The uncertainty window of the owner ends. By then the owner knows every program that was
    /// started, and replaced owners know that they were replaced.
    EndUncertainty,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let which = u8::arbitrary(g);
        let replaced = u8::arbitrary(g);
        match u8::arbitrary(g) % 32 {
            0..6 => Self::Send,
            6..8 => Self::Retry(which),
            8..16 => Self::Arrive(which),
            16..18 => Self::ArriveAtReplaced(which, replaced),
            18..23 => Self::GiveUp(which),
            23..28 => Self::ReportEnd(which),
            28 => Self::ReportEndAtReplaced(which, replaced),
            29 if replaced < 64 => Self::LoseAllRepeatedly(1 + which % MAX_CONSECUTIVE_LOSSES),
            30 => Self::EndUncertainty,
            _ => Self::Expire,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Requester {
    Waiting,
    /// The turn has started.
    Started,
    Gone,
}

#[derive(Clone, Debug)]
pub(super) struct DelayedRequest {
    pub(super) request: OpenTurn,
    requester: Requester,
    gateway_lives: bool,
    /// Whether an owner may hold a reservation for the turn although the client gave up.
    reserved: bool,
    pub(super) wait_state: WaitState,
    /// Number of appends after which the end of the turn is recorded.
    end_reported_at: Option<usize>,
}

impl DelayedRequest {
    /// Tokens that the turn may have used, if it was not started.
    pub(super) fn max_used_tokens(&self) -> u64 {
        let is_counted =
            self.requester != Requester::Started && self.reserved && self.end_reported_at.is_none();
        if is_counted { MAX_TOKENS } else { 0 }
    }

    fn is_waiting(&self) -> bool {
        self.requester == Requester::Waiting && self.gateway_lives
    }
}

impl Simulation {
    /// Executes a step. Returns false if a turn was refused without justification.
    pub(super) fn step_request(&mut self, step: Step) -> bool {
        match step {
            Step::Send => self.send(),
            Step::Retry(which) => self.retry(which),
            Step::Arrive(which) => return self.arrive(which),
            Step::ArriveAtReplaced(which, replaced) => self.arrive_at_replaced(which, replaced),
            Step::GiveUp(which) => self.give_up(which),
            Step::ReportEnd(which) => self.report_cancellation(which),
            Step::ReportEndAtReplaced(which, replaced) => {
                self.report_cancellation_at_replaced(which, replaced)
            }
            Step::LoseAllRepeatedly(times) => (0..times).for_each(|_| self.lose_owner(false)),
            Step::Expire => self.expire(),
            Step::EndUncertainty => self.end_uncertainty(),
        }
        true
    }

    fn expire(&mut self) {
        let records = self.owner.expire(self.now_ms);
        self.push(records);
    }

    fn end_uncertainty(&mut self) {
        let is_known = self.owner.program_count() > 0 || self.turns.is_empty();
        if is_known && self.now_ms < NOW_MS + MAX_WINDOWS * UNCERTAINTY_MS {
            self.now_ms += UNCERTAINTY_MS;
            self.replaced_owners.clear();
            self.expire();
        }
    }

    fn send(&mut self) {
        let request = self.next_request();
        self.push_request(request);
    }

    fn retry(&mut self, which: u8) {
        let Some(index) = self.request_index(which) else {
            return;
        };
        let OpenTurn { turn, session, .. } = self.requests[index].request.clone();
        let request = OpenTurn {
            turn,
            session,
            ..self.next_request()
        };
        self.push_request(request);
    }

    fn push_request(&mut self, request: OpenTurn) {
        self.requests.push(DelayedRequest {
            request,
            requester: Requester::Waiting,
            gateway_lives: true,
            reserved: false,
            wait_state: WaitState::Unconfirmed,
            end_reported_at: None,
        });
    }

    /// Index of one of the newest requests, or of any request.
    fn request_index(&self, which: u8) -> Option<usize> {
        let count = self.requests.len();
        let among = if which < 128 { RECENT_REQUESTS } else { count };
        let back = usize::from(which).checked_rem(among.min(count))?;
        Some(count - 1 - back)
    }

    fn arrive(&mut self, which: u8) -> bool {
        let Some(index) = self.request_index(which) else {
            return true;
        };
        let delayed = &self.requests[index];
        let (request, is_waiting) = (delayed.request.clone(), delayed.is_waiting());
        let outcome = self.owner.open(&request, self.now_ms);
        if outcome != OpenOutcome::AlreadyEnded {
            self.supersede(&request);
        }
        let may_refuse = self.may_refuse();
        match outcome {
            OpenOutcome::Opened {
                allowed, records, ..
            } => {
                let is_new = is_waiting && !self.is_known(&request);
                assert!(
                    !is_new || self.may_grant(),
                    "granted with {} awaited tokens",
                    self.awaited_tokens()
                );
                self.push(records);
                self.request_opened(index, allowed);
                true
            }
            OpenOutcome::BudgetSpent(_) => {
                if is_waiting {
                    self.requests[index].requester = Requester::Gone;
                }
                !is_waiting || may_refuse
            }
            _ => !is_waiting,
        }
    }

    fn request_opened(&mut self, index: usize, allowed: u64) {
        let durable_at = self.queued;
        let delayed = &mut self.requests[index];
        let request = delayed.request.clone();
        delayed.wait_state = delayed.wait_state.requested();
        if delayed.is_waiting() {
            delayed.requester = Requester::Started;
            let wait_state = delayed.wait_state;
            self.start_turn(request, allowed, durable_at, wait_state);
            return;
        } else if delayed.requester != Requester::Started {
            delayed.reserved = true;
            return;
        }
        self.request_again(request.attempt);
        if let Some(turn) = self.running_attempt(request.attempt) {
            turn.allowed = turn.allowed.max(allowed);
            turn.durable_at = turn.durable_at.min(durable_at);
        }
    }

    fn running_attempt(&mut self, attempt: u64) -> Option<&mut Turn> {
        let mut turns = self.turns.iter_mut();
        turns.find(|turn| turn.attempt == attempt && !turn.ended && turn.gateway_lives)
    }

    /// A replaced owner cannot append, so its grants start at once or never.
    fn arrive_at_replaced(&mut self, which: u8, replaced: u8) {
        let Some(index) = self.request_index(which) else {
            return;
        };
        let Some(replaced) = usize::from(replaced).checked_rem(self.replaced_owners.len()) else {
            return;
        };
        let delayed = &mut self.requests[index];
        let request = delayed.request.clone();
        let outcome = self.replaced_owners[replaced].open(&request, self.now_ms);
        if let OpenOutcome::Opened { allowed, .. } = outcome
            && allowed > 0
            && delayed.is_waiting()
        {
            delayed.requester = Requester::Started;
            self.start_turn(request, allowed, usize::MAX, WaitState::Unconfirmed);
        }
    }

    fn give_up(&mut self, which: u8) {
        if let Some(index) = self.request_index(which)
            && self.requests[index].is_waiting()
        {
            self.requests[index].requester = Requester::Gone;
        }
    }

    fn abandoned_index(&self, which: u8) -> Option<usize> {
        let index = self.request_index(which)?;
        let delayed = &self.requests[index];
        (delayed.requester == Requester::Gone && delayed.gateway_lives).then_some(index)
    }

    fn report_cancellation(&mut self, which: u8) {
        let Some(index) = self.abandoned_index(which) else {
            return;
        };
        let end = self.requests[index].request.cancellation();
        let records = self.owner.close(&end, self.now_ms).expect("a known chain");
        self.push(records);
        self.requests[index]
            .end_reported_at
            .get_or_insert(self.queued);
    }

    fn report_cancellation_at_replaced(&mut self, which: u8, replaced: u8) {
        let Some(index) = self.abandoned_index(which) else {
            return;
        };
        let end = self.requests[index].request.cancellation();
        if let Some(replaced) = usize::from(replaced).checked_rem(self.replaced_owners.len()) {
            self.replaced_owners[replaced]
                .close(&end, self.now_ms)
                .expect("a known chain");
        }
    }

    /// The owner or all daemons were lost. Ends that were not acknowledged must be reported again,
    /// and reservations without a record are gone.
    pub(super) fn lose_requests(&mut self, gateways_live: bool, never_started: &[Turn]) {
        let recorded = self.recorded_reservations();
        for delayed in &mut self.requests {
            delayed.gateway_lives &= gateways_live;
            delayed.end_reported_at = delayed
                .end_reported_at
                .filter(|reported| *reported <= self.appended);
            delayed.reserved &= recorded.contains(&delayed.request.reservation_id());
            let attempt = delayed.request.attempt;
            if let Some(turn) = never_started.iter().find(|turn| turn.attempt == attempt) {
                delayed.requester = if turn.ended {
                    Requester::Gone
                } else {
                    Requester::Waiting
                };
            }
        }
    }

    /// The gateway of a started turn is lost.
    pub(super) fn lose_requester(&mut self, attempt: u64) {
        for delayed in &mut self.requests {
            delayed.gateway_lives &= delayed.request.attempt != attempt;
        }
    }

    pub(super) fn recorded_reservations(&self) -> Vec<String> {
        let key = Record::Program(
            QualifiedName::new(None, PROGRAM),
            Some(ProgramRecord::default()),
        )
        .key();
        let Some(value) = self.log.get(&key) else {
            return Vec::new();
        };
        match Record::decode(&key, value) {
            Ok(Record::Program(_, Some(record))) => record
                .open_reservations
                .into_iter()
                .map(|open| open.id)
                .collect(),
            _ => Vec::new(),
        }
    }
}
