//! Questions of an owner to the daemons that follow detached attempts.

use super::attempt_questions::AttemptQuestions;
use super::peer::Subscribers;
use fieldhook_ledger::message::{AttemptQuestion, LedgerReply};
use fieldhook_ledger::name::QualifiedName;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// How long answers are waited for: a process has 100 ms to answer, and the question and the answer
/// may pass between regions.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of bits of a question's number that count the questions of one owner. The epoch of its
/// claim precedes them.
const COUNT_BITS: u32 = 32;

/// The daemons that may follow detached attempts: those connected to this one, and itself.
pub struct Followers {
    subscribers: Rc<Subscribers>,
    own_questions: Rc<AttemptQuestions>,
    /// Notified when the outcome of an attempt may have changed.
    pub answered: Notify,
    asked: Cell<u64>,
}

impl Followers {
    /// Creates the followers of an owner.
    pub fn new(subscribers: Rc<Subscribers>, own_questions: Rc<AttemptQuestions>) -> Self {
        Self {
            subscribers,
            own_questions,
            answered: Notify::new(),
            asked: Cell::new(0),
        }
    }

    /// Asks whether the processes of the detached attempts of a request live. Returns the number of
    /// the question.
    pub fn ask(&self, name: &QualifiedName, epoch: u64) -> u64 {
        self.asked.set(self.asked.get() + 1);
        let question = epoch << COUNT_BITS | self.asked.get();
        let asked = AttemptQuestion {
            name: name.clone(),
            question,
        };
        self.own_questions.ask(&asked);
        self.subscribers.notify(LedgerReply::ConfirmAttempts(asked));
        question
    }
}
