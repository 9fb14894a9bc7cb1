//! Questions that are under way: their askers may leave, and they may reach owners late, more
//! than once or never. What the end tells of a turn that never ran is that it took nothing.

use super::standing::Standing;
use super::{DOUBT_MS, MOST, NOW_MS, PROGRAM, Turn, World};
use fieldhook_ledger::message::OpenTurn;
use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::partition::OpenOutcome;
use fieldhook_ledger::record::{ProgramRecord, Record};
use quickcheck::{Arbitrary, Gen};

/// Questions that late ones are taken from as often as from all others.
const LATEST: usize = 4;
/// Losses in a row at most.
const LOSSES_IN_A_ROW: u8 = 12;
/// Doubts that a story may outlast: fewer than a program is kept for.
const DOUBTS: u64 = 2;

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A turn is asked for; the question is under way.
    Ask,
    /// A client tries again under the same identity.
    AskAgain(u8),
    /// A question reaches the present owner, for the first time or once more.
    Deliver(u8),
    /// A question reaches a former owner that lives on.
    DeliverAtFormer(u8, u8),
    /// Whoever asked leaves.
    Leave(u8),
    /// The end of a turn whose asker left is told, for the first time or once more.
    TellEnd(u8),
    /// The same at a former owner that lives on: nothing comes of it.
    TellEndAtFormer(u8, u8),
    /// All daemons are lost, several times in a row.
    LoseAllTimes(u8),
    /// The owner deletes what need not be kept.
    Expire,
    /// The owner's doubt is over. By then it has heard of a program that was begun, and former
    /// owners know that they were replaced.
    EndDoubt,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let which = u8::arbitrary(g);
        let former = u8::arbitrary(g);
        match u8::arbitrary(g) % 32 {
            0..6 => Self::Ask,
            6..8 => Self::AskAgain(which),
            8..16 => Self::Deliver(which),
            16..18 => Self::DeliverAtFormer(which, former),
            18..23 => Self::Leave(which),
            23..28 => Self::TellEnd(which),
            28 => Self::TellEndAtFormer(which, former),
            29 if former < 64 => Self::LoseAllTimes(1 + which % LOSSES_IN_A_ROW),
            30 => Self::EndDoubt,
            _ => Self::Expire,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asker {
    Waits,
    /// Its turn began.
    Begun,
    Left,
}

#[derive(Clone, Debug)]
pub(super) struct Question {
    pub(super) request: OpenTurn,
    asker: Asker,
    gateway_lives: bool,
    /// An owner may have reserved the most of its turn for nobody.
    reserved: bool,
    pub(super) standing: Standing,
    /// Appends after which its end is known to be told.
    told_at: Option<usize>,
}

impl Question {
    /// What its turn can have used, where no turn of it began.
    pub(super) fn used(&self) -> u64 {
        let is_counted = self.asker != Asker::Begun && self.reserved && self.told_at.is_none();
        if is_counted { MOST } else { 0 }
    }

    fn waits(&self) -> bool {
        self.asker == Asker::Waits && self.gateway_lives
    }
}

impl World {
    /// Does a step. False if a turn was refused that has to be granted.
    pub(super) fn step_question(&mut self, step: Step) -> bool {
        match step {
            Step::Ask => self.ask(),
            Step::AskAgain(which) => self.ask_again(which),
            Step::Deliver(which) => return self.deliver(which),
            Step::DeliverAtFormer(which, former) => self.deliver_at_former(which, former),
            Step::Leave(which) => self.leave(which),
            Step::TellEnd(which) => self.tell_withdrawn(which),
            Step::TellEndAtFormer(which, former) => self.tell_withdrawn_at_former(which, former),
            Step::LoseAllTimes(times) => (0..times).for_each(|_| self.lose_owner(false)),
            Step::Expire => self.expire(),
            Step::EndDoubt => self.end_doubt(),
        }
        true
    }

    fn expire(&mut self) {
        let records = self.owner.expire(self.now_ms);
        self.push(records);
    }

    fn end_doubt(&mut self) {
        let is_known = self.owner.program_count() > 0 || self.turns.is_empty();
        if is_known && self.now_ms < NOW_MS + DOUBTS * DOUBT_MS {
            self.now_ms += DOUBT_MS;
            self.formers.clear();
            self.expire();
        }
    }

    fn ask(&mut self) {
        let request = self.request();
        self.push_question(request);
    }

    fn ask_again(&mut self, which: u8) {
        let Some(index) = self.question(which) else {
            return;
        };
        let OpenTurn {
            turn,
            session: line,
            ..
        } = self.questions[index].request.clone();
        let request = OpenTurn {
            turn,
            session: line,
            ..self.request()
        };
        self.push_question(request);
    }

    fn push_question(&mut self, request: OpenTurn) {
        self.questions.push(Question {
            request,
            asker: Asker::Waits,
            gateway_lives: true,
            reserved: false,
            standing: Standing::Untold,
            told_at: None,
        });
    }

    /// One of the latest questions, or any.
    fn question(&self, which: u8) -> Option<usize> {
        let count = self.questions.len();
        let among = if which < 128 { LATEST } else { count };
        let back = usize::from(which).checked_rem(among.min(count))?;
        Some(count - 1 - back)
    }

    fn deliver(&mut self, which: u8) -> bool {
        let Some(index) = self.question(which) else {
            return true;
        };
        let question = &self.questions[index];
        let (request, waits) = (question.request.clone(), question.waits());
        let outcome = self.owner.open(&request, self.now_ms);
        if outcome != OpenOutcome::AlreadyEnded {
            self.pass(&request);
        }
        let may_refuse = self.may_refuse();
        match outcome {
            OpenOutcome::Opened {
                allowed, records, ..
            } => {
                let is_new = waits && !self.is_told(&request);
                assert!(!is_new || self.may_grant(), "beside {}", self.waited_for());
                self.push(records);
                self.opened(index, allowed);
                true
            }
            OpenOutcome::BudgetSpent(_) => {
                if waits {
                    self.questions[index].asker = Asker::Left;
                }
                !waits || may_refuse
            }
            _ => !waits,
        }
    }

    fn opened(&mut self, index: usize, allowed: u64) {
        let durable_at = self.queued;
        let question = &mut self.questions[index];
        let request = question.request.clone();
        question.standing = question.standing.asked();
        if question.waits() {
            question.asker = Asker::Begun;
            let standing = question.standing;
            self.begun(request, allowed, durable_at, standing);
            return;
        } else if question.asker != Asker::Begun {
            question.reserved = true;
            return;
        }
        self.ask_again_for(request.attempt);
        if let Some(turn) = self.running_attempt(request.attempt) {
            turn.allowed = turn.allowed.max(allowed);
            turn.durable_at = turn.durable_at.min(durable_at);
        }
    }

    fn running_attempt(&mut self, attempt: u64) -> Option<&mut Turn> {
        let mut turns = self.turns.iter_mut();
        turns.find(|turn| turn.attempt == attempt && !turn.ended && turn.gateway_lives)
    }

    /// What a former owner grants goes out at once or never: it can append nothing.
    fn deliver_at_former(&mut self, which: u8, former: u8) {
        let Some(index) = self.question(which) else {
            return;
        };
        let Some(former) = usize::from(former).checked_rem(self.formers.len()) else {
            return;
        };
        let question = &mut self.questions[index];
        let request = question.request.clone();
        let outcome = self.formers[former].open(&request, self.now_ms);
        if let OpenOutcome::Opened { allowed, .. } = outcome
            && allowed > 0
            && question.waits()
        {
            question.asker = Asker::Begun;
            self.begun(request, allowed, usize::MAX, Standing::Untold);
        }
    }

    fn leave(&mut self, which: u8) {
        if let Some(index) = self.question(which)
            && self.questions[index].waits()
        {
            self.questions[index].asker = Asker::Left;
        }
    }

    fn left(&self, which: u8) -> Option<usize> {
        let index = self.question(which)?;
        let question = &self.questions[index];
        (question.asker == Asker::Left && question.gateway_lives).then_some(index)
    }

    fn tell_withdrawn(&mut self, which: u8) {
        let Some(index) = self.left(which) else {
            return;
        };
        let end = self.questions[index].request.cancellation();
        let records = self.owner.close(&end, self.now_ms);
        self.push(records);
        self.questions[index].told_at.get_or_insert(self.queued);
    }

    fn tell_withdrawn_at_former(&mut self, which: u8, former: u8) {
        let Some(index) = self.left(which) else {
            return;
        };
        let end = self.questions[index].request.cancellation();
        if let Some(former) = usize::from(former).checked_rem(self.formers.len()) {
            self.formers[former].close(&end, self.now_ms);
        }
    }

    /// An owner was lost, or all daemons: ends that were not acknowledged have to be told again,
    /// and what no record tells of is reserved no longer.
    pub(super) fn lose_questions(&mut self, gateways_live: bool, never_begun: &[Turn]) {
        let recorded = self.recorded_reservations();
        for question in &mut self.questions {
            question.gateway_lives &= gateways_live;
            question.told_at = question.told_at.filter(|told| *told <= self.appended);
            question.reserved &= recorded.contains(&question.request.reservation_id());
            let attempt = question.request.attempt;
            if let Some(turn) = never_begun.iter().find(|turn| turn.attempt == attempt) {
                question.asker = if turn.ended {
                    Asker::Left
                } else {
                    Asker::Waits
                };
            }
        }
    }

    /// The gateway of an asker whose turn began is lost.
    pub(super) fn lose_asker(&mut self, attempt: u64) {
        for question in &mut self.questions {
            question.gateway_lives &= question.request.attempt != attempt;
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
        match Record::read(&key, value) {
            Ok(Record::Program(_, Some(record))) => {
                record.open.into_iter().map(|open| open.id).collect()
            }
            _ => Vec::new(),
        }
    }
}
