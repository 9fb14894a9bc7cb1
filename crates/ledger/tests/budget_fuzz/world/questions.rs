//! Questions that are under way: their askers may leave, and they may reach owners late, more
//! than once or never. The end of a turn that never ran may not free what others handed out.

use super::{NOW_MS, Running, World};
use fieldhook_ledger::message::OpenTurn;
use fieldhook_ledger::partition::OpenOutcome;

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
    /// Whoever asked leaves, or left, and the end is told, for the first time or once more.
    Withdraw(u8),
    /// The same at a former owner that lives on.
    WithdrawAtFormer(u8, u8),
    /// The owner deletes what need not be kept.
    Expire,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asker {
    Waits,
    /// Its turn began.
    Begun,
    Left,
}

#[derive(Clone)]
pub struct Question {
    request: OpenTurn,
    asker: Asker,
}

impl World {
    pub(super) fn step_question(&mut self, step: Step) {
        match step {
            Step::Ask => {
                let request = self.next_request();
                self.ask(request);
            }
            Step::AskAgain(which) => self.ask_again(which),
            Step::Deliver(which) => self.deliver(which),
            Step::DeliverAtFormer(which, former) => self.deliver_at_former(which, former),
            Step::Withdraw(which) => self.withdraw(which),
            Step::WithdrawAtFormer(which, former) => self.withdraw_at_former(which, former),
            Step::Expire => {
                let records = self.owner.expire(NOW_MS);
                self.push(records);
            }
        }
    }

    fn ask(&mut self, request: OpenTurn) {
        self.questions.push(Question {
            request,
            asker: Asker::Waits,
        });
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
            ..self.next_request()
        };
        self.ask(request);
    }

    fn question(&self, which: u8) -> Option<usize> {
        usize::from(which).checked_rem(self.questions.len())
    }

    fn deliver(&mut self, which: u8) {
        let Some(index) = self.question(which) else {
            return;
        };
        let Question { request, asker } = self.questions[index].clone();
        let outcome = self.owner.open(&request, NOW_MS);
        let OpenOutcome::Opened {
            durable, records, ..
        } = outcome
        else {
            return;
        };
        self.push(records);
        if asker == Asker::Waits {
            self.questions[index].asker = Asker::Begun;
            self.begin(&request, durable);
        }
    }

    /// What a former owner grants goes out at once or never: it can append nothing.
    fn deliver_at_former(&mut self, which: u8, former: u8) {
        let Some(index) = self.question(which) else {
            return;
        };
        let Some(former) = usize::from(former).checked_rem(self.formers.len()) else {
            return;
        };
        let Question { request, asker } = self.questions[index].clone();
        let outcome = self.formers[former].open(&request, NOW_MS);
        if let OpenOutcome::Opened { durable: true, .. } = outcome
            && asker == Asker::Waits
        {
            self.questions[index].asker = Asker::Begun;
            self.begin(&request, true);
        }
    }

    fn leave(&mut self, which: u8) -> Option<OpenTurn> {
        let index = self.question(which)?;
        let question = &mut self.questions[index];
        if question.asker == Asker::Begun {
            return None;
        }
        question.asker = Asker::Left;
        Some(question.request.clone())
    }

    fn withdraw(&mut self, which: u8) {
        if let Some(request) = self.leave(which) {
            let records = self.owner.close(&request.cancellation(), NOW_MS);
            self.push(records);
        }
    }

    fn withdraw_at_former(&mut self, which: u8, former: u8) {
        let request = self.leave(which);
        let former = usize::from(former).checked_rem(self.formers.len());
        if let (Some(request), Some(former)) = (request, former) {
            self.formers[former].close(&request.cancellation(), NOW_MS);
        }
    }

    /// Turns that handed nothing out are asked for again.
    pub(super) fn ask_for_again(&mut self, never_begun: &[Running]) {
        for question in &mut self.questions {
            let attempt = question.request.attempt;
            if never_begun.iter().any(|turn| turn.attempt == attempt) {
                question.asker = Asker::Waits;
            }
        }
    }
}
