//! Questions of owners whether the processes of detached attempts live, as the daemon gets them that
//! follows these attempts.

use fieldhook_ledger::message::AttemptQuestion;
use fieldhook_ledger::name::QualifiedName;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a question is kept. Its owner no longer waits for answers then.
const RETENTION: Duration = Duration::from_secs(1);

/// A question and when it arrived.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// Number of the question.
    pub question: u64,
    /// When it arrived. Only what a process shows after this answers it.
    pub at: Instant,
}

/// The newest question about each request.
#[derive(Default)]
pub struct AttemptQuestions {
    newest: RefCell<HashMap<QualifiedName, Asked>>,
    arrived: Notify,
}

impl AttemptQuestions {
    /// Records a question that has arrived.
    pub fn ask(&self, asked: &AttemptQuestion) {
        let at = Instant::now();
        let mut newest = self.newest.borrow_mut();
        newest.retain(|_, known| at - known.at < RETENTION);
        let question = asked.question;
        newest.insert(asked.name.clone(), Asked { question, at });
        drop(newest);
        self.arrived.notify_waiters();
    }

    /// Waits for a question about a request that arrived after this time.
    pub async fn wait(&self, name: &QualifiedName, after: Instant) -> Asked {
        loop {
            let arrived = self.arrived.notified();
            let newest = self.newest.borrow().get(name).copied();
            if let Some(asked) = newest.filter(|asked| asked.at > after) {
                return asked;
            }
            arrived.await;
        }
    }
}
